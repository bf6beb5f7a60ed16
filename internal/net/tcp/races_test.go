package tcp

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Writes and closes in forced orders, on real connections (docs/crossings.md).

// What waits behind another write until its time is over never leaves, and says so; what has time leaves. Guards a request
// that was decided for now against being sent seconds later, to a server that drains by then.
func TestConn_WriteWithin_Expires(t *testing.T) {
	c, peer, _ := connect(t, nil)
	held, release, results := make(chan struct{}), make(chan struct{}), make(chan WriteResult, 2)
	c.Write([]byte("first "), func(WriteResult) { close(held); <-release }) // whatever is queued now waits behind it
	<-held
	c.WriteWithin(1, []byte("late "), func(r WriteResult) { results <- r })
	c.WriteWithin(time.Hour, []byte("good"), func(r WriteResult) { results <- r })
	close(release)
	if late, good := <-results, <-results; late != WriteExpired || good != WriteComplete {
		t.Errorf("late: %v, good: %v", late, good)
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
	note := func(what string) { mu.Lock(); order = append(order, what); mu.Unlock() }
	reading, release, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	c, peer, h := connect(t, func() { close(reading); <-release; note("read") })
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-reading
	c.Abort(errors.New("given up"), func() { note("done"); close(done) })
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
