package balance

import (
	"slices"
	"time"
)

// capacity is the least fraction of its capacity that a server has by now.
func (b *Balancer) capacity(s *server) float64 { return b.slowStart.Capacity(&s.slowStart, b.now) }

// slowStartAllows reports whether a server that may be warming up may be sent a part.
func (b *Balancer) slowStartAllows(p *part, s *server) bool {
	return p.warmupTarget == s || b.slowStart.Allows(&s.slowStart, b.now, duration(b.fleet.PartWork()))
}

// earnSlowStart gives servers that warm up their parts of this balancer's flow: what a warm one gets, by capacity.
func (b *Balancer) earnSlowStart(passed time.Duration) {
	b.demand.Decay(passed, b.minObjective)
	warmingUp := func(s *server) bool { return b.capacity(s) < 1 }
	if b.settings.Instances <= maxExtrapolated || !slices.ContainsFunc(b.endpoints, warmingUp) {
		return
	}
	warm := 0.0
	for _, s := range b.endpoints {
		if s.listed && s.Healthy() {
			warm += b.capacity(s)
		}
	}
	owed := b.demand.Owed(passed, b.minObjective, warm)
	for _, s := range b.endpoints {
		b.slowStart.AddCredit(&s.slowStart, b.now, owed)
	}
}

// sampleWarming picks one of a part's replicas at random, by capacity, to which it may go though that is warming up; or
// none. Where balancers are many, what each owes a server that warms up lets it go seldom, and a query of sixty parts
// whose shards have only such replicas never. Picked at random, all balancers together send each replica its part of
// what its shards are asked. That is within rule 4 as long as demand is near what warm servers were seen to answer.
func (b *Balancer) sampleWarming(p *part) *server {
	if b.settings.Instances <= maxExtrapolated {
		return nil
	}
	candidates, sum := b.candidates(p), 0.0
	for _, s := range candidates {
		sum += b.capacity(s)
	}
	if sum == float64(len(candidates)) || b.demand.ExceedsPeak(sum, b.settings.Reach) {
		return nil
	}
	sample := b.rng.Float64() * sum
	for _, s := range candidates {
		if sample -= b.capacity(s); sample < 0 {
			return s
		}
	}
	return nil
}
