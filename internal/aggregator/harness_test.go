package aggregator

import (
	"slices"
	"testing"
	"time"

	"rooktrestle/balance"
)

var startTime = time.Unix(1_700_000_000, 0)

// twoServers is the endpoint list of most tests.
var twoServers = EndpointsChanged{
	Kind: balance.ListFull,
	Servers: []Server{
		{ID: "a", Addr: "a:1", Cell: 0},
		{ID: "b", Addr: "b:1", Cell: 1},
	},
}

// endpointChange returns a change of the endpoint list that contains one server.
func endpointChange(server Server) EndpointsChanged {
	return EndpointsChanged{Kind: balance.ListDelta, Servers: []Server{server}}
}

// harness contains a core with a backend that records attempts, and clients that record their answers. Its clock
// advances only when the test advances it.
type harness struct {
	t         *testing.T
	core      *Core
	now       time.Time
	attempts  []OutgoingAttempt // in flight, in the order of sending
	callSizes []int             // parts of each call
	servers   []Server          // destinations of attempts, by index
	canceled  []AttemptID
	probes    []Server
	answers   map[string][]FinalAnswer
}

// client records its answer, and panics if its id is "panics".
type client struct {
	harness *harness
	id      string
}

func (c client) Answer(final FinalAnswer) {
	c.harness.answers[c.id] = append(c.harness.answers[c.id], final)
	if c.id == "panics" {
		panic("in Answer")
	}
}

func (h *harness) Send(_ time.Time, to Server, attempts []OutgoingAttempt) {
	h.callSizes = append(h.callSizes, len(attempts))
	for _, c := range attempts {
		h.attempts = append(h.attempts, c)
		h.servers = append(h.servers, to)
	}
}

func (h *harness) Cancel(_ time.Time, a AttemptID, _ bool) { h.canceled = append(h.canceled, a) }

func (h *harness) Probe(_ time.Time, to Server) { h.probes = append(h.probes, to) }

// balancerSettings returns settings with three classes: idempotent, non-idempotent, and with a second step.
func balancerSettings() balance.Settings {
	idempotent := balance.Class{
		Objective:        time.Second,
		Deadline:         timeout,
		Weight:           1,
		OverdueFraction:  0.3,
		MinFraction:      1,
		CompleteFraction: 1,
	}
	nonIdempotent := idempotent
	nonIdempotent.Idempotency = balance.NonIdempotent
	withSecondStep := idempotent
	withSecondStep.MinFraction = 0.5
	withSecondStep.PartialFraction = 0.8
	withSecondStep.FollowUpParts = 2
	return balance.Settings{
		Seed:          1,
		Instances:     1,
		Tick:          5 * time.Millisecond,
		Cells:         2,
		Reach:         2,
		Shards:        4,
		MaxCallParts:  1,
		MaxAttempts:   3,
		CanCancel:     true,
		MaxRetryAfter: time.Second,
		Classes:       []balance.Class{idempotent, nonIdempotent, withSecondStep},
	}
}

// timeout is how long the clients of the tests wait for their answers.
const timeout = 3 * time.Second

// newRequest returns a request without parts whose client records its answers.
func (h *harness) newRequest(id string, class int) *Request {
	return &Request{
		ID:       id,
		Class:    class,
		Arrived:  h.now,
		Timeout:  timeout,
		Payload:  "text",
		Frontend: client{harness: h, id: id},
	}
}

// newHarness returns a harness with two servers, "a" and "b".
func newHarness(t *testing.T) *harness {
	t.Helper()
	b, err := balance.New(balancerSettings())
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: startTime, answers: map[string][]FinalAnswer{}}
	limits := Limits{
		FollowUpParts:  []int{0, 0, 2},
		MaxOpen:        20,
		RetryAfter:     time.Second,
		DeadlineMargin: 20 * time.Millisecond,
	}
	h.core = NewCore(b, h, limits, startTime)
	h.turn(twoServers)
	return h
}

func (h *harness) turn(events ...Event) { h.core.Turn(h.now, events) }

// advance advances the clock by d and runs a turn.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.turn()
}

// request sends a request with the given number of parts of equal weight.
func (h *harness) request(id string, class, parts int) *Request {
	r := h.newRequest(id, class)
	for i := range parts {
		r.Parts = append(r.Parts, PartSpec{Shard: i, Weight: 1 / float64(parts)})
	}
	h.turn(RequestArrived{Request: r})
	return r
}

// endAll ends the attempts in flight, each with err or, if that is nil, with the name of its part as value.
func (h *harness) endAll(err error) {
	var events []Event
	for _, c := range h.takeAttempts() {
		events = append(events, AttemptEnded{Attempt: c.Attempt, Err: err, Score: float64(c.Shard), Value: c.Name})
	}
	h.turn(events...)
}

// takeAttempts removes and returns all attempts in flight.
func (h *harness) takeAttempts() []OutgoingAttempt {
	attempts := h.attempts
	h.attempts = nil
	h.servers = nil
	return attempts
}

// takeAttempt removes and returns the attempt in flight at an index.
func (h *harness) takeAttempt(index int) OutgoingAttempt {
	attempt := h.attempts[index]
	h.attempts = slices.Delete(h.attempts, index, index+1)
	h.servers = slices.Delete(h.servers, index, index+1)
	return attempt
}

// answer returns the final answer of a request, and fails the test unless there is exactly one.
func (h *harness) answer(id string) FinalAnswer {
	h.t.Helper()
	if len(h.answers[id]) != 1 {
		h.t.Fatalf("%s has %d final answers", id, len(h.answers[id]))
	}
	return h.answers[id][0]
}

// gossipRecorder records what is sent to the other aggregators.
type gossipRecorder [][]byte

func (r *gossipRecorder) Broadcast(payload []byte) { *r = append(*r, payload) }
