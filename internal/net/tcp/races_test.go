package tcp

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Writes and closes in forced orders, on real connections (docs/crossings.md).

// A deferred write that expires behind another write is not sent and is reported as expired; one that has not expired
// is sent. Guards against sending a request seconds after its server was chosen: the server may be draining by then.
func TestConn_WriteDeferred_Expires(t *testing.T) {
	c, peer, _ := connect(t, nil)
	held, release, results := make(chan struct{}), make(chan struct{}), make(chan WriteResult, 3)
	c.Write([]byte("first "), func(WriteResult) { // blocks the writes that are queued after it
		close(held)
		<-release
	})
	<-held
	writeDeferred := func(within time.Duration, text []byte) {
		write := DeferredWrite{Size: len(text), Within: within, Bytes: func(time.Time) []byte { return text }}
		c.WriteDeferred(write, func(r WriteResult) { results <- r })
	}
	writeDeferred(1, []byte("late "))
	writeDeferred(time.Hour, nil) // no longer needed when it is to be sent
	writeDeferred(time.Hour, []byte("good"))
	close(release)
	if expired, unused, good := <-results, <-results, <-results; expired != WriteExpired || unused != WriteExpired ||
		good != WriteComplete {
		t.Errorf("expired: %v, no longer needed: %v, in time: %v", expired, unused, good)
	}
	c.CloseGracefully()
	if text, err := io.ReadAll(peer); string(text) != "first good" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
}

// Abort calls done when the socket is closed, which is after a running read callback has returned. The peer sees a
// reset.
func TestConn_Abort_WhileReading(t *testing.T) {
	var mu sync.Mutex
	var order []string
	note := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, what)
	}
	reading, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c, peer, h := connect(t, func() {
		close(reading)
		<-release
		note("read")
	})
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-reading
	c.Abort(errors.New("canceled"), func() {
		note("done")
		close(done)
	})
	results := make(chan WriteResult)
	c.Write([]byte("after the abort"), func(r WriteResult) { results <- r })
	if r := <-results; r != WriteNone {
		t.Errorf("written after the abort: %v", r)
	}
	select { // the duration does not matter for the result: a correct connection passes with any
	case <-done:
		t.Error("done while the socket is open")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	<-done
	<-h.closed
	if !slices.Equal(order, []string{"read", "done"}) {
		t.Errorf("%q", order)
	}
	if text, err := io.ReadAll(peer); len(text) > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%q, %v; want a reset", text, err)
	}
}

// If the peer resets the connection while this side writes, the connection is closed and each write is reported once.
// Guards against writing with a descriptor that was released when the connection was closed.
func TestConn_Write_WhilePeerResets(t *testing.T) {
	addr := listenAndServe(t, func(conn *net.TCPConn) {
		_ = conn.SetLinger(0) // the close sends a reset; if this fails, the test sees an orderly close
		_ = conn.Close()
	})
	var dialers sync.WaitGroup
	var connected atomic.Int64
	for range 8 {
		dialers.Go(func() {
			for range 300 {
				h := newRecordingHandler()
				c, err := Dial(addr, time.Minute, func(*Conn) Handler { return h })
				if err != nil {
					continue // the reset arrived before the connection was established
				}
				connected.Add(1)
				writeUntilClosed(t, c, h)
			}
		})
	}
	dialers.Wait()
	if connected.Load() == 0 {
		t.Error("no connection was established: nothing was tested")
	}
}

// writeUntilClosed writes on a connection that its peer resets, and checks that each write is reported once and that
// the handler is notified of the close.
func writeUntilClosed(t *testing.T, c *Conn, h *recordingHandler) {
	t.Helper()
	const writes = 20
	results := make(chan WriteResult, 2*writes)
	for range writes {
		c.Write([]byte("request"), func(result WriteResult) { results <- result })
	}
	for range writes {
		if result := <-results; result == WriteExpired {
			t.Error("a write without a time limit has expired")
		}
	}
	<-h.closed
	if extra := len(results); extra > 0 {
		t.Errorf("%d writes were reported twice", extra)
	}
}

// Abort calls done exactly once if the peer closes the connection at the same time.
func TestConn_Abort_WhilePeerCloses(t *testing.T) {
	for range 50 {
		c, peer, h := connect(t, nil)
		done := make(chan struct{})
		go func() { _ = peer.Close() }() // the abort may be first; the test's cleanup waits for the close
		c.Abort(nil, func() { close(done) })
		<-done
		<-h.closed
	}
}

