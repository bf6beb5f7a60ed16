package serialconn

import (
	"encoding/json"
	"fmt"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/query"
)

// attempt is one attempt at a part, from Send until its end was emitted.
type attempt struct {
	call      aggregator.Call
	server    aggregator.Server
	conn      *conn
	progress  aggregator.Progress // as far as is known
	writeDone bool                // the transport has said how far its request was written
	canceled  bool
}

// write sends an attempt on a connection. What may have changed while it waited for the connection is checked again before
// its first byte: the server may have begun to drain, and the attempt's time may be over.
func (p *Pool) write(now time.Time, c *conn, a *attempt) {
	c.attempt = a
	a.conn = c
	request, err := p.request(now, a)
	if err != nil {
		p.fail(a, err)
		p.release(now, c)
		return
	}
	a.progress = aggregator.Written // until the transport says otherwise
	c.lastUsed = now
	c.transport.Write(request, func(result tcp.WriteResult) { p.mailbox.Put(writeFinished{attempt: a, result: result}) })
}

// request returns the bytes of an attempt, or why it must not be sent.
func (p *Pool) request(now time.Time, a *attempt) ([]byte, *aggregator.AttemptError) {
	if !p.directory.Available(a.server.ID) {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Rejected: true, Cause: errServerDraining}
	}
	if a.canceled || !now.Before(a.call.Deadline) {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true}
	}
	var work query.Work
	if err := json.Unmarshal([]byte(a.call.Payload), &work); err != nil {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: fmt.Errorf("payload: %w", err)}
	}
	request, err := p.codec(a.server.ID).Request(a.call, work)
	if err != nil {
		return nil, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: err}
	}
	return request, nil
}

// handleWritten takes how far an attempt's request was written.
func (p *Pool) handleWritten(a *attempt, result tcp.WriteResult) {
	a.writeDone = true
	if result == tcp.WriteNone {
		a.progress = aggregator.NotConnected
	}
	if a.conn.closed && p.attempts[a.call.Attempt] == a {
		p.failLost(a, errBroken)
	}
}

// failLost ends an attempt whose connection is closed, if it is known how far its request was written; else
// handleWritten ends it.
func (p *Pool) failLost(a *attempt, cause error) {
	switch {
	case a.progress < aggregator.Written:
		p.fail(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: a.canceled, Cause: cause})
	case a.writeDone:
		p.fail(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: a.canceled, Cause: cause})
	}
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
	if a.conn != nil && a.conn.attempt == a {
		a.conn.attempt = nil
	}
	ended.Attempt = a.call.Attempt
	aggregator.StateSubject(ended.Err, a.server.ID, a.call.Name)
	p.emit(ended)
}
