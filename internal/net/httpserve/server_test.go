package httpserve

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/net/membudget"
)

// turnBytes is what a connection reads in one turn.
const turnBytes = 4 << 10

const getRequest = "GET / HTTP/1.1\r\n\r\n"

func TestServer_OneRequestAtATimeInOrder(t *testing.T) {
	var passed []*Exchange
	clock := newTestClock()
	s := New(Timeouts{}, clock.time, func(x *Exchange) { passed = append(passed, x) })
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET"))
	if len(passed) != 1 {
		t.Fatalf("%d requests in flight", len(passed))
	}
	passed[0].Respond(http.StatusOK, []byte("one"))
	passed[0].Respond(http.StatusOK, []byte("again")) // only the first counts
	if len(passed) != 1 {
		t.Errorf("the second request was passed on outside of a turn")
	}
	conn.takeTurns(c)
	if len(passed) != 2 || passed[1].Target != "/2" {
		t.Fatalf("%d requests", len(passed))
	}
	passed[1].Respond(http.StatusOK, []byte("two"))
	text := conn.written.String()
	inOrder := strings.Index(text, "one") < strings.Index(text, "two")
	if strings.Count(text, "HTTP/1.1 200") != 2 || !inOrder || conn.closedGracefully {
		t.Errorf("%q", text)
	}
}

func TestExchange_ClientDisconnects(t *testing.T) {
	disconnects := 0
	var x *Exchange
	s := New(Timeouts{}, startTime, func(passed *Exchange) {
		x = passed
		x.OnDisconnect(func() { disconnects++ })
	})
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte(getRequest))
	c.Closed(nil)
	x.Respond(http.StatusOK, nil)
	if disconnects != 1 || conn.written.Len() != 0 || s.OpenConns() != 0 || x.OnDisconnect(func() {}) {
		t.Errorf("%d disconnects, wrote %q, %d open", disconnects, conn.written.String(), s.OpenConns())
	}
}

// A panic of the handler affects only its connection, whose client receives a response with status 500.
func TestServer_PanicOfHandler(t *testing.T) {
	s := New(Timeouts{}, startTime, func(*Exchange) { panic("in a handler") })
	conn := &fakeConn{}
	s.Attach(conn).Data([]byte(getRequest))
	if !strings.HasPrefix(conn.written.String(), "HTTP/1.1 500 ") || !conn.closedGracefully || s.Counters().Panics != 1 {
		t.Errorf("%q %+v", conn.written.String(), s.Counters())
	}
}

func TestServer_Shutdown_OpenAndNewConnections(t *testing.T) {
	var x *Exchange
	s := New(Timeouts{}, startTime, func(passed *Exchange) { x = passed })
	idle, busy, late := &fakeConn{}, &fakeConn{}, &fakeConn{}
	s.Attach(idle)
	s.Attach(busy).Data([]byte(getRequest))
	s.Shutdown()
	if !idle.closedGracefully || busy.closedGracefully {
		t.Errorf("closed: idle %v, want true; busy %v, want false", idle.closedGracefully, busy.closedGracefully)
	}
	x.Respond(http.StatusOK, nil)
	if !busy.closedGracefully || !strings.Contains(busy.written.String(), "Connection: close") {
		t.Errorf("%q", busy.written.String())
	}
	s.Attach(late).Data([]byte(getRequest))
	if late.written.Len() != 0 || !late.closedGracefully {
		t.Errorf("a connection after the shutdown received %q, closed: %v", late.written.String(), late.closedGracefully)
	}
}

// A client that sends more behind a request in flight than is held receives the response to that, those to the complete
// requests that are held, and 429 for the rest; then its connection is closed. Guards against closing the connection
// without the responses: the request in flight had run.
func TestServer_SentTooMuchAtOnce(t *testing.T) {
	var passed []*Exchange
	clock := newTestClock()
	s := New(Timeouts{}, clock.time, func(x *Exchange) { passed = append(passed, x) })
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3"))
	clock.pass(conn, c)
	for range maxPipelinedBytes/turnBytes + 1 {
		c.Data([]byte(strings.Repeat("x", turnBytes)))
	}
	if held := c.(*serverConn).parser.MemorySize(); held > 2*maxPipelinedBytes {
		t.Errorf("%d bytes are held", held)
	}
	clock.now = clock.now.Add(quietTime)
	for i, body := range []string{"one", "two"} {
		if len(passed) != i+1 || conn.closedGracefully {
			t.Fatalf("%d requests were passed on, closed: %v", len(passed), conn.closedGracefully)
		}
		passed[i].Respond(http.StatusOK, []byte(body))
		conn.takeTurns(c)
	}
	if statuses := conn.statuses(); statuses != "200 200 429" || !conn.closedGracefully || len(passed) != 2 {
		t.Errorf("%s, closed: %v, %d requests passed on", statuses, conn.closedGracefully, len(passed))
	}
}

