package leaf

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// attemptState is how far an attempt has come; it only ever goes forward.
type attemptState int

const (
	stateQueued   attemptState = iota // waits for a connection
	stateWriting                      // handed to the transport
	stateInFlight                     // written completely, and not answered
)

func (s attemptState) String() string {
	switch s {
	case stateQueued:
		return "queued"
	case stateWriting:
		return "writing"
	case stateInFlight:
		return "in flight"
	}
	return fmt.Sprintf("attemptState(%d)", int(s))
}

// attempt is one attempt at a part, from Send until its end was emitted.
type attempt struct {
	call      aggregator.Call
	host      *host
	conn      *conn // nil while it is queued
	state     attemptState
	writtenAt time.Time // when it was handed to the transport
	canceled  bool
	// unconfirmed: canceled, but ends only once a probe behind its cancel frame is answered. See Pool.Cancel.
	unconfirmed bool
}

// expired reports whether an attempt that is not written yet must not be written any more.
func (a *attempt) expired(now time.Time) bool {
	hasWriteBy := !a.call.WriteBy.IsZero()
	return !now.Before(a.call.Deadline) || hasWriteBy && !now.Before(a.call.WriteBy)
}

// batch is the attempts that go to a server in one call.
type batch struct {
	host          *host
	addr          string    // of the server when they were sent
	serverStarted time.Time // and when it was last started
	attempts      []*attempt
}

// place writes a batch on a connection that can take it, or lets it wait for a new one.
func (p *Pool) place(now time.Time, b *batch) {
	c, idle := p.leastLoaded(now, b)
	if c == nil {
		p.enqueue(now, b)
		return
	}
	p.write(now, c, b)
	if idle <= 1 && p.mayAddConn(b.host) {
		p.connect(now, b.host, b.addr)
	}
}

// leastLoaded returns the connection with the fewest attempts in flight of those that accept a batch, nil if none does, and
// how many of them are idle.
func (p *Pool) leastLoaded(now time.Time, b *batch) (best *conn, idle int) {
	for _, c := range b.host.conns {
		if c.state != connOpen || !p.accepts(now, c, b) {
			continue
		}
		if len(c.streams) == 0 {
			idle++
		}
		if best == nil || len(c.streams) < len(best.streams) {
			best = c
		}
	}
	return best, idle
}

// mayAddConn reports whether another connection to a server is opened for its next part. Guards the parts that share one:
// a corrupt answer to any of them ends the attempts of all. A quarter of all connections is left for servers that have
// none.
func (p *Pool) mayAddConn(h *host) bool {
	return len(h.conns) < p.limits.ConnsPerServer &&
		p.connCount < p.limits.MaxConnections*3/4 &&
		p.directory.Available(h.id) &&
		!h.isDialing()
}

// enqueue lets a batch wait, and dials if what is being dialed is not enough for all that waits.
func (p *Pool) enqueue(now time.Time, b *batch) {
	h := b.host
	h.waiting = append(h.waiting, b)
	capacity := 0
	for _, c := range h.conns {
		if c.state == connDialing && c.addr == b.addr {
			capacity += p.limits.MaxStreams
		}
	}
	waiting := 0
	for _, other := range h.waiting {
		if other.addr == b.addr {
			waiting++
		}
	}
	if capacity < waiting {
		p.connect(now, h, b.addr)
	}
}

// accepts reports whether a batch may go out on an open connection.
func (p *Pool) accepts(now time.Time, c *conn, b *batch) bool {
	if c.unresponsive || c.draining || !c.partialSince.IsZero() || c.addr != b.addr {
		return false
	}
	// A batch of more than MaxStreams attempts has an empty connection of its own.
	maxStreams := max(p.limits.MaxStreams, len(b.attempts))
	if len(c.streams)+len(b.attempts) > maxStreams || p.stale(now, c) {
		return false
	}
	for _, a := range b.attempts {
		// A late answer to an earlier attempt at the part would be taken for this one's.
		if _, canceled := c.canceledAt[a.call.Name]; canceled || c.streams[a.call.Name] != nil {
			return false
		}
	}
	return true
}

// write hands a batch to a connection's transport.
func (p *Pool) write(now time.Time, c *conn, b *batch) {
	calls := make([]aggregator.Call, len(b.attempts))
	within := maxWriteDelay
	for i, a := range b.attempts {
		calls[i] = a.call
		if !a.call.WriteBy.IsZero() {
			within = min(within, a.call.WriteBy.Sub(now))
		}
		a.conn = c
		a.state = stateWriting
		a.writtenAt = now
		c.streams[a.call.Name] = a
	}
	c.lastUsed = now
	attempts := b.attempts
	c.transport.WriteWithin(within, callFrame(now, calls), func(result tcp.WriteResult) {
		p.mailbox.Put(writeFinished{conn: c, attempts: attempts, result: result})
	})
}

// endUnsendable ends those attempts of a batch that must not be sent any more, now that their connection is open: the
// server may have begun to drain, moved or restarted, and their time may be over. What was meant for a server's earlier
// process was not counted against what may be sent to one that is warming up.
func (p *Pool) endUnsendable(now time.Time, b *batch, listed aggregator.Server) {
	sendable := b.attempts[:0]
	for _, a := range b.attempts {
		switch {
		case !p.directory.Available(b.host.id):
			p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Rejected: true, Cause: errServerDraining})
		case listed.Addr != b.addr || !listed.Started.Equal(b.serverStarted):
			p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true, Cause: errServerReplaced})
		case a.expired(now):
			p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
		default:
			sendable = append(sendable, a)
		}
	}
	b.attempts = sendable
}

