package leaf

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Transport is a connection as the pool uses it; tcp.Conn is one. No method blocks, and the functions given to them are
// called on another goroutine.
type Transport interface {
	// Write queues b. done, which may be nil, is called with how far b was written.
	Write(b []byte, done func(tcp.WriteResult))
	// WriteDeferred is Write for bytes that are made when their turn comes, or are of no use any more by then.
	WriteDeferred(write tcp.DeferredWrite, done func(tcp.WriteResult))
	// Close closes the connection.
	Close(cause error)
	// Abort closes the connection and discards what is not sent yet; done is called once the socket is closed.
	Abort(cause error, done func())
}

// DialFunc opens a connection whose bytes go to the handler. It blocks for at most timeout, so it is never called on the
// loop.
type DialFunc func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error)

// DialTCP is the DialFunc of the network.
func DialTCP(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error) {
	c, err := tcp.Dial(addr, timeout, handler)
	if err != nil {
		return nil, err // not c: the interface would not be nil
	}
	return c, nil
}

// connState is how far a connection has come; it only ever goes forward.
type connState int

const (
	connDialing connState = iota // no socket yet
	connOpen
	connClosing // nothing more goes out on it, and what is in flight on it has not ended yet
	connClosed  // its socket is closed, and what was in flight on it has ended, or does when its write is accounted for
)

func (s connState) String() string {
	switch s {
	case connDialing:
		return "dialing"
	case connOpen:
		return "open"
	case connClosing:
		return "closing"
	case connClosed:
		return "closed"
	}
	return fmt.Sprintf("connState(%d)", int(s))
}

// conn is one connection to a server, from its dial on.
type conn struct {
	host       *host
	addr       string
	transport  Transport // nil until it is open
	state      connState
	closeCause error                // why the pool aborted it; nil if it did not
	streams    map[string]*attempt  // in flight, by the names of their parts
	probes     []*probe             // that were written and not answered, in the order of their answers
	canceledAt map[string]time.Time // when attempts ended whose answers may still come, by the names of their parts

	lastUsed     time.Time // the last time that the server surely counts as use
	lastReceived time.Time // the last time that the server sent anything
	partialSince time.Time // when a frame began that is not complete; zero: none
	lastAnswered string    // the part that was answered last

	unresponsive bool // its machine may have vanished: nothing new goes out on it until something is received
	draining     bool // nothing new goes out on it, and it is closed once nothing is in flight
	corrupt      bool // it was closed because of what came on it
}

// isClosed reports whether nothing more goes out on the connection.
func (c *conn) isClosed() bool { return c.state >= connClosing }

// isIdle reports whether the connection is open and nothing is in flight on it.
func (c *conn) isIdle() bool { return c.state == connOpen && len(c.streams) == 0 && len(c.probes) == 0 }

// allCanceled reports whether all attempts in flight on the connection were canceled.
func (c *conn) allCanceled() bool {
	for _, a := range c.streams {
		if !a.canceled {
			return false
		}
	}
	return true
}