// While more of a client's input waits to be read, none of its requests is passed on: the client may have disconnected
// behind it. One that sends without end receives 429. Guards against forwarding requests of clients that sent much and
// left.
func TestServer_InputPending_NothingIsPassedOn(t *testing.T) {
	var passed []*Exchange
	clock := newTestClock()
	s := New(Timeouts{}, clock.time, func(x *Exchange) { passed = append(passed, x) })
	left := &fakeConn{inputPending: true}
	c := s.Attach(left)
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"))
	c.Data([]byte("GET /3 HTTP/1.1\r\n\r\n"))
	c.Closed(nil)
	if len(passed) != 0 || left.written.Len() != 0 {
		t.Errorf("%d requests of a client that left were passed on, it received %q", len(passed), left.written.String())
	}
	flooding := &fakeConn{inputPending: true}
	c = s.Attach(flooding)
	for range 2 * maxPipelinedBytes / turnBytes {
		c.Data([]byte(strings.Repeat(getRequest, turnBytes/len(getRequest))))
		flooding.takeTurns(c)
	}
	if held := c.(*serverConn).parser.MemorySize(); held > 2*maxPipelinedBytes || len(passed) != 0 {
		t.Errorf("%d bytes are held, %d requests passed on", held, len(passed))
	}
	if statuses := strings.Fields(flooding.statuses()); len(statuses) == 0 || strings.Trim(flooding.statuses(), "429 ") != "" {
		t.Errorf("%d responses, some with another status than 429", len(statuses))
	}
	flooding.inputPending = false
	c.Data([]byte("GET /last HTTP/1.1\r\n\r\n"))
	if len(passed) != 0 {
		t.Error("a request was passed on while more may be arriving")
	}
	clock.pass(flooding, c)
	if len(passed) != 1 {
		t.Errorf("%d requests passed on after everything was read", len(passed))
	}
}

// Requests that are responded to at once are handled in several turns.
func TestServer_ManyRequests_TakeTurns(t *testing.T) {
	clock := newTestClock()
	s := New(Timeouts{}, clock.time, func(x *Exchange) { x.Respond(http.StatusOK, nil) })
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte(strings.Repeat(getRequest, 3*maxRequestsPerTurn)))
	clock.now = clock.now.Add(quietTime)
	c.(*serverConn).Resume()
	if n := strings.Count(conn.written.String(), "HTTP/1.1 200"); n != maxRequestsPerTurn {
		t.Errorf("%d requests in one turn", n)
	}
	turns := conn.takeTurns(c)
	if n := strings.Count(conn.written.String(), "HTTP/1.1 200"); n != 3*maxRequestsPerTurn || turns < 2 {
		t.Errorf("%d requests in %d more turns", n, turns)
	}
}

// Clients that begin requests and don't complete them have to release the memory that others need. Guards against
// holding hundreds of half requests until the process is killed.
func TestServer_Memory_HalfRequestsAreRejected(t *testing.T) {
	now := startTime()
	var passed []*Exchange
	s := New(Timeouts{}, func() time.Time { return now }, func(x *Exchange) { passed = append(passed, x) })
	const budget = 1 << 20
	s.Memory = membudget.New(budget, func() time.Time { return now })
	half := "POST /half HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 50000)
	var stalled []*fakeConn
	for range 100 {
		now = now.Add(time.Millisecond)
		conn := &fakeConn{rejected: make(chan struct{})}
		stalled = append(stalled, conn)
		s.Attach(conn).Data([]byte(half))
	}
	usual := &fakeConn{}
	c := s.Attach(usual)
	c.Data([]byte(half))
	c.Data([]byte(strings.Repeat("x", 10000)))
	if len(passed) != 1 {
		t.Fatalf("%d requests passed on; the usual client received %q", len(passed), usual.written.String())
	}
	<-stalled[0].rejected // it has held its half the longest
	if !strings.HasPrefix(stalled[0].written.String(), "HTTP/1.1 503 ") {
		t.Errorf("the first half request received %q", stalled[0].written.String())
	}
	if s.Counters().OverMemory == 0 {
		t.Error("no half request was rejected")
	}
}

