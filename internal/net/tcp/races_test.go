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

// What waits behind another write until its time is over never leaves, and says so; what has time leaves. Guards a request
// that was decided for now against being sent seconds later, to a server that drains by then.
func TestConn_WriteLate_Expires(t *testing.T) {
	c, peer, _ := connect(t, nil)
	held, release, results := make(chan struct{}), make(chan struct{}), make(chan WriteResult, 3)
	c.Write([]byte("first "), func(WriteResult) { // whatever is queued now waits behind it
		close(held)
		<-release
	})
	<-held
	late := func(within time.Duration, text []byte) {
		write := DeferredWrite{Size: len(text), Within: within, Bytes: func(time.Time) []byte { return text }}
		c.WriteDeferred(write, func(r WriteResult) { results <- r })
	}
	late(1, []byte("late "))
	late(time.Hour, nil) // of no use any more when its turn comes
	late(time.Hour, []byte("good"))
	close(release)
	if expired, unused, good := <-results, <-results, <-results; expired != WriteExpired || unused != WriteExpired ||
		good != WriteComplete {
		t.Errorf("late: %v, of no use: %v, good: %v", expired, unused, good)
	}
	c.CloseGracefully()
	if text, err := io.ReadAll(peer); string(text) != "first good" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
}

// An abort is done when the socket is closed, and that waits for whoever reads on the connection. The peer sees a reset.
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
	c.Abort(errors.New("given up"), func() {
		note("done")
		close(done)
	})
	results := make(chan WriteResult)
	c.Write([]byte("for nobody"), func(r WriteResult) { results <- r })
	if r := <-results; r != WriteNone {
		t.Errorf("written after the abort: %v", r)
	}
	select { // nothing hangs on how long this is: a correct connection passes whatever it is
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

// A peer that resets the connection while this side writes ends the connection, and each write is reported once. Guards
// the program against a write into buffers that netpoll has released at the connection's end.
func TestConn_Write_WhilePeerResets(t *testing.T) {
	addr := listenAndServe(t, func(conn *net.TCPConn) {
		_ = conn.SetLinger(0) // a reset in place of a close; where it fails, the test sees a close
		_ = conn.Close()
	})
	var dialers sync.WaitGroup
	var connected atomic.Int64
	for range 8 {
		dialers.Go(func() {
			for range 300 {
				h := newRecordingHandler()
				c, err := DialServerFirst(addr, time.Minute, func(*Conn) Handler { return h })
				if err != nil {
					continue // the reset came before the connection was made
				}
				connected.Add(1)
				writeToItsEnd(t, c, h)
			}
		})
	}
	dialers.Wait()
	if connected.Load() == 0 {
		t.Error("no connection was made: nothing was tried")
	}
}

// writeToItsEnd writes on a connection that its peer ends, and checks that each write is reported once, and the end.
func writeToItsEnd(t *testing.T, c *Conn, h *recordingHandler) {
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

// An abort of a connection that its peer closes at the same time is done all the same, once.
func TestConn_Abort_WhilePeerCloses(t *testing.T) {
	for range 50 {
		c, peer, h := connect(t, nil)
		done := make(chan struct{})
		go func() { _ = peer.Close() }() // the abort may come first; the test's cleanup waits for the connection's end
		c.Abort(nil, func() { close(done) })
		<-done
		<-h.closed
	}
}

// Connections that only wait for their peers to close are the first to be closed for others: they hold up nobody.
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
				t.Fatal("the connection before it goes on")
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

// fullListener returns a listener of one connection, which is open, and the connections that it accepts. An arrival waits
// for admitTimeout.
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

// awaitWaiting returns once so many connections wait to be admitted.
func (l *ConnLimiter) awaitWaiting(t *testing.T, n int) {
	t.Helper()
	for giveUp := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting := l.waiting
		l.mu.Unlock()
		if waiting == n {
			return
		}
		if time.Now().After(giveUp) {
			t.Fatalf("%d connections wait, want %d", waiting, n)
		}
	}
}

// Behind a crowd of connections that are answered and not yet known to linger, an arrival was closed unread.
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
		t.Errorf("the place of one that left is lost: %q, %v", text, err)
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
	limiter.Max = 1 + maxWaiting // so that those that wait are admitted, and end with their clients
	limiter.notifyChange()
	limiter.mu.Unlock()
	for range maxWaiting {
		<-accepted
	}
}
