package httpserve

import (
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
)

// fakeConn notes what is written on a connection.
type fakeConn struct {
	out              strings.Builder
	finished, closed bool
	dropped          bool
}

func (l *fakeConn) Write(b []byte, _ func(tcp.WriteResult)) { l.out.Write(b) }
func (l *fakeConn) CloseAndWait()                           { l.dropped = true }
func (l *fakeConn) CloseGracefully()                        { l.finished = true }
func (l *fakeConn) Close(error)                             { l.closed = true }

func now() time.Time { return time.Unix(1000, 0) }

func TestOneRequestAtATimeInOrder(t *testing.T) {
	var open []*Exchange
	s := New(Timeouts{}, now, func(x *Exchange) { open = append(open, x) })
	l := &fakeConn{}
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
	s := New(Timeouts{}, now, func(x *Exchange) { open = x; x.OnDisconnect(func() { left++ }) })
	l := &fakeConn{}
	c := s.Attach(l)
	c.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	c.Closed(nil)
	open.Respond(200, nil)
	if left != 1 || l.out.Len() != 0 || s.OpenConns() != 0 || open.OnDisconnect(func() {}) {
		t.Errorf("left %d times, wrote %q, %d open", left, l.out.String(), s.OpenConns())
	}
}

// A panic stops at its connection, whose client still gets an answer.
func TestPanicStopsAtTheConnection(t *testing.T) {
	s := New(Timeouts{}, now, func(*Exchange) { panic("in a handler") })
	l := &fakeConn{}
	s.Attach(l).Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	if !strings.HasPrefix(l.out.String(), "HTTP/1.1 500 ") || !l.finished || s.Counters().Panics != 1 {
		t.Errorf("%q %+v", l.out.String(), s.Counters())
	}
}

func TestClosingAndFlooding(t *testing.T) {
	var open *Exchange
	s := New(Timeouts{}, now, func(x *Exchange) { open = x })
	idle, busy, flood := &fakeConn{}, &fakeConn{}, &fakeConn{}
	s.Attach(idle)
	c := s.Attach(busy)
	c.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	s.Shutdown()
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

// Connections that are in nobody's way make room for others: those kept after an answer once they were idle
// for a while, then those that said nothing, oldest first, then any without a request. One at work stays.
func TestRoom(t *testing.T) {
	at := now()
	var open *Exchange
	s := New(Timeouts{EvictableAfter: 2 * time.Second}, func() time.Time { return at }, func(x *Exchange) { open = x })
	attach := func(say string, answer bool) *fakeConn {
		l := &fakeConn{}
		c := s.Attach(l)
		if c.Data([]byte(say)); answer {
			open.Respond(200, nil)
		}
		return l
	}
	kept := attach("GET / HTTP/1.1\r\n\r\n", true)
	silent := attach("", false)
	half := attach("GET", false)
	busy := attach("GET / HTTP/1.1\r\n\r\n", false)
	fresh := attach("GET / HTTP/1.1\r\n\r\n", true)
	if s.EvictIdle(false) {
		t.Error("a connection went that was not idle for long")
	}
	at = at.Add(1500 * time.Millisecond)
	if !s.EvictIdle(true) || !silent.dropped {
		t.Error("the silent one stayed")
	}
	at = at.Add(time.Second)
	s.MaxKeepAlive = 1
	attach("", false) // one more makes a crowd
	if !kept.dropped && !fresh.dropped {
		t.Error("the crowd stayed")
	}
	for range 4 {
		s.EvictIdle(true)
	}
	if !kept.dropped || !fresh.dropped || !half.dropped || busy.dropped || s.EvictIdle(true) {
		t.Errorf("kept %v, fresh %v, half %v, busy %v", kept.dropped, fresh.dropped, half.dropped, busy.dropped)
	}
	if n := s.Counters().Spared; n != 5 {
		t.Errorf("%d spared", n)
	}
}

// The first request has its time from the start of the connection: what trickles in does not prolong it.
func TestTimeForTheFirstRequest(t *testing.T) {
	s := New(Timeouts{FirstRequest: time.Hour, Idle: time.Hour, ReadRequest: time.Hour}, now, func(x *Exchange) { x.Respond(200, nil) })
	for say, want := range map[string]string{"": "", "GET / HT": "HTTP/1.1 408 "} {
		l := &fakeConn{}
		c := s.Attach(l).(*serverConn)
		timer := c.timer
		if c.Data([]byte(say)); c.timer != timer {
			t.Errorf("%q: the time was set anew", say)
		}
		if c.expire(); !l.finished || !strings.HasPrefix(l.out.String(), want) || want == "" && l.out.Len() > 0 {
			t.Errorf("%q: %q", say, l.out.String())
		}
	}
	c := s.Attach(&fakeConn{}).(*serverConn)
	c.Data([]byte("GET / HTTP/1.1\r\n\r\n"))
	timer := c.timer
	if c.Data([]byte("GET")); c.timer == timer {
		t.Error("a later request has no time of its own")
	}
}

// What was sent behind a request counts from when it came, not from that request's answer.
func TestArrivalBehindARequest(t *testing.T) {
	at := now()
	var open *Exchange
	s := New(Timeouts{}, func() time.Time { return at }, func(x *Exchange) { open = x })
	c := s.Attach(&fakeConn{})
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"))
	at = at.Add(time.Second)
	if open.Respond(200, nil); open.Target != "/2" || !open.FirstByteAt.Equal(now()) {
		t.Errorf("%s begun %v", open.Target, open.FirstByteAt)
	}
}

// busy is the number of connections with a request in hand, or an answer on its way.
func busy(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) - s.unused.Len() - s.idle.Len()
}

// In a crowd an answer ends its connection: clients that ask once and keep theirs would run out of them.
func TestCrowdEndsWithTheAnswer(t *testing.T) {
	var open *Exchange
	s := New(Timeouts{EvictableAfter: time.Hour}, now, func(x *Exchange) { open = x })
	s.MaxKeepAlive = 2
	s.Attach(&fakeConn{}) // said nothing: does not count
	for i := range 4 {
		l := &fakeConn{}
		s.Attach(l).Data([]byte("GET / HTTP/1.1\r\n\r\n"))
		if busy(s) != 1+max(0, i-2) {
			t.Errorf("%d: %d busy", i, busy(s))
		}
		open.Respond(200, nil)
		if crowd := i >= 2; l.finished != crowd || strings.Contains(l.out.String(), "Connection: close") != crowd {
			t.Errorf("%d: finished %v, %q", i, l.finished, l.out.String())
		}
	}
}