// Idle connections are evicted in favor of others: first those that have been idle for EvictableAfter since a response,
// then those that have not sent a complete request, oldest first, then any other without a request in flight. A busy
// connection is never evicted.
func TestServer_EvictIdle(t *testing.T) {
	now := startTime()
	var x *Exchange
	clock := func() time.Time { return now }
	s := New(Timeouts{EvictableAfter: 2 * time.Second}, clock, func(passed *Exchange) { x = passed })
	attach := func(sent string, respond bool) *fakeConn {
		conn := &fakeConn{}
		c := s.Attach(conn)
		if c.Data([]byte(sent)); respond {
			x.Respond(http.StatusOK, nil)
		}
		return conn
	}
	keptAlive := attach(getRequest, true)
	unused := attach("", false)
	half := attach("GET", false)
	busy := attach(getRequest, false)
	fresh := attach(getRequest, true)
	if s.EvictIdle(false) {
		t.Error("a connection was evicted that was not idle for EvictableAfter")
	}
	now = now.Add(1500 * time.Millisecond)
	if !s.EvictIdle(true) || !unused.closedAndWaited {
		t.Error("the connection that sent nothing was not evicted")
	}
	now = now.Add(time.Second)
	s.MaxKeepAlive = 1
	attach("", false) // evicts one, as more than MaxKeepAlive are open
	if !keptAlive.closedAndWaited && !fresh.closedAndWaited {
		t.Error("no connection was evicted beyond MaxKeepAlive")
	}
	for range 4 {
		s.EvictIdle(true)
	}
	allIdleEvicted := keptAlive.closedAndWaited && fresh.closedAndWaited && half.closedAndWaited
	if !allIdleEvicted || busy.closedAndWaited || s.EvictIdle(true) {
		t.Errorf("evicted: kept alive %v, fresh %v, half %v, busy %v",
			keptAlive.closedAndWaited, fresh.closedAndWaited, half.closedAndWaited, busy.closedAndWaited)
	}
	if n := s.Counters().Evicted; n != 5 {
		t.Errorf("%d evicted", n)
	}
}

// The timeout of the first request runs from the start of the connection: partial data does not restart it.
func TestTimeouts_FirstRequest(t *testing.T) {
	timeouts := Timeouts{FirstRequest: time.Hour, Idle: time.Hour, ReadRequest: time.Hour}
	s := New(timeouts, startTime, func(x *Exchange) { x.Respond(http.StatusOK, nil) })
	for _, c := range []struct{ name, sent, want string }{
		{name: "nothing was sent"}, // the connection is closed without a response
		{name: "a part of a request was sent", sent: "GET / HT", want: "HTTP/1.1 408 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := &fakeConn{}
			sc := s.Attach(conn).(*serverConn)
			timer := sc.timer
			if sc.Data([]byte(c.sent)); sc.timer != timer {
				t.Error("the timer was restarted")
			}
			sc.expire()
			written := conn.written.String()
			if !conn.closedGracefully || !strings.HasPrefix(written, c.want) || c.want == "" && written != "" {
				t.Errorf("%q", written)
			}
		})
	}
	sc := s.Attach(&fakeConn{}).(*serverConn)
	sc.Data([]byte(getRequest))
	timer := sc.timer
	if sc.Data([]byte("GET")); sc.timer == timer {
		t.Error("the timer was not restarted for a later request")
	}
}

// FirstByteAt of a pipelined request is when it arrived, not when the previous request was responded to.
func TestExchange_FirstByteAt_BehindAnother(t *testing.T) {
	now := startTime()
	var x *Exchange
	s := New(Timeouts{}, func() time.Time { return now }, func(passed *Exchange) { x = passed })
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"))
	now = now.Add(time.Second)
	c.(*serverConn).Resume()
	x.Respond(http.StatusOK, nil)
	conn.takeTurns(c)
	if x.Target != "/2" || !x.FirstByteAt.Equal(startTime()) {
		t.Errorf("%s began at %v", x.Target, x.FirstByteAt)
	}
}

