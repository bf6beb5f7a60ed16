package balance

import "rooktrestle/internal/control/suspicion"

// Limits for hedged requests, and for canceling an attempt to retry it elsewhere.
const (
	hedgesPerPart  = 0.02 // hedge tokens that a part earns, times the square root of Instances
	maxHedgeTokens = 16   // maximum number of hedge tokens retained
	cancelOverdue  = 2.0  // overdue times after which an attempt is canceled where hedging is not allowed
)

// hedge sends a second request for a part whose attempt is overdue, or cancels the attempt where hedging is
// not allowed.
func (b *Balancer) hedge(part *part) {
	attempt := part.lastAttempt()
	if !b.hedgeable(part, attempt) || micros(b.now-attempt.sent) <= b.hedgeAfter(part, attempt) ||
		b.hedgeTokens < 1 || !b.retryBudget.Allows(b.now) {
		return
	}
	server := b.choose(part)
	if server == nil || !server.acceptsHedges(part.query.Class) {
		return
	}
	// A backlog explains the overdue attempt: it will be served, and no sooner behind another backlog.
	current := attempt.server
	backlogged := b.fleet.Backlogged(&current.Server, b.now) && current.Path.Usable()
	if backlogged && !current.nearlyExcluded() && b.fleet.Backlogged(&server.Server, b.now) {
		return
	}
	b.hedgeTokens--
	if b.settings.CanHedge {
		b.emit(Hedge(b.startAttempt(part, server)))
	} else {
		b.cancel(attempt)
	}
}

// acceptsHedges reports whether a server may receive hedged requests of a class.
func (s *server) acceptsHedges(class int) bool {
	return s.PenaltyFor(class) == 0 && !s.Unresponsive && !s.nearlyExcluded()
}

// hedgeable reports whether a part may have a second request in addition to its last attempt.
func (b *Balancer) hedgeable(part *part, attempt *attempt) bool {
	if len(part.inFlight) > 1 || part.attempts >= part.query.maxAttempts || attempt.canceled {
		return false
	}
	switch part.query.class.Idempotency {
	case NonIdempotent:
		return false
	case KeyedIdempotent:
		return b.now+duration(b.fleet.Mean) <= part.inFlight[0].sent+part.query.class.DedupWindow
	}
	return true
}

// hedgeAfter returns the age beyond which an attempt is hedged or canceled, in microseconds.
func (b *Balancer) hedgeAfter(part *part, attempt *attempt) float64 {
	server := attempt.server
	if b.settings.CanHedge {
		if !server.HealthyFor(part.query.Class) || !server.Listed {
			return b.fleet.Typical()
		}
		return b.fleet.Overdue()
	}
	// Canceling loses the time waited and adds work, and the overdue parts of a healthy server are expensive
	// ones that would be overdue elsewhere too. Cancel only if the server is unresponsive, or if the part is
	// so long overdue that it must be lost.
	class := &server.PerClass[part.query.Class]
	if server.Listed && class.LastSuccess > attempt.sent && class.LossRate < suspicion.LossSmoothing {
		return suspicion.LostFactor * b.fleet.Overdue()
	}
	if !server.Path.Usable() {
		return b.fleet.Typical()
	}
	return cancelOverdue * b.fleet.Overdue()
}
