package leaf

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// attemptState is the progress of an attempt; it never goes back to an earlier state.
type attemptState int

const (
	stateQueued   attemptState = iota // waiting for a connection
	stateWriting                      // handed to the transport
	stateInFlight                     // written completely, not answered
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

// attempt is one attempt at a part, from Send until its AttemptEnded event is emitted.
type attempt struct {
	outgoing  aggregator.OutgoingAttempt
	host      *host
	conn      *conn // nil while it is queued
	state     attemptState
	writtenAt time.Time // when it was handed to the transport
	canceled  bool
	// unconfirmed: canceled, but ends only once the probe sent behind its cancel frame is answered. See Pool.Cancel.
	unconfirmed bool
}

// batch is the attempts sent to a server in one call.
type batch struct {
	host          *host
	addr          string    // the server's address when Send was called
	serverStarted time.Time // the server's start time as listed then
	attempts      []*attempt
}

// dispatch writes a batch on a connection that accepts it, or queues it for a new one. If that leaves no connection
// idle, it dials another one for the next batch, if mayAddConn allows it.
func (p *Pool) dispatch(now time.Time, batch *batch) {
	conn, idle := p.leastLoaded(now, batch)
	if conn == nil {
		p.enqueue(now, batch)
		return
	}
	p.write(now, conn, batch)
	if idle <= 1 && p.mayAddConn(batch.host) {
		p.connect(now, batch.host, batch.addr)
	}
}

// leastLoaded returns, of the open connections that accept a batch, the one with the fewest attempts in flight, nil if
// there is none, and how many of them are idle.
func (p *Pool) leastLoaded(now time.Time, batch *batch) (best *conn, idle int) {
	for _, conn := range batch.host.conns {
		if conn.state != connOpen || !p.accepts(now, conn, batch) {
			continue
		}
		if len(conn.streams) == 0 {
			idle++
		}
		if best == nil || len(conn.streams) < len(best.streams) {
			best = conn
		}
	}
	return best, idle
}

// mayAddConn reports whether another connection to a server may be opened for its next part, which would otherwise
// share one: a corrupt answer to one part ends the attempts of all parts on its connection. A quarter of
// Limits.MaxConnections is reserved for servers without a connection.
func (p *Pool) mayAddConn(h *host) bool {
	return len(h.conns) < p.limits.ConnsPerServer &&
		p.connCount < p.limits.MaxConnections*3/4 &&
		p.directory.Available(h.id) &&
		!h.isDialing()
}

// enqueue queues a batch, and dials if the connections being dialed cannot carry all batches that wait.
func (p *Pool) enqueue(now time.Time, batch *batch) {
	h := batch.host
	h.waiting = append(h.waiting, batch)
	capacity := 0
	for _, conn := range h.conns {
		if conn.state == connDialing && conn.addr == batch.addr {
			capacity += p.limits.MaxStreams
		}
	}
	waiting := 0
	for _, other := range h.waiting {
		if other.addr == batch.addr {
			waiting++
		}
	}
	if capacity < waiting {
		p.connect(now, h, batch.addr)
	}
}

// accepts reports whether a batch may be written on an open connection.
func (p *Pool) accepts(now time.Time, conn *conn, batch *batch) bool {
	if conn.unresponsive || conn.draining || !conn.partialSince.IsZero() || conn.addr != batch.addr {
		return false
	}
	// A batch of more than MaxStreams attempts is written on a connection with nothing else in flight.
	maxStreams := max(p.limits.MaxStreams, len(batch.attempts))
	if len(conn.streams)+len(batch.attempts) > maxStreams || p.stale(now, conn) {
		return false
	}
	for _, attempt := range batch.attempts {
		// A late answer to a previous attempt at the part would be taken for the answer to this one.
		if _, canceled := conn.canceledAt[attempt.outgoing.Name]; canceled || conn.streams[attempt.outgoing.Name] != nil {
			return false
		}
	}
	return true
}

// write hands a batch to a connection's transport.
func (p *Pool) write(now time.Time, conn *conn, batch *batch) {
	outgoing := make([]aggregator.OutgoingAttempt, len(batch.attempts))
	within := maxWriteDelay
	for i, attempt := range batch.attempts {
		outgoing[i] = attempt.outgoing
		if !attempt.outgoing.WriteBy.IsZero() {
			within = min(within, attempt.outgoing.WriteBy.Sub(now))
		}
		attempt.conn = conn
		attempt.state = stateWriting
		attempt.writtenAt = now
		conn.streams[attempt.outgoing.Name] = attempt
	}
	conn.lastUsed = now
	attempts := batch.attempts
	write := tcp.DeferredWrite{
		Size:   estimatedCallSize(outgoing),
		Within: within,
		Bytes:  func(now time.Time) []byte { return sendableFrame(now, outgoing) },
	}
	conn.transport.WriteDeferred(write, func(result tcp.WriteResult) {
		p.mailbox.Put(writeFinished{conn: conn, attempts: attempts, result: result})
	})
}

// endUnsendable ends those attempts of a batch that must not be sent on their connection, which is open now: the server may
// have begun draining, changed its address or restarted, and attempts may have expired. Traffic to a restarted
// server is limited while it warms up, and attempts meant for its previous process were not counted against that limit.
func (p *Pool) endUnsendable(now time.Time, batch *batch, listed aggregator.Server) {
	sendable := batch.attempts[:0]
	for _, attempt := range batch.attempts {
		switch {
		case !p.directory.Available(batch.host.id):
			p.fail(attempt, &aggregator.AttemptError{
				Progress: aggregator.NotConnected,
				Rejected: true,
				Cause:    errServerUnavailable,
			})
		case listed.Addr != batch.addr || !listed.Started.Equal(batch.serverStarted):
			p.fail(attempt, &aggregator.AttemptError{
				Progress: aggregator.NotConnected,
				Canceled: true,
				Cause:    errServerReplaced,
			})
		case attempt.outgoing.Expired(now):
			p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
		default:
			sendable = append(sendable, attempt)
		}
	}
	batch.attempts = sendable
}

// handleWriteFinished records how much of a call was written.
func (p *Pool) handleWriteFinished(m writeFinished) {
	if m.result == tcp.WriteComplete {
		p.Stats.Written += uint64(len(m.attempts))
	}
	for _, a := range m.attempts {
		p.handleWritten(a, m.result)
	}
	if m.result == tcp.WriteUncertain { // the transport is closing
		p.closeConn(m.conn, errBrokenDuringWrite)
	}
}

func (p *Pool) handleWritten(attempt *attempt, result tcp.WriteResult) {
	if p.attempts[attempt.outgoing.Attempt] != attempt || attempt.state != stateWriting {
		return
	}
	switch {
	case result == tcp.WriteNone: // the server received no byte of it, so it did not run
		p.fail(attempt, &aggregator.AttemptError{
			Progress: aggregator.NotConnected,
			Canceled: attempt.canceled,
			Cause:    errBrokenBeforeWrite,
		})
	case result == tcp.WriteExpired: // no byte of it was written, so it did not run
		p.fail(attempt, &aggregator.AttemptError{
			Progress: aggregator.NotConnected,
			Canceled: true,
			Cause:    errWriteExpired,
		})
	case attempt.conn.state == connClosed: // the complete frame may have been sent, so it may have run
		p.fail(attempt, &aggregator.AttemptError{
			Progress:      aggregator.Written,
			Canceled:      attempt.canceled,
			CorruptStream: attempt.conn.corrupt,
			Cause:         errBrokenDuringWrite,
		})
	default:
		attempt.state = stateInFlight
	}
}

// Cancel cancels an attempt, which ends once its server has been notified, as far as that can be determined. mayRetry
// reports that the part may be sent again. A written cancel frame then does not suffice on a connection on which nothing was
// received since the call was written: during a network partition the server may have received neither frame, or only the
// call, or may receive both when the partition ends. Such a connection is closed and its unsent bytes are discarded. If
// other parts are in flight on it, a probe is sent behind the cancel frame, and the connection is closed only if that is
// not answered in time.
func (p *Pool) Cancel(now time.Time, id aggregator.AttemptID, mayRetry bool) {
	attempt := p.attempts[id]
	if attempt == nil || attempt.canceled {
		return
	}
	attempt.canceled = true
	if attempt.state == stateQueued {
		p.cancelQueued(attempt)
		return
	}
	conn := attempt.conn
	if conn.isClosed() { // the attempt ends when its socket is closed
		return
	}
	attempt.unconfirmed = mayRetry && !conn.lastReceived.After(attempt.writtenAt)
	if attempt.unconfirmed && conn.allCanceled() {
		p.closeConn(conn, errUnresponsive)
		return
	}
	conn.lastUsed = now
	frame := AppendFrame(nil, frameCancel, []byte(attempt.outgoing.Name))
	if attempt.unconfirmed {
		conn.probes = append(conn.probes, &probe{
			host:     attempt.host,
			conn:     conn,
			sentAt:   now,
			deadline: p.probeDeadline(now),
			confirms: attempt,
		})
		frame = AppendFrame(frame, frameProbe, nil)
	}
	conn.transport.Write(frame, func(tcp.WriteResult) { p.mailbox.Put(cancelWritten{attempt: attempt}) })
}

// cancelQueued ends a canceled attempt that waits for a connection.
func (p *Pool) cancelQueued(canceled *attempt) {
	h := canceled.host
	for _, b := range h.waiting {
		b.attempts = slices.DeleteFunc(b.attempts, func(a *attempt) bool { return a == canceled })
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(b *batch) bool { return len(b.attempts) == 0 })
	p.fail(canceled, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
}

// handleCancelWritten ends a canceled attempt, unless a probe has yet to confirm that its server has read the cancel frame.
// The frame was written, or the connection is closed: either makes the server cancel the attempt.
func (p *Pool) handleCancelWritten(now time.Time, attempt *attempt) {
	conn := attempt.conn
	if p.attempts[attempt.outgoing.Attempt] != attempt || conn.state == connClosing {
		return
	}
	// Guards against an unreachable machine: its connections stay open and receive nothing, and every call written on them
	// counts as one that may have run. Dialing a new connection shows whether the machine is reachable.
	nothingReceived := conn.lastReceived.Before(attempt.writtenAt)
	if nothingReceived && now.Sub(attempt.writtenAt) > p.limits.UnresponsiveAfter {
		conn.unresponsive = true
	}
	if !attempt.unconfirmed || conn.state == connClosed {
		p.endCanceled(now, attempt)
	}
}

// endCanceled ends an attempt whose server has been notified of the cancellation.
func (p *Pool) endCanceled(now time.Time, attempt *attempt) {
	attempt.conn.canceledAt[attempt.outgoing.Name] = now
	p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true})
}

// fail ends an attempt with an error.
func (p *Pool) fail(attempt *attempt, err *aggregator.AttemptError) {
	p.end(attempt, aggregator.AttemptEnded{Err: err})
}

// end ends an attempt, unless it has ended already. ended is the event to emit; its Attempt field is set here.
func (p *Pool) end(attempt *attempt, ended aggregator.AttemptEnded) {
	if p.attempts[attempt.outgoing.Attempt] != attempt {
		return
	}
	delete(p.attempts, attempt.outgoing.Attempt)
	if attempt.conn != nil && attempt.conn.streams[attempt.outgoing.Name] == attempt {
		delete(attempt.conn.streams, attempt.outgoing.Name)
	}
	ended.Attempt = attempt.outgoing.Attempt
	aggregator.SetSubject(ended.Err, attempt.host.id, attempt.outgoing.Name)
	p.events.Emit(ended)
}
