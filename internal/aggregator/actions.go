package aggregator

import (
	"slices"
	"time"

	"rooktrestle/balance"
)

// pendingCall are attempts of this turn that one call carries to a server.
type pendingCall struct {
	server   balance.Replica
	attempts []OutgoingAttempt
}

// perform carries out the balancer's actions in order. What they bring about goes back to the balancer within the same
// turn: the parts of a second step are known at once.
func (c *Core) perform(actions []balance.Action) {
	for len(actions) > 0 {
		for _, action := range actions {
			c.performOne(action)
		}
		actions = nil
		if len(c.pending) > 0 {
			actions = c.decide()
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
		c.abandon(action.Query, FinalAnswer{Status: StatusRejected, RetryAfter: action.RetryAfter})
	case balance.Fail:
		c.abandon(action.Query, FinalAnswer{Status: StatusFailed})
	case balance.Probe:
		c.Counters.Probes++
		c.backend.Probe(c.now, c.Server(action.Replica))
	case balance.SendGossip:
		c.sendGossip(action.Payload)
	case balance.StartTimer:
		c.timerAt = c.now.Add(action.After)
	case balance.WatchEndpoints: // discovery watches all the time
	}
}

// send starts an attempt of a part and adds it to the calls of this turn.
func (c *Core) send(action balance.Send) {
	p := c.parts[action.Part]
	if p == nil {
		return
	}
	a := c.startAttempt(p, action.Replica, c.attemptDeadline(p.query, action.Timeout))
	c.addCall(action.Replica, c.call(a))
	p.mayHaveRun = append(p.mayHaveRun, c.now)
}

// attemptDeadline is the deadline of an attempt that is sent now: the query's, or sooner by a time-out that is not 0.
func (c *Core) attemptDeadline(q *query, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return q.deadline
	}
	return earliest(q.deadline, c.now.Add(timeout))
}

// call is an attempt as the backend gets it. It is made before the attempt counts among those that may have run.
func (c *Core) call(attempt *attempt) OutgoingAttempt {
	part := attempt.part
	query := part.query
	call := OutgoingAttempt{
		Attempt:           attempt.id,
		Name:              part.name,
		Class:             query.request.Class,
		Shard:             part.spec.Shard,
		Deadline:          attempt.deadline,
		WriteBy:           c.writeBy(part),
		Payload:           query.request.Payload,
		FollowUp:          query.followUp,
		FirstStepComplete: query.firstStepCompleted,
		Abandoned:         attempt.abandoned,
	}
	if query.view != nil {
		call.Epoch = query.view.Map.Epoch
	}
	for _, answered := range query.firstStep {
		call.FirstStepShards = append(call.FirstStepShards, answered.spec.Shard)
	}
	return call
}

// writeBy is when a part's next attempt must be written at the latest, because servers recognise repetitions only
// within a window; zero if there is no such time. The balancer keeps to the window when it chooses, but a
// connection may come up late, or be slow.
func (c *Core) writeBy(p *part) (latest time.Time) {
	window := classValue(c.limits.DedupWindows, p.query.request.Class)
	if window > 0 && len(p.mayHaveRun) > 0 {
		latest = slices.MinFunc(p.mayHaveRun, time.Time.Compare).Add(window)
	}
	return latest
}

// addCall adds an attempt to the turn's calls. Attempts for one server share calls of at most Limits.MaxCallParts:
// servers reject all parts of a longer one.
func (c *Core) addCall(server balance.Replica, call OutgoingAttempt) {
	for i := range c.calls {
		pending := &c.calls[i]
		if pending.server == server && len(pending.attempts) < c.limits.MaxCallParts {
			pending.attempts = append(pending.attempts, call)
			return
		}
	}
	c.calls = append(c.calls, pendingCall{server: server, attempts: []OutgoingAttempt{call}})
}

// sendCalls hands the calls of this turn to the backend.
func (c *Core) sendCalls() {
	for _, call := range c.calls {
		c.backend.Send(c.now, c.Server(call.server), call.attempts)
	}
	c.calls = nil
}
