package tcp

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
)

const (
	writeTimeout   = 2 * time.Second // of one write; the connection is closed when it elapses
	maxQueuedBytes = 1 << 20         // waiting to be written on one connection
	lingerTimeout  = time.Second     // for the peer to close after CloseGracefully
)

// ErrSlowReader is the cause of closing a connection whose peer does not read: more than maxQueuedBytes are queued for
// it.
var ErrSlowReader = errors.New("the peer does not read")

// Handler handles the events of a connection. Its methods are called one at a time, in order, on netpoll's goroutines.
// Data is called with the bytes that were read; b is valid during the call only. Closed is called once, after all other
// calls, with the cause that was passed to Close or Abort, ErrSlowReader, or the error of a write or a panic; err is
// nil if the peer closed the connection. A panic in Data closes the connection, one in Closed is logged; neither ends
// the process.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Opener is implemented by a Handler that sends first: Opened is called once, before Data, on an accepted connection.
type Opener interface{ Opened() }

// Conn is one connection. Its methods may be called by any goroutine and do not block, except for CloseAndWait.
type Conn struct {
	socket  netpoll.Connection
	peer    net.Addr
	handler Handler
	limiter *ConnLimiter // that admitted the connection; nil: it was dialed

	closeOnce sync.Once
	done      chan struct{} // closed once the connection is closed and Handler.Closed has returned

	lingering *list.Element // in the limiter's list, guarded by the limiter's lock; nil: not in it

	mu         sync.Mutex
	queue      []pendingWrite
	queued     int  // bytes in queue
	writing    bool // writeQueue is running
	closed     bool // by either side, or broken
	fdReleased bool // the descriptor may belong to another connection by now
	closing    bool // CloseGracefully was called: reject further writes, and half-close once the queue is empty
	cause      error
}

// Peer returns the address of the other side.
func (c *Conn) Peer() string { return c.peer.String() }

// read passes the bytes that have arrived to the handler. netpoll calls it, one call at a time.
func (c *Conn) read() {
	reader := c.socket.Reader()
	n := reader.Len()
	if n == 0 {
		return
	}
	b, err := reader.Next(n)
	if err != nil {
		return
	}
	defer func() { _ = reader.Release() }() // fails on a closed connection, whose buffers are released anyway
	c.mu.Lock()
	drop := c.closed || c.closing
	c.mu.Unlock()
	if drop {
		return
	}
	// A panic closes only this connection. The handler's Closed then ends the operations that use it.
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "connection %v: panic: %v\n", c.peer, p)
			c.Close(fmt.Errorf("panic: %v", p))
		}
	}()
	c.handler.Data(b)
}

// opened calls the handler's Opened if it implements Opener.
func (c *Conn) opened() {
	if opener, ok := c.handler.(Opener); ok {
		opener.Opened()
	}
}

// attach registers the callback by which netpoll reports that the connection was closed, and sets the write timeout.
func (c *Conn) attach() {
	// Neither call fails on a new connection: their errors concern other connection types.
	_ = c.socket.SetWriteTimeout(writeTimeout)
	_ = c.socket.AddCloseCallback(func(netpoll.Connection) error {
		c.handleClosed()
		return nil
	})
}

// handleClosed notifies the limiter and the handler that the connection is closed. netpoll calls it before it releases
// the descriptor.
func (c *Conn) handleClosed() {
	c.closeOnce.Do(func() {
		defer close(c.done)
		c.mu.Lock()
		c.closed = true
		c.fdReleased = true
		cause := c.cause
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