// Connections that only wait for their peers to close are the first to be closed in favor of new ones, so they do not
// keep new connections from being admitted.
func TestConnLimiter_ClosesLingeringFirst(t *testing.T) {
	accepted := make(chan *Conn, 10)
	limiter := &ConnLimiter{Max: 1}
	s, err := Listen("127.0.0.1:0", limiter, func(c *Conn) Handler {
		accepted <- c
		return newRecordingHandler()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var previous net.Conn
	for range 5 {
		client, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() }) // everything was read
		c := <-accepted
		c.Write([]byte("answer"), nil)
		c.CloseGracefully()
		if text, err := io.ReadAll(client); string(text) != "answer" || err != nil {
			t.Fatalf("%q, %v", text, err)
		}
		if previous != nil {
			if _, err := previous.Read(make([]byte, 1)); err == nil {
				t.Fatal("the previous connection is still open")
			}
		}
		previous = client
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limiter.lingering.Len() > 1 {
		t.Errorf("%d connections linger", limiter.lingering.Len())
	}
}

// fullListener returns a listener with a limit of one connection, that connection, which is open, and a channel of the
// connections that it accepts. Further connections wait up to admitTimeout to be admitted.
func fullListener(
	t *testing.T, admitTimeout time.Duration,
) (s *Server, limiter *ConnLimiter, first *Conn, accepted chan acceptedConn) {
	t.Helper()
	accepted = make(chan acceptedConn, 10)
	limiter = &ConnLimiter{Max: 1, AdmitTimeout: admitTimeout}
	s, err := Listen("127.0.0.1:0", limiter, func(c *Conn) Handler {
		handler := newRecordingHandler()
		accepted <- acceptedConn{c, handler}
		return handler
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	dialed(t, s)
	return s, limiter, (<-accepted).conn, accepted
}

// acceptedConn is a connection that a listener admitted, and its handler.
type acceptedConn struct {
	conn    *Conn
	handler *recordingHandler
}

func dialed(t *testing.T, s *Server) net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // everything was read
	return client
}

// awaitWaiting returns once n connections wait to be admitted.
func (l *ConnLimiter) awaitWaiting(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting := l.waiting
		l.mu.Unlock()
		if waiting == n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d connections wait, want %d", waiting, n)
		}
	}
}

// A new connection waits for an open one to be closed or to linger. Guards against closing new connections unread while
// the open ones have been answered but do not linger yet.
func TestConnLimiter_ArrivalWaitsForOneThatEnds(t *testing.T) {
	s, limiter, first, accepted := fullListener(t, time.Minute)
	second := dialed(t, s)
	limiter.awaitWaiting(t, 1)
	first.Write([]byte("first"), nil)
	first.CloseGracefully()
	c := (<-accepted).conn
	c.Write([]byte("second"), nil)
	c.CloseGracefully()
	if text, err := io.ReadAll(second); string(text) != "second" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	limiter.awaitWaiting(t, 0)
}

func TestConnLimiter_ArrivalThatLeavesWhileItWaits(t *testing.T) {
	s, limiter, first, accepted := fullListener(t, time.Minute)
	second := dialed(t, s)
	limiter.awaitWaiting(t, 1)
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	first.CloseGracefully()
	<-(<-accepted).handler.closed
	third := dialed(t, s)
	c := (<-accepted).conn
	c.Write([]byte("third"), nil)
	c.CloseGracefully()
	if text, err := io.ReadAll(third); string(text) != "third" || err != nil {
		t.Errorf("the place of the disconnected client was not released: %q, %v", text, err)
	}
}

func TestConnLimiter_ArrivalWaitsNoLongerThanAllowed(t *testing.T) {
	s, limiter, _, accepted := fullListener(t, time.Millisecond)
	if text, err := io.ReadAll(dialed(t, s)); len(text) > 0 || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	limiter.awaitWaiting(t, 0)
	if len(accepted) != 0 {
		t.Error("a connection was admitted beyond the limit")
	}
}

func TestConnLimiter_FewArrivalsWait(t *testing.T) {
	s, limiter, _, accepted := fullListener(t, time.Minute)
	for range maxWaiting {
		dialed(t, s)
	}
	limiter.awaitWaiting(t, maxWaiting)
	if text, err := io.ReadAll(dialed(t, s)); len(text) > 0 || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	if len(accepted) != 0 {
		t.Error("a connection was admitted beyond the limit")
	}
	limiter.mu.Lock()
	limiter.Max = 1 + maxWaiting // so that the waiting connections are admitted, and closed with their clients
	limiter.notifyChange()
	limiter.mu.Unlock()
	for range maxWaiting {
		<-accepted
	}
}
