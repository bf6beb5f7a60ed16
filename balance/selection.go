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
func (b *Balancer) choose(part *part) *server {
	candidates, halfOpen := b.withoutEjected(part)
	if halfOpen != nil {
		return halfOpen
	}
	// A nearly excluded server must not get a part that only waits for another replica to be free.
	candidates = prefer(candidates, func(s *server) bool {
		return !s.nearlyExcluded() || !b.skipsByFraction(part, s)
	})
	available, healthy, usable := b.available(part, candidates)
	if len(available) == 0 {
		return nil
	}
	if len(healthy) > 0 {
		if server := b.halfOpen(part, available); server != nil {
			return server
		}
	}
	// A server that loses some answers takes what would wait long at the healthy ones.
	pool := append(slices.Clone(healthy), usable...)
	if len(healthy) == 0 {
		pool = part.leastSuspect(available)
	}
	unhealthyFrom := cmp.Or(len(healthy), len(pool)) // where none is healthy, all compete as equals
	winner := b.lowestRank(part, pool, unhealthyFrom)
	if part.attempts == 0 {
		b.pullBack(winner, pool[:unhealthyFrom])
	}
	return winner
}

// withoutEjected returns the candidates that are not ejected for a part's class, or all if there are none: an
// ejected server gets only parts whose replicas are all ejected. If a half-open request to one is granted, it
// returns that.
func (b *Balancer) withoutEjected(part *part) (candidates []*server, halfOpen *server) {
	candidates = b.candidates(part)
	if !slices.ContainsFunc(candidates, part.ejectedAt) {
		return candidates, nil
	}
	remaining := slices.DeleteFunc(slices.Clone(candidates), part.ejectedAt)
	if len(remaining) == 0 {
		return candidates, nil
	}
	for _, server := range candidates {
		if server.halfOpen(part.query.Class) && part.mayBeHalfOpen() && b.now >= server.avoidUntil {
			server.HalfOpenClasses &^= 1 << part.query.Class
			part.query.halfOpenUsed = true
			return nil, server
		}
	}
	return remaining, nil
}

// available returns the candidates that may be sent a part now: all of them, the healthy, and those that are
// not healthy but usable.
func (b *Balancer) available(part *part, candidates []*server) (all, healthy, usable []*server) {
	for _, server := range candidates {
		busy := slices.ContainsFunc(part.inFlight, func(a *attempt) bool { return a.server == server })
		if busy || b.now < server.avoidUntil || !b.slowStartAllows(part, server) ||
			server.MaxInFlight > 0 && len(server.InFlight) >= server.MaxInFlight {
			continue
		}
		all = append(all, server)
		if server.HealthyFor(part.query.Class) && !slices.Contains(part.failedOn, server) {
			healthy = append(healthy, server)
		} else if server.usableFor(part) {
			usable = append(usable, server)
		}
	}
	return all, healthy, usable
}

// halfOpen returns an unhealthy server to which this part is sent as a half-open request, or nil. Such a
// server recovers by one request at a time, and a query carries one: with many balancers a wide query finds
// one due at every unhealthy server. What must not run twice is the last to go there.
func (b *Balancer) halfOpen(part *part, available []*server) *server {
	if !part.mayBeHalfOpen() {
		return nil
	}
	delay := duration(0)
	if part.query.class.Idempotency == NonIdempotent {
		delay = duration(unsafeHalfOpenDelay * b.fleet.Overdue())
	}
	for _, server := range available {
		fault := server.Fault(part.query.Class)
		if fault == nil || server.ProbeFailed || len(fault.InFlight) > 0 || b.skipsByFraction(part, server) {
			continue
		}
		if b.now >= fault.NextHalfOpen+delay && server.Path.AllowsHalfOpen(b.now) {
			part.query.halfOpenUsed = true
			return server
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
	for _, server := range servers {
		least = min(least, server.PenaltyFor(p.query.Class))
	}
	return prefer(servers, func(s *server) bool { return s.PenaltyFor(p.query.Class) == least })
}

// lowestRank returns the server with the lowest rank, where near ties go to the own zone. Those from index
// unhealthyFrom on rank worse, as do those that give this part to others.
func (b *Balancer) lowestRank(part *part, pool []*server, unhealthyFrom int) *server {
	ranks := make([]float64, len(pool))
	best := math.Inf(1)
	for i, server := range pool {
		ranks[i] = b.rank(server) * (1 + b.rng.Float64()*rankJitter)
		if i >= unhealthyFrom || b.skipsByFraction(part, server) {
			ranks[i] *= unhealthyRankFactor
		}
		best = min(best, ranks[i])
	}
	var winner *server
	winnerIsLocal := false
	winnerRank := 0.0
	for i, server := range pool {
		local := server.zone == b.settings.Zone
		if ranks[i] > best && (!local || ranks[i] > best*zoneTolerance) {
			continue
		}
		if winner == nil || local && !winnerIsLocal || local == winnerIsLocal && ranks[i] < winnerRank {
			winner = server
			winnerIsLocal = local
			winnerRank = ranks[i]
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
func (b *Balancer) sampleWarming(part *part) *server {
	if b.fleet.Extrapolates() {
		return nil
	}
	candidates := b.candidates(part)
	sum := 0.0
	for _, server := range candidates {
		sum += b.fleet.Capacity(&server.Server, b.now)
	}
	if sum == float64(len(candidates)) || b.fleet.Demand.ExceedsPeak(sum, b.settings.Reach) {
		return nil
	}
	sample := b.rng.Float64() * sum
	for _, server := range candidates {
		if sample -= b.fleet.Capacity(&server.Server, b.now); sample < 0 {
			return server
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
