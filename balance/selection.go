package balance

import (
	"cmp"
	"math"
	"slices"
)

// How a replica is chosen.
const (
	zoneTolerance       = 1.5 // ranks within this factor of the best go to the own zone
	rankJitter          = 0.1 // random share in a rank: equal servers take turns, and balancers do not herd
	unhealthyRankFactor = 27  // times worse an unhealthy server ranks, as with two parts more in flight
	maxUsableLoss       = 0.4 // loss rate of a class below which a server helps while the healthy are busy
	unsafeHalfOpenDelay = 20  // overdue times that a half-open request waits longer if it must not run twice
)

// choose picks the replica for a part's next attempt: the lowest C3 rank among the candidates, or nil.
func (b *Balancer) choose(p *part) *server {
	candidates, halfOpen := b.withoutEjected(p)
	if halfOpen != nil {
		return halfOpen
	}
	// One with next to no traffic is not to get what only waits for another replica to be free.
	candidates = prefer(candidates, func(s *server) bool {
		return !s.nearlyExcluded() || !b.skipsByFraction(p, s)
	})
	available, healthy, usable := b.available(p, candidates)
	if len(available) == 0 {
		return nil
	}
	if len(healthy) > 0 {
		if s := b.halfOpen(p, available); s != nil {
			return s
		}
	}
	// A server that loses some answers takes what would wait long at the healthy ones.
	pool := append(slices.Clone(healthy), usable...)
	if len(healthy) == 0 {
		pool = p.leastSuspect(available)
	}
	unhealthyFrom := cmp.Or(len(healthy), len(pool)) // where none is healthy, all compete as equals
	winner := b.lowestRank(p, pool, unhealthyFrom)
	if p.attempts == 0 {
		b.pullBack(winner, pool[:unhealthyFrom])
	}
	return winner
}

// withoutEjected returns the candidates that are not ejected for a part's class, or all if there are none: an
// ejected server gets only parts whose replicas are all ejected. If a half-open request to one is granted, it
// returns that.
func (b *Balancer) withoutEjected(p *part) (candidates []*server, halfOpen *server) {
	candidates = b.candidates(p)
	if !slices.ContainsFunc(candidates, p.ejectedAt) {
		return candidates, nil
	}
	remaining := slices.DeleteFunc(slices.Clone(candidates), p.ejectedAt)
	if len(remaining) == 0 {
		return candidates, nil
	}
	for _, s := range candidates {
		if s.halfOpen(p.query.Class) && p.attempts == 0 && !p.query.halfOpenUsed && b.now >= s.avoidUntil {
			s.HalfOpenClasses &^= 1 << p.query.Class
			p.query.halfOpenUsed = true
			return nil, s
		}
	}
	return remaining, nil
}

// available returns the candidates that may be sent a part now, and of them those that are healthy, and those
// that are not but do most of what they are sent.
func (b *Balancer) available(p *part, candidates []*server) (available, healthy, usable []*server) {
	for _, s := range candidates {
		busy := slices.ContainsFunc(p.inFlight, func(a *attempt) bool { return a.server == s })
		if busy || b.now < s.avoidUntil || !b.slowStartAllows(p, s) ||
			s.MaxInFlight > 0 && len(s.InFlight) >= s.MaxInFlight {
			continue
		}
		available = append(available, s)
		if s.HealthyFor(p.query.Class) && !slices.Contains(p.failedOn, s) {
			healthy = append(healthy, s)
		} else if s.usableFor(p) {
			usable = append(usable, s)
		}
	}
	return available, healthy, usable
}

// halfOpen returns an unhealthy server to which this part is sent as a half-open request, or nil. Such a
// server recovers by one request at a time, and a query carries one: with many balancers a wide query finds
// one due at every unhealthy server. What must not run twice is the last to go there.
func (b *Balancer) halfOpen(p *part, available []*server) *server {
	if p.attempts > 0 || p.query.halfOpenUsed {
		return nil
	}
	delay := duration(0)
	if p.query.class.Idempotency == NonIdempotent {
		delay = duration(unsafeHalfOpenDelay * b.fleet.Overdue())
	}
	for _, s := range available {
		fault := s.Fault(p.query.Class)
		if fault != nil && !s.ProbeFailed && len(fault.InFlight) == 0 && !b.skipsByFraction(p, s) &&
			b.now >= fault.NextHalfOpen+delay && s.Path.AllowsHalfOpen(b.now) {
			p.query.halfOpenUsed = true
			return s
		}
	}
	return nil
}

