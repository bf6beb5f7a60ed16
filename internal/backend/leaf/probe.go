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

// takesProbe reports whether a load probe of the server at addr may go out on the connection.
func (c *conn) takesProbe(addr string) bool {
	return c.state == connOpen && !c.unresponsive && !c.draining && c.addr == addr
}

// placeProbe sends a load probe on an open connection, or lets it wait for one.
func (p *Pool) placeProbe(now time.Time, probe *probe, addr string) {
	host := probe.host
	for _, conn := range host.conns {
		if conn.takesProbe(addr) && !p.stale(now, conn) {
			p.sendLoadProbe(conn, probe)
			return
		}
	}
	host.probes = append(host.probes, probe)
	isDialing := func(conn *conn) bool { return conn.state == connDialing && conn.addr == addr }
	if !slices.ContainsFunc(host.conns, isDialing) {
		p.connect(now, host, addr)
	}
}

func (p *Pool) sendLoadProbe(conn *conn, probe *probe) {
	probe.conn = conn
	conn.probes = append(conn.probes, probe)
	conn.transport.Write(AppendFrame(nil, frameLoad, nil), nil)
}

// handleProbeAnswer takes the answer to the oldest probe on a connection.
func (p *Pool) handleProbeAnswer(now time.Time, conn *conn, payload string) error {
	if len(conn.probes) == 0 {
		return errUnexpectedProbe
	}
	probe := conn.probes[0]
	conn.probes = conn.probes[1:]
	if probe.confirms != nil {
		if p.awaitsConfirmation(probe) {
			p.endCanceled(now, probe.confirms)
		}
		return nil
	}
	var err error
	if payload == probeFailed {
		err = &aggregator.AttemptError{Progress: aggregator.Answered}
	}
	p.endProbe(now, probe, err, parseReport(payload))
	return nil
}

// awaitsConfirmation reports whether the attempt that a probe confirms has not ended yet.
func (p *Pool) awaitsConfirmation(probe *probe) bool {
	return p.attempts[probe.confirms.call.Attempt] == probe.confirms
}

// confirmationOverdue reports whether a probe was to confirm by now that a server has read a cancel frame, and did not.
func (p *Pool) confirmationOverdue(now time.Time, probe *probe) bool {
	return probe.confirms != nil && p.awaitsConfirmation(probe) && !now.Before(probe.deadline)
}

// endProbeOfClosedConn ends a probe whose connection is closed. A load probe is sent once more: a connection may end while
// its server lives, and only a new one shows that.
func (p *Pool) endProbeOfClosedConn(conn *conn, probe *probe, cause error) {
	if probe.confirms != nil {
		return
	}
	if !probe.ended && !probe.retried && p.directory.Available(probe.host.id) {
		probe.retried = true
		p.placeProbe(probe.sentAt, probe, conn.addr)
		return
	}
	p.endProbe(probe.sentAt, probe, &aggregator.AttemptError{Progress: aggregator.Written, Cause: cause}, nil)
}

// endProbe ends a load probe, unless it has ended.
func (p *Pool) endProbe(now time.Time, probe *probe, err error, report *balance.LoadReport) {
	if probe.ended {
		return
	}
	probe.ended = true
	p.emit(aggregator.ProbeEnded{Server: probe.host.id, Err: err, Elapsed: now.Sub(probe.sentAt), Report: report})
}
