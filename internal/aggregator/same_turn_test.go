package aggregator

import (
	"testing"
	"time"

	"rooktrestle/balance"
)

// cancelRecorder notes what a core says of each attempt that it gives up.
type cancelRecorder struct {
	*harness
	mayRetry map[AttemptID]bool
}

func (r cancelRecorder) Cancel(now time.Time, id AttemptID, mayRetry bool) {
	r.mayRetry[id] = mayRetry
	r.harness.Cancel(now, id, mayRetry)
}

func newCancelRecorder(t *testing.T, settings balance.Settings) cancelRecorder {
	t.Helper()
	b, err := balance.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	r := cancelRecorder{
		harness:  &harness{t: t, now: startTime, answers: map[string][]FinalAnswer{}},
		mayRetry: map[AttemptID]bool{},
	}
	r.core = NewCore(b, r, Limits{FollowUpParts: []int{0, 0, 2}, DeadlineMargin: 20 * time.Millisecond}, startTime)
	r.turn(twoServers)
	return r
}

// A part that may have run is to be written again within its class's dedup window, counted from its first attempt
// that may have run; one that never ran starts none. The balancer looks when it chooses, and the connection may
// come up later.
func TestCore_DedupWindowBindsTheWrite(t *testing.T) {
	const window = 700 * time.Millisecond
	settings := balancerSettings()
	settings.Classes[0].Idempotency = balance.KeyedIdempotent
	settings.Classes[0].DedupWindow = window
	b, err := balance.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: startTime, answers: map[string][]FinalAnswer{}}
	h.core = NewCore(b, h, Limits{
		FollowUpParts:  []int{0, 0, 2},
		DedupWindows:   []time.Duration{window},
		DeadlineMargin: 20 * time.Millisecond,
	}, startTime)
	h.turn(twoServers)
	next := func() OutgoingAttempt { // the next call that is sent
		t.Helper()
		for i := 0; len(h.calls) == 0; i++ {
			if i > 1000 {
				t.Fatal("not sent again")
			}
			h.advance(5 * time.Millisecond)
		}
		c := h.takeCall(0)
		return c
	}
	h.request("q", 0, 1)
	c := next()
	if !c.WriteBy.IsZero() {
		t.Errorf("a first attempt is bound to %v", c.WriteBy)
	}
	h.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}})
	c = next()
	if !c.WriteBy.IsZero() {
		t.Errorf("after one that never ran it is bound to %v", c.WriteBy)
	}
	first := h.now
	h.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written}})
	c = next()
	if !c.WriteBy.Equal(first.Add(window)) {
		t.Errorf("bound to %v, want %v", c.WriteBy, first.Add(window))
	}
	h.request("other", 1, 1)
	if c := next(); !c.WriteBy.IsZero() {
		t.Errorf("a class without a window is bound to %v", c.WriteBy)
	}
}

// A canceled part may be retried where its attempt has timed out and its query goes on, and not where its client has
// disconnected.
func TestCore_CancelSaysWhetherThePartMayBeRetried(t *testing.T) {
	settings := balancerSettings()
	settings.CanCancel = false // attempts have time-outs
	h := newCancelRecorder(t, settings)
	h.request("times out", 0, 1)
	for i := 0; len(h.canceled) == 0 && i < 500; i++ {
		h.advance(5 * time.Millisecond)
	}
	if mayRetry, ok := h.mayRetry[h.calls[0].Attempt]; !ok || !mayRetry {
		t.Errorf("timed out: may be retried %v, canceled %v", mayRetry, ok)
	}
	h = newCancelRecorder(t, balancerSettings())
	r := h.request("leaves", 0, 1)
	h.turn(ClientDisconnected{Request: r})
	if mayRetry, ok := h.mayRetry[h.calls[0].Attempt]; !ok || mayRetry {
		t.Errorf("its client has disconnected: may be retried %v, canceled %v", mayRetry, ok)
	}
}

