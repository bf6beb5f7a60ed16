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
	// Write queues b. done, which may be nil, is called on another goroutine with how much of b was written.
	Write(b []byte, done func(tcp.WriteResult))
	// Close closes the connection.
	Close(cause error)
}

// conn is one connection to a server; it exists from the dial on.
type conn struct {
	server    balance.Replica
	addr      string
	transport Transport // nil until it is connected
	ready     bool      // connected, and greeted if the protocol has a greeting; stays set after the close
	closed    bool
	attempt   *attempt // in flight on it, or for which it was dialed; nil: none
	lastUsed  time.Time
}

// replyReader decodes the bytes received on a connection and posts the answers to the loop. It is a tcp.Handler.
type replyReader struct {
	conn    *conn
	mailbox aggregator.Poster
	parser  Parser
	failed  bool // the stream is corrupt: all further bytes are dropped
}

// Data handles the bytes of one read. An answer that cannot be parsed closes the connection.
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

// Closed handles the close of the connection.
func (r *replyReader) Closed(err error) {
	if !r.failed {
		for _, reply := range r.parser.End() {
			r.mailbox.Put(replyReceived{conn: r.conn, reply: reply})
		}
	}
	r.mailbox.Put(connectionClosed{conn: r.conn, err: err})
}

// connect starts dialing a server for an attempt. It ends the attempt if no connection may be opened.
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

// handleDialResult sends the greeting or, if the protocol has none, the attempt for which the connection was dialed.
func (p *Pool) handleDialResult(now time.Time, result dialResult) {
	conn := result.conn
	if result.err != nil {
		p.Stats.DialsFailed++
		p.closeConn(conn, nil)
		if conn.attempt != nil {
			p.fail(conn.attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: result.err})
		}
		return
	}
	conn.transport = result.transport
	if conn.closed || conn.attempt == nil { // closed right after the dial, or its attempt was canceled during it
		p.closeConn(conn, errNotNeeded)
		return
	}
	if greeting := p.codec(conn.server).Greeting(); greeting != nil {
		conn.transport.Write(greeting, nil)
		p.awaitingGreeting[conn] = now
		return
	}
	conn.ready = true
	p.write(now, conn, conn.attempt)
}

// handleReply handles one answer received on a connection.
func (p *Pool) handleReply(now time.Time, conn *conn, reply Reply) {
	attempt := conn.attempt
	switch {
	case reply.Greeting && !conn.ready:
		p.handleGreeting(now, conn, reply)
		return
	case !conn.ready:
		// It cannot be the answer to the waiting attempt, which is not written yet.
		p.closeUnwritten(conn, errEarlyAnswer)
		return
	case attempt == nil || attempt.canceled || reply.Greeting:
		p.Stats.LateAnswers++ // further answers on this connection could not be matched to their requests
		p.closeConn(conn, errUnexpectedReply)
		if attempt != nil {
			p.failLost(attempt, errCanceled)
		}
		return
	}
	p.end(attempt, aggregator.AttemptEnded{Err: reply.Err, Score: reply.Score, Value: reply.Value})
	if reply.Close {
		p.closeConn(conn, errCloseRequested)
		return
	}
	p.release(now, conn)
}

// handleGreeting handles the answer to a connection's greeting.
func (p *Pool) handleGreeting(now time.Time, conn *conn, reply Reply) {
	if reply.Err != nil {
		p.closeUnwritten(conn, reply.Err)
		return
	}
	delete(p.awaitingGreeting, conn)
	conn.ready = true
	if conn.attempt != nil {
		p.write(now, conn, conn.attempt)
	}
}

// handleClosed handles the close of a connection.
func (p *Pool) handleClosed(conn *conn, cause error) {
	if !conn.closed && conn.transport != nil {
		p.Stats.Broken++
	}
	p.closeConn(conn, cause)
	if cause == nil {
		cause = errServerClosed
	}
	if conn.attempt != nil {
		p.failLost(conn.attempt, cause)
	}
}

// closeUnwritten closes a connection and ends its attempt, if it has one, as not written.
func (p *Pool) closeUnwritten(conn *conn, cause error) {
	attempt := conn.attempt
	p.closeConn(conn, cause)
	if attempt != nil {
		p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: cause})
	}
}

func (p *Pool) closeConn(conn *conn, cause error) {
	if conn.transport != nil {
		conn.transport.Close(cause)
	}
	if !conn.closed {
		conn.closed = true
		p.connCount--
		p.removeIdle(conn)
	}
}

// release makes a connection idle after its attempt has ended.
func (p *Pool) release(now time.Time, conn *conn) {
	conn.attempt = nil
	if conn.closed || !conn.ready {
		return
	}
	conn.lastUsed = now
	p.idle[conn.server] = append(p.idle[conn.server], conn)
}

// takeIdle removes and returns an idle connection that the server cannot have closed for idleness; nil if there is none.
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

// stale reports whether the server may have closed an idle connection by the time a request written now arrives.
func (p *Pool) stale(now time.Time, c *conn) bool { return now.Sub(c.lastUsed) > p.maxIdle() }

// maxIdle is how long an idle connection remains usable for new requests.
func (p *Pool) maxIdle() time.Duration {
	return max(p.limits.IdleTimeout/2, p.limits.IdleTimeout-idleMargin)
}
