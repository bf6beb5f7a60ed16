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
	writeTimeout   = 2 * time.Second // of one write: a peer that takes nothing for so long is given up
	maxQueuedBytes = 1 << 20         // that wait to be written on one connection
	lingerTimeout  = time.Second     // for the peer to close after CloseGracefully
)

// ErrSlowReader is the cause that ends a connection whose peer does not read what is sent to it.
var ErrSlowReader = errors.New("the peer does not read")

// Handler takes what comes on a connection. Its methods are called one at a time, in order, on goroutines of netpoll's;
// Closed is called once and last, with the cause that Close or Abort was given, ErrSlowReader, or the error of a write or
// of a panic; nil: the peer closed the connection. b is valid during the call only. A panic in Data ends the connection,
// one in Closed is logged; neither ends the program.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Opener is a Handler that sends first: Opened is called once, before Data, when a connection was accepted.
type Opener interface{ Opened() }

// Conn is one connection. Its methods may be called by any goroutine and, but for CloseAndWait, do not block.
type Conn struct {
	socket  netpoll.Connection
	peer    net.Addr
	handler Handler
	limiter *ConnLimiter // that admitted it; nil: it was dialed

	endOnce sync.Once
	done    chan struct{} // closed once the connection has ended and Handler.Closed has returned

	lingering *list.Element // its place on the limiter's list, under the limiter's lock; nil: not listed

	mu      sync.Mutex
	queue   []pendingWrite
	queued  int  // bytes in queue
	writing bool // writeQueue runs
	closed  bool // by this side, or ended
	ended   bool // the descriptor may be another connection's from now on
	closing bool // CloseGracefully was called: no further write, and half-close once the queue is empty
	cause   error
}

// Peer returns the address of the other side.
func (c *Conn) Peer() string { return c.peer.String() }

// read passes on what has come. netpoll calls it, one call at a time.
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
	defer func() { _ = reader.Release() }() // it fails on a connection that has ended, whose buffers go with it
	c.mu.Lock()
	drop := c.closed || c.closing
	c.mu.Unlock()
	if drop {
		return
	}
	// A panic stops at the connection. The handler's Closed ends what was under way on it.
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "connection %v: panic: %v\n", c.peer, p)
			c.Close(fmt.Errorf("panic: %v", p))
		}
	}()
	c.handler.Data(b)
}

// opened lets a handler send first.
func (c *Conn) opened() {
	if opener, ok := c.handler.(Opener); ok {
		opener.Opened()
	}
}

// attach has netpoll report the connection's end.
func (c *Conn) attach() {
	// Neither call fails on a connection that was just made: their errors are for other kinds of connections.
	_ = c.socket.SetWriteTimeout(writeTimeout)
	_ = c.socket.AddCloseCallback(func(netpoll.Connection) error {
		c.end()
		return nil
	})
}

// end reports to the handler that the connection has ended. netpoll calls it before it releases the descriptor.
func (c *Conn) end() {
	c.endOnce.Do(func() {
		defer close(c.done)
		c.mu.Lock()
		c.closed = true
		c.ended = true
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