// busyConns returns the number of connections with a request in flight or a response being sent.
func busyConns(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) - s.unused.Len() - s.idle.Len()
}

// With more than MaxKeepAlive connections, each response closes its connection. Otherwise clients that send one request
// and keep their connection would run out of connections.
func TestServer_MaxKeepAlive_EndsWithTheResponse(t *testing.T) {
	var x *Exchange
	s := New(Timeouts{EvictableAfter: time.Hour}, startTime, func(passed *Exchange) { x = passed })
	s.MaxKeepAlive = 2
	s.Attach(&fakeConn{}) // has sent nothing, so it does not count
	for i := range 4 {
		conn := &fakeConn{}
		s.Attach(conn).Data([]byte(getRequest))
		if busyConns(s) != 1+max(0, i-2) {
			t.Errorf("%d: %d busy", i, busyConns(s))
		}
		x.Respond(http.StatusOK, nil)
		overloaded := i >= 2
		announcedClose := strings.Contains(conn.written.String(), "Connection: close")
		if conn.closedGracefully != overloaded || announcedClose != overloaded {
			t.Errorf("%d: closed %v, %q", i, conn.closedGracefully, conn.written.String())
		}
	}
}

// GET /counters shows the counters under the names that operators' scripts match.
func TestCounters_String(t *testing.T) {
	c := Counters{Connections: 1, Requests: 2, BadRequests: 3, Evicted: 4, Panics: 5, RejectedAtShutdown: 6}
	const want = "{Conns:1 Requests:2 Bad:3 Spared:4 Panics:5 Late:6}"
	for _, format := range []string{"%v", "%+v"} {
		if got := fmt.Sprintf(format, c); got != want {
			t.Errorf("%s: %s, want %s", format, got, want)
		}
	}
}

// Disconnected detects the close of a client's connection by querying the kernel, before Closed is called. It queries
// again only after peerCheckInterval.
func TestExchange_Disconnected(t *testing.T) {
	var x *Exchange
	s := New(Timeouts{}, startTime, func(passed *Exchange) { x = passed })
	conn := &fakeConn{}
	c := s.Attach(conn)
	c.Data([]byte(getRequest))
	now := startTime().Add(time.Millisecond)
	if x.Disconnected(now) {
		t.Error("the client is reported as disconnected while it is connected")
	}
	conn.peerClosed = true
	if x.Disconnected(now.Add(peerCheckInterval / 2)) {
		t.Error("the kernel was queried again before peerCheckInterval elapsed")
	}
	if !x.Disconnected(now.Add(peerCheckInterval)) {
		t.Error("the close was not detected")
	}
	conn.peerClosed = false
	x.Respond(http.StatusOK, nil)
	if !x.Disconnected(now.Add(3 * peerCheckInterval)) {
		t.Error("false after the response was sent")
	}
}

// A client that sends its requests one by one, without waiting for the responses, is not held up, also not after it has
// sent much at once. Guards against requests that wait for a pause that never comes.
func TestServer_SteadyRequests_AreNotHeldUp(t *testing.T) {
	var passed []*Exchange
	s := New(Timeouts{}, startTime, func(x *Exchange) { passed = append(passed, x) }) // no time passes between reads
	conn := &fakeConn{}
	c := s.Attach(conn)
	expectPassed := func(n int) {
		t.Helper()
		if len(passed) != n {
			t.Fatalf("%d requests passed on, want %d", len(passed), n)
		}
	}
	for i := range 4 {
		c.Data([]byte(getRequest)) // from the second on, behind the one in flight
		if i > 0 {
			passed[i-1].Respond(http.StatusOK, nil)
			conn.takeTurns(c)
		}
		expectPassed(i + 1)
	}
	burst := "GET /" + strings.Repeat("x", burstBytes) + " HTTP/1.1\r\n\r\n"
	c.Data([]byte(burst))
	passed[3].Respond(http.StatusOK, nil)
	conn.takeTurns(c)
	expectPassed(4)
	for range maxSmallReads {
		c.Data([]byte(getRequest))
	}
	expectPassed(5)
}
