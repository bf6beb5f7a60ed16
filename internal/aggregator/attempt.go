package aggregator

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// attempt is one sending of a part to one server. It is retained until its AttemptEnded event, which may arrive long
// after the final answer of the query.
type attempt struct {
	id       AttemptID
	part     *part
	server   balance.Replica
	sequence uint64 // number among all attempts of the core
	sent     time.Time
	deadline time.Time
	index    int // in Core.timeouts

	timedOut        bool // its deadline has expired; the backend has not reported its end yet
	cancelRequested atomic.Bool
}

// abandoned reports that the attempt must not start. Any goroutine may call it.
func (a *attempt) abandoned(now time.Time) bool {
	return a.cancelRequested.Load() || a.part.closed.Load() || a.part.query.request.disconnected(now)
}

// Deadline returns when the attempt times out; attempts with the same deadline are ordered by when they were sent.
func (a *attempt) Deadline() (time.Time, uint64) { return a.deadline, a.sequence }

// QueueIndex returns where the timeout queue stores the attempt's position.
func (a *attempt) QueueIndex() *int { return &a.index }

// startAttempt registers a new attempt of a part as in flight.
func (c *Core) startAttempt(part *part, server balance.Replica, deadline time.Time) *attempt {
	query := part.query
	c.attemptsSent++
	newAttempt := &attempt{
		id:       AttemptID{Part: part.id, Number: part.attempts},
		part:     part,
		server:   server,
		sequence: c.attemptsSent,
		sent:     c.now,
		deadline: deadline,
	}
	part.attempts++
	c.attempts[newAttempt.id] = newAttempt
	c.timeouts.Push(newAttempt)
	c.requestIDs[query.request.ID]++
	query.inFlight++
	if query.placement != nil {
		query.placement.Parts[part.placementIndex].InFlight = true
	}
	c.Counters.Sent++
	return newAttempt
}

// cancelTimedOutAttempts cancels the attempts whose deadline has expired, in the order in which they were sent.
func (c *Core) cancelTimedOutAttempts() {
	expired := c.timeouts.Pop(c.now)
	slices.SortFunc(expired, bySequence)
	for _, a := range expired {
		a.timedOut = true
		c.cancel(a)
	}
}

// cancel lets the backend cancel an attempt. The attempt stays in flight until the backend reports its end.
func (c *Core) cancel(a *attempt) {
	if a.cancelRequested.Swap(true) {
		return
	}
	c.Counters.Canceled++
	c.backend.Cancel(c.now, a.id, c.isOpen(a.part) && !a.part.answered)
}

// attemptEnded handles the end of an attempt. A second AttemptEnded event for the same attempt is ignored.
func (c *Core) attemptEnded(ended AttemptEnded) {
	a := c.attempts[ended.Attempt]
	if a == nil {
		return
	}
	query := a.part.query
	result := a.result(ended.Err)
	if !neverRan(result) {
		query.mayHaveRun = true
	}
	c.removeAttempt(a)
	c.Counters.Results[result]++
	c.traceAttempt(a, result, ended.Err)
	if neverRan(result) {
		a.part.removeSendTime(a.sent)
	}
	if result == balance.OK && c.isOpen(a.part) {
		a.part.setAnswer(ended.Score, ended.Value)
	}
	var failure *AttemptError
	errors.As(ended.Err, &failure)
	falseRejection := c.updatePlacement(a, result, failure)
	c.observe(AttemptSummary{
		Server:         a.server,
		Class:          query.request.Class,
		Result:         result,
		Sent:           a.sent,
		LocalCause:     failure != nil && failure.LocalCause,
		FalseRejection: falseRejection,
	})
	c.notify(balance.AttemptEnded{
		Part:    a.id.Part,
		Attempt: a.id.Number,
		Replica: a.server,
		Result:  result,
		Elapsed: c.now.Sub(a.sent),
		Report:  ended.Report,
	})
	if query.restarting && query.inFlight == 0 && c.queries[query.id] == query {
		c.restartQuery(query)
	}
}

// removeAttempt removes an attempt that is no longer in flight.
func (c *Core) removeAttempt(a *attempt) {
	delete(c.attempts, a.id)
	c.timeouts.Remove(a)
	a.part.query.inFlight--
	c.releaseRequestID(a.part.query)
}

// result returns the result for the balancer: an attempt that was canceled because it timed out has timed out.
func (a *attempt) result(err error) balance.AttemptResult {
	result := attemptResult(err)
	if a.timedOut && (result == balance.Canceled || result == balance.NotSent) {
		return balance.TimedOut
	}
	return result
}

// neverRan reports whether the server did not start to execute an attempt with this result.
func neverRan(result balance.AttemptResult) bool {
	return result == balance.QueueFull || result == balance.ConnectFailed || result == balance.NotSent
}

// mayRunUnanswered reports whether an attempt with this result left its part unanswered, and may have run or may still
// be running.
func mayRunUnanswered(result balance.AttemptResult) bool {
	switch result {
	case balance.Failed, balance.TimedOut, balance.Reset, balance.Canceled:
		return true
	}
	return false
}

// removeSendTime removes the send time of an attempt that did not run.
func (p *part) removeSendTime(sent time.Time) {
	if i := slices.Index(p.possibleRuns, sent); i >= 0 {
		p.possibleRuns = slices.Delete(p.possibleRuns, i, i+1)
	}
}

// setAnswer stores the first answer of a part; further ones are ignored.
func (p *part) setAnswer(score float64, value string) {
	if p.answered {
		return
	}
	p.answered = true
	p.closed.Store(true)
	p.score = score
	p.value = value
}

// updatePlacement records the end of an attempt in its query's placement, if there is one, and reports whether the
// server rejected it for a reason that the shard map contradicts. failure may be nil.
func (c *Core) updatePlacement(
	attempt *attempt, result balance.AttemptResult, failure *AttemptError,
) (falseRejection bool) {
	part := attempt.part
	query := part.query
	if query.placement == nil || !c.isOpen(part) {
		return false
	}
	placed := &query.placement.Parts[part.placementIndex]
	placed.InFlight = false // a part has one attempt in flight at a time
	placed.Answered = placed.Answered || part.answered
	placed.MayHaveRun = placed.MayHaveRun || mayRunUnanswered(result)
	if failure != nil && failure.MapStatus != shardmap.NoMismatch {
		return c.rejectedByShardMap(attempt, failure)
	}
	return false
}

// observe passes the summary of an ended attempt to the outlier table and to the observer.
func (c *Core) observe(summary AttemptSummary) {
	if c.Outliers != nil {
		c.Outliers.AttemptEnded(c.clock(c.now), string(summary.Server), c.clock(summary.Sent), summary.outlierOutcome())
	}
	if c.Observer != nil {
		c.Observer.AttemptEnded(c.now, summary)
	}
}

// attemptsInFlight returns the attempts in flight that satisfy a condition, in the order in which they were sent:
// behavior must not depend on the iteration order of a map.
func (c *Core) attemptsInFlight(condition func(*attempt) bool) (list []*attempt) {
	for _, a := range c.attempts {
		if condition(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, bySequence)
	return list
}

func bySequence(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) }
