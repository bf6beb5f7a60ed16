package discovery

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// fakeAgent is a fake discovery service on real connections: it passes each request to the test with its connection.
type fakeAgent struct {
	addr     string
	requests chan agentRequest
}

// agentRequest is one GET of the server list. The test writes the response to its connection.
type agentRequest struct {
	query string // the part of the target after /v1/servers
	net.Conn
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// respond writes a part of the response. It may arrive in several segments.
func (r agentRequest) respond(t *testing.T, text string) {
	t.Helper()
	if _, err := fmt.Fprint(r.Conn, text); err != nil {
		t.Errorf("respond to %q: %v", r.query, err)
	}
}

// respondWithLength writes a complete response with a Content-Length.
func (r agentRequest) respondWithLength(t *testing.T, status, body string) {
	t.Helper()
	r.respond(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
}

func newFakeAgent(t *testing.T) *fakeAgent {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine of accept
	agent := &fakeAgent{addr: listener.Addr().String(), requests: make(chan agentRequest, 10)}
	go agent.accept(t, listener)
	return agent
}

func (a *fakeAgent) accept(t *testing.T, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() }) // ends the goroutine of serve
		go a.serve(conn)
	}
}

func (a *fakeAgent) serve(conn net.Conn) {
	for in := bufio.NewReader(conn); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "GET" {
			a.requests <- agentRequest{strings.TrimPrefix(fields[1], "/v1/servers"), conn}
		}
	}
}

// next returns the next request and checks its query.
func (a *fakeAgent) next(t *testing.T, query string) agentRequest {
	t.Helper()
	request := <-a.requests
	if request.query != query {
		t.Errorf("requested %q, want %q", request.query, query)
	}
	return request
}

// start runs a watcher until the test ends and returns a channel of the changes that it delivers.
func start(t *testing.T, w *Watcher) chan aggregator.EndpointsChanged {
	t.Helper()
	delivered := make(chan aggregator.EndpointsChanged, 20)
	w.Put = func(m aggregator.Message) { delivered <- m.(aggregator.EndpointsChanged) }
	if w.Log == nil {
		w.Log = t.Logf
	}
	if w.After == nil {
		timers := &immediateReconnect{logf: w.Log}
		w.Log = timers.log
		w.After = timers.after
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		w.Run(stop, func() {})
		close(done)
	}()
	t.Cleanup(func() {
		close(stop)
		<-done
	})
	return delivered
}

// testTimeout is how long a test waits for a connection before it fails. It is no bound on the code under test.
const testTimeout = time.Minute

// immediateReconnect replaces the timers of tests that do not test timing: a watch never becomes unresponsive, however
// busy the machine is, and one that has ended is reopened immediately. Only the watcher's goroutine calls its methods.
type immediateReconnect struct {
	logf       func(format string, args ...any)
	watchEnded bool // so that the next wait is the one before a reconnect
}

func (p *immediateReconnect) log(format string, args ...any) {
	p.watchEnded = strings.HasPrefix(format, "discovery at ") // not the line that reports a switch of the address
	p.logf(format, args...)
}

func (p *immediateReconnect) after(time.Duration) <-chan time.Time {
	if !p.watchEnded {
		return nil // never
	}
	p.watchEnded = false
	over := make(chan time.Time, 1)
	over <- time.Time{}
	return over
}

// testDial is tcp.Dial with testTimeout instead of the watcher's timeout, for tests that expect each watch to be
// opened.
func testDial(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
	return tcp.Dial(addr, testTimeout, handler)
}

// expectServer receives the next list or change and checks that it contains this server only.
func expectServer(t *testing.T, delivered chan aggregator.EndpointsChanged, kind balance.ListKind, id balance.Replica) {
	t.Helper()
	if change := <-delivered; change.Kind != kind || len(change.Servers) != 1 || change.Servers[0].ID != id {
		t.Errorf("delivered %+v, want only %s, kind %v", change, id, kind)
	}
}

// indentedList returns the indented JSON of a list of one server.
func indentedList(version int, full bool, id string) string {
	const format = `{
  "version": %d,
  "full": %v,
  "servers": [
    {
      "id": %q,

      "state": "SERVING"
    }
  ]
}
`
	return fmt.Sprintf(format, version, full, id)
}

// dialHandler returns a tcp.Dialer that wraps the handlers of its connections.
func dialHandler(wrap func(addr string, handler tcp.Handler) tcp.Handler) tcp.Dialer {
	return func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		return tcp.Dial(addr, timeout, func(conn *tcp.Conn) tcp.Handler { return wrap(addr, handler(conn)) })
	}
}

// closeNotifier reports the close of its connection.
type closeNotifier struct {
	tcp.Handler
	closed chan struct{}
}

func (c closeNotifier) Closed(err error) {
	c.Handler.Closed(err)
	c.closed <- struct{}{}
}

// heldHandler blocks in Data until the test releases the bytes that were read.
type heldHandler struct {
	tcp.Handler
	arrived, release chan struct{}
}

func (h heldHandler) Data(b []byte) {
	h.arrived <- struct{}{}
	<-h.release
	h.Handler.Data(b)
}

// actions receives the actions of a watcher in order: a wait that begins, or a line that it logs (a string).
type actions chan any

// wait is a fake timer that fires when the test calls fire.
type wait struct {
	duration time.Duration
	deadline time.Time
	fired    chan time.Time
}

func (w wait) fire() { w.fired <- time.Time{} }

func (a actions) after(d time.Duration) <-chan time.Time {
	begun := wait{duration: d, deadline: time.Now().Add(d), fired: make(chan time.Time, 1)}
	a <- begun
	return begun.fired
}

func (a actions) log(format string, args ...any) { a <- fmt.Sprintf(format, args...) }

// nextReconnect lets all waits of a watch continue until the watch has ended, and returns the wait before the
// reconnect.
func (a actions) nextReconnect() wait {
	for {
		if _, watchEnded := (<-a).(string); watchEnded {
			return (<-a).(wait)
		}
	}
}

// fireWaits fires each wait until the watcher logs a line, and returns the waits and that line. A wait that is
// interrupted by an event is followed by another.
func (a actions) fireWaits() (ended []wait, logged string) {
	for {
		switch action := (<-a).(type) {
		case wait:
			ended = append(ended, action)
			action.fire()
		case string:
			return ended, action
		}
	}
}
