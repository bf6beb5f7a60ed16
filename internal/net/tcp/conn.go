package tcp

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeTimeout   = 2 * time.Second // of one write; the connection is closed when it elapses
	maxQueuedBytes = 1 << 20         // waiting to be written on one connection
	// maxUnsentToRead is how many bytes may wait to be written on an accepted connection that is read: a client that does
	// not read its responses sends no more requests.
	maxUnsentToRead = 16 << 10
	lingerTimeout   = time.Second // for the peer to close after CloseGracefully
)

// ErrSlowReader is the cause of closing a connection whose peer does not read: more than maxQueuedBytes are queued for
// it.
var ErrSlowReader = errors.New("the peer does not read")

// Handler handles the events of a connection. Its methods are called one at a time, in order, on the connection's
// goroutine. Data is called with the bytes that were read; b is valid during the call only. Closed is called once, after all other
// calls, with the cause that was passed to Close or Abort, ErrSlowReader, or the error of a write or a panic; err is
// nil if the peer closed the connection. A panic in Data closes the connection, one in Closed is logged; neither ends
// the process.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Opener is implemented by a Handler that sends first: Opened is called once, before Data, on an accepted connection.
type Opener interface{ Opened() }

// Resumer is implemented by a Handler that leaves work for a later turn of its connection: Resume is called in a turn
// after Conn.Wake.
type Resumer interface{ Resume() }

// Conn is one connection. Its methods may be called by any goroutine and do not block, except for CloseAndWait.
type Conn struct {
	socket  *socket
	peer    net.Addr
	handler Handler
	limiter *ConnLimiter // that admitted the connection; nil: it was dialed

	closeOnce sync.Once
	done      chan struct{} // closed once the connection is closed and Handler.Closed has returned

	lingering *list.Element // in the limiter's list, guarded by the limiter's lock; nil: not in it

	unread atomic.Bool // more has arrived than was read

	mu         sync.Mutex
	queue      []pendingWrite
	unsent     int           // bytes in queue, and of the write in progress
	sent       chan struct{} // closed when unsent decreases or the connection is closed; nil: nobody waits for it
	writing    bool          // writeQueue is running
	closed     bool          // by either side, or broken
	fdReleased bool          // the descriptor may belong to another connection by now
	closing    bool          // CloseGracefully was called: reject further writes, and half-close once the queue is empty
	cause      error
}

// Peer returns the address of the other side.
func (c *Conn) Peer() string { return c.peer.String() }

// rejectsData reports whether the handler receives nothing more, because this side closes the connection.
func (c *Conn) rejectsData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed || c.closing
}

// passData passes the bytes that were read to the handler.
func (c *Conn) passData(b []byte) {
	defer c.recoverPanic()
	c.handler.Data(b)
}

// recoverPanic closes the connection after a panic of its handler, which affects nothing else. The handler's Closed then
// ends the operations that use the connection.
func (c *Conn) recoverPanic() {
	if p := recover(); p != nil {
		fmt.Fprintf(os.Stderr, "connection %v: panic: %v\n", c.peer, p)
		c.Close(fmt.Errorf("panic: %v", p))
	}
}

// opened calls the handler's Opened if it implements Opener.
func (c *Conn) opened() {
	if opener, ok := c.handler.(Opener); ok {
		defer c.recoverPanic()
		opener.Opened()
	}
}

// handleClosed notifies the limiter and the handler that the connection is closed.
func (c *Conn) handleClosed() {
	c.closeOnce.Do(func() {
		defer close(c.done)
		c.mu.Lock()
		c.closed = true
		c.fdReleased = true
		cause := c.cause
		c.notifySent()
		c.mu.Unlock()
		if c.limiter != nil {
			c.limiter.release(c)
		}
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintf(os.Stderr, "connection %v: panic at its end: %v\n", c.peer, p)
			}
		}()
		c.handler.Closed(cause)
	})
}
