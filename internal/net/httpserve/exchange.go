package httpserve

import (
	"net/http"
	"sync/atomic"
	"time"

	"rooktrestle/internal/protocol/http1"
)

// Exchange is a request and its response. The message is the handler's to read; setting its Close makes the response end
// the connection.
type Exchange struct {
	*http1.Message
	FirstByteAt time.Time // when the request began to come in

	conn         *serverConn
	onDisconnect func()       // under the connection's lock
	lookedAt     atomic.Int64 // when Disconnected last asked the system, as time since FirstByteAt; 0: never
}

// maxLookAge is how long what the system said of a client's connection is relied on.
const maxLookAge = 10 * time.Millisecond

// Disconnected reports whether the response was given, or the client has closed its connection, as far as the system knows by
// now: what OnDisconnect announces may be late. Any goroutine may call it.
func (x *Exchange) Disconnected(now time.Time) bool {
	c := x.conn
	c.mu.Lock()
	waiting := c.current == x
	c.mu.Unlock()
	if !waiting {
		return true
	}
	elapsed := now.Sub(x.FirstByteAt)
	lookedAt := time.Duration(x.lookedAt.Load())
	if lookedAt > 0 && elapsed-lookedAt < maxLookAge {
		return false
	}
	x.lookedAt.Store(int64(elapsed))
	return c.conn.PeerClosed()
}

// OnDisconnect sets what is called if the client goes away before the response. It returns false if that has happened
// already, or if the response was given: f is not called then.
func (x *Exchange) OnDisconnect(f func()) bool {
	x.conn.mu.Lock()
	defer x.conn.mu.Unlock()
	x.onDisconnect = f
	return x.conn.current == x
}

// Respond sends the response: fields are names and values of its header in turn. Only the first call counts, and none
// after the client has gone away. It may be called by any goroutine, and may pass on the next request before it returns.
func (x *Exchange) Respond(status int, body []byte, fields ...string) {
	c := x.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != x {
		return
	}
	c.current = nil
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
	c.conn.Write(response, nil)
	if last {
		c.closed = true
		c.conn.CloseGracefully()
		return
	}
	c.awaitRequest()
}

// awaitRequest goes on to the next request of the connection, which may have come already.
func (c *serverConn) awaitRequest() {
	if c.parser.Begun() {
		c.startTimer(c.server.timeouts.ReadRequest)
	} else {
		c.startTimer(c.server.timeouts.Idle)
	}
	c.advance()
	if c.current == nil && !c.closed {
		c.server.mu.Lock()
		c.enlist(&c.server.idle)
		c.server.mu.Unlock()
	}
}
