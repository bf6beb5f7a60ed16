package leaf

import (
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// wakeup is the earliest of some times; zero if there is none.
type wakeup struct{ earliest time.Time }

func (w *wakeup) notLaterThan(t time.Time) {
	if w.earliest.IsZero() || t.Before(w.earliest) {
		w.earliest = t
	}
}

// Sweep ends probes that are overdue and closes connections that are not to be used any more: before the server does for
// idleness, or because of a frame or a confirmation that does not come. It returns when it has to be called again; zero if
// nothing is due.
func (p *Pool) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	p.handling = true
	var next wakeup
	for _, h := range p.sortedHosts() {
		for _, pr := range h.probes {
			p.sweepProbe(now, pr, &next)
		}
		for _, c := range slices.Clone(h.conns) {
			p.sweepConn(now, c, &next)
		}
		if len(h.conns) == 0 && len(h.waiting) == 0 && len(h.probes) == 0 {
			delete(p.hosts, h.id)
		}
	}
	return p.takeEvents(), next.earliest
}

func (p *Pool) sweepProbe(now time.Time, pr *probe, next *wakeup) {
	switch {
	case pr.confirms != nil: // sweepConn closes the connection of one that is overdue
		if p.awaitsConfirmation(pr) && now.Before(pr.deadline) {
			next.notLaterThan(pr.deadline)
		}
	case pr.ended:
	case !now.Before(pr.deadline):
		p.endProbe(now, pr, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}, nil)
	default:
		next.notLaterThan(pr.deadline)
	}
}

func (p *Pool) sweepConn(now time.Time, c *conn, next *wakeup) {
	for _, pr := range c.probes {
		p.sweepProbe(now, pr, next)
	}
	if slices.ContainsFunc(c.probes, func(pr *probe) bool { return p.confirmationOverdue(now, pr) }) {
		p.closeConn(c, errUnresponsive)
		return
	}
	for name, canceledAt := range c.canceledAt {
		if now.Sub(canceledAt) > lateAnswerWindow {
			delete(c.canceledAt, name)
		}
	}
	if !c.partialSince.IsZero() {
		due := c.partialSince.Add(maxPartialFrameAge)
		if !now.Before(due) {
			p.closeCorrupt(c, errIncompleteFrame)
			return
		}
		next.notLaterThan(due)
	}
	if c.state != connDialing && len(c.streams) == 0 {
		p.sweepIdleConn(now, c, next)
	}
}

func (p *Pool) sweepIdleConn(now time.Time, c *conn, next *wakeup) {
	switch {
	case c.draining:
		p.closeConn(c, errDrained)
	case p.limits.IdleTimeout <= 0:
	case p.stale(now, c):
		p.closeConn(c, errIdle)
	default:
		next.notLaterThan(c.lastUsed.Add(p.maxIdle() + time.Millisecond))
	}
}
