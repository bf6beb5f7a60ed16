package tcp

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// WriteResult says how far a write came.
type WriteResult int

// How far a write may have come.
const (
	WriteComplete  WriteResult = iota // all of it was handed to the system
	WriteNone                         // provably no byte of it
	WriteUncertain                    // it failed on the way: any part of it may arrive
	WriteExpired                      // no byte of it: it was of no use any more when its turn came
)

// DeferredWrite is a write whose bytes are made when its turn comes, so that what they say of the time is true then.
type DeferredWrite struct {
	// Size is about how many bytes it makes: they count among those that are queued.
	Size int
	// Within is the time within which writing has to begin.
	Within time.Duration
	// Bytes makes what is written at now; nil: it is of no use any more. It runs on a goroutine of the connection's, right
	// before the system call, and must not block.
	Bytes func(now time.Time) []byte
}

// pendingWrite is a write that waits in the queue.
type pendingWrite struct {
	data     []byte
	late     func(now time.Time) []byte // makes data; nil: data is there
	size     int
	deadline time.Time         // by which it has to begin; zero: none
	done     func(WriteResult) // nil: nobody wants to know
}

// Write queues bytes, which belong to the connection from then on. done, which may be nil, is called once with how far
// they came, never on the caller's goroutine. What is written after a close comes to WriteNone.
func (c *Conn) Write(b []byte, done func(WriteResult)) {
	c.enqueue(pendingWrite{data: b, size: len(b), done: done})
}

// WriteDeferred is Write for bytes that are made when their turn comes. What has not begun within its time, or is of no use
// any more by then, comes to WriteExpired. Guards what was decided for a moment against a peer that reads slowly, and
// against a process that is held up: its clock has moved on, and those that it was meant for may have left.
func (c *Conn) WriteDeferred(write DeferredWrite, done func(WriteResult)) {
	c.enqueue(pendingWrite{
		late:     write.Bytes,
		size:     write.Size,
		deadline: time.Now().Add(write.Within),
		done:     done,
	})
}

func (c *Conn) enqueue(pending pendingWrite) {
	c.mu.Lock()
	// Guards memory against a peer that sends requests and does not read.
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

// writeQueue writes what is queued and returns when the queue is empty. It runs on a goroutine of its own, at most one for
// each connection. Nobody waits for it: the write time-out bounds it, and a close leaves nothing to write.
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

// takeQueue empties the queue. Where it is empty already, it ends the writing, and the connection if that was to be closed
// then.
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
	// Not by Writer: between WriteBinary and Flush netpoll may release the buffers of a connection that ends. Write holds
	// them until it returns.
	n, err := c.socket.Write(data)
	if err == nil {
		return WriteComplete
	}
	c.Close(fmt.Errorf("write: %w", err))
	// netpoll has taken nothing where the connection had ended before. Only the first system call fails with the other two,
	// and then it has taken nothing. After any other error a part of it or all of it may be under way.
	if n == 0 || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return WriteNone
	}
	return WriteUncertain
}

// bytes are what is written at now; nil: nothing, it is of no use any more.
func (w pendingWrite) bytes(now time.Time) []byte {
	if !w.deadline.IsZero() && now.After(w.deadline) {
		return nil
	}
	if w.late != nil {
		return w.late(now)
	}
	return w.data
}