// handleWriteFinished takes how far a call was written.
func (p *Pool) handleWriteFinished(m writeFinished) {
	for _, a := range m.attempts {
		p.handleWritten(a, m.result)
	}
	if m.result == tcp.WriteUncertain { // the transport is closing
		p.closeConn(m.conn, errBrokenInFrame)
	}
}

func (p *Pool) handleWritten(a *attempt, result tcp.WriteResult) {
	if p.attempts[a.call.Attempt] != a || a.state != stateWriting {
		return
	}
	switch {
	case result == tcp.WriteNone: // the server received none of it: it never ran
		p.fail(a, &aggregator.AttemptError{
			Progress: aggregator.NotConnected,
			Canceled: a.canceled,
			Cause:    errBrokenBeforeFrame,
		})
	case result == tcp.WriteExpired: // it never ran either
		p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true, Cause: errWriteExpired})
	case a.conn.state == connClosed: // the end of the frame may have left: it may have run
		p.fail(a, &aggregator.AttemptError{
			Progress:      aggregator.Written,
			Canceled:      a.canceled,
			CorruptStream: a.conn.corrupt,
			Cause:         errBrokenInFrame,
		})
	default:
		a.state = stateInFlight
	}
}

// Cancel gives an attempt up. It ends once its server has been notified, as far as that can be known. mayRetry says that
// the part may be sent again. Then a cancel frame that was written is not enough on a connection on which nothing was
// received since the call was written: behind a network partition neither frame has arrived, or just the first, or both
// will when the partition ends. Such a connection is closed, and what it has not sent yet is discarded; if other parts are
// in flight on it, a probe behind the cancel frame shows whether it has to be.
func (p *Pool) Cancel(now time.Time, id aggregator.AttemptID, mayRetry bool) {
	a := p.attempts[id]
	if a == nil || a.canceled {
		return
	}
	a.canceled = true
	if a.state == stateQueued {
		p.cancelQueued(a)
		return
	}
	c := a.conn
	if c.isClosed() { // it ends with its connection
		return
	}
	a.unconfirmed = mayRetry && !c.lastReceived.After(a.writtenAt)
	if a.unconfirmed && c.allCanceled() {
		p.closeConn(c, errUnresponsive)
		return
	}
	c.lastUsed = now
	frame := AppendFrame(nil, frameCancel, []byte(a.call.Name))
	if a.unconfirmed {
		c.probes = append(c.probes, &probe{
			host:     a.host,
			conn:     c,
			sentAt:   now,
			deadline: p.probeDeadline(now),
			confirms: a,
		})
		frame = AppendFrame(frame, frameProbe, nil)
	}
	c.transport.Write(frame, func(tcp.WriteResult) { p.mailbox.Put(cancelWritten{attempt: a}) })
}

// cancelQueued ends an attempt that waits for a connection.
func (p *Pool) cancelQueued(a *attempt) {
	for _, b := range a.host.waiting {
		b.attempts = slices.DeleteFunc(b.attempts, func(other *attempt) bool { return other == a })
	}
	a.host.waiting = slices.DeleteFunc(a.host.waiting, func(b *batch) bool { return len(b.attempts) == 0 })
	p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
}

// handleCancelWritten ends a canceled attempt, unless a probe has yet to confirm that its server knows. The cancel frame was
// written, or the connection is closed: either way the server has canceled it, or soon will.
func (p *Pool) handleCancelWritten(now time.Time, a *attempt) {
	c := a.conn
	if p.attempts[a.call.Attempt] != a || c.state == connClosing {
		return
	}
	// Guards against a machine that vanished: its connections stay open and nothing comes on them, and whatever is written
	// on them may have run for all that is known. A new connection shows whether it is there.
	silent := c.lastReceived.Before(a.writtenAt)
	if silent && now.Sub(a.writtenAt) > p.limits.UnresponsiveAfter {
		c.unresponsive = true
	}
	if !a.unconfirmed || c.state == connClosed {
		p.endCanceled(now, a)
	}
}

// endCanceled ends an attempt whose server has been notified that it is canceled.
func (p *Pool) endCanceled(now time.Time, a *attempt) {
	a.conn.canceledAt[a.call.Name] = now
	p.fail(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true})
}

// fail ends an attempt with an error.
func (p *Pool) fail(a *attempt, err *aggregator.AttemptError) {
	p.end(a, aggregator.AttemptEnded{Err: err})
}

// end ends an attempt, unless it has ended. ended says how, but for the attempt's id.
func (p *Pool) end(a *attempt, ended aggregator.AttemptEnded) {
	if p.attempts[a.call.Attempt] != a {
		return
	}
	delete(p.attempts, a.call.Attempt)
	if a.conn != nil && a.conn.streams[a.call.Name] == a {
		delete(a.conn.streams, a.call.Name)
	}
	ended.Attempt = a.call.Attempt
	aggregator.StateSubject(ended.Err, a.host.id, a.call.Name)
	p.emit(ended)
}