// namesInFlight returns the names of the parts whose calls were written completely, in their order: nothing may depend on
// the order of a map.
func (c *conn) namesInFlight() []string {
	var names []string
	for name, a := range c.streams {
		if a.state == stateInFlight {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// awaitsProbe reports whether the core waits for the answer to a probe on the connection.
func (c *conn) awaitsProbe() bool {
	return slices.ContainsFunc(c.probes, func(probe *probe) bool { return !probe.ended })
}

// stale reports whether the server may close an idle connection by the time that a frame arrives.
func (p *Pool) stale(now time.Time, c *conn) bool {
	return len(c.streams) == 0 && p.limits.IdleTimeout > 0 && now.Sub(c.lastUsed) > p.maxIdle()
}

// maxIdle is how long an idle connection is used for new calls.
func (p *Pool) maxIdle() time.Duration {
	return max(p.limits.IdleTimeout/2, p.limits.IdleTimeout-idleMargin)
}

// connect starts to dial a server. If that is not possible now, the dial fails in a later turn.
func (p *Pool) connect(now time.Time, host *host, addr string) {
	c := &conn{
		host:       host,
		addr:       addr,
		lastUsed:   now,
		streams:    map[string]*attempt{},
		canceledAt: map[string]time.Time{},
	}
	if addr == "" || !p.reserveConn() {
		p.mailbox.Put(dialResult{conn: c, err: errNoConnection})
	} else {
		p.Stats.Dials++
		p.dial(c, addr, p.limits.ConnectTimeout+timeoutSlack)
	}
	p.connCount++
	host.conns = append(host.conns, c)
}

// reserveConn reports whether there may be one more connection. At the limit it closes an idle one for it.
func (p *Pool) reserveConn() bool {
	return p.connCount < p.limits.MaxConnections || p.evictIdle()
}

// evictIdle closes the connection that has been idle longest, and reports whether there was one. Guards
// Limits.MaxConnections.
func (p *Pool) evictIdle() bool {
	var oldest *conn
	for _, h := range p.hosts {
		for _, c := range h.conns {
			if c.isIdle() && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest, errEvicted)
	return true
}

// handleDialResult sends what waits for a connection, or ends it if there is none to come.
func (p *Pool) handleDialResult(now time.Time, result dialResult) {
	conn := result.conn
	if result.err != nil {
		p.Stats.DialsFailed++
		p.removeConn(conn)
		conn.state = connClosed
		// What waits is not dialed for again here: the decisions may know a better server.
		if !conn.host.isDialing() {
			p.failWaiting(now, conn.host, result.err)
		}
		return
	}
	if conn.isClosed() { // its socket was closed before this message
		conn.transport = result.transport
		result.transport.Close(nil)
		p.failWaiting(now, conn.host, errBrokenAtOnce)
		return
	}
	conn.transport = result.transport
	conn.state = connOpen
	conn.lastUsed = now
	host := conn.host
	waiting, probes := host.takeWaiting()
	listed := p.directory.Server(host.id)
	for _, batch := range waiting {
		p.endUnsendable(now, batch, listed)
		if len(batch.attempts) > 0 {
			p.place(now, batch)
		}
	}
	for _, probe := range probes {
		if !probe.ended {
			p.sendLoadProbe(conn, probe)
		}
	}
}

// failWaiting ends all that waits for a connection to a server: none of it was written.
func (p *Pool) failWaiting(now time.Time, host *host, cause error) {
	waiting, probes := host.takeWaiting()
	for _, batch := range waiting {
		for _, attempt := range batch.attempts {
			p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: cause})
		}
	}
	for _, probe := range probes {
		p.endProbe(now, probe, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: cause}, nil)
	}
}

// closeConn closes a connection. What is in flight on it ends once its socket is closed, and no sooner: a retry sent before
// that may reach its server before this connection's server sees the end, and run beside it.
func (p *Pool) closeConn(conn *conn, cause error) {
	switch {
	case conn.isClosed():
	case conn.transport == nil:
		p.connLost(conn, cause)
	case len(conn.streams) == 0:
		conn.transport.Close(cause)
		p.connLost(conn, cause)
	default:
		p.removeConn(conn)
		conn.closeCause = cause
		conn.transport.Abort(cause, func() { p.mailbox.Put(connectionAborted{conn: conn}) })
	}
}

// closeCorrupt closes a connection on which something came that cannot be parsed. The server has received what is in
// flight on it, so that may have run.
func (p *Pool) closeCorrupt(c *conn, cause error) {
	if c.isClosed() {
		return
	}
	p.Stats.Corrupt++
	c.corrupt = true
	p.closeConn(c, cause)
}

// handleClosed takes the end of a connection, unless the pool itself has closed it: then what was in flight on it ends with
// connectionAborted.
func (p *Pool) handleClosed(m connectionClosed) {
	c := m.conn
	if c.isClosed() {
		return
	}
	if c.transport != nil {
		p.Stats.Broken++
		c.transport.Close(m.err)
	}
	p.connLost(c, m.err)
}

// connLost ends a connection whose socket is closed, and all that was in flight on it.
func (p *Pool) connLost(c *conn, cause error) {
	if c.isClosed() {
		return
	}
	p.removeConn(c)
	if cause == nil {
		cause = errServerClosed
	}
	p.endStreams(c, cause)
}

// removeConn takes a connection out of its host's list: nothing more goes out on it.
func (p *Pool) removeConn(c *conn) {
	if c.isClosed() {
		return
	}
	c.state = connClosing
	p.connCount--
	c.host.conns = slices.DeleteFunc(c.host.conns, func(other *conn) bool { return other == c })
}

// endStreams ends all that was in flight on a connection whose socket is closed. Attempts whose write is not accounted for
// yet end when it is: only then is it known whether they can have run.
func (p *Pool) endStreams(conn *conn, cause error) {
	conn.state = connClosed
	// If the pool closed it as unresponsive, the other attempts in flight on it were canceled with the one that it was
	// closed for.
	closedAsUnresponsive := conn.closeCause != nil && !conn.corrupt
	for _, name := range conn.namesInFlight() {
		attempt := conn.streams[name]
		canceled := attempt.canceled || closedAsUnresponsive
		p.fail(attempt, &aggregator.AttemptError{
			Progress:      aggregator.Written,
			Canceled:      canceled,
			CorruptStream: conn.corrupt && !canceled,
			Cause:         cause,
		})
	}
	for _, probe := range conn.probes {
		p.endProbeOfClosedConn(conn, probe, cause)
	}
}
