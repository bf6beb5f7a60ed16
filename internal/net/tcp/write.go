package tcp

import (
	"bytes"
	"fmt"
	"time"
)

// WriteResult is the outcome of a write.
type WriteResult int

// Outcomes of a write.
const (
	WriteComplete  WriteResult = iota // all bytes were handed to the kernel
	WriteNone                         // no byte was sent, with certainty
	WriteUncertain                    // the write failed: any part of it may reach the peer
	WriteExpired                      // no byte was sent: the write expired in the queue, or its Bytes returned nil
)

// DeferredWrite is a write whose bytes are generated right before they are sent, so that times in them, such as the
// remaining time, are correct when they are sent.
type DeferredWrite struct {
	// Size is the approximate number of bytes, which counts toward the limit of queued bytes.
	Size int
	// Within is the time within which writing must begin; after that the write expires.
	Within time.Duration
	// Bytes returns the bytes to send at now, or nil if they are no longer needed. It runs on the connection's write
	// goroutine, right before the system call, and must not block.
	Bytes func(now time.Time) []byte
}

// pendingWrite is a queued write.
type pendingWrite struct {
	data     []byte
	makeData func(now time.Time) []byte // generates data; nil: data is set
	size     int
	deadline time.Time         // by which writing must begin; zero: none
	done     func(WriteResult) // receives the outcome; may be nil
}

// Write queues b and accepts ownership of it. done, which may be nil, is called once with the outcome, never on the
// caller's goroutine. The outcome of a write after a close is WriteNone.
func (c *Conn) Write(b []byte, done func(WriteResult)) {
	c.enqueue(pendingWrite{data: b, size: len(b), done: done})
}

// WriteDeferred is Write for bytes that are generated right before they are sent. The outcome is WriteExpired if
// writing has not begun within write.Within, or if write.Bytes returns nil. If the peer reads slowly or this process
// was stalled, this prevents sending a request that is overdue: its decision is outdated, and its client may have
// disconnected.
func (c *Conn) WriteDeferred(write DeferredWrite, done func(WriteResult)) {
	c.enqueue(pendingWrite{
		makeData: write.Bytes,
		size:     write.Size,
		deadline: time.Now().Add(write.Within),
		done:     done,
	})
}

func (c *Conn) enqueue(pending pendingWrite) {
	c.mu.Lock()
	// Limits the memory that a peer can use by sending requests without reading the responses.
	if c.unsent+pending.size > maxQueuedBytes && !c.closed {
		c.markClosed(ErrSlowReader)
		go c.closeSocket()
	}
	if c.closed || c.closing {
		c.mu.Unlock()
		if pending.done != nil {
			go pending.done(WriteNone)
		}
		return
	}
	c.queue = append(c.queue, pending)
	c.unsent += pending.size
	start := !c.writing
	c.writing = true
	c.mu.Unlock()
	if start {
		go c.writeQueue()
	}
}

// writeQueue sends the queued writes and returns when the queue is empty. It runs on its own goroutine, at most one for
// each connection. No other goroutine waits for it: the write timeout bounds each write, and after a close the queued
// writes end with WriteNone without a system call.
func (c *Conn) writeQueue() {
	for {
		writes := c.takeQueue()
		if len(writes) == 0 {
			return
		}
		for len(writes) > 0 {
			next, count := joinWrites(writes)
			writes = writes[count:]
			result := c.write(next)
			c.countSent(next.size)
			if next.done != nil {
				next.done(result)
			}
		}
	}
}

// maxJoinedBytes is the maximum size of a write that joins several.
const maxJoinedBytes = 16 << 10

// joinWrites returns the first of the writes, joined with those that follow it as long as nobody asks for their
// outcomes, and the number of writes that it consists of. Clients that send many requests at once receive the responses
// in few packets.
func joinWrites(writes []pendingWrite) (joined pendingWrite, count int) {
	joined = writes[0]
	if !joined.joinable() || len(writes) == 1 || !writes[1].joinable() {
		return joined, 1
	}
	joined.data = bytes.Clone(joined.data)
	for count = 1; count < len(writes) && writes[count].joinable(); count++ {
		next := writes[count]
		if joined.size+next.size > maxJoinedBytes {
			break
		}
		joined.data = append(joined.data, next.data...)
		joined.size += next.size
	}
	return joined, count
}

// joinable reports whether a write may be joined with others.
func (w pendingWrite) joinable() bool {
	return w.makeData == nil && w.done == nil && w.deadline.IsZero()
}

// countSent records that a write is completed, successfully or not.
func (c *Conn) countSent(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent -= size
	c.notifySent()
}

// notifySent wakes awaitSent. It is called with the lock held.
func (c *Conn) notifySent() {
	if c.sent != nil {
		close(c.sent)
		c.sent = nil
	}
}

// awaitSent waits until at most limit bytes wait to be written. It returns false if the connection is closed, or ended
// is.
func (c *Conn) awaitSent(ended <-chan struct{}, limit int) bool {
	for {
		c.mu.Lock()
		if c.unsent <= limit || c.closed {
			closed := c.closed
			c.mu.Unlock()
			return !closed
		}
		if c.sent == nil {
			c.sent = make(chan struct{})
		}
		sent := c.sent
		c.mu.Unlock()
		select {
		case <-sent:
		case <-ended:
			return false
		}
	}
}

// awaitWriter waits until no write is in progress, on a closed socket: a write would still use the descriptor.
func (c *Conn) awaitWriter() {
	for {
		c.mu.Lock()
		if c.unsent == 0 {
			c.mu.Unlock()
			return
		}
		if c.sent == nil {
			c.sent = make(chan struct{})
		}
		sent := c.sent
		c.mu.Unlock()
		<-sent
	}
}

// takeQueue removes and returns all queued writes. If there are none, it marks the writing as stopped, and half-closes
// the connection if CloseGracefully was called.
func (c *Conn) takeQueue() []pendingWrite {
	c.mu.Lock()
	writes := c.queue
	c.queue = nil
	if len(writes) > 0 {
		c.mu.Unlock()
		return writes
	}
	c.writing = false
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.halfClose()
	}
	return nil
}

func (c *Conn) write(pending pendingWrite) WriteResult {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed || !c.socket.IsActive() {
		return WriteNone
	}
	data := pending.bytes(time.Now())
	if data == nil {
		return WriteExpired
	}
	n, err := c.socket.Write(data)
	if err == nil {
		return WriteComplete
	}
	c.Close(fmt.Errorf("write: %w", err))
	if n == 0 {
		return WriteNone
	}
	return WriteUncertain
}

// bytes returns the bytes to send at now; nil: the write has expired.
func (w pendingWrite) bytes(now time.Time) []byte {
	if !w.deadline.IsZero() && now.After(w.deadline) {
		return nil
	}
	if w.makeData != nil {
		return w.makeData(now)
	}
	return w.data
}
