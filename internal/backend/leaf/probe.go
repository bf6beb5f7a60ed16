package leaf

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

// probe is a request that a server answers at once. A load probe asks for the server's load on behalf of the core. A probe
// sent behind a cancel frame confirms that the server has read that frame. Answers arrive in the order in which the probes
// were sent on a connection.
type probe struct {
	host     *host
	conn     *conn // nil while it waits for a connection
	sentAt   time.Time
	deadline time.Time
	retried  bool // sent a second time, on another connection
	ended    bool // an answer that still arrives is dropped
	// confirms, if not nil, is a canceled attempt whose cancel frame the server has read once it answers.
	confirms *attempt
}

// Probe requests a load report from a server. The result is one ProbeEnded event.
func (p *Pool) Probe(now time.Time, to aggregator.Server) {
	p.dispatchProbe(now, &probe{host: p.host(to.ID), sentAt: now, deadline: p.probeDeadline(now)}, to.Addr)
}

func (p *Pool) probeDeadline(now time.Time) time.Time {
	return now.Add(p.limits.ConnectTimeout + timeoutSlack)
}

// acceptsProbe reports whether a load probe of the server at addr may be sent on the connection.
func (c *conn) acceptsProbe(addr string) bool {
	return c.state == connOpen && !c.unresponsive && !c.draining && c.addr == addr
}

// dispatchProbe sends a load probe on an open connection, or queues it for a new one.
func (p *Pool) dispatchProbe(now time.Time, probe *probe, addr string) {
	host := probe.host
	for _, conn := range host.conns {
		if conn.acceptsProbe(addr) && !p.stale(now, conn) {
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

// handleProbeAnswer handles the answer to the oldest unanswered probe on a connection.
func (p *Pool) handleProbeAnswer(now time.Time, conn *conn, payload string) error {
	if len(conn.probes) == 0 {
		return errUnexpectedProbeAnswer
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

// awaitsConfirmation reports whether the canceled attempt of a probe has not ended yet.
func (p *Pool) awaitsConfirmation(probe *probe) bool {
	return p.attempts[probe.confirms.outgoing.Attempt] == probe.confirms
}

// confirmationOverdue reports whether a probe behind a cancel frame is still unanswered at its deadline.
func (p *Pool) confirmationOverdue(now time.Time, probe *probe) bool {
	return probe.confirms != nil && p.awaitsConfirmation(probe) && !now.Before(probe.deadline)
}

// endProbeOfClosedConn ends a probe whose connection is closed. A load probe is sent once more, on another connection: a
// closed connection does not show that its server is unreachable.
func (p *Pool) endProbeOfClosedConn(conn *conn, probe *probe, cause error) {
	if probe.confirms != nil {
		return
	}
	if !probe.ended && !probe.retried && p.directory.Available(probe.host.id) {
		probe.retried = true
		p.dispatchProbe(probe.sentAt, probe, conn.addr)
		return
	}
	p.endProbe(probe.sentAt, probe, &aggregator.AttemptError{Progress: aggregator.Written, Cause: cause}, nil)
}

// endProbe ends a load probe, unless it has ended already.
func (p *Pool) endProbe(now time.Time, probe *probe, err error, report *balance.LoadReport) {
	if probe.ended {
		return
	}
	probe.ended = true
	p.events.Emit(aggregator.ProbeEnded{Server: probe.host.id, Err: err, Elapsed: now.Sub(probe.sentAt), Report: report})
}
