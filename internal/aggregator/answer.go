package aggregator

import (
	"cmp"
	"fmt"
	"os"
	"slices"

	"rooktrestle/balance"
)

// followUpSuffix is the end of the names of parts of a second step.
const followUpSuffix = ".phase2"

// answer completes a step of a query with the parts that are answered. After the first step it starts the second, if
// the class has one and any part is answered.
func (c *Core) answer(action balance.Answer) {
	q := c.queries[action.Query]
	if q == nil {
		return
	}
	answered := q.answeredParts()
	followUpParts := classValue(c.limits.FollowUpParts, q.request.Class)
	if !q.followUp && followUpParts > 0 && len(answered) > 0 {
		q.firstStep = answered
		q.firstStepComplete = action.Complete
		c.startFollowUp(q, followUpParts)
		return
	}
	final := q.servedAnswer()
	final.Complete = action.Complete
	c.close(q, final)
}

// answeredParts returns the answered parts of the current step.
func (q *query) answeredParts() (answered []*part) {
	for _, p := range q.parts {
		if p.answered {
			answered = append(answered, p)
		}
	}
	return answered
}

// servedAnswer builds the final answer from the answered parts. The caller sets Complete.
func (q *query) servedAnswer() FinalAnswer {
	final := FinalAnswer{Status: StatusServed, TotalParts: len(q.parts)}
	for _, p := range q.parts {
		if p.answered {
			final.AnsweredWeight += p.spec.Weight
			final.Items = append(final.Items, Item{Shard: p.spec.Shard, Value: p.value})
		} else {
			final.MissingShards = append(final.MissingShards, p.spec.Shard)
		}
	}
	return final
}

// startFollowUp starts a query's second step: at most maxParts parts of equal weight, for the shards with the highest
// scores in its first step.
func (c *Core) startFollowUp(query *query, maxParts int) {
	c.Counters.FollowUps++
	query.followUp = true
	best := slices.Clone(query.firstStep)
	slices.SortStableFunc(best, func(a, b *part) int { return cmp.Compare(b.score, a.score) })
	best = best[:min(maxParts, len(best))]
	var specs []PartSpec
	for _, p := range best {
		specs = append(specs, PartSpec{Shard: p.spec.Shard, Weight: 1 / float64(len(best))})
	}
	c.dropParts(query)
	c.submitParts(query, specs, followUpSuffix)
}

// closeOrReroute closes a query that the balancer rejects or fails. If its outdated view may be the reason, the query
// is restarted or waits for a newer map instead.
func (c *Core) closeOrReroute(id balance.ID, final FinalAnswer) {
	q := c.queries[id]
	if q == nil {
		return
	}
	if c.mayReroute(q) {
		decision := q.placement.DecideUnusableView(c.Resharding.Views)
		if decision.QueryContinues() {
			c.applyDecision(q, decision)
			return
		}
	}
	c.close(q, final)
}

// close completes a query with its one final answer. Its attempts stay in flight until they end.
func (c *Core) close(query *query, final FinalAnswer) {
	delete(c.queries, query.id)
	delete(c.byRequest, query.request)
	c.deadlines.Remove(query)
	c.releaseRequestID(query)
	c.unpinView(query)
	c.dropParts(query)
	if final.Status != StatusServed && c.deadlineReached(query) {
		final.DeadlineExceeded = true
	}
	c.Counters.countFinal(final)
	c.traceQuery(query.request, final.Status, finalReason(final))
	if final.Status == StatusDisconnected {
		query.request.completed = true // there is no client to answer
		return
	}
	c.deliver(query.request, final)
}

// deadlineReached reports whether a query's deadline has expired, or expires within DeadlineMargin.
func (c *Core) deadlineReached(q *query) bool {
	return !c.now.Before(q.deadline.Add(-c.limits.DeadlineMargin))
}

// deliver passes a final answer to the request's frontend. It recovers from a panic there, which affects only that
// request.
func (c *Core) deliver(request *Request, final FinalAnswer) {
	request.completed = true
	c.Counters.countAnswer(classValue(c.limits.ClassNames, request.Class), final.Status)
	defer func() {
		if cause := recover(); cause != nil {
			c.Counters.Panics++
			fmt.Fprintf(os.Stderr, "request %s: panic in its frontend: %v\n", request.ID, cause)
		}
	}()
	request.Frontend.Answer(final)
}