// leastSuspect narrows down servers none of which is healthy: to a usable path, then to those that did not
// fail this part, then none of its class, then to the quick, then to the least penalty.
func (p *part) leastSuspect(servers []*server) []*server {
	servers = prefer(servers, func(s *server) bool { return s.Path.Usable() })
	servers = prefer(servers, func(s *server) bool { return !slices.Contains(p.failedOn, s) })
	servers = prefer(servers, func(s *server) bool { return s.PerClass[p.query.Class].Penalty == 0 })
	servers = prefer(servers, func(s *server) bool { return !s.Slow })
	least := math.Inf(1)
	for _, s := range servers {
		least = min(least, s.PenaltyFor(p.query.Class))
	}
	return prefer(servers, func(s *server) bool { return s.PenaltyFor(p.query.Class) == least })
}

// lowestRank returns the server with the lowest rank, where near ties go to the own zone. Those from index
// unhealthyFrom on rank worse, as do those that give this part to others.
func (b *Balancer) lowestRank(p *part, pool []*server, unhealthyFrom int) *server {
	ranks, best := make([]float64, len(pool)), math.Inf(1)
	for i, s := range pool {
		ranks[i] = b.rank(s) * (1 + b.rng.Float64()*rankJitter)
		if i >= unhealthyFrom || b.skipsByFraction(p, s) {
			ranks[i] *= unhealthyRankFactor
		}
		best = min(best, ranks[i])
	}
	winner, winnerIsLocal, winnerRank := (*server)(nil), false, 0.0
	for i, s := range pool {
		local := s.zone == b.settings.Zone
		if ranks[i] > best && (!local || ranks[i] > best*zoneTolerance) {
			continue
		}
		if winner == nil || local && !winnerIsLocal || local == winnerIsLocal && ranks[i] < winnerRank {
			winner, winnerIsLocal, winnerRank = s, local, ranks[i]
		}
	}
	return winner
}

// skipsByFraction reports, at random, whether a server with a traffic fraction gives this part to others:
// between two servers of which one has fraction w, it gets w parts for each of the other's.
func (b *Balancer) skipsByFraction(p *part, s *server) bool {
	fraction := cmp.Or(s.TrafficFraction, 1)
	for _, c := range p.Candidates {
		if c.Replica == s.id {
			fraction = min(fraction, cmp.Or(c.TrafficFraction, 1)) // its copy of the shard is warming up
		}
	}
	return fraction < 1 && b.rng.Float64() > 2*fraction/(1+fraction)
}

// sampleWarming picks one of a part's replicas at random, by capacity, to which it may go though that is
// warming up; or none. Where balancers are many, what each owes a server that warms up lets it go seldom, and
// a query of sixty parts whose shards have only such replicas never. Picked at random, all balancers together
// send each replica its part of what its shards are asked. That is within rule 4 as long as demand is near
// what warm servers were seen to answer.
func (b *Balancer) sampleWarming(p *part) *server {
	if b.fleet.Extrapolates() {
		return nil
	}
	candidates, sum := b.candidates(p), 0.0
	for _, s := range candidates {
		sum += b.fleet.Capacity(&s.Server, b.now)
	}
	if sum == float64(len(candidates)) || b.fleet.Demand.ExceedsPeak(sum, b.settings.Reach) {
		return nil
	}
	sample := b.rng.Float64() * sum
	for _, s := range candidates {
		if sample -= b.fleet.Capacity(&s.Server, b.now); sample < 0 {
			return s
		}
	}
	return nil
}

// slowStartAllows reports whether a server that may be warming up may be sent a part.
func (b *Balancer) slowStartAllows(p *part, s *server) bool {
	return p.warmupTarget == s || b.fleet.SlowStartAllows(&s.Server, b.now)
}

// usableFor reports whether a server that is not healthy does most of what a part of this class asks of it.
// What must not run twice does not go where some is lost.
func (s *server) usableFor(p *part) bool {
	trusted := !s.Unresponsive && !s.Slow && !s.ProbeFailed && s.Path.Usable() && s.LastSuccess > 0
	return trusted && p.query.class.Idempotency != NonIdempotent && !slices.Contains(p.failedOn, s) &&
		s.PerClass[p.query.Class].LossRate < maxUsableLoss
}

func (p *part) ejectedAt(s *server) bool { return s.ejected(p.query.Class) }

func (p *part) healthyAt(s *server) bool { return s.HealthyFor(p.query.Class) }
