package platform

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
)

// closing tells when the end of its connection has been handled.
type closing struct {
	tcp.Handler
	over chan struct{}
}

func (c closing) Closed(err error) { c.Handler.Closed(err); close(c.over) }

// A client leaves between the parsing of its request and its hand-over to the loop. The request was sent behind another
// one, so that it is handed over by whoever answers that, beside the connection's own end. Its arrival reaches the loop
// before its leaving: in the other order the leaving would be forgotten, and the query sent on for nobody.
func TestAClientLeavesBeforeItsRequestIsHandedOver(t *testing.T) {
	over := make(chan struct{})
	var client net.Conn
	var order []string
	posted := make(chan aggregator.Message, 10)
	front := New(Options{Classes: []string{"a"}, Shards: 4, MaxTimeout: time.Minute, Timeouts: httpserve.Timeouts{}}, func(e aggregator.Message) {
		if a, ok := e.(aggregator.RequestArrived); ok && a.Request.ID == "2" {
			client.Close()
			<-over // its end has been handled, and the request is not yet handed over
		}
		posted <- e
	}, time.Now, nil)
	l, err := tcp.Listen("127.0.0.1:0", &tcp.ConnLimiter{Max: 10}, func(l *tcp.Conn) tcp.Handler { return closing{front.Accept(l), over} })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	var both strings.Builder // in one piece: the second is there when the first is answered
	ask(&both, 1)
	ask(&both, 2)
	io.WriteString(client, both.String())
	first := (<-posted).(aggregator.RequestArrived).Request
	answered := make(chan struct{})
	go func() {
		first.Frontend.Answer(aggregator.FinalAnswer{Status: aggregator.StatusRejected})
		close(answered)
	}()
	for len(order) < 2 {
		switch e := (<-posted).(type) {
		case aggregator.RequestArrived:
			order = append(order, "arrive "+e.Request.ID)
		case aggregator.ClientDisconnected:
			order = append(order, "left "+e.Request.ID)
		}
	}
	if order[0] != "arrive 2" || order[1] != "left 2" {
		t.Errorf("%q", order)
	}
	<-answered
}

func ask(c io.Writer, n int) {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"f"}`
	fmt.Fprintf(c, "POST /a HTTP/1.1\r\nX-Request-Id: %d\r\nX-Deadline: 1\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
}

// A client leaves, or closes its side of the connection, with a request in hand and another behind it: the first is told to
// have been left, the second never reaches the loop.
func TestAClientLeavesWithARequestBehind(t *testing.T) {
	for _, half := range []bool{false, true} {
		over, posted := make(chan struct{}), make(chan aggregator.Message, 10)
		front := New(Options{Classes: []string{"a"}, Shards: 4, MaxTimeout: time.Minute}, func(e aggregator.Message) { posted <- e }, time.Now, nil)
		l, err := tcp.Listen("127.0.0.1:0", &tcp.ConnLimiter{Max: 10}, func(l *tcp.Conn) tcp.Handler { return closing{front.Accept(l), over} })
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		ask(c, 1)
		first := (<-posted).(aggregator.RequestArrived).Request
		ask(c, 2)
		if half {
			c.(*net.TCPConn).CloseWrite()
		} else {
			c.Close()
		}
		if e, ok := (<-posted).(aggregator.ClientDisconnected); !ok || e.Request != first {
			t.Errorf("half %v: %+v", half, e)
		}
		<-over
		first.Frontend.Answer(aggregator.FinalAnswer{Status: aggregator.StatusRejected})
		if n := len(posted); n > 0 || front.OpenConns() > 0 {
			t.Errorf("half %v: %d more events, %d connections", half, n, front.OpenConns())
		}
		c.Close()
		l.Close()
	}
}
