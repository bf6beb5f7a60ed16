package balance

import (
	"math"
	"slices"

	"rooktrestle/internal/control/estimate"
)

// Limits for the admission of queries.
const (
	admissionFraction   = 0.8  // share of the remaining time that a query of mean weight is allowed to take
	minAdmissionFactor  = 0.5  // least factor on admissionFraction, for queries of low weight per part
	maxAdmissionFactor  = 1.2  // largest factor on admissionFraction, for queries of high weight per part
	weightSmoothing     = 0.02 // weight of one query in the moving means of weight and number of parts
	minObservedLatency  = 0.5  // fraction of the objective that recent latency must exceed for a rejection
	minRemainingCap     = 0.25 // maximum of the remaining time that admission requires, in objectives
	minOwnInFlight      = 2    // own requests in flight needed for recent latency to exclude a server
	maxExcludedFraction = 0.01 // traffic fraction up to which a server counts as nearly excluded
)

// admit reports whether a query's answer can be expected in time. It guards against overload of any cause:
// work that would be overdue is rejected before it costs anything, queries with little weight per part first.
func (b *Balancer) admit(query *query) bool {
	factor := b.admissionFactor(query)
	remaining := micros(b.stepDue(query) - b.now)
	limit := remaining * admissionFraction * factor
	needed := query.neededWeight()
	minimum := min(query.minWeight(), needed)
	answerable := b.answerableWeight(query, limit)
	minRemaining := min(b.fleet.MedianServiceTime, minRemainingCap*micros(query.class.Objective))
	if remaining <= minRemaining || answerable < minimum-weightTolerance {
		return false
	}
	// Fresh probes of queues decide alone. Else reject only if two estimates agree: that by recent response
	// times, which lags behind, and that by requests in flight, which is too high at low load.
	deviations := estimate.TailDeviations(len(query.parts), 1-(minimum+needed)/2)
	if delay, measured := b.fleet.ObservedQueueDelay(b.now); measured {
		return b.fleet.SlowestResponseTimeWithQueue(deviations, delay) <= limit
	}
	slowest := b.fleet.SlowestResponseTime(deviations)
	if slowest <= micros(query.class.Objective)*minObservedLatency {
		return true
	}
	expected, measured := b.fleet.ExpectedResponseTime(b.now, query.Class, len(query.parts), slowest)
	if expected > limit && !measured {
		b.fleet.ForgetExcess() // rejections yield no answers that would lower the estimate
	}
	return expected <= limit
}

// admissionFactor compares a query's weight per part with the mean, and updates the mean.
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

// answerableWeight returns the weight of the parts that a replica can answer within limit microseconds. If
// it is below the minimum weight of an answer, the query is not admitted.
func (b *Balancer) answerableWeight(q *query, limit float64) (answerable float64) {
	for _, p := range q.parts {
		candidates := prefer(b.candidates(p), func(s *server) bool { return !s.nearlyExcluded() })
		if slices.ContainsFunc(candidates, func(s *server) bool { return b.canAnswer(p, s, limit) }) {
			answerable += p.Weight
		}
	}
	return answerable
}

// canAnswer reports whether a replica can answer a part within limit microseconds. It cannot if it is full or
// down, if slow start forbids the part, if its queue is too long, or if its recent responses took too long
// and it is slow or has requests in flight; the last does not apply if a half-open request is due.
func (b *Balancer) canAnswer(p *part, s *server, limit float64) bool {
	halfOpen := len(s.InFlight) == 0 && b.now >= s.NextHalfOpen
	fast := s.RecentMean() <= limit || !s.Slow && len(s.InFlight) < minOwnInFlight
	return b.now >= s.avoidUntil && b.slowStartAllows(p, s) && (fast || halfOpen) &&
		b.fleet.QueueDelay(&s.Server, b.now) <= max(0, limit-b.fleet.InitialMean())
}

// shedOptionalParts drops optional parts of a query if half of their shard's replicas are excluded and the
// others have long queues. The capacity of those is left to queries that need every part, for which one lost
// part wastes all others. It returns the weight that can still be reached.
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

// mostlyExcluded reports whether at least half of a part's replicas are nearly excluded, others backlogged.
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

// nearlyExcluded reports whether a server should receive almost no parts.
func (s *server) nearlyExcluded() bool {
	return s.TrafficFraction > 0 && s.TrafficFraction <= maxExcludedFraction
}
