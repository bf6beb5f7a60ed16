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
)

// Crossings of requests and closes on real connections (docs/crossings.md).

// heldHandler stands between a connection and its handler: what came is passed on when the test says so.
type heldHandler struct {
	tcp.Handler
	came, let, over chan struct{}
}

func (h heldHandler) Data(b []byte) {
	h.came <- struct{}{}
	<-h.let
	h.Handler.Data(b)
}

func (h heldHandler) Closed(err error) {
	h.Handler.Closed(err)
	close(h.over)
}

type rig struct {
	s      *Server
	addr   string
	taken  chan *Exchange
	accept atomic.Pointer[func(*tcp.Conn) tcp.Handler] // nil: the server's own
}

// accepts says what makes the handlers of later connections.
func (r *rig) accepts(f func(*tcp.Conn) tcp.Handler) { r.accept.Store(&f) }

func serve(t *testing.T, times Timeouts) *rig {
	r := &rig{taken: make(chan *Exchange, 10)}
	r.s = New(times, time.Now, func(x *Exchange) { r.taken <- x })
	l, err := tcp.Listen("127.0.0.1:0", &tcp.ConnLimiter{Max: 100}, func(l *tcp.Conn) tcp.Handler {
		if f := r.accept.Load(); f != nil {
			return (*f)(l)
		}
		return r.s.Accept(l)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	r.addr = l.Addr()
	return r
}

// hold connects a client; what it sends is read off the socket and held until the test lets it through.
func (r *rig) hold(t *testing.T) (client, *heldHandler) {
	h, accepted := &heldHandler{nil, make(chan struct{}), make(chan struct{}), make(chan struct{})}, make(chan struct{})
	r.accepts(func(l *tcp.Conn) tcp.Handler { h.Handler = r.s.Accept(l); close(accepted); return h })
	c := r.connect(t)
	<-accepted
	return c, h
}

// answersOne answers a first request on a connection that is held.
func (r *rig) answersOne(c client, h *heldHandler) {
	c.t.Helper()
	c.ask(1)
	<-h.came
	h.let <- struct{}{}
	(<-r.taken).Respond(200, []byte("one"))
	c.want(200, "one")
}

// ends says that a client sees the end of its connection, that nothing more was taken, and that no connection is left.
func (r *rig) ends(c client, h *heldHandler) {
	c.t.Helper()
	c.end()
	c.Close()
	<-h.over
	if n := len(r.taken); n > 0 || r.s.OpenConns() != 0 {
		c.t.Errorf("%d requests taken after the end, %d connections open", n, r.s.OpenConns())
	}
}

type client struct {
	*net.TCPConn
	in *bufio.Reader
	t  *testing.T
}

func (r *rig) connect(t *testing.T) client {
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client{c.(*net.TCPConn), bufio.NewReader(c), t}
}

func (c client) ask(n int) { fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", n) }

func (c client) want(status int, body string) {
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

// end says that nothing more comes, and that the end is no reset.
func (c client) end() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); err != nil || len(b) > 0 {
		c.t.Errorf("%q, %v; want the end", b, err)
	}
}

// A request that was read off a resting connection in the moment of the shutdown is not handed on; its client sees the end
// of its connection, without an answer and without a reset, and asks elsewhere.
func TestARequestCrossesTheShutdown(t *testing.T) {
	r := serve(t, Timeouts{})
	c, h := r.hold(t)
	r.answersOne(c, h)
	c.ask(2)
	<-h.came // read off the socket, and not taken
	r.s.Shutdown()
	h.let <- struct{}{}
	r.ends(c, h)
}

// The last answer is on its way when its connection ends over bytes that nobody has read: a close would be a reset, and take
// the answer with it. The poller is held meanwhile, so that the bytes stay in the socket.
func TestAnAnswerSurvivesACloseOverUnreadBytes(t *testing.T) {
	r := serve(t, Timeouts{})
	accepting, let := make(chan struct{}), make(chan struct{})
	first := true
	r.accepts(func(l *tcp.Conn) tcp.Handler {
		if !first { // on the poller
			close(accepting)
			<-let
		}
		first = false
		return r.s.Accept(l)
	})
	c := r.connect(t)
	c.ask(1)
	x := <-r.taken
	r.connect(t)
	<-accepting
	c.ask(2) // nobody reads it
	x.Close = true
	x.Respond(200, []byte(strings.Repeat("x", 1<<16)))
	one := make([]byte, 1) // the answer has begun to arrive, and so has the end that follows it
	if _, err := io.ReadFull(c, one); err != nil || one[0] != 'H' {
		t.Fatal(one, err)
	}
	c.in.Reset(io.MultiReader(strings.NewReader("H"), c.TCPConn))
	c.want(200, strings.Repeat("x", 1<<16))
	c.end()
	close(let)
}

// A request of which a part came before the shutdown, and one that comes on a connection accepted just then, is turned away
// at once, and never handed on.
func TestHalfRequestsAndNewConnectionsUnderAShutdown(t *testing.T) {
	r := serve(t, Timeouts{})
	c, h := r.hold(t)
	fmt.Fprint(c, "POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
	<-h.came
	h.let <- struct{}{}
	accepting, let := make(chan struct{}), make(chan struct{})
	r.accepts(func(l *tcp.Conn) tcp.Handler {
		close(accepting)
		<-let
		return r.s.Accept(l)
	})
	late := r.connect(t)
	<-accepting
	late.ask(2)
	r.s.Shutdown()
	c.want(503, "")
	close(let)
	late.end() // or it would rest for ever, and be asked
	if n := len(r.taken); n > 0 {
		t.Errorf("%d requests taken after the shutdown", n)
	}
}

// A request in hand at the shutdown is answered, and what was sent behind it is not handed on.
func TestARequestInHandUnderAShutdown(t *testing.T) {
	r := serve(t, Timeouts{})
	c, h := r.hold(t)
	c.ask(1)
	<-h.came
	h.let <- struct{}{}
	x := <-r.taken
	c.ask(2)
	<-h.came
	h.let <- struct{}{}
	r.s.Shutdown()
	if r.s.OpenConns() != 1 {
		t.Fatal("the shutdown does not wait for it")
	}
	x.Respond(200, []byte("one"))
	c.want(200, "one")
	r.ends(c, h)
}

// An idle connection ends in the moment in which a request comes on it: it is not handed on, and its client sees an end.
func TestARequestCrossesTheIdleTimeout(t *testing.T) {
	r := serve(t, Timeouts{})
	c, h := r.hold(t)
	r.answersOne(c, h)
	c.ask(2)
	<-h.came
	h.Handler.(*serverConn).expire()
	h.let <- struct{}{}
	r.ends(c, h)
}

// A shutdown has begun and has not come to a connection yet when a request comes in on it: it is turned away.
func TestARequestOvertakesTheShutdown(t *testing.T) {
	r := serve(t, Timeouts{})
	c := r.connect(t)
	c.ask(1)
	(<-r.taken).Respond(200, []byte("one"))
	c.want(200, "one")
	r.s.mu.Lock()
	r.s.closing = true // the first thing that Shutdown does
	r.s.mu.Unlock()
	c.ask(2)
	c.want(503, "")
	c.end()
	r.s.Shutdown()
	if n := len(r.taken); n > 0 || r.s.Counters().Late != 1 {
		t.Errorf("%d requests taken after the shutdown, %+v", n, r.s.Counters())
	}
}
