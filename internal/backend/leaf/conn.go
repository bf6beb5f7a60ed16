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
	// WriteDeferred is Write for bytes that are built right before they are written, and dropped if they have expired by then.
	WriteDeferred(write tcp.DeferredWrite, done func(tcp.WriteResult))
	// Close closes the connection.
	Close(cause error)
	// Abort closes the connection and discards its unsent bytes; done is called once the socket is closed.
	Abort(cause error, done func())
}

// DialFunc opens a connection whose received bytes are passed to the handler. It blocks for at most timeout, so it is never
// called on the loop.
type DialFunc func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Transport, error) {
	c, err := tcp.Dial(addr, timeout, handler)
	if err != nil {
		return nil, err // a nil *tcp.Conn in a Transport would not equal nil
	}
	return c, nil
}

// connState is the state of a connection; it never goes back to an earlier one.
type connState int

const (
	connDialing connState = iota // no socket yet
	connOpen
	connClosing // nothing more is written on it; the attempts in flight on it have not ended yet
	connClosed  // its socket is closed; the attempts in flight on it have ended, or end when their write result arrives
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

// conn is one connection to a server; it exists from the dial on.
type conn struct {
	host       *host
	addr       string
	transport  Transport // nil until it is open
	state      connState
	closeCause error                // why the pool aborted it; nil: it did not
	streams    map[string]*attempt  // in flight, by part name
	probes     []*probe             // written and not answered, in the order in which their answers arrive
	canceledAt map[string]time.Time // when canceled attempts ended whose answers may still arrive, by part name

	lastUsed     time.Time // the last activity that the server's idle timer is certain to count
	lastReceived time.Time // when the server last sent a complete frame
	partialSince time.Time // when the first bytes of an incomplete frame arrived; zero: none
	lastAnswered string    // the name of the part answered last

	unresponsive bool // its machine may be unreachable: no new call or load probe is written until a frame is received
	draining     bool // no new call or load probe is written, and it is closed once no attempt is in flight
	corrupt      bool // it was closed because of bytes received on it
}

// isClosed reports whether the connection is closing or closed: nothing more is written on it.
func (c *conn) isClosed() bool { return c.state >= connClosing }

// isIdle reports whether the connection is open and nothing is in flight on it.
func (c *conn) isIdle() bool { return c.state == connOpen && len(c.streams) == 0 && len(c.probes) == 0 }

// allCanceled reports whether every attempt in flight on the connection is canceled.
func (c *conn) allCanceled() bool {
	for _, a := range c.streams {
		if !a.canceled {
			return false
		}
	}
	return true
}

// namesInFlight returns the names of the parts whose calls were written completely, sorted: nothing may depend on the
// iteration order of a map.
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

// awaitsProbe reports whether the answer to a probe on the connection is awaited: one that is overdue is not.
func (c *conn) awaitsProbe() bool {
	return slices.ContainsFunc(c.probes, func(probe *probe) bool { return !probe.ended })
}

// stale reports whether the server may have closed a connection for idleness by the time a frame written now arrives.
func (p *Pool) stale(now time.Time, c *conn) bool {
	return len(c.streams) == 0 && p.limits.IdleTimeout > 0 && now.Sub(c.lastUsed) > p.maxIdle()
}

// maxIdle is how long an idle connection remains usable for new calls.
func (p *Pool) maxIdle() time.Duration {
	return max(p.limits.IdleTimeout/2, p.limits.IdleTimeout-idleMargin)
}

// connect starts dialing a server. If no connection may be opened, a failed dial is reported in a later turn.
func (p *Pool) connect(now time.Time, host *host, addr string) {
	c := &conn{
		host:       host,
		addr:       addr,
		lastUsed:   now,
		streams:    map[string]*attempt{},
		canceledAt: map[string]time.Time{},
	}
	if addr == "" || !p.ensureConnCapacity() {
		p.mailbox.Put(dialResult{conn: c, err: errNoConnection})
	} else {
		p.Stats.Dials++
		p.dial(c, addr, p.limits.ConnectTimeout+timeoutSlack)
	}
	p.connCount++
	host.conns = append(host.conns, c)
}

// ensureConnCapacity reports whether one more connection may be opened. At the limit it closes an idle one first.
func (p *Pool) ensureConnCapacity() bool {
	return p.connCount < p.limits.MaxConnections || p.evictIdle()
}

// evictIdle closes the connection that has been idle longest, and reports whether there was one.
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

// handleDialResult sends the batches and probes that wait for a connection, or ends them if no other dial is under way.
func (p *Pool) handleDialResult(now time.Time, result dialResult) {
	conn := result.conn
	if result.err != nil {
		p.Stats.DialsFailed++
		p.removeConn(conn)
		conn.state = connClosed
		// No new dial is started here: the balancer may choose a better server for a retry.
		if !conn.host.isDialing() {
			p.failWaiting(now, conn.host, result.err)
		}
		return
	}
	if conn.isClosed() { // its socket was closed before this message
		conn.transport = result.transport
		result.transport.Close(nil)
		p.failWaiting(now, conn.host, errClosedBeforeUse)
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
			p.dispatch(now, batch)
		}
	}
	for _, probe := range probes {
		if !probe.ended {
			p.sendLoadProbe(conn, probe)
		}
	}
}

