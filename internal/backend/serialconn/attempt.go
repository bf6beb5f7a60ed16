package serialconn

import (
	"encoding/json"
	"fmt"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/query"
)

// attempt is one attempt at a part, from Send until its AttemptEnded event is emitted.
type attempt struct {
	outgoing  aggregator.OutgoingAttempt
	work      query.Work // decoded payload
	server    aggregator.Server
	conn      *conn
	progress  aggregator.Progress // an upper bound until the write result arrives
	writeDone bool                // the transport has reported how much of its request was written
	canceled  bool
}

// decodeWork decodes an attempt's payload.
func (a *attempt) decodeWork() *aggregator.AttemptError {
	if err := json.Unmarshal([]byte(a.outgoing.Payload), &a.work); err != nil {
		return &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: fmt.Errorf("decode payload: %w", err)}
	}
	return nil
}

// write sends an attempt on a connection. Conditions that may have changed while the attempt waited for the connection are
// checked again before its first byte: the server may have begun draining, and the attempt may have expired.
func (p *Pool) write(now time.Time, conn *conn, attempt *attempt) {
	conn.attempt = attempt
	attempt.conn = conn
	request, err := p.request(now, attempt)
	if err != nil {
		p.fail(attempt, err)
		p.release(now, conn)
		return
	}
	attempt.progress = aggregator.Written // until the transport reports that no byte was written
	conn.lastUsed = now
	conn.transport.Write(request, func(result tcp.WriteResult) {
		p.mailbox.Put(writeFinished{attempt: attempt, result: result})
	})
}

// request returns the encoded request of an attempt, or the error with which it ends unsent.
func (p *Pool) request(now time.Time, attempt *attempt) ([]byte, *aggregator.AttemptError) {
	if !p.directory.Available(attempt.server.ID) {
		return nil, &aggregator.AttemptError{
			Progress: aggregator.NotConnected,
			Rejected: true,
			Cause:    errServerUnavailable,
		}
	}
	outgoing := &attempt.outgoing
	if attempt.canceled || outgoing.Expired(now) || outgoing.Abandoned != nil && outgoing.Abandoned(now) {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true}
	}
	request, err := p.codec(attempt.server.ID).Request(attempt.outgoing, attempt.work)
	if err != nil {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: err}
	}
	return request, nil
}

// handleWritten records how much of an attempt's request was written.
func (p *Pool) handleWritten(attempt *attempt, result tcp.WriteResult) {
	attempt.writeDone = true
	if result == tcp.WriteNone {
		attempt.progress = aggregator.NotConnected
	}
	if attempt.conn.closed && p.attempts[attempt.outgoing.Attempt] == attempt {
		p.failLost(attempt, errBroken)
	}
}

// failLost ends an attempt whose connection is closed, if its write result has arrived or nothing was written; otherwise
// handleWritten ends it.
func (p *Pool) failLost(attempt *attempt, cause error) {
	switch {
	case attempt.progress < aggregator.Written:
		p.fail(attempt, &aggregator.AttemptError{
			Progress: aggregator.NotConnected,
			Canceled: attempt.canceled,
			Cause:    cause,
		})
	case attempt.writeDone:
		p.fail(attempt, &aggregator.AttemptError{
			Progress: aggregator.Written,
			Canceled: attempt.canceled,
			Cause:    cause,
		})
	}
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
	if attempt.conn != nil && attempt.conn.attempt == attempt {
		attempt.conn.attempt = nil
	}
	ended.Attempt = attempt.outgoing.Attempt
	aggregator.SetSubject(ended.Err, attempt.server.ID, attempt.outgoing.Name)
	p.events.Emit(ended)
}
