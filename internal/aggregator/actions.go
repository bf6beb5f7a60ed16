package aggregator

import (
	"slices"
	"time"

	"rooktrestle/balance"
)

// pendingCall is a call to a server that is sent at the end of the turn, with one or more attempts.
type pendingCall struct {
	server   balance.Replica
	attempts []OutgoingAttempt
}

// perform performs the balancer's actions in order. Events that result from them, such as the parts of a second step,
// are passed to the balancer within the same turn.
func (c *Core) perform(actions []balance.Action) {
	for len(actions) > 0 {
		for _, action := range actions {
			c.performOne(action)
		}
		actions = nil
		if len(c.pending) > 0 {
			actions = c.runBalancer()
		}
	}
	c.sendCalls()
}

func (c *Core) performOne(action balance.Action) {
	switch action := action.(type) {
	case balance.Send:
		c.send(action)
	case balance.Hedge:
		c.send(balance.Send(action))
	case balance.Cancel:
		a := c.attempts[AttemptID{Part: action.Part, Number: action.Attempt}]
		if a != nil {
			c.cancel(a)
		}
	case balance.Answer:
		c.answer(action)
	case balance.Reject:
		c.closeOrReroute(action.Query, FinalAnswer{Status: StatusRejected, RetryAfter: action.RetryAfter})
	case balance.Fail:
		c.closeOrReroute(action.Query, FinalAnswer{Status: StatusFailed})
	case balance.Probe:
		c.Counters.Probes++
		c.backend.Probe(c.now, c.Server(action.Replica))
	case balance.SendGossip:
		c.sendGossip(action.Payload)
	case balance.StartTimer:
		c.timerAt = c.now.Add(action.After)
	case balance.WatchEndpoints: // nothing to do: discovery watches permanently
	}
}

// send starts an attempt of a part and adds it to the calls of this turn.
func (c *Core) send(action balance.Send) {
	p := c.parts[action.Part]
	if p == nil {
		return
	}
	a := c.startAttempt(p, action.Replica, c.attemptDeadline(p.query, action.Timeout))
	c.addToCall(action.Replica, c.outgoingAttempt(a))
	p.possibleRuns = append(p.possibleRuns, c.now)
}

// attemptDeadline returns the deadline of an attempt that is sent now: the earlier of the query's deadline and the end
// of the timeout, if that is not 0.
func (c *Core) attemptDeadline(q *query, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return q.deadline
	}
	return earliest(q.deadline, c.now.Add(timeout))
}

// outgoingAttempt returns an attempt as the backend sends it. It must be called before the attempt's send time is added
// to the part's possibleRuns, which determine WriteBy.
func (c *Core) outgoingAttempt(attempt *attempt) OutgoingAttempt {
	part := attempt.part
	query := part.query
	outgoing := OutgoingAttempt{
		Attempt:           attempt.id,
		Name:              part.name,
		Class:             query.request.Class,
		Shard:             part.spec.Shard,
		Deadline:          attempt.deadline,
		WriteBy:           c.writeBy(part),
		Payload:           query.request.Payload,
		IdempotencyKey:    query.request.IdempotencyKey,
		FollowUp:          query.followUp,
		FirstStepComplete: query.firstStepComplete,
		Abandoned:         attempt.abandoned,
	}
	if query.view != nil {
		outgoing.Epoch = query.view.Map.Epoch
	}
	for _, answered := range query.firstStep {
		outgoing.FirstStepShards = append(outgoing.FirstStepShards, answered.spec.Shard)
	}
	return outgoing
}

// writeBy returns the time by which a part's next attempt must be written, because servers recognize duplicates only
// within the deduplication window; zero if there is no limit. The balancer observes the window when it decides to send,
// but the connection may take longer to be established, or be slow.
func (c *Core) writeBy(p *part) (latest time.Time) {
	window := classValue(c.limits.DedupWindows, p.query.request.Class)
	if window > 0 && len(p.possibleRuns) > 0 {
		latest = slices.MinFunc(p.possibleRuns, time.Time.Compare).Add(window)
	}
	return latest
}

// addToCall adds an attempt to the calls of this turn. Attempts for one server share calls of at most
// Limits.MaxCallParts parts: servers reject all parts of a longer call.
func (c *Core) addToCall(server balance.Replica, attempt OutgoingAttempt) {
	for i := range c.calls {
		pending := &c.calls[i]
		if pending.server == server && len(pending.attempts) < c.limits.MaxCallParts {
			pending.attempts = append(pending.attempts, attempt)
			return
		}
	}
	c.calls = append(c.calls, pendingCall{server: server, attempts: []OutgoingAttempt{attempt}})
}

// sendCalls passes the calls of this turn to the backend.
func (c *Core) sendCalls() {
	for _, call := range c.calls {
		c.backend.Send(c.now, c.Server(call.server), call.attempts)
	}
	c.calls = nil
}
