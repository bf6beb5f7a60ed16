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

// fakeAgent stands in for a discovery service on real connections: each request goes to the test with its connection.
type fakeAgent struct {
	addr     string
	requests chan agentRequest
}

// agentRequest is one GET of the server list. The test writes the response to its connection.
type agentRequest struct {
	query string // what follows /v1/servers
	net.Conn
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// respond writes a part of the response, in one segment or several as the network likes.
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
	t.Cleanup(func() { _ = listener.Close() }) // it ends the goroutine of accept
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
		t.Cleanup(func() { _ = conn.Close() }) // it ends the goroutine of serve
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

// next returns the next request, which must have this query.
func (a *fakeAgent) next(t *testing.T, query string) agentRequest {
	t.Helper()
	request := <-a.requests
	if request.query != query {
		t.Errorf("requested %q, want %q", request.query, query)
	}
	return request
}

// start runs a watcher until the test ends and returns what it delivers.
func start(t *testing.T, w *Watcher) chan aggregator.EndpointsChanged {
	t.Helper()
	delivered := make(chan aggregator.EndpointsChanged, 20)
	w.Put = func(m aggregator.Message) { delivered <- m.(aggregator.EndpointsChanged) }
	if w.Log == nil {
		w.Log = t.Logf
	}
	if w.After == nil {
		timers := &patientTimers{logf: w.Log}
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

// patience is how long a test waits for the network: a failure, not a verdict.
const patience = time.Minute

// patientTimers stands in for time in tests that are not about it: a watch is never found unresponsive, however busy the
// machine is, and one that has ended is reopened at once. Only the watcher's goroutine calls its methods.
type patientTimers struct {
	logf       func(format string, args ...any)
	watchEnded bool // so that the next wait is the one before a reconnect
}

func (p *patientTimers) log(format string, args ...any) {
	p.watchEnded = strings.HasPrefix(format, "discovery at ") // not where it is switched to another address
	p.logf(format, args...)
}

func (p *patientTimers) after(time.Duration) <-chan time.Time {
	if !p.watchEnded {
		return nil // never
	}
	p.watchEnded = false
	over := make(chan time.Time, 1)
	over <- time.Time{}
	return over
}

// dialPatiently is tcp.Dial without the watcher's time limit, for tests that expect each watch to be opened.
func dialPatiently(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
	return tcp.Dial(addr, patience, handler)
}

// expectServer takes the next list or change, which must hold this server alone.
func expectServer(t *testing.T, delivered chan aggregator.EndpointsChanged, kind balance.ListKind, id balance.Replica) {
	t.Helper()
	if change := <-delivered; change.Kind != kind || len(change.Servers) != 1 || change.Servers[0].ID != id {
		t.Errorf("delivered %+v, want %s alone, kind %v", change, id, kind)
	}
}

// indentedList is a list of one server over many lines.
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

// dialHandler is a tcp.Dialer that lets a test stand between the connections and their handlers.
func dialHandler(wrap func(addr string, handler tcp.Handler) tcp.Handler) tcp.Dialer {
	return func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
		return tcp.Dial(addr, timeout, func(conn *tcp.Conn) tcp.Handler { return wrap(addr, handler(conn)) })
	}
}

// closeNotifier reports the end of its connection.
type closeNotifier struct {
	tcp.Handler
	closed chan struct{}
}

func (c closeNotifier) Closed(err error) {
	c.Handler.Closed(err)
	c.closed <- struct{}{}
}

// heldHandler keeps back what was read until the test releases it.
type heldHandler struct {
	tcp.Handler
	arrived, release chan struct{}
}

func (h heldHandler) Data(b []byte) {
	h.arrived <- struct{}{}
	<-h.release
	h.Handler.Data(b)
}

// actions records what a watcher does, in order: a wait that begins, or a line that it logs (a string).
type actions chan any

// wait stands in for time: it is over when the test says so.
type wait struct {
	duration time.Duration
	deadline time.Time
	over     chan time.Time
}

func (w wait) end() { w.over <- time.Time{} }

func (a actions) after(d time.Duration) <-chan time.Time {
	begun := wait{duration: d, deadline: time.Now().Add(d), over: make(chan time.Time, 1)}
	a <- begun
	return begun.over
}

func (a actions) log(format string, args ...any) { a <- fmt.Sprintf(format, args...) }

// nextReconnect lets all waits of a watch go on until the watch has ended, and returns the wait before the reconnect.
func (a actions) nextReconnect() wait {
	for {
		if _, watchEnded := (<-a).(string); watchEnded {
			return (<-a).(wait)
		}
	}
}

// endWaits ends each wait until the watcher logs a line, and returns the waits with that line. A wait that an event
// interrupted is followed by another.
func (a actions) endWaits() (ended []wait, logged string) {
	for {
		switch action := (<-a).(type) {
		case wait:
			ended = append(ended, action)
			action.end()
		case string:
			return ended, action
		}
	}
}
