package httpserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// fakeConn records what is done with a connection.
type fakeConn struct {
	written                 strings.Builder
	closedGracefully        bool
	closed, closedAndWaited bool
	peerClosed              bool          // the state that PeerClosed reports
	inputPending            bool          // the state that InputPending reports
	woken                   atomic.Bool   // Wake was called, and its turn has not begun
	rejected                chan struct{} // closed by CloseGracefully; may be nil
}

// statuses returns the statuses of the responses, separated by spaces.
func (c *fakeConn) statuses() string {
	var statuses []string
	for _, response := range strings.Split(c.written.String(), "HTTP/1.1 ")[1:] {
		statuses = append(statuses, response[:len("200")])
	}
	return strings.Join(statuses, " ")
}

// takeTurns gives a connection the turns that it has asked for by Wake, and returns their number.
func (c *fakeConn) takeTurns(handler tcp.Handler) (turns int) {
	for ; c.woken.Swap(false); turns++ {
		handler.(tcp.Resumer).Resume()
	}
	return turns
}

func (c *fakeConn) Write(b []byte, _ func(tcp.WriteResult)) { c.written.Write(b) }
func (c *fakeConn) CloseAndWait()                           { c.closedAndWaited = true }

func (c *fakeConn) CloseGracefully() {
	c.closedGracefully = true
	if c.rejected != nil {
		close(c.rejected)
	}
}

func (c *fakeConn) Close(error)        { c.closed = true }
func (c *fakeConn) PeerClosed() bool   { return c.peerClosed }
func (c *fakeConn) InputPending() bool { return c.inputPending }
func (c *fakeConn) Wake()              { c.woken.Store(true) }

// testClock is a clock that a test sets.
type testClock struct{ now time.Time }

func newTestClock() *testClock { return &testClock{startTime()} }

func (c *testClock) time() time.Time { return c.now }

// pass lets so much time pass that everything has arrived which a client has sent at once.
func (c *testClock) pass(conn *fakeConn, handler tcp.Handler) {
	c.now = c.now.Add(quietTime)
	conn.Wake()
	conn.takeTurns(handler)
}

// startTime is the time of the clock in most tests.
func startTime() time.Time { return time.Unix(1000, 0) }

// heldHandler wraps the handler of a connection: it blocks in Data until the test releases the bytes that were read.
type heldHandler struct {
	tcp.Handler
	arrived, release, closed chan struct{}
}

func (h heldHandler) Data(b []byte) {
	h.arrived <- struct{}{}
	<-h.release
	h.Handler.Data(b)
}

func (h heldHandler) Resume() { h.Handler.(tcp.Resumer).Resume() }

func (h heldHandler) Closed(err error) {
	h.Handler.Closed(err)
	close(h.closed)
}

// passOne waits until Data is called and releases that call.
func (h heldHandler) passOne() {
	<-h.arrived
	h.release <- struct{}{}
}

// testServer is a Server on a real listener that passes its requests to the test.
type testServer struct {
	*Server
	addr     string
	requests chan *Exchange
	accept   atomic.Pointer[func(*tcp.Conn) tcp.Handler] // nil: Server.Accept
}

// acceptWith sets the function that returns the handlers of later connections.
func (s *testServer) acceptWith(accept func(*tcp.Conn) tcp.Handler) { s.accept.Store(&accept) }

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{requests: make(chan *Exchange, 10)}
	s.Server = New(Timeouts{}, time.Now, func(x *Exchange) { s.requests <- x })
	listener, err := tcp.Listen("127.0.0.1:0", &tcp.ConnLimiter{Max: 100}, func(conn *tcp.Conn) tcp.Handler {
		if accept := s.accept.Load(); accept != nil {
			return (*accept)(conn)
		}
		return s.Accept(conn)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	s.addr = listener.Addr()
	return s
}

// connectHeld connects a client. The bytes that it sends are read from the socket, and handled when the test releases
// them.
func (s *testServer) connectHeld(t *testing.T) (client, *heldHandler) {
	t.Helper()
	h := &heldHandler{arrived: make(chan struct{}), release: make(chan struct{}), closed: make(chan struct{})}
	accepted := make(chan struct{})
	s.acceptWith(func(conn *tcp.Conn) tcp.Handler {
		h.Handler = s.Accept(conn)
		close(accepted)
		return h
	})
	c := s.connect(t)
	<-accepted
	return c, h
}

// serveFirst sends and responds to the first request on a connection of connectHeld.
func (s *testServer) serveFirst(c client, h *heldHandler) {
	c.t.Helper()
	c.send(1)
	h.passOne()
	(<-s.requests).Respond(http.StatusOK, []byte("one"))
	c.expect(http.StatusOK, "one")
}

// expectEnd checks that a client sees the close of its connection, that no further request was passed on, and that no
// connection is open.
func (s *testServer) expectEnd(c client, h *heldHandler) {
	c.t.Helper()
	c.expectEOF()
	_ = c.Close() // everything was read
	<-h.closed
	if n := len(s.requests); n > 0 || s.OpenConns() != 0 {
		c.t.Errorf("%d requests passed on after the end, %d connections open", n, s.OpenConns())
	}
}

// client is a connection to a testServer.
type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

func (s *testServer) connect(t *testing.T) client {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return client{conn.(*net.TCPConn), bufio.NewReader(conn), t}
}

// send sends request number n, complete.
func (c client) send(n int) {
	c.t.Helper()
	c.sendText(fmt.Sprintf("POST /%d HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", n))
}

func (c client) sendText(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Errorf("send a request: %v", err)
	}
}

// expect reads the next response.
func (c client) expect(status int, body string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("%v; want %d", err, status)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || string(text) != body {
		c.t.Fatalf("%d %q, %v; want %d %q", resp.StatusCode, text, err, status, body)
	}
}

// expectEOF checks that no more data arrives and that the connection is closed without a reset.
func (c client) expectEOF() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); err != nil || len(b) > 0 {
		c.t.Errorf("%q, %v; want the end", b, err)
	}
}
