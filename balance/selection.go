package balance

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the selection of a replica.
const (
	zoneTolerance       = 1.5 // a rank within this factor of the best wins if its server is in the own zone
	rankJitter          = 0.1 // random fraction of a rank: spreads parts over equal servers, avoids herding
	unhealthyRankFactor = 27  // factor on an unhealthy server's rank: 3^3, as for two more parts in flight
	maxUsableLoss       = 0.4 // loss rate below which an unhealthy server is used while healthy ones are busy
	nonIdempotentDelay  = 20  // extra delay of a non-idempotent half-open request, in overdue times
)

// choose returns the replica for a part's next attempt, the candidate with the lowest C3 rank, or nil if none
// is available.
func (b *Balancer) choose(part *part) *server {
	candidates, halfOpen := b.withoutEjected(part)
	if halfOpen != nil {
		return halfOpen
	}
	// A nearly excluded server must not receive a part that only waits for another replica to be free.
	candidates = prefer(candidates, func(s *server) bool {
		return !s.nearlyExcluded() || !b.skipsByFraction(part, s)
	})
	available, healthy, usable := b.available(part, candidates)
	if len(available) == 0 {
		return nil
	}
	if len(healthy) > 0 {
		if server := b.halfOpenTarget(part, available); server != nil {
			return server
		}
	}
	// A server that loses some answers receives parts that would wait long at the healthy ones.
	pool := append(slices.Clone(healthy), usable...)
	if len(healthy) == 0 {
		pool = part.leastSuspect(available)
	}
	unhealthyFrom := cmp.Or(len(healthy), len(pool)) // if none is healthy, all are ranked alike
	winner := b.lowestRank(part, pool, unhealthyFrom)
	if part.attempts == 0 {
		b.pullBack(winner, pool[:unhealthyFrom])
	}
	return winner
}

// withoutEjected returns the candidates that are not ejected for a part's class, or all if every one is
// ejected. If an ejected server may receive the part as a half-open request, it returns that server instead.
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
		if server.allowsHalfOpen(part.query.Class) && part.mayBeHalfOpen() && b.now >= server.avoidUntil {
			server.HalfOpenClasses &^= 1 << part.query.Class
			part.query.halfOpenUsed = true
			return nil, server
		}
	}
	return remaining, nil
}

// available returns the candidates to which a part may be sent now: all of them, the healthy ones, and those
// that are not healthy but usable.
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

// halfOpenTarget returns an unhealthy server to which this part is sent as a half-open request, or nil. Such
// a server receives one such request at a time, and a query sends one: with many balancers, a wide query
// would find one due at every unhealthy server. Non-idempotent parts are used only after a further delay.
func (b *Balancer) halfOpenTarget(part *part, available []*server) *server {
	if !part.mayBeHalfOpen() {
		return nil
	}
	delay := duration(0)
	if part.query.class.Idempotency == NonIdempotent {
		delay = duration(nonIdempotentDelay * b.fleet.Overdue())
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

// leastSuspect narrows down servers none of which is healthy, step by step: to those with a usable path,
// without a failure of this part, without a penalty of its class, not slow, and with the least penalty.
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

// lowestRank returns the server with the lowest rank, where near ties go to the own zone. Servers from index
// unhealthyFrom on rank worse, as do those that skip this part because of their traffic fraction.
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

// skipsByFraction reports, at random, whether a server with a traffic fraction leaves this part to others. Of
// two servers, one with fraction w receives w parts for each part of the other.
func (b *Balancer) skipsByFraction(p *part, s *server) bool {
	fraction := cmp.Or(s.TrafficFraction, 1)
	for _, c := range p.Candidates {
		if c.Replica == s.id {
			fraction = min(fraction, cmp.Or(c.TrafficFraction, 1)) // its copy of the shard is warming up
		}
	}
	return fraction < 1 && b.rng.Float64() > 2*fraction/(1+fraction)
}

// sampleWarmupTarget picks one of a part's replicas at random, by capacity, to which it may be sent even if
// that replica is warming up; or nil. With many balancers, the credit of each for a server that warms up
// rarely allows a part, and never a query of sixty parts whose shards have only such replicas. By random
// picks, all balancers together send each replica its share of the demand for its shards, which does not
// overload it (rule 4) as long as demand is near the rate that warm servers have answered.
func (b *Balancer) sampleWarmupTarget(part *part) *server {
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

// slowStartAllows reports whether slow start allows a part to be sent to a server.
func (b *Balancer) slowStartAllows(p *part, s *server) bool {
	return p.warmupTarget == s || b.fleet.SlowStartAllows(&s.Server, b.now)
}

// usableFor reports whether a server that is not healthy answers most parts of this part's class.
// Non-idempotent parts are not sent to a server that loses some.
func (s *server) usableFor(p *part) bool {
	trusted := !s.Unresponsive && !s.Slow && !s.ProbeFailed && s.Path.Usable() && s.LastSuccess > 0
	return trusted && p.query.class.Idempotency != NonIdempotent && !slices.Contains(p.failedOn, s) &&
		s.PerClass[p.query.Class].LossRate < maxUsableLoss
}
