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
func (b *Balancer) startQuery(arrived Query) {
	if arrived.Class < 0 || arrived.Class >= len(b.settings.Classes) {
		b.emit(Reject{Query: arrived.ID})
		return
	}
	b.addQuery(arrived)
	b.retryBudget.RecordRequest(b.now)
}

// advance takes a query one step on: it ends the query, or sends what should be sent.
func (b *Balancer) advance(query *query) {
	if query.step > 0 && len(query.parts) == 0 { // the parts of the second step have yet to come
		if b.now >= query.deadline-b.answerMargin() {
			b.rejectOrFail(query, 0)
		}
		return
	}
	for _, part := range query.parts {
		part.abandoned = part.abandoned || b.exhausted(part)
	}
	done := query.progress()
	done.reachable = b.shedOptionalParts(query, done.reachable)
	if b.finish(query, done) || !query.admitted && !b.begin(query) || b.stopCrashing(query, done.answered) {
		return
	}
	b.sendParts(query, done)
}

// finish ends a query's step if it is over, and reports whether it did.
func (b *Balancer) finish(query *query, done progress) bool {
	switch b.ending(query, done) {
	case answeredComplete:
		b.answer(query, true)
	case answeredPartly:
		b.answer(query, false)
	case givenUp:
		b.rejectOrFail(query, duration(retryAfterFactor*b.fleet.Mean/2))
	default:
		return false
	}
	return true
}

// ending decides whether a query's step is complete, out of time, or answered in part because that is worth
// more now than a complete answer later.
func (b *Balancer) ending(query *query, done progress) ending {
	if done.complete() {
		return answeredComplete
	}
	margin := b.answerMargin()
	worthless := query.class.OverdueFraction <= 0 && b.now >= query.objective-margin
	over := b.now >= query.deadline-margin || worthless || !done.answerable()
	if over && !done.partial() {
		return givenUp
	}
	noMoreExpected := !done.completable() && done.weight >= done.reachable-weightTolerance
	due := b.now >= b.stepDue(query)-margin && b.now < query.objective
	partialEarnsMore := query.class.PartialFraction*done.weight/done.needed > query.class.OverdueFraction
	if over || done.partial() && (noMoreExpected || due && partialEarnsMore) {
		return answeredPartly
	}
	return continues
}

// answer answers a query's step, and goes on to the second if there is one.
func (b *Balancer) answer(q *query, complete bool) {
	b.emit(Answer{Query: q.ID, Complete: complete && (q.step == 0 || q.firstStepComplete)})
	if q.step == 0 && q.class.FollowUpParts > 0 {
		b.dropParts(q)
		q.step = 1
		q.firstStepComplete = complete
		return
	}
	b.endQuery(q)
}

// rejectOrFail ends a query at once. It is rejected where a retry is harmless and fails elsewhere.
func (b *Balancer) rejectOrFail(query *query, retryAfter time.Duration) {
	harmless := query.class.Idempotency == Idempotent ||
		query.step == 0 && !slices.ContainsFunc(query.parts, (*part).mightHaveRun)
	if harmless {
		b.emit(Reject{Query: query.ID, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{Query: query.ID})
	}
	b.endQuery(query)
}

// begin admits a query or ends it, and reports whether its parts may be sent now.
func (b *Balancer) begin(query *query) bool {
	if b.now < b.crashingKeys[query.Key] {
		b.rejectOrFail(query, b.settings.MaxRetryAfter)
		return false
	}
	if b.probeReplicas(query) {
		return false
	}
	if !b.admit(query) {
		b.rejectOrFail(query, duration(retryAfterFactor*b.fleet.Mean))
		return false
	}
	query.admitted = true
	return true
}

// stopCrashing ends a query under which servers crash, and reports whether it did. For some time the query's
// class then sends one part ahead of the others, as retries will come. Innocent queries pay with the time of
// that part.
func (b *Balancer) stopCrashing(query *query, answered int) bool {
	suspect := b.now < b.suspectUntil[query.Class]
	if query.crashes <= answered || query.crashes < maxCrashes && !suspect {
		return false
	}
	b.suspectUntil[query.Class] = b.now + suspectDeadlines*query.class.Deadline
	if query.Key != "" { // a retry comes with the same key
		b.crashingKeys[query.Key] = b.suspectUntil[query.Class]
	}
	b.rejectOrFail(query, b.settings.MaxRetryAfter)
	return true
}

// sendParts sends the parts of a query that are due, as far as they are needed. Where some of the parts make
// a complete answer the others are held in reserve: parts not needed cost work, and their retries the budget
// of those that are. In place of an overdue part another is sent.
func (b *Balancer) sendParts(query *query, done progress) {
	expected := b.expectedWeight(query, done.weight)
	target := done.needed - weightTolerance
	suspect := b.now < b.suspectUntil[query.Class]
	for pass := range sendPasses {
		for _, part := range query.parts {
			enough := expected >= target && done.needed < 1
			if part.answered || part.abandoned || enough || !b.inPass(part, pass) {
				continue
			}
			b.advancePart(part)
			if len(part.inFlight) > 0 {
				expected += part.Weight
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
