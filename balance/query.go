package balance

import (
	"slices"
	"time"
)

// Delays of retries by clients, and limits on queries that crash servers.
const (
	retryAfterFactor = 2.0 // Retry-After of a rejected query, in mean latencies; half if it was admitted
	maxCrashes       = 2   // server crashes after which a query is ended
	suspectDeadlines = 4   // how long its class is then suspected of crashing servers, in deadlines
)

// receiveQuery adds a new query, or rejects one of an unknown class. Its parts follow as separate events.
func (b *Balancer) receiveQuery(arrived Query) {
	if arrived.Class < 0 || arrived.Class >= len(b.settings.Classes) {
		b.emit(Reject{Query: arrived.ID})
		return
	}
	b.addQuery(arrived)
	b.retryBudget.RecordRequest(b.now)
}

// advance ends a query or sends those of its parts that are due.
func (b *Balancer) advance(query *query) {
	if query.step > 0 && len(query.parts) == 0 { // the parts of the second step have not arrived
		if b.now >= query.deadline-b.answerMargin() {
			b.rejectOrFail(query, 0)
		}
		return
	}
	for _, part := range query.parts {
		part.abandoned = part.abandoned || b.exhausted(part)
	}
	progress := query.progress()
	progress.reachable = b.shedOptionalParts(query, progress.reachable)
	if b.finishStep(query, progress) || !query.admitted && !b.begin(query) ||
		b.endIfCrashing(query, progress.answered) {
		return
	}
	b.sendParts(query, progress)
}

// finishStep ends a query's step if it need not or cannot continue, and reports whether it did.
func (b *Balancer) finishStep(query *query, progress progress) bool {
	switch b.stepOutcome(query, progress) {
	case stepAnsweredCompletely:
		b.answer(query, true)
	case stepAnsweredPartially:
		b.answer(query, false)
	case stepUnanswered:
		b.rejectOrFail(query, duration(retryAfterFactor*b.fleet.Mean/2))
	default:
		return false
	}
	return true
}

// stepOutcome decides whether a query's step is complete, has expired, or is answered partially because that
// earns more now than a complete answer later.
func (b *Balancer) stepOutcome(query *query, progress progress) stepOutcome {
	if progress.complete() {
		return stepAnsweredCompletely
	}
	margin := b.answerMargin()
	worthless := query.class.OverdueFraction <= 0 && b.now >= query.objective-margin
	mustEnd := b.now >= query.deadline-margin || worthless || !progress.answerable()
	if mustEnd && !progress.partial() {
		return stepUnanswered
	}
	noMoreExpected := !progress.completable() && progress.weight >= progress.reachable-weightTolerance
	due := b.now >= b.stepDue(query)-margin && b.now < query.objective
	partialEarnsMore := query.class.PartialFraction*progress.weight/progress.needed >
		query.class.OverdueFraction
	if mustEnd || progress.partial() && (noMoreExpected || due && partialEarnsMore) {
		return stepAnsweredPartially
	}
	return stepContinues
}

// answer answers a query's step, and starts the second step if the class has one.
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

// rejectOrFail ends a query immediately. It rejects the query if a retry is safe, and fails it otherwise.
func (b *Balancer) rejectOrFail(query *query, retryAfter time.Duration) {
	retrySafe := query.class.Idempotency == Idempotent ||
		query.step == 0 && !slices.ContainsFunc(query.parts, (*part).mayHaveStarted)
	if retrySafe {
		b.emit(Reject{Query: query.ID, RetryAfter: min(retryAfter, b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{Query: query.ID})
	}
	b.endQuery(query)
}

// begin admits or ends a query unless it waits for probes, and reports whether its parts may be sent now.
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

// endIfCrashing ends a query that crashed maxCrashes servers, or any while its class is suspect, if fewer of
// its parts were answered, and reports whether it did. Because the client may retry it, queries of its class
// then send one part ahead of the others for some time. That delays harmless ones by the latency of one part.
func (b *Balancer) endIfCrashing(query *query, answered int) bool {
	suspect := b.now < b.suspectUntil[query.Class]
	if query.crashes <= answered || query.crashes < maxCrashes && !suspect {
		return false
	}
	b.suspectUntil[query.Class] = b.now + suspectDeadlines*query.class.Deadline
	if query.Key != "" { // a retry has the same key
		b.crashingKeys[query.Key] = b.suspectUntil[query.Class]
	}
	b.rejectOrFail(query, b.settings.MaxRetryAfter)
	return true
}

// sendParts sends the parts of a query that are due and needed. If fewer than all parts make a complete
// answer, the others are held in reserve: parts that are not needed cost work, and their retries use up the
// retry budget of those that are. A part of the reserve is sent in place of an overdue one.
func (b *Balancer) sendParts(query *query, progress progress) {
	expected := b.expectedWeight(query, progress.weight)
	target := progress.needed - weightTolerance
	suspect := b.now < b.suspectUntil[query.Class]
	for pass := range sendPasses {
		for _, part := range query.parts {
			enough := expected >= target && progress.needed < 1
			if part.answered || part.abandoned || enough || !b.inPass(part, pass) {
				continue
			}
			b.advancePart(part)
			if len(part.inFlight) > 0 {
				expected += part.Weight
			}
			if suspect && progress.answered == 0 {
				return
			}
		}
	}
}

// The passes of sendParts, in order.
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
