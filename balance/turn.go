package balance

import (
	"slices"
	"time"
)

// Timing of polls and timers, and of the last answer to a query.
const (
	listRetryInterval = 0.5  // mean wait after a failed list call, as a fraction of MaxListAge
	timerInterval     = 0.01 // time between checks for overdue attempts, in shortest objectives
	answerMarginTicks = 3    // latest time to answer a query, in ticks before its deadline
)

// Turn processes the events of one turn and returns the resulting actions, in order. now must not decrease.
func (b *Balancer) Turn(now time.Duration, events []Event) []Action {
	elapsed := now - b.now
	b.now = now
	b.actions = nil
	b.fleet.AccrueSlowStartCredit(now, elapsed)
	for _, event := range events {
		b.handle(event)
	}
	b.fleet.Assess(now)
	for _, query := range b.queries {
		if !query.completed {
			b.advance(query)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.completed })
	b.sendGossip()
	b.scheduleTimer()
	return b.actions
}

func (b *Balancer) handle(event Event) {
	switch e := event.(type) {
	case Query:
		b.receiveQuery(e)
	case Part:
		b.addPart(e)
	case CandidatesChanged:
		if part := b.parts[e.Part]; part != nil {
			part.Candidates = e.Candidates
		}
	case AttemptEnded:
		b.endAttempt(e)
	case ProbeEnded:
		b.endProbe(e)
	case EndpointList:
		b.receiveList(e)
	case GossipReceived:
		b.receiveGossip(e)
	case ClientDisconnected:
		if query := b.byID[e.Query]; query != nil {
			b.endQuery(query)
		}
	}
}

// scheduleTimer keeps one timer pending while queries are open or a poll is due, so that overdue attempts are
// detected without any other event.
func (b *Balancer) scheduleTimer() {
	if b.pollAt > 0 && b.now >= b.pollAt {
		b.pollAt = 0
		b.emit(WatchEndpoints{})
	}
	if len(b.queries) == 0 && b.pollAt == 0 || b.timerAt > b.now {
		return
	}
	// Not longer than the answer margin, or the deadline of a query could expire between two turns.
	interval := min(time.Duration(float64(b.minObjective)*timerInterval), b.answerMargin())
	interval = max(b.settings.Tick, interval)
	b.timerAt = b.now + interval
	b.emit(StartTimer{After: interval})
}

func (b *Balancer) answerMargin() time.Duration { return answerMarginTicks * b.settings.Tick }

// receiveList applies an endpoint list. After a failed call it polls again after a random delay, because all
// balancers poll one discovery service, which may be down or overloaded.
func (b *Balancer) receiveList(list EndpointList) {
	if list.Kind == ListFailed {
		maxAge := micros(b.settings.Rules.MaxListAge)
		b.pollAt = b.now + duration(listRetryInterval*(0.5+b.rng.Float64())*maxAge)
		return
	}
	if len(b.endpoints) == 0 && b.settings.ListOnRequest {
		b.emit(WatchEndpoints{})
	}
	b.updateEndpoints(list)
}