// Nothing is sent for a client that disconnects in the same turn, whether its request arrives in that turn or a
// part of it is rejected.
func TestCore_ClientDisconnectsInTheTurnOfTheSend(t *testing.T) {
	h := newHarness(t)
	r := h.newRequest("q", 0)
	r.Parts = []PartSpec{{Weight: 1}}
	h.turn(RequestArrived{Request: r}, ClientDisconnected{Request: r})
	if len(h.calls) != 0 || h.core.OpenQueries() != 0 || h.core.Counters.Disconnected != 1 {
		t.Errorf("sent %d, held %d, %v", len(h.calls), h.core.OpenQueries(), h.core.Counters)
	}
	r = h.request("back", 0, 1)
	c := h.takeCall(0)
	rejected := AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}}
	h.turn(rejected, ClientDisconnected{Request: r})
	h.advance(time.Second)
	if len(h.calls) != 0 || h.core.OpenQueries() != 0 {
		t.Errorf("sent %d, held %d", len(h.calls), h.core.OpenQueries())
	}
}

// A server that begins to drain in the turn of a request, or of the end of its first attempt, gets nothing in that
// turn.
func TestCore_ServerDrainsInTheTurnOfTheSend(t *testing.T) {
	drain := changeOf(Server{ID: "a", Addr: "a:1", State: balance.Draining})
	for _, drains := range []bool{true, false} {
		h := newHarness(t)
		r := h.newRequest("q", 0)
		r.Parts = []PartSpec{{Weight: 1}}
		h.turn(RequestArrived{Request: r}, drain)
		if len(h.servers) != 1 || h.servers[0].ID != "b" {
			t.Fatalf("sent to %+v", h.servers)
		}
		c := h.takeCall(0)
		h.turn(changeOf(Server{ID: "a", Addr: "a:1"}))
		events := []Event{AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written}}}
		if drains {
			events = append(events, drain)
		}
		h.turn(events...)
		if toA := len(h.servers) > 0 && h.servers[0].ID == "a"; toA == drains {
			t.Errorf("drains %v, and it is sent again to %+v", drains, h.servers)
		}
	}
}

// A time-out is due in the turn that brings the answer: the part is served and nothing is canceled. In the turn
// before, the attempt is canceled, and its answer counts as long as the backend has not ended it.
func TestCore_TimeoutCrossesTheAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		settings := balancerSettings()
		settings.CanCancel = false // attempts have time-outs
		h := newCancelRecorder(t, settings)
		h.request("q", 0, 1)
		c := h.takeCall(0)
		h.now = c.Deadline
		if late {
			h.turn()
		}
		h.turn(AttemptEnded{Attempt: c.Attempt, Value: "v"})
		final := h.answer("q") // the answer counts while the cancellation is under way, too
		if final.Status != StatusServed || len(final.Items) != 1 || final.Items[0].Value != "v" {
			t.Errorf("late %v: %+v", late, final)
		}
		if len(h.canceled) > 0 != late {
			t.Errorf("late %v: canceled %v", late, h.canceled)
		}
	}
}

// The client's deadline, its disconnecting and the end of the last attempt come in one turn, in each order: the
// query ends once, and nothing of it is retried.
func TestCore_DeadlineDisconnectAndAttemptEndInOneTurn(t *testing.T) {
	for name, turn := range map[string]func(ended, left Event) []Event{
		"the attempt ends, the client leaves": func(ended, left Event) []Event { return []Event{ended, left} },
		"the client leaves, the attempt ends": func(ended, left Event) []Event { return []Event{left, ended} },
		"the attempt ends":                    func(ended, _ Event) []Event { return []Event{ended} },
		"the client leaves":                   func(_, left Event) []Event { return []Event{left} },
		"the deadline alone":                  func(_, _ Event) []Event { return nil },
		"the client leaves twice":             func(_, left Event) []Event { return []Event{left, left} },
	} {
		h := newHarness(t)
		r := h.request("q", 0, 1)
		c := h.takeCall(0)
		h.now = h.now.Add(r.Timeout)
		ended := AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: NotConnected}}
		left := ClientDisconnected{Request: r}
		h.turn(turn(ended, left)...)
		h.turn(ended, left)
		if len(h.calls) != 0 || h.core.OpenQueries() != 0 || len(h.answers["q"]) > 1 {
			t.Errorf("%s: sent %d, held %d, %d answers", name, len(h.calls), h.core.OpenQueries(), len(h.answers["q"]))
		}
		counters := h.core.Counters
		if counters.Received != 1 || counters.Served+counters.Rejected+counters.Failed+counters.Disconnected != 1 {
			t.Errorf("%s: %v", name, counters)
		}
	}
}
