package httpserve

import (
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
)

// link notes what is written on a connection.
type link struct {
	out              strings.Builder
	finished, closed bool
}

func (l *link) Write(b []byte, _ func(tcp.Wrote)) { l.out.Write(b) }
func (l *link) Finish(bool)                       { l.finished = true }
func (l *link) Close(error)                       { l.closed = true }

func now() time.Time { return time.Unix(1000, 0) }

func TestOneRequestAtATimeInOrder(t *testing.T) {
	var open []*Exchange
	s := New(Timeouts{}, now, func(x *Exchange) { open = append(open, x) })
	l := &link{}
	c := s.Attach(l)
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET"))
	if len(open) != 1 {
		t.Fatalf("%d requests in hand", len(open))
	}
	open[0].Respond(200, []byte("one"))
	open[0].Respond(200, []byte("again")) // only the first counts
	if len(open) != 2 || open[1].Target != "/2" {
		t.Fatalf("%d requests", len(open))
	}
	open[1].Respond(200, []byte("two"))
	if text := l.out.String(); strings.Count(text, "HTTP/1.1 200") != 2 || strings.Index(text, "one") > strings.Index(text, "two") || l.finished {
		t.Errorf("%q", text)
	}
}

func TestClientLeaves(t *testing.T) {
	left := 0
	var open *Exchange
	s := New(Timeouts{}, now, func(x *Exchange) { open = x; x.OnLeft(func() { left++ }) })
	l := &link{}
	c := s.Attach(l)
	c.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Closed(nil)
	open.Respond(200, nil)
	if left != 1 || l.out.Len() != 0 || s.Open() != 0 || open.OnLeft(func() {}) {
		t.Errorf("left %d times, wrote %q, %d open", left, l.out.String(), s.Open())
	}
}

// A panic stops at its connection, whose client still gets an answer.
func TestPanicStopsAtTheConnection(t *testing.T) {
	s := New(Timeouts{}, now, func(*Exchange) { panic("in a handler") })
	l := &link{}
	s.Attach(l).Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	if !strings.HasPrefix(l.out.String(), "HTTP/1.1 500 ") || !l.finished || s.Counters().Panics != 1 {
		t.Errorf("%q %+v", l.out.String(), s.Counters())
	}
}

func TestClosingAndFlooding(t *testing.T) {
	var open *Exchange
	s := New(Timeouts{}, now, func(x *Exchange) { open = x })
	idle, busy, flood := &link{}, &link{}, &link{}
	s.Attach(idle)
	c := s.Attach(busy)
	c.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	s.CloseIdle()
	if !idle.finished || busy.finished {
		t.Error("the idle one ends, the busy one after its answer")
	}
	open.Respond(200, nil)
	if !busy.finished || !strings.Contains(busy.out.String(), "Connection: close") {
		t.Errorf("%q", busy.out.String())
	}
	f := s.Attach(flood)
	f.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Data([]byte(strings.Repeat("x", 90<<10)))
	open.Respond(200, nil)
	if flood.out.Len() != 0 {
		t.Error("a client that floods was answered")
	}
}
