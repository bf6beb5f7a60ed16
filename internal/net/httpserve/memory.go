package httpserve

import (
	"errors"
	"net/http"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

// longResponseBytes is the length from which a response counts as held until it is sent. Of shorter ones, the
// connection holds only some kilobytes: it does not read while more wait to be sent.
const longResponseBytes = 4 << 10

// errOverMemory is the cause of closing the connection of a client that does not read its response, when clients hold
// the memory that they may hold.
var errOverMemory = errors.New("the peer does not read, and the memory is needed")

// chargeAccount states to the budget what the connection holds. It returns false if the connection has to release memory. It is
// called with the lock held.
func (c *serverConn) chargeAccount() bool {
	reclaimable := c.parser.MemorySize() + c.unsentBytes
	if c.parsed != nil {
		reclaimable += c.parsed.MemorySize()
	}
	total := reclaimable
	if c.current != nil {
		total += c.currentBytes
	}
	return c.account.Charge(int64(total), reclaimable > 0)
}

// limitMemory states to the budget what the connection holds, and releases what it may not hold. It is called with the
// lock held.
func (c *serverConn) limitMemory() {
	if !c.chargeAccount() {
		c.releaseMemory()
	}
}

// reclaim releases what the connection holds beyond the request in flight, for the budget.
func (c *serverConn) reclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseMemory()
}

// releaseMemory rejects the request that is arriving, or drops what was sent behind the request in flight: it is
// rejected after the response to that. It closes the connection if a response waits to be sent. It is called with the
// lock held.
func (c *serverConn) releaseMemory() {
	switch {
	case c.unsentBytes > 0:
		c.conn.Close(errOverMemory)
	case c.closed:
	case c.current != nil:
		c.discarding = true
		c.dropInput()
	case c.begun():
		c.server.count(&c.server.counters.OverMemory)
		c.writeLast(http1.Response(http.StatusServiceUnavailable, true, nil))
	}
}

// dropInput releases what has arrived and is not handled. Nothing more can be parsed. It is called with the lock held.
func (c *serverConn) dropInput() {
	c.parsed = nil
	c.parser.Discard()
	c.chargeAccount() // less than before, which is never refused
}

// writeResponse sends a response. It is called with the lock held.
func (c *serverConn) writeResponse(response []byte) {
	size := len(response)
	if size < longResponseBytes {
		c.conn.Write(response, nil)
		return
	}
	c.unsentBytes += size
	c.chargeAccount() // if it is refused, others release memory: this response is sent soon, unless its client does not read
	c.conn.Write(response, func(tcp.WriteResult) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unsentBytes -= size
		c.chargeAccount()
	})
}
