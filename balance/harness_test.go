package balance

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings of one zone with three cells of one server each. Every server stores every
// shard.
func testSettings() Settings {
	return Settings{
		Seed:      1,
		Instances: 2,
		Tick:      5 * ms,
		Classes: []Class{{
			Objective:        time.Second,
			Deadline:         3 * time.Second,
			Weight:           1,
			Idempotency:      Idempotent,
			MinFraction:      1,
			CompleteFraction: 1,
		}},
		Cells:         3,
		Reach:         3,
		Shards:        6,
		MaxCallParts:  1,
		MaxAttempts:   3,
		CanHedge:      true,
		CanCancel:     true,
		MaxRetryAfter: time.Second,
		Rules: Rules{
			WarmupPeriod:      10 * time.Second,
			WarmupMinCapacity: 0.2,
			OverloadMultiple:  2,
			OverloadPeriod:    2 * time.Second,
		},
	}
}

// harness drives a Balancer turn by turn, in virtual time.
type harness struct {
	*testing.T
	b    *Balancer
	now  time.Duration
	next ID // of a query or part
}

func newHarness(t *testing.T, settings Settings, list ...Endpoint) *harness {
	t.Helper()
	b, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, b: b, now: 100 * time.Second, next: 1}
	if list == nil {
		list = threeServers()
	}
	h.turn(EndpointList{Kind: ListFull, Endpoints: list})
	return h
}

func threeServers() []Endpoint {
	return []Endpoint{{Replica: "a", Cell: 0}, {Replica: "b", Cell: 1}, {Replica: "c", Cell: 2}}
}

// turn runs a turn at the current time.
func (h *harness) turn(events ...Event) []Action { return h.b.Turn(h.now, events) }

// newQuery describes the query that a test sends.
type newQuery struct {
	class int
	parts int
}

// query returns the events of a query and its parts. The ID of the query is followed by those of its parts.
func (h *harness) query(q newQuery) (ID, []Event) {
	id := h.next
	events := []Event{Query{
		ID:            id,
		Group:         uint64(id),
		Class:         q.class,
		RemainingTime: h.b.settings.Classes[q.class].Deadline,
		Parts:         q.parts,
	}}
	for i := range q.parts {
		events = append(events, Part{
			ID:     id + 1 + ID(i),
			Group:  uint64(id),
			Shard:  i,
			Weight: 1 / float64(q.parts),
		})
	}
	h.next += ID(q.parts) + 1
	return id, events
}

// begin runs a turn with a new query and returns its actions.
func (h *harness) begin(q newQuery) []Action {
	h.Helper()
	_, events := h.query(q)
	return h.turn(events...)
}

// sendOnePart sends a query of one part, which the balancer must send in the same turn.
func (h *harness) sendOnePart(class int) Send {
	h.Helper()
	return onlyAction[Send](h, h.begin(newQuery{class: class, parts: 1}))
}

func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// countOf returns the number of actions of a type.
func countOf[T Action](actions []Action) int { return len(actionsOf[T](actions)) }

func onlyAction[T Action](h *harness, actions []Action) T {
	h.Helper()
	found := actionsOf[T](actions)
	if len(found) != 1 {
		var zero T
		h.Fatalf("want one %T, got %v", zero, actions)
	}
	return found[0]
}

func (h *harness) wantNone(actions []Action, what string, found int) {
	h.Helper()
	if found > 0 {
		h.Fatalf("no %s wanted: %v", what, actions)
	}
}

// endOf returns the end of a part's first attempt.
func endOf(send Send, result AttemptResult) AttemptEnded {
	return AttemptEnded{Part: send.Part, Replica: send.Replica, Result: result}
}

// end ends an attempt after the given time.
func (h *harness) end(s Send, attempt int, r AttemptResult, took time.Duration) []Action {
	h.Helper()
	h.now += took
	return h.turn(AttemptEnded{Part: s.Part, Attempt: attempt, Replica: s.Replica, Result: r, Elapsed: took})
}

// serve runs n one-part queries to their answers, one after the other; each takes the given time.
func (h *harness) serve(n int, took time.Duration) {
	h.Helper()
	for range n {
		id, events := h.query(newQuery{parts: 1})
		send := onlyAction[Send](h, h.turn(events...))
		if answer := onlyAction[Answer](h, h.end(send, 0, OK, took)); answer.Query != id || !answer.Complete {
			h.Fatalf("answer %v for query %d", answer, id)
		}
	}
}

// hedged runs queries of 100 ms and then one whose part is overdue. It returns the attempt of that part and
// its hedged request.
func (h *harness) hedged() (Send, Hedge) {
	h.Helper()
	h.serve(60, 100*ms)
	send := h.sendOnePart(0)
	h.now += 600 * ms
	return send, onlyAction[Hedge](h, h.turn(TimerFired{}))
}

// attemptsInOrder returns the attempts in flight in the order in which they were sent.
func attemptsInOrder(b *Balancer) []*attempt {
	return slices.SortedFunc(maps.Values(b.attempts), func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.part.ID, y.part.ID))
	})
}

func twoZones() []Endpoint {
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{Replica: Replica(rune('a' + i)), Cell: i % 3, Zone: i % 2})
	}
	return list
}

// serveBothSteps runs n one-part queries through both of their steps, 100 ms each.
func (h *harness) serveBothSteps(n int) {
	h.Helper()
	for range n {
		id, events := h.query(newQuery{parts: 1})
		onlyAction[Answer](h, h.end(onlyAction[Send](h, h.turn(events...)), 0, OK, 100*ms))
		h.next++
		send := onlyAction[Send](h, h.turn(Part{ID: h.next, Group: uint64(id), Weight: 1}))
		onlyAction[Answer](h, h.end(send, 0, OK, 100*ms))
		h.next++
	}
}

// twoClasses returns settings with a second class that has another idempotency.
func twoClasses(idempotency Idempotency) Settings {
	settings := testSettings()
	settings.CanHedge = false
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Idempotency = idempotency
	return settings
}

// almostNoTraffic is the traffic fraction of a server that loses nearly all of its parts.
const almostNoTraffic = 0.005

// newFleetHarness drives one of 300 balancers. Class 0 is a search that needs every part, class 1 a report
// for which half of the parts suffice. Four servers store every shard; the excluded ones receive almost no
// traffic.
func newFleetHarness(t *testing.T, excluded ...Replica) *harness {
	t.Helper()
	settings := testSettings()
	settings.Instances = 300
	settings.CanHedge = false
	settings.Cells = 4
	settings.Reach = 4
	settings.MaxAttempts = 4
	report := settings.Classes[0]
	report.MinFraction = 0.5
	report.PartialFraction = 0.8
	report.OverdueFraction = 0.1
	settings.Classes = append(settings.Classes, report)
	h := newHarness(
		t,
		settings,
		Endpoint{Replica: "a", Cell: 0},
		Endpoint{Replica: "b", Cell: 1},
		Endpoint{Replica: "c", Cell: 2},
		Endpoint{Replica: "d", Cell: 3},
	)
	h.serve(60, 100*ms)
	var list []Endpoint
	for _, id := range excluded {
		list = append(list, Endpoint{
			Replica:      id,
			Cell:         int(id[0] - 'a'),
			HealthLimits: HealthLimits{TrafficFraction: almostNoTraffic},
		})
	}
	h.turn(EndpointList{Kind: ListDelta, Endpoints: list})
	return h
}

func countByReplica(sends []Send) map[Replica]int {
	n := map[Replica]int{}
	for _, send := range sends {
		n[send.Replica]++
	}
	return n
}
