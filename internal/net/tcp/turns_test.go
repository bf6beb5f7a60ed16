package tcp

import (
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// blockingHandler blocks in Data until released, and counts the bytes that it was passed.
type blockingHandler struct {
	*recordingHandler
	reading, release chan struct{}
	received         *atomic.Int64
}

func (h blockingHandler) Data(b []byte) {
	h.received.Add(int64(len(b)))
	select {
	case h.reading <- struct{}{}:
	default:
	}
	<-h.release
}

// A client that sends at full speed to a handler that is busy is stopped by the kernel. Guards against reading without
// bound what nobody handles: the process was killed for its memory within a second.
func TestServer_BusyHandler_StopsItsClient(t *testing.T) {
	h := blockingHandler{newRecordingHandler(), make(chan struct{}, 1), make(chan struct{}), &atomic.Int64{}}
	s, err := Listen("127.0.0.1:0", &ConnLimiter{Max: 1}, func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := dialed(t, s)
	if err := client.(*net.TCPConn).SetWriteBuffer(socketBufferBytes); err != nil {
		t.Fatal(err)
	}
	const total = 64 << 20
	if err := client.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	written, err := client.Write(make([]byte, total))
	if err == nil || written > total/8 {
		t.Errorf("%d bytes were taken while the handler was busy, %v", written, err)
	}
	<-h.reading
	if n := h.received.Load(); n > turnBytes {
		t.Errorf("%d bytes were read in one turn", n)
	}
	close(h.release)
	_ = client.Close() // the handler reads the rest
	<-h.closed
	if n := h.received.Load(); n < int64(written) {
		t.Errorf("%d of %d bytes were read", n, written)
	}
}

// A peer that sends at full speed on a dialed connection is stopped, too. Guards against answers that never end, which
// took the process over its limit on memory before their connection was closed.
func TestDial_BusyHandler_StopsItsPeer(t *testing.T) {
	const total = 64 << 20
	written := make(chan int, 1)
	addr := listenAndServe(t, func(conn *net.TCPConn) {
		if err := conn.SetWriteDeadline(time.Now().Add(2 * time.Second)); err != nil {
			t.Error(err)
		}
		n, _ := conn.Write(make([]byte, total)) // fails when the kernel has taken what it holds
		written <- n
		_ = conn.Close()
	})
	h := blockingHandler{newRecordingHandler(), make(chan struct{}, 1), make(chan struct{}), &atomic.Int64{}}
	c, err := Dial(addr, time.Minute, func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	<-h.reading
	if n := <-written; n > total/2 { // the kernel's own buffers hold up to some 10 MB
		t.Errorf("%d bytes were taken while the handler was busy", n)
	}
	if n := h.received.Load(); n > dialedTurnBytes {
		t.Errorf("%d bytes were read in one turn", n)
	}
	close(h.release)
	c.Close(nil)
	<-h.closed
}

// turnOrder records the names of connections in the order in which they had their turns.
type turnOrder struct {
	t     *testing.T
	queue *turnQueue
	names chan string
}

// join lets a connection wait for its turn, and returns once it does.
func (o *turnOrder) join(name string, backlogged bool, waiting int) {
	o.t.Helper()
	go func() {
		buffer := o.queue.acquire(backlogged, nil)
		o.names <- name
		o.queue.release(buffer)
	}()
	for {
		o.queue.mu.Lock()
		n := o.queue.fresh.Len() + o.queue.backlogged.Len()
		o.queue.mu.Unlock()
		if n == waiting {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Connections have their turns in the order of their arrival, those with a backlog after the others, but not never.
// Guards against clients that send without pause and keep others from being read.
func TestTurnQueue_Order(t *testing.T) {
	o := &turnOrder{t: t, queue: newTurnQueue(turnBytes), names: make(chan string, 100)}
	var held [][]byte
	for range turnSlots {
		held = append(held, o.queue.acquire(false, nil))
	}
	var want []string
	waiting := 0
	join := func(name string, backlogged bool) {
		waiting++
		o.join(name, backlogged, waiting)
	}
	join("flood 1", true)
	join("flood 2", true)
	for i := range maxFreshInARow + 1 {
		name := string(rune('a' + i))
		join(name, false)
		want = append(want, name)
	}
	want = slices.Insert(want, maxFreshInARow, "flood 1")
	want = append(want, "flood 2")
	o.queue.release(held[0]) // one slot, so that the order is that of the names
	var got []string
	for range want {
		got = append(got, <-o.names)
	}
	if !slices.Equal(got, want) {
		t.Errorf("turns of %q, want %q", got, want)
	}
}

// A connection that is closed while it waits for its turn leaves the queue, and passes on a turn that it was granted.
func TestTurnQueue_ClosedWhileWaiting(t *testing.T) {
	q := newTurnQueue(turnBytes)
	var held [][]byte
	for range turnSlots {
		held = append(held, q.acquire(false, nil))
	}
	ended := make(chan struct{})
	close(ended)
	for range 100 {
		if buffer := q.acquire(true, ended); buffer != nil {
			t.Fatal("a turn without a free slot")
		}
	}
	if n := q.backlogged.Len(); n != 0 {
		t.Errorf("%d closed connections wait", n)
	}
	for _, buffer := range held {
		q.release(buffer)
	}
	if n := len(q.buffers); n != turnSlots {
		t.Errorf("%d free slots", n)
	}
}
