package platform

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// The tests of this file force races with a client's disconnect into a fixed order, on real connections: see
// docs/crossings.md.

// connObserver notifies a test of the calls that its handler has completed.
type connObserver struct {
	tcp.Handler
	handled chan int      // number of bytes of each call of Data, sent once it has returned
	closed  chan struct{} // closed once Closed has returned
}

func (o connObserver) Data(b []byte)    { o.Handler.Data(b); o.handled <- len(b) }
func (o connObserver) Resume()          { o.Handler.(tcp.Resumer).Resume() }
func (o connObserver) Closed(err error) { o.Handler.Closed(err); close(o.closed) }

// serve listens until the test ends. It returns a client's connection and the observer of the server's handler for it.
func serve(t *testing.T, f *Frontend) (net.Conn, connObserver) {
	t.Helper()
	observer := connObserver{handled: make(chan int, 10), closed: make(chan struct{})}
	server, err := tcp.Listen("127.0.0.1:0", &tcp.ConnLimiter{Max: 10}, func(conn *tcp.Conn) tcp.Handler {
		return connObserver{f.Accept(conn), observer.handled, observer.closed}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // the test may have closed it
	return client, observer
}

func newFrontend(put func(aggregator.Message)) *Frontend {
	vocabulary := Vocabulary{Classes: map[string]Class{"a": classA}, MaxTimeout: time.Minute}
	return New(Options{Vocabulary: vocabulary, Shards: 4}, put, time.Now, nil)
}

// query returns the HTTP request of query number n.
func query(n int) string {
	body := `{"slices":[{"slice":1,"mass":1}],"filter":"f"}`
	return fmt.Sprintf("POST /a HTTP/1.1\r\nX-Request-Id: %d\r\nX-Deadline: 1\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
}

func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
}

// A client disconnects after its request was parsed and before it is posted to the loop. The request was sent behind
// another one, so it is posted only once that one is answered. The request must reach the loop before the disconnect:
// otherwise the disconnect would be ignored, and the query would be forwarded for a disconnected client.
func TestFrontend_DisconnectBeforeHandOver(t *testing.T) {
	var client net.Conn
	var observer connObserver
	posted := make(chan aggregator.Message, 10)
	f := newFrontend(func(m aggregator.Message) {
		if arrived, ok := m.(aggregator.RequestArrived); ok && arrived.Request.ID == "2" {
			_ = client.Close() // its answers are not read
			for !arrived.Request.Disconnected(time.Now()) {
				time.Sleep(time.Millisecond) // until the kernel has the close; the request is not posted yet
			}
		}
		posted <- m
	})
	client, observer = serve(t, f)
	both := query(1) + query(2)
	send(t, client, both)
	first := (<-posted).(aggregator.RequestArrived).Request
	// Data has returned for the second request before the first is answered: otherwise Data itself could post the second,
	// and the connection's close would be handled only after that.
	for handled := 0; handled < len(both); {
		handled += <-observer.handled
	}
	answered := make(chan struct{})
	go func() {
		first.Frontend.Answer(aggregator.FinalAnswer{Status: aggregator.StatusRejected})
		close(answered)
	}()
	var order []string
	for len(order) < 2 {
		switch m := (<-posted).(type) {
		case aggregator.RequestArrived:
			order = append(order, "arrived "+m.Request.ID)
		case aggregator.ClientDisconnected:
			order = append(order, "disconnected "+m.Request.ID)
		}
	}
	if order[0] != "arrived 2" || order[1] != "disconnected 2" {
		t.Errorf("%q", order)
	}
	<-answered
}

// A client closes or half-closes its connection with a request in flight and another one behind it: the loop is notified of
// the disconnect for the first, and never receives the second.
func TestFrontend_DisconnectWithRequestBehind(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn) error{
		"closes":      (*net.TCPConn).Close,
		"half-closes": (*net.TCPConn).CloseWrite,
	} {
		t.Run(name, func(t *testing.T) {
			posted := make(chan aggregator.Message, 10)
			f := newFrontend(func(m aggregator.Message) { posted <- m })
			client, observer := serve(t, f)
			send(t, client, query(1))
			first := (<-posted).(aggregator.RequestArrived).Request
			send(t, client, query(2))
			if err := disconnect(client.(*net.TCPConn)); err != nil {
				t.Error(err)
			}
			if m, ok := (<-posted).(aggregator.ClientDisconnected); !ok || m.Request != first {
				t.Errorf("posted %+v, want the disconnect of the first", m)
			}
			<-observer.closed
			first.Frontend.Answer(aggregator.FinalAnswer{Status: aggregator.StatusRejected})
			if n := len(posted); n > 0 || f.OpenConns() > 0 {
				t.Errorf("%d more messages, %d connections", n, f.OpenConns())
			}
		})
	}
}
