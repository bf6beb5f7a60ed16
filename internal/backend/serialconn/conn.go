package serialconn

import (
	"slices"
	"sync/atomic"
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

	reads        atomic.Uint64 // reads of its socket so far; counted by replyReader
	handledReads uint64        // the same, as of the last dataReceived that the pool has handled
}

// replyReader decodes the bytes received on a connection and posts the answers to the loop. It is a tcp.Handler.
type replyReader struct {
	conn    *conn
	mailbox aggregator.Poster
	parser  Parser
	partial bool // the last read ended within an answer, or in bytes that are none
	failed  bool // the stream is corrupt: all further bytes are dropped
}

// Data handles the bytes of one read. An answer that cannot be parsed closes the connection.
func (r *replyReader) Data(b []byte) {
	if r.failed {
		return
	}
	reads := r.conn.reads.Add(1) // before the answers are posted: see conn.isQuiet
	replies, err := r.parser.Feed(b)
	partial := err != nil || r.parser.Partial()
	if len(replies) > 0 || partial && !r.partial {
		r.mailbox.Put(dataReceived{conn: r.conn, replies: replies, partial: partial, reads: reads})
	}
	r.partial = partial
	if err != nil {
		r.failed = true
		r.mailbox.Put(connectionClosed{conn: r.conn, err: err})
	}
}

// Closed handles the close of the connection.
func (r *replyReader) Closed(err error) {
	if !r.failed {
		if replies := r.parser.End(); len(replies) > 0 {
			r.mailbox.Put(dataReceived{conn: r.conn, replies: replies, reads: r.conn.reads.Load()})
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
	if !conn.isQuiet() {
		p.closeUnwritten(conn, errEarlyAnswer)
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

// handleData handles the result of one read of a connection.
func (p *Pool) handleData(now time.Time, received dataReceived) {
	conn := received.conn
	conn.handledReads = received.reads
	for i, reply := range received.replies {
		if conn.closed {
			return
		}
		isLast := i == len(received.replies)-1 && !received.partial
		p.handleReply(now, conn, reply, isLast)
	}
	if received.partial && conn.attempt == nil && !conn.closed {
		p.Stats.LateAnswers++
		p.closeConn(conn, errUnexpectedBytes)
	}
}

// handleReply handles one answer received on a connection. isLast reports that nothing was received behind it.
func (p *Pool) handleReply(now time.Time, conn *conn, reply Reply, isLast bool) {
	attempt := conn.attempt
	switch {
	case reply.Greeting && !conn.ready && isLast:
		p.handleGreeting(now, conn, reply)
	case !conn.ready:
		// It, or what is behind the greeting, cannot be the answer to the waiting attempt, which is not written yet.
		p.closeUnwritten(conn, errEarlyAnswer)
	case !p.isAnswered(attempt, reply):
		p.handleUnexpectedReply(conn)
	default:
		p.end(attempt, aggregator.AttemptEnded{Err: reply.Err, Score: reply.Score, Value: reply.Value})
		switch {
		case reply.Close:
			p.closeConn(conn, errCloseRequested)
		case !isLast:
			p.Stats.LateAnswers++
			p.closeConn(conn, errUnexpectedBytes)
		default:
			p.release(now, conn)
		}
	}
}

// isAnswered reports whether a reply answers an attempt, which may be nil.
func (p *Pool) isAnswered(attempt *attempt, reply Reply) bool {
	return attempt != nil && !attempt.canceled && !reply.Greeting &&
		p.codec(attempt.server.ID).Answers(reply, attempt.outgoing, attempt.work)
}

// handleUnexpectedReply closes a connection on which an answer was received that its attempt, if there is one, does not
// match: further answers could not be matched to their requests either. The attempt may have run.
func (p *Pool) handleUnexpectedReply(conn *conn) {
	p.Stats.LateAnswers++
	p.closeConn(conn, errUnexpectedReply)
	attempt := conn.attempt
	if attempt == nil {
		return
	}
	cause := errUnexpectedReply
	if attempt.canceled {
		cause = errCanceled
	}
	p.failLost(attempt, cause)
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

// takeIdle removes and returns an idle connection that the server cannot have closed for idleness; nil if there is none. It
// closes those on which anything was received while they were idle.
func (p *Pool) takeIdle(now time.Time, to aggregator.Server) *conn {
	for _, c := range slices.Backward(slices.Clone(p.idle[to.ID])) {
		switch {
		case c.addr != to.Addr || p.stale(now, c):
		case !c.isQuiet():
			p.Stats.LateAnswers++
			p.closeConn(c, errUnexpectedBytes)
		default:
			p.removeIdle(c)
			return c
		}
	}
	return nil
}

// isQuiet reports whether nothing was received on the connection since the last answer that the pool has handled. The
// message about it may still be in the mailbox, and there is none for bytes that the parser skips.
func (c *conn) isQuiet() bool { return c.reads.Load() == c.handledReads }

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
