package httpserve

import (
	"net/http"
	"sync/atomic"
	"time"

	"rooktrestle/internal/protocol/http1"
)

// Exchange is a request and its response. The handler may read the message, and set its Close to close the connection
// after the response.
type Exchange struct {
	*http1.Message
	FirstByteAt time.Time // when the first byte of the request arrived

	conn          *serverConn
	onDisconnect  func()       // guarded by the connection's lock
	peerCheckedAt atomic.Int64 // when Disconnected last queried the kernel, as time since FirstByteAt; 0: never
}

// peerCheckInterval is the minimum interval between two queries of the kernel for the state of a client's connection.
const peerCheckInterval = 10 * time.Millisecond

// Disconnected reports whether the response was sent, or the client has closed its connection according to the kernel.
// It may detect the close before the function of OnDisconnect is called, which may be delayed. Any goroutine may call
// it.
func (x *Exchange) Disconnected(now time.Time) bool {
	c := x.conn
	c.mu.Lock()
	waiting := c.current == x
	c.mu.Unlock()
	if !waiting {
		return true
	}
	elapsed := now.Sub(x.FirstByteAt)
	checkedAt := time.Duration(x.peerCheckedAt.Load())
	if checkedAt > 0 && elapsed-checkedAt < peerCheckInterval {
		return false
	}
	x.peerCheckedAt.Store(int64(elapsed))
	return c.conn.PeerClosed()
}

// OnDisconnect sets a function to call if the client disconnects before the response. If it has disconnected already,
// or the response was sent, OnDisconnect returns false and f is not called.
func (x *Exchange) OnDisconnect(f func()) bool {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.onDisconnect = f
	return x.conn.current == x
}

// Respond sends the response; fields are alternating names and values of its header. Calls after the first one, or
// after the client has disconnected, have no effect. It may be called by any goroutine.
func (x *Exchange) Respond(status int, body []byte, fields ...string) {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != x {
		return
	}
	c.current = nil
	c.currentBytes = 0
	c.chargeAccount() // less than before, which is never refused
	if c.closed {
		return
	}
	if status >= 400 && status < 500 {
		c.server.count(&c.server.counters.BadRequests)
	}
	last := c.server.endsConnection(x)
	response := http1.Response(status, last, body, fields...)
	if x.Method == http.MethodHead {
		response = response[:len(response)-len(body)]
	}
	c.writeResponse(response)
	if last {
		c.closed = true
		c.dropInput()
		c.conn.CloseGracefully()
		return
	}
	c.awaitRequest()
}

// awaitRequest continues with the next request of the connection, which may have arrived already: it is handled in the
// connection's next turn, or in the present one if that goes on.
func (c *serverConn) awaitRequest() {
	if !c.begun() && !c.discarding {
		c.startTimer(c.server.timeouts.Idle)
		c.listAsIdle()
		return
	}
	c.startTimer(c.server.timeouts.ReadRequest)
	if !c.advancing {
		c.conn.Wake()
	}
}
