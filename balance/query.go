package balance

import (
	"slices"
	"time"
)

// When queries begin, end and send their parts.
const (
	retryAfterFactor = 2.0 // mean latencies until a rejected client may retry; half after a failure
	maxCrashes       = 2   // servers that may crash under a query before it ends
	suspectDeadlines = 4   // deadlines for which its class is then suspected of crashing servers
)

// startQuery takes in a query; its parts follow as events of their own.
func (b *Balancer) startQuery(e Query) {
	if e.Class < 0 || e.Class >= len(b.settings.Classes) {
		b.emit(Reject{Query: e.ID})
		return
	}
	class := &b.settings.Classes[e.Class]
	q := &query{Query: e, class: class, deadline: b.now + e.TimeLeft}
	stretch := time.Duration(class.ObjectiveStretch * float64(e.WorkHint))
	q.objective = b.now + min(class.Objective+stretch, class.Deadline) - b.timeSpent(e)
	b.queries = append(b.queries, q)
	b.byID[e.ID], b.byGroup[e.Group] = q, q
	b.retryBudget.RecordRequest(b.now)
}

// advance takes a query one step on: it ends the query, or sends what should be sent.
func (b *Balancer) advance(q *query) {
	if q.step > 0 && len(q.parts) == 0 { // the parts of the second step have yet to come
		if b.now >= q.deadline-b.answerMargin() {
			b.rejectOrFail(q, 0)
		}
		return
	}
	for _, p := range q.parts {
		p.abandoned = p.abandoned || b.exhausted(p)
	}
	done := q.progress()
	done.reachable = b.shedOptionalParts(q, done.reachable)
	if b.finish(q, done) || !q.admitted && !b.begin(q) || b.stopCrashing(q, done.answered) {
		return
	}
	b.sendParts(q, done)
}

// ending is what becomes of a query's step.
type ending int

const (
	continues ending = iota
	answeredComplete
	answeredPartly
	givenUp
)

// finish ends a query's step if it is over, and reports whether it did.
func (b *Balancer) finish(q *query, done progress) bool {
	switch b.ending(q, done) {
	case answeredComplete:
		b.answer(q, true)
	case answeredPartly:
		b.answer(q, false)
	case givenUp:
		b.rejectOrFail(q, duration(retryAfterFactor*b.fleet.Mean/2))
	default:
		return false
	}
	return true
}

// ending decides whether a query's step is complete, out of time, or answered in part because that is worth
// more now than a complete answer later.
func (b *Balancer) ending(q *query, done progress) ending {
	if done.complete() {
		return answeredComplete
	}
	margin := b.answerMargin()
	worthless := q.class.OverdueFraction <= 0 && b.now >= q.objective-margin
	over := b.now >= q.deadline-margin || worthless || !done.answerable()
	if over && !done.partial() {
		return givenUp
	}
	nothingToCome := !done.completable() && done.weight >= done.reachable-weightTolerance
	due := b.now >= b.stepDue(q)-margin && b.now < q.objective
	worthMore := q.class.PartialFraction*done.weight/done.needed > q.class.OverdueFraction
	if over || done.partial() && (nothingToCome || due && worthMore) {
		return answeredPartly
	}
	return continues
}

// answer answers a query's step, and goes on to the second if there is one.
func (b *Balancer) answer(q *query, complete bool) {
	b.emit(Answer{Query: q.ID, Complete: complete && (q.step == 0 || q.firstStepComplete)})
	if q.step == 0 && q.class.FollowUpParts > 0 {
		b.dropParts(q)
		q.step, q.firstStepComplete = 1, complete
		return
	}
	b.endQuery(q)
}

// rejectOrFail ends a query at once. It is rejected where a retry is harmless and fails elsewhere.
func (b *Balancer) rejectOrFail(q *query, retryAfter time.Duration) {
	harmless := q.class.Idempotency == Idempotent ||
		q.step == 0 && !slices.ContainsFunc(q.parts, (*part).mightHaveRun)
	if harmless {
		b.emit(Reject{Query: q.ID, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{Query: q.ID})
	}
	b.endQuery(q)
}

// begin admits a query or ends it, and reports whether its parts may be sent now.
func (b *Balancer) begin(q *query) bool {
	if b.now < b.crashingKeys[q.Key] {
		b.rejectOrFail(q, b.settings.MaxRetryAfter)
		return false
	}
	if b.probeReplicas(q) {
		return false
	}
	if !b.admit(q) {
		b.rejectOrFail(q, duration(retryAfterFactor*b.fleet.Mean))
		return false
	}
	q.admitted = true
	return true
}

// stopCrashing ends a query under which servers crash, and reports whether it did. For some time the query's
// class then sends one part ahead of the others, as retries will come. Innocent queries pay with the time of
// that part.
func (b *Balancer) stopCrashing(q *query, answered int) bool {
	suspect := b.now < b.suspectUntil[q.Class]
	if q.crashes <= answered || q.crashes < maxCrashes && !suspect {
		return false
	}
	b.suspectUntil[q.Class] = b.now + suspectDeadlines*q.class.Deadline
	if q.Key != "" { // a retry comes with the same key
		b.crashingKeys[q.Key] = b.suspectUntil[q.Class]
	}
	b.rejectOrFail(q, b.settings.MaxRetryAfter)
	return true
}

// sendParts sends the parts of a query that are due, as far as they are needed. Where some of the parts make
// a complete answer the others are held in reserve: parts not needed cost work, and their retries the budget
// of those that are. A part that is late brings on another.
func (b *Balancer) sendParts(q *query, done progress) {
	expected, wanted := b.expectedWeight(q, done.weight), done.needed-weightTolerance
	suspect := b.now < b.suspectUntil[q.Class]
	for pass := range sendPasses {
		for _, p := range q.parts {
			enough := expected >= wanted && done.needed < 1
			if p.answered || p.abandoned || enough || !b.inPass(p, pass) {
				continue
			}
			if b.advancePart(p); len(p.inFlight) > 0 {
				expected += p.Weight
			}
			if suspect && done.answered == 0 {
				return
			}
		}
	}
}

// The passes in which a query's parts are sent.
const (
	firstAttemptsHealthy = iota // unsent parts with a healthy replica
	firstAttempts               // all unsent parts
	furtherAttempts             // retries and hedged requests
	sendPasses
)

func (b *Balancer) inPass(p *part, pass int) bool {
	switch pass {
	case firstAttemptsHealthy:
		return p.attempts == 0 && slices.ContainsFunc(b.candidates(p), p.healthyAt)
	case firstAttempts:
		return p.attempts == 0
	}
	return p.attempts > 0
}
