package balance

import "rooktrestle/internal/control/suspicion"

// When a request is hedged, or canceled to be retried elsewhere.
const (
	hedgesPerPart  = 0.02 // hedged requests that a part earns, times root Instances
	maxHedgeTokens = 16   // the most kept for later
	cancelOverdue  = 2.0  // overdue times after which a part is canceled and retried, without hedging
)

// hedge sends a second request for a part whose attempt is overdue, or cancels it where hedging is not
// allowed.
func (b *Balancer) hedge(p *part) {
	a := p.lastAttempt()
	if !b.hedgeable(p, a) || micros(b.now-a.sent) <= b.hedgeAfter(p, a) ||
		b.hedgeTokens < 1 || !b.retryBudget.Allows(b.now) {
		return
	}
	s := b.choose(p)
	if s == nil || s.PenaltyFor(p.query.Class) > 0 || s.Unresponsive || s.nearlyExcluded() {
		return
	}
	// A backlog says why the attempt is late: it is done there all the same, and no sooner behind another.
	current := a.server
	backlogged := b.fleet.Backlogged(&current.Server, b.now) && current.Path.Usable()
	if backlogged && !current.nearlyExcluded() && b.fleet.Backlogged(&s.Server, b.now) {
		return
	}
	b.hedgeTokens--
	if b.settings.CanHedge {
		b.send(p, s, true)
	} else {
		b.cancel(a)
	}
}

// hedgeable reports whether a part may have a second request beside attempt a.
func (b *Balancer) hedgeable(p *part, a *attempt) bool {
	if len(p.inFlight) > 1 || p.attempts >= b.settings.MaxAttempts || a.canceled {
		return false
	}
	switch p.query.class.Idempotency {
	case NonIdempotent:
		return false
	case KeyedIdempotent:
		return b.now+duration(b.fleet.Mean) <= p.inFlight[0].sent+p.query.class.DedupWindow
	}
	return true
}

// hedgeAfter is the age in microseconds beyond which an attempt is hedged or canceled.
func (b *Balancer) hedgeAfter(p *part, a *attempt) float64 {
	s := a.server
	if b.settings.CanHedge {
		if !s.HealthyFor(p.query.Class) || !s.Listed {
			return b.fleet.Typical()
		}
		return b.fleet.Overdue()
	}
	// To start over loses the time waited and adds work, and the overdue parts of a healthy server are heavy
	// ones, overdue again elsewhere: only where the server answers nothing, or so late that the part is lost
	// there.
	class := &s.PerClass[p.query.Class]
	if s.Listed && class.LastSuccess > a.sent && class.LossRate < suspicion.LossSmoothing {
		return suspicion.LostFactor * b.fleet.Overdue()
	}
	if !s.Path.Usable() {
		return b.fleet.Typical()
	}
	return cancelOverdue * b.fleet.Overdue()
}
