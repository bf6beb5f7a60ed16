package leaf

import (
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// wakeup is the earliest of the times passed to notLaterThan; zero if there was none.
type wakeup struct{ earliest time.Time }

func (w *wakeup) notLaterThan(t time.Time) {
	if w.earliest.IsZero() || t.Before(w.earliest) {
		w.earliest = t
	}
}

// Sweep ends overdue probes and closes connections: idle ones before the server closes them, draining ones, and those with
// an overdue frame or an overdue answer to a probe behind a cancel frame. It returns when it has to be called again; zero if
// nothing is pending.
func (p *Pool) Sweep(now time.Time) (events []aggregator.Event, next time.Time) {
	events = p.events.Collect(func() { next = p.sweep(now) })
	return events, next
}

func (p *Pool) sweep(now time.Time) time.Time {
	var next wakeup
	for _, host := range p.sortedHosts() {
		for _, probe := range host.probes {
			p.sweepProbe(now, probe, &next)
		}
		for _, conn := range slices.Clone(host.conns) {
			p.sweepConn(now, conn, &next)
		}
		if len(host.conns) == 0 && len(host.waiting) == 0 && len(host.probes) == 0 {
			delete(p.hosts, host.id)
		}
	}
	return next.earliest
}

func (p *Pool) sweepProbe(now time.Time, probe *probe, next *wakeup) {
	switch {
	case probe.confirms != nil: // sweepConn closes the connection if the answer is overdue
		if p.awaitsConfirmation(probe) && now.Before(probe.deadline) {
			next.notLaterThan(probe.deadline)
		}
	case probe.ended:
	case !now.Before(probe.deadline):
		p.endProbe(now, probe, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}, nil)
	default:
		next.notLaterThan(probe.deadline)
	}
}

func (p *Pool) sweepConn(now time.Time, conn *conn, next *wakeup) {
	for _, probe := range conn.probes {
		p.sweepProbe(now, probe, next)
	}
	if slices.ContainsFunc(conn.probes, func(probe *probe) bool { return p.confirmationOverdue(now, probe) }) {
		p.closeConn(conn, errUnresponsive)
		return
	}
	for name, canceledAt := range conn.canceledAt {
		if now.Sub(canceledAt) > lateAnswerWindow {
			delete(conn.canceledAt, name)
		}
	}
	if !conn.partialSince.IsZero() {
		due := conn.partialSince.Add(maxPartialFrameAge)
		if !now.Before(due) {
			p.closeCorrupt(conn, errIncompleteFrame)
			return
		}
		next.notLaterThan(due)
	}
	if conn.state != connDialing && len(conn.streams) == 0 {
		p.sweepIdleConn(now, conn, next)
	}
}

func (p *Pool) sweepIdleConn(now time.Time, conn *conn, next *wakeup) {
	switch {
	case conn.draining:
		p.closeConn(conn, errDrained)
	case p.limits.IdleTimeout <= 0:
	case p.stale(now, conn):
		p.closeConn(conn, errIdle)
	default:
		next.notLaterThan(conn.lastUsed.Add(p.maxIdle() + time.Millisecond))
	}
}
