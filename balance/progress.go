package balance

// This file decides nothing: it works out how far a query has come and how much time it has left.

import (
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/retrydetect"
)

const (
	weightTolerance        = 5e-5 // weights of parts add up to 1 apart from this
	timeLeftToleranceTicks = 2    // ticks by which the time left of first attempts may differ
	maxFollowUpReserve     = 0.5  // of the objective: the most time kept for a second step
)

// progress is how far a query's step has come.
type progress struct {
	weight    float64 // of the parts answered
	reachable float64 // what that may still come to
	needed    float64 // of a complete answer
	least     float64 // of any answer
	answered  int     // number of parts
	waiting   bool    // a second step waits for all of its parts
}

// complete reports whether an answer is complete.
func (p progress) complete() bool { return p.weight >= p.needed-weightTolerance && !p.waiting }

// partial reports whether there is enough for an answer that is not complete.
func (p progress) partial() bool {
	return p.weight > 0 && p.weight >= p.least-weightTolerance && p.least < p.needed
}

// completable reports whether an answer may still become complete.
func (p progress) completable() bool { return p.reachable >= p.needed-weightTolerance }

// answerable reports whether there may still be enough for an answer.
func (p progress) answerable() bool {
	return p.completable() || p.reachable >= p.least-weightTolerance && p.least < p.needed
}

// ending is what becomes of a query's step.
type ending int

const (
	continues ending = iota
	answeredComplete
	answeredPartly
	givenUp
)

// progress sums up the parts of a query's step.
func (q *query) progress() progress {
	done := progress{needed: q.neededWeight(), least: q.minWeight()}
	for _, part := range q.parts {
		if part.answered {
			done.weight += part.Weight
			done.answered++
		}
		if !part.abandoned {
			done.reachable += part.Weight
		}
	}
	done.waiting = q.step > 0 && done.answered < len(q.parts)
	return done
}

// neededWeight is the weight of the parts that make an answer complete, and minWeight the least for any
// answer.
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

// expectedWeight adds to weight that of the parts in flight that are not late yet.
func (b *Balancer) expectedWeight(q *query, weight float64) float64 {
	for _, p := range q.parts {
		if len(p.inFlight) > 0 && !p.answered && micros(b.now-p.lastAttempt().sent) <= b.fleet.Typical() {
			weight += p.Weight
		}
	}
	return weight
}

// timeSpent is how long a client has waited in earlier attempts of a query; it counts against the objective.
func (b *Balancer) timeSpent(e Query) time.Duration {
	attempt := retrydetect.Attempt{
		TimeLeft:     e.TimeLeft,
		Tolerance:    timeLeftToleranceTicks * b.settings.Tick,
		ClientsMark:  b.settings.ClientsMarkRetries,
		MarkedARetry: e.IsRetry,
	}
	if b.firstAttempts[e.Class].IsFirstAttempt(attempt) {
		return 0
	}
	return max(0, b.settings.Classes[e.Class].Deadline-e.TimeLeft)
}

// stepDue is when a query's step has to end for its answer to be in time: a first step leaves time for the
// second.
func (b *Balancer) stepDue(q *query) time.Duration {
	if q.step > 0 || q.class.FollowUpParts == 0 {
		return q.objective
	}
	second := b.fleet.SlowestResponseTime(estimate.TailDeviations(q.class.FollowUpParts, 0))
	return q.objective - duration(min(second, maxFollowUpReserve*micros(q.class.Objective)))
}
