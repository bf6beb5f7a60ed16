package tcp

import (
	"errors"
	"fmt"
	"syscall"
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
	if c.queued+pending.size > maxQueuedBytes && !c.closed {
		c.closed = true
		c.cause = ErrSlowReader
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
	c.queued += pending.size
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
		for _, w := range writes {
			result := c.write(w)
			if w.done != nil {
				w.done(result)
			}
		}
	}
}

// takeQueue removes and returns all queued writes. If there are none, it marks the writing as stopped, and half-closes
// the connection if CloseGracefully was called.
func (c *Conn) takeQueue() []pendingWrite {
	c.mu.Lock()
	writes := c.queue
	c.queue = nil
	c.queued = 0
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
	// Not socket.Writer: netpoll may release the buffers of a connection that is closed between WriteBinary and Flush.
	// Write retains them until it returns.
	n, err := c.socket.Write(data)
	if err == nil {
		return WriteComplete
	}
	c.Close(fmt.Errorf("write: %w", err))
	// n is 0 if the connection was already closed. EPIPE and ECONNRESET are returned by the first system call only,
	// which has then sent nothing. After any other error the peer may receive any part of the data.
	if n == 0 || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
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