// failWaiting ends all batches and probes that wait for a connection to a server: none of them was written.
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

// closeConn closes a connection. The attempts in flight on it end once its socket is closed, and no sooner: a retry sent
// before that could reach its server before this connection's server sees the close, and both attempts would run.
func (p *Pool) closeConn(conn *conn, cause error) {
	switch {
	case conn.isClosed():
	case conn.transport == nil:
		p.finishClose(conn, cause)
	case len(conn.streams) == 0:
		conn.transport.Close(cause)
		p.finishClose(conn, cause)
	default:
		p.removeConn(conn)
		conn.closeCause = cause
		conn.transport.Abort(cause, func() { p.mailbox.Put(connectionAborted{conn: conn}) })
	}
}

// closeCorrupt closes a connection on which invalid or unexpected bytes were received. The server may have run the attempts
// in flight on it.
func (p *Pool) closeCorrupt(c *conn, cause error) {
	if c.isClosed() {
		return
	}
	p.Stats.Corrupt++
	c.corrupt = true
	p.closeConn(c, cause)
}

// handleClosed handles the close of a connection, unless the pool itself is closing it: then the attempts in flight on it
// end with connectionAborted.
func (p *Pool) handleClosed(m connectionClosed) {
	c := m.conn
	if c.isClosed() {
		return
	}
	if c.transport != nil {
		p.Stats.Broken++
		c.transport.Close(m.err)
	}
	p.finishClose(c, m.err)
}

// finishClose marks a connection as closed and ends everything in flight on it. Its transport, if there is one, has
// been closed.
func (p *Pool) finishClose(c *conn, cause error) {
	if c.isClosed() {
		return
	}
	p.removeConn(c)
	if cause == nil {
		cause = errServerClosed
	}
	p.endStreams(c, cause)
}

// removeConn removes a connection from its host's list: nothing more is written on it.
func (p *Pool) removeConn(c *conn) {
	if c.isClosed() {
		return
	}
	c.state = connClosing
	p.connCount--
	c.host.conns = slices.DeleteFunc(c.host.conns, func(other *conn) bool { return other == c })
}

// endStreams ends everything in flight on a connection whose socket is closed. Attempts whose write result has not arrived
// yet end when it does: it determines whether they may have run.
func (p *Pool) endStreams(conn *conn, cause error) {
	conn.state = connClosed
	// If the pool closed the connection as unresponsive, it canceled the other attempts in flight on it along with the one
	// whose cancellation caused the close.
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
