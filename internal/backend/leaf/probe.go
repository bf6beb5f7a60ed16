package leaf

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

// probe is a question to a server that it answers at once: for its load, on behalf of the core, or, behind a cancel frame,
// whether it has read that. Answers come in the order of the probes on a connection.
type probe struct {
	host     *host
	conn     *conn // nil while it waits for one
	sentAt   time.Time
	deadline time.Time
	retried  bool // sent a second time
	ended    bool // its answer, should it still come, is dropped
	// confirms, if set, is a canceled attempt: the answer shows that the server has read its cancel frame.
	confirms *attempt
}

// Probe asks a server for its load. One ProbeEnded event tells what came of it.
func (p *Pool) Probe(now time.Time, to aggregator.Server) {
	p.placeProbe(now, &probe{host: p.host(to.ID), sentAt: now, deadline: p.probeDeadline(now)}, to.Addr)
}

func (p *Pool) probeDeadline(now time.Time) time.Time {
	return now.Add(p.limits.ConnectTimeout + timeoutSlack)
}

// placeProbe sends a load probe on an open connection, or lets it wait for one.
func (p *Pool) placeProbe(now time.Time, pr *probe, addr string) {
	h := pr.host
	for _, c := range h.conns {
		if c.state == connOpen && !c.unresponsive && !c.draining && c.addr == addr && !p.stale(now, c) {
			p.sendLoadProbe(c, pr)
			return
		}
	}
	h.probes = append(h.probes, pr)
	if !slices.ContainsFunc(h.conns, func(c *conn) bool { return c.state == connDialing && c.addr == addr }) {
		p.connect(now, h, addr)
	}
}

func (p *Pool) sendLoadProbe(c *conn, pr *probe) {
	pr.conn = c
	c.probes = append(c.probes, pr)
	c.transport.Write(AppendFrame(nil, frameLoad, nil), nil)
}

// handleProbeAnswer takes the answer to the oldest probe on a connection.
func (p *Pool) handleProbeAnswer(now time.Time, c *conn, payload string) error {
	if len(c.probes) == 0 {
		return errUnexpectedProbe
	}
	pr := c.probes[0]
	c.probes = c.probes[1:]
	if pr.confirms != nil {
		if p.awaitsConfirmation(pr) {
			p.endCanceled(now, pr.confirms)
		}
		return nil
	}
	var err error
	if payload == probeFailed {
		err = &aggregator.AttemptError{Progress: aggregator.Answered}
	}
	p.endProbe(now, pr, err, parseReport(payload))
	return nil
}

// awaitsConfirmation reports whether the attempt that a probe confirms has not ended yet.
func (p *Pool) awaitsConfirmation(pr *probe) bool {
	return p.attempts[pr.confirms.call.Attempt] == pr.confirms
}

// confirmationOverdue reports whether a probe was to confirm by now that a server has read a cancel frame, and did not.
func (p *Pool) confirmationOverdue(now time.Time, pr *probe) bool {
	return pr.confirms != nil && p.awaitsConfirmation(pr) && !now.Before(pr.deadline)
}

// endProbeOfClosedConn ends a probe whose connection is closed. A load probe is sent once more: a connection may end while
// its server lives, and only a new one shows that.
func (p *Pool) endProbeOfClosedConn(c *conn, pr *probe, cause error) {
	if pr.confirms != nil {
		return
	}
	if !pr.ended && !pr.retried && p.directory.Available(pr.host.id) {
		pr.retried = true
		p.placeProbe(pr.sentAt, pr, c.addr)
		return
	}
	p.endProbe(pr.sentAt, pr, &aggregator.AttemptError{Progress: aggregator.Written, Cause: cause}, nil)
}

// endProbe ends a load probe, unless it has ended.
func (p *Pool) endProbe(now time.Time, pr *probe, err error, report *balance.LoadReport) {
	if pr.ended {
		return
	}
	pr.ended = true
	p.emit(aggregator.ProbeEnded{Server: pr.host.id, Err: err, Elapsed: now.Sub(pr.sentAt), Report: report})
}
