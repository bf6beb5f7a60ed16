package balance

// This file decides nothing: it computes the progress of a query and its remaining time.

import (
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/retrydetect"
)

const (
	weightTolerance             = 5e-5 // allowed rounding error of sums of part weights
	remainingTimeToleranceTicks = 2    // ticks by which the remaining times of first attempts may differ
	maxFollowUpReserve          = 0.5  // most time reserved for a second step, as a fraction of the objective
)

// progress is the progress of a query's step.
type progress struct {
	weight    float64 // of the answered parts
	reachable float64 // weight that can still be reached
	needed    float64 // minimum weight of a complete answer
	minimum   float64 // minimum weight of any answer
	answered  int     // number of answered parts
	waiting   bool    // this is a second step, with unanswered parts
}

// complete reports whether the answer is complete.
func (p progress) complete() bool { return p.weight >= p.needed-weightTolerance && !p.waiting }

// partial reports whether the weight suffices for a partial answer.
func (p progress) partial() bool {
	return p.weight > 0 && p.weight >= p.minimum-weightTolerance && p.minimum < p.needed
}

// completable reports whether the answer may still become complete.
func (p progress) completable() bool { return p.reachable >= p.needed-weightTolerance }

// answerable reports whether the weight may still suffice for any answer.
func (p progress) answerable() bool {
	return p.completable() || p.reachable >= p.minimum-weightTolerance && p.minimum < p.needed
}

// stepOutcome is how a query's step continues or ends.
type stepOutcome int

const (
	stepContinues stepOutcome = iota
	stepAnsweredCompletely
	stepAnsweredPartially
	stepUnanswered
)

// progress returns the progress of a query's current step.
func (q *query) progress() progress {
	sum := progress{needed: q.neededWeight(), minimum: q.minWeight()}
	for _, part := range q.parts {
		if part.answered {
			sum.weight += part.Weight
			sum.answered++
		}
		if !part.abandoned {
			sum.reachable += part.Weight
		}
	}
	sum.waiting = q.step > 0 && sum.answered < len(q.parts)
	return sum
}

// neededWeight returns the minimum weight of a complete answer, and minWeight that of any answer.
func (q *query) neededWeight() float64 {
	if q.step > 0 {
		return 1
	}
	return q.class.CompleteFraction
}

func (q *query) minWeight() float64 {
	if q.step > 0 && q.class.MinFraction >= q.class.CompleteFraction {
		return 1
	}
	return min(q.class.MinFraction, q.neededWeight())
}

// expectedWeight returns weight plus that of the parts in flight for no longer than the typical latency.
func (b *Balancer) expectedWeight(q *query, weight float64) float64 {
	for _, p := range q.parts {
		if len(p.inFlight) > 0 && !p.answered && micros(b.now-p.lastAttempt().sent) <= b.fleet.Typical() {
			weight += p.Weight
		}
	}
	return weight
}

// timeSpent returns how long the client has waited in previous attempts of a query. That time counts against
// the objective.
func (b *Balancer) timeSpent(arrived Query) time.Duration {
	attempt := retrydetect.Attempt{
		RemainingTime: arrived.RemainingTime,
		Tolerance:     remainingTimeToleranceTicks * b.settings.Tick,
		ClientsMark:   b.settings.ClientsMarkRetries,
		MarkedAsRetry: arrived.IsRetry,
	}
	if b.retryDetectors[arrived.Class].IsFirstAttempt(attempt) {
		return 0
	}
	return max(0, b.settings.Classes[arrived.Class].Deadline-arrived.RemainingTime)
}

// stepDue returns when a query's step has to end for its answer to be within the objective. A first step
// reserves time for the second.
func (b *Balancer) stepDue(q *query) time.Duration {
	if q.step > 0 || q.class.FollowUpParts == 0 {
		return q.objective
	}
	second := b.fleet.SlowestResponseTime(estimate.TailDeviations(q.class.FollowUpParts, 0))
	return q.objective - duration(min(second, maxFollowUpReserve*micros(q.class.Objective)))
}
