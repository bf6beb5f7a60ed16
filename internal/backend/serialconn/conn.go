package serialconn

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Transport is a connection as the pool uses it; tcp.Conn is one. No method blocks.
type Transport interface {
	// Write queues b. done, which may be nil, is called on another goroutine with how far b was written.
	Write(b []byte, done func(tcp.WriteResult))
	// Close closes the connection.
	Close(cause error)
}

// conn is one connection to a server, from its dial on.
type conn struct {
	server    balance.Replica
	addr      string
	transport Transport // nil until it is connected
	ready     bool      // connected, and greeted where that is needed; stays set when it is closed
	closed    bool
	attempt   *attempt // that it carries, or was dialed for; nil: none
	lastUsed  time.Time
}

// replyReader parses what comes on a connection and posts it to the loop. It is a tcp.Handler.
type replyReader struct {
	conn    *conn
	mailbox aggregator.Poster
	parser  Parser
	failed  bool // what came cannot be parsed: whatever follows is dropped
}

// Data takes the bytes of one read. An answer that cannot be parsed ends the connection.
func (r *replyReader) Data(b []byte) {
	if r.failed {
		return
	}
	replies, err := r.parser.Feed(b)
	for _, reply := range replies {
		r.mailbox.Put(replyReceived{conn: r.conn, reply: reply})
	}
	if err != nil {
		r.failed = true
		r.mailbox.Put(connectionClosed{conn: r.conn, err: err})
	}
}

// Closed takes the end of the connection.
func (r *replyReader) Closed(err error) {
	if !r.failed {
		for _, reply := range r.parser.End() {
			r.mailbox.Put(replyReceived{conn: r.conn, reply: reply})
		}
	}
	r.mailbox.Put(connectionClosed{conn: r.conn, err: err})
}

// connect starts to dial a server for an attempt.
func (p *Pool) connect(now time.Time, to aggregator.Server, a *attempt) {
	c := &conn{server: to.ID, addr: to.Addr, attempt: a, lastUsed: now}
	a.conn = c
	if p.connCount >= p.limits.MaxConnections {
		p.evictIdle()
	}
	codec := p.codec(to.ID)
	if p.connCount >= p.limits.MaxConnections || codec == nil || to.Addr == "" {
		p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, LocalCause: true, Cause: errNoConnection})
		return
	}
	p.connCount++
	p.Stats.Dials++
	p.dial(c, to.Addr, codec)
}

// handleDialResult greets the server or, if its protocol has no greeting, writes the attempt that the connection is for.
func (p *Pool) handleDialResult(now time.Time, m dialResult) {
	c := m.conn
	if m.err != nil {
		p.Stats.DialsFailed++
		p.closeConn(c, nil)
		if c.attempt != nil {
			p.fail(c.attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: m.err})
		}
		return
	}
	c.transport = m.transport
	if c.closed || c.attempt == nil { // closed at once, or its attempt canceled meanwhile
		p.closeConn(c, errNotNeeded)
		return
	}
	if greeting := p.codec(c.server).Greeting(); greeting != nil {
		c.transport.Write(greeting, nil)
		p.greeting[c] = now
		return
	}
	c.ready = true
	p.write(now, c, c.attempt)
}

// handleReply takes one answer that came on a connection.
func (p *Pool) handleReply(now time.Time, c *conn, reply Reply) {
	a := c.attempt
	switch {
	case reply.Greeting && !c.ready:
		p.handleGreeting(now, c, reply)
		return
	case !c.ready:
		// It is no answer to the attempt that waits.
		p.closeUnwritten(c, errEarlyAnswer)
		return
	case a == nil || a.canceled || reply.Greeting:
		p.Stats.LateAnswers++ // what follows on this connection could not be matched to its request
		p.closeConn(c, errUnexpectedReply)
		if a != nil {
			p.failLost(a, errCanceled)
		}
		return
	}
	p.end(a, aggregator.AttemptEnded{Err: reply.Err, Score: reply.Score, Value: reply.Value})
	if reply.Close {
		p.closeConn(c, errCloseRequested)
		return
	}
	p.release(now, c)
}

// handleGreeting takes the answer to a connection's greeting.
func (p *Pool) handleGreeting(now time.Time, c *conn, reply Reply) {
	if reply.Err != nil {
		p.closeUnwritten(c, reply.Err)
		return
	}
	delete(p.greeting, c)
	c.ready = true
	if c.attempt != nil {
		p.write(now, c, c.attempt)
	}
}

// handleClosed takes the end of a connection.
func (p *Pool) handleClosed(c *conn, cause error) {
	if !c.closed && c.transport != nil {
		p.Stats.Broken++
	}
	p.closeConn(c, cause)
	if cause == nil {
		cause = errServerClosed
	}
	if c.attempt != nil {
		p.failLost(c.attempt, cause)
	}
}

// closeUnwritten closes a connection whose attempt, if it has one, was not written.
func (p *Pool) closeUnwritten(c *conn, cause error) {
	a := c.attempt
	p.closeConn(c, cause)
	if a != nil {
		p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: cause})
	}
}

func (p *Pool) closeConn(c *conn, cause error) {
	if c.transport != nil {
		c.transport.Close(cause)
	}
	if !c.closed {
		c.closed = true
		p.connCount--
		p.removeIdle(c)
	}
}

// release makes a connection that has carried an attempt idle.
func (p *Pool) release(now time.Time, c *conn) {
	c.attempt = nil
	if c.closed || !c.ready {
		return
	}
	c.lastUsed = now
	p.idle[c.server] = append(p.idle[c.server], c)
}

// takeIdle returns an idle connection that the server surely still holds, nil if there is none. It is not idle any more.
func (p *Pool) takeIdle(now time.Time, to aggregator.Server) *conn {
	for _, c := range slices.Backward(p.idle[to.ID]) {
		if c.addr == to.Addr && !p.stale(now, c) {
			p.removeIdle(c)
			return c
		}
	}
	return nil
}

func (p *Pool) removeIdle(c *conn) {
	p.idle[c.server] = slices.DeleteFunc(p.idle[c.server], func(other *conn) bool { return other == c })
	if len(p.idle[c.server]) == 0 {
		delete(p.idle, c.server)
	}
}

// evictIdle closes the connection that has been idle longest. Guards Limits.MaxConnections.
func (p *Pool) evictIdle() {
	var oldest *conn
	for _, conns := range p.idle {
		for _, c := range conns {
			if oldest == nil || c.lastUsed.Before(oldest.lastUsed) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.closeConn(oldest, errEvicted)
	}
}

// stale reports whether the server may close an idle connection by the time that a request arrives.
func (p *Pool) stale(now time.Time, c *conn) bool { return now.Sub(c.lastUsed) > p.maxIdle() }

// maxIdle is how long an idle connection is used for new requests.
func (p *Pool) maxIdle() time.Duration {
	return max(p.limits.IdleTimeout/2, p.limits.IdleTimeout-idleMargin)
}
