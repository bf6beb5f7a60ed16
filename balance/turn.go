package balance

import (
	"slices"
	"time"
)

// When the next turn comes, and how long before its deadline a query ends.
const (
	listRetryInterval = 0.5  // of the age at which the list is stale: mean wait after a failed call
	timerInterval     = 0.01 // of the shortest objective: time between two checks for overdue attempts
	answerMarginTicks = 3    // ticks before its deadline at which a query is answered at the latest
)

// Turn takes the events of one turn and returns the actions, in order. The clock never goes back.
func (b *Balancer) Turn(now time.Duration, events []Event) []Action {
	passed := now - b.now
	b.now = now
	b.actions = nil
	b.fleet.EarnSlowStart(now, passed)
	for _, event := range events {
		b.handle(event)
	}
	b.fleet.Assess(now)
	for _, query := range b.queries {
		if !query.done {
			b.advance(query)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.done })
	b.sendGossip()
	b.scheduleTimer()
	return b.actions
}

func (b *Balancer) handle(event Event) {
	switch e := event.(type) {
	case Query:
		b.startQuery(e)
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

// scheduleTimer keeps one timer ahead while there is work, so that overdue attempts are seen without an
// event.
func (b *Balancer) scheduleTimer() {
	if b.pollAt > 0 && b.now >= b.pollAt {
		b.pollAt = 0
		b.emit(WatchEndpoints{})
	}
	if len(b.queries) == 0 && b.pollAt == 0 || b.timerAt > b.now {
		return
	}
	// Never longer than the answer margin, or a query could outlive its deadline between two turns.
	interval := min(time.Duration(float64(b.minObjective)*timerInterval), b.answerMargin())
	interval = max(b.settings.Tick, interval)
	b.timerAt = b.now + interval
	b.emit(StartTimer{After: interval})
}

func (b *Balancer) answerMargin() time.Duration { return answerMarginTicks * b.settings.Tick }

// receiveList takes in the endpoint list, and polls for it again after a failed call: paced, and at random,
// as all balancers poll one discovery service, which may be down or short of capacity.
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
