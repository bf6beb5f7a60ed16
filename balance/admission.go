package balance

import (
	"math"
	"slices"

	"rooktrestle/internal/control/estimate"
)

// When new queries are rejected.
const (
	admissionFraction  = 0.8  // of the time left: what a query of mean weight may be expected to take
	minAdmissionFactor = 0.5  // least that a query's weight per part makes of that fraction
	maxAdmissionFactor = 1.2  // most that it makes of that fraction
	weightSmoothing    = 0.02 // weight of one query in the mean weight and number of parts
	minObservedLatency = 0.5  // of the objective: what recent responses must have taken for a rejection
	hopelessTimeLeft   = 0.25 // of the objective: only with less left may service times alone reject
	minInFlightToJudge = 2    // own requests in flight from which a server's recent latency closes it
	minTrafficFraction = 0.01 // a traffic fraction so small that parts rather wait for another replica
)

// admit reports whether a query's answer may be expected in time. Guards against overload, whatever brings
// it: work that will be late is rejected before it costs anything, queries of little weight per part first.
func (b *Balancer) admit(query *query) bool {
	factor := b.admissionFactor(query)
	left := micros(b.stepDue(query) - b.now)
	limit := left * admissionFraction * factor
	needed := query.neededWeight()
	least := min(query.minWeight(), needed)
	open := b.openWeight(query, limit)
	minTimeLeft := min(b.fleet.MedianServiceTime, hopelessTimeLeft*micros(query.class.Objective))
	if left <= minTimeLeft || open < least-weightTolerance {
		return false
	}
	// Reject only if both say so: recent response times, which lag, and the number in flight, high in a lull.
	deviations := estimate.TailDeviations(len(query.parts), 1-(least+needed)/2)
	if delay, measured := b.fleet.ObservedQueueDelay(b.now); measured {
		return b.fleet.SlowestResponseTimeWithQueue(deviations, delay) <= limit
	}
	slowest := b.fleet.SlowestResponseTime(deviations)
	if slowest <= micros(query.class.Objective)*minObservedLatency {
		return true
	}
	expected, measured := b.fleet.ExpectedResponseTime(b.now, query.Class, len(query.parts), slowest)
	if expected > limit && !measured {
		b.fleet.ForgetExcess() // a rejection brings no answers, so each forgets some of what made it
	}
	return expected <= limit
}

// admissionFactor weighs a query's weight per part against the mean, and takes it into that mean.
func (b *Balancer) admissionFactor(query *query) float64 {
	weight := query.class.Weight
	parts := float64(max(1, query.Parts))
	if b.settings.WeightByWork {
		weight *= parts
	}
	if !b.tenantRates.Take(query.Tenant, b.now) {
		weight *= b.settings.OverQuotaFactor
	}
	b.meanWeight += weightSmoothing * (weight - b.meanWeight)
	b.meanParts += weightSmoothing * (parts - b.meanParts)
	factor := math.Cbrt(weight / parts * b.meanParts / b.meanWeight)
	return min(maxAdmissionFactor, max(minAdmissionFactor, factor))
}

// openWeight is the weight of the parts that have an open replica. A query that lacks a shard is not begun.
func (b *Balancer) openWeight(q *query, limit float64) (open float64) {
	for _, p := range q.parts {
		candidates := prefer(b.candidates(p), func(s *server) bool { return !s.nearlyExcluded() })
		if slices.ContainsFunc(candidates, func(s *server) bool { return b.isOpen(p, s, limit) }) {
			open += p.Weight
		}
	}
	return open
}

// isOpen reports whether a replica may answer a part within limit microseconds. It is open unless it is full,
// warming up without capacity, has requests in flight and took too long lately, or is too slow and no
// half-open request is due.
func (b *Balancer) isOpen(p *part, s *server, limit float64) bool {
	halfOpen := len(s.InFlight) == 0 && b.now >= s.NextHalfOpen
	quick := s.RecentMean() <= limit || !s.Slow && len(s.InFlight) < minInFlightToJudge
	return b.now >= s.avoidUntil && b.slowStartAllows(p, s) && (quick || halfOpen) &&
		b.fleet.QueueDelay(&s.Server, b.now) <= max(0, limit-b.fleet.InitialMean())
}

// shedOptionalParts leaves out parts that a query can do without where half of a shard's replicas are
// excluded and the others have long queues. What these can do is for queries that need each of their parts:
// one lost there wastes all others. It returns the weight that can still be reached.
func (b *Balancer) shedOptionalParts(query *query, reachable float64) float64 {
	if query.minWeight() >= query.neededWeight() {
		return reachable
	}
	for _, part := range query.parts {
		optional := part.attempts == 0 && !part.abandoned && reachable-part.Weight >= query.minWeight()
		if optional && b.mostlyExcluded(part) {
			part.abandoned = true
			reachable -= part.Weight
		}
	}
	return reachable
}

// mostlyExcluded reports whether half of a part's replicas are excluded, and all others have long queues.
func (b *Balancer) mostlyExcluded(part *part) bool {
	candidates := b.candidates(part)
	excluded := 0
	for _, server := range candidates {
		if server.nearlyExcluded() {
			excluded++
		} else if !b.fleet.Backlogged(&server.Server, b.now) {
			return false
		}
	}
	return 2*excluded >= len(candidates)
}

// nearlyExcluded reports whether a server is to get next to nothing.
func (s *server) nearlyExcluded() bool {
	return s.TrafficFraction > 0 && s.TrafficFraction <= minTrafficFraction
}
