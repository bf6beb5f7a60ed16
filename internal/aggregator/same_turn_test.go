package aggregator

import (
	"testing"
	"time"

	"rooktrestle/balance"
)

// cancelRecorder records for each attempt that the core cancels whether its part may be retried.
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

// Every attempt of a keyed query must carry the client's idempotency key: servers would run a retry or a follow-up without
// it although they have run the part for the same client before.
func TestCore_AttemptsCarryTheIdempotencyKey(t *testing.T) {
	const key = "5c0f6e1a"
	expectKey := func(t *testing.T, h *harness, want string) {
		t.Helper()
		if len(h.attempts) == 0 {
			t.Fatal("nothing was sent")
		}
		for _, attempt := range h.attempts {
			if attempt.IdempotencyKey != want {
				t.Errorf("%s carries key %q, want %q", attempt.Name, attempt.IdempotencyKey, want)
			}
		}
	}
	keyed := func(h *harness, class int) {
		r := h.newRequest("q", class)
		r.IdempotencyKey = key
		r.Parts = []PartSpec{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}
		h.turn(RequestArrived{Request: r})
	}
	t.Run("first attempts and retries", func(t *testing.T) {
		h := newHarness(t)
		keyed(h, 0)
		expectKey(t, h, key)
		h.endAll(&AttemptError{Progress: Answered})
		h.advance(time.Second)
		expectKey(t, h, key)
	})
	t.Run("follow-ups", func(t *testing.T) {
		h := newHarness(t)
		keyed(h, 2)
		h.endAll(nil)
		expectKey(t, h, key)
	})
	t.Run("a query without a key", func(t *testing.T) {
		h := newHarness(t)
		h.request("q", 0, 2)
		expectKey(t, h, "")
	})
}

// A part that may have run must be written again within the deduplication window of its class, which starts with its
// first attempt that may have run. The balancer checks this when it sends, but the connection may be established later.
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
	next := func() OutgoingAttempt { // the next attempt that is sent
		t.Helper()
		for i := 0; len(h.attempts) == 0; i++ {
			if i > 1000 {
				t.Fatal("not sent again")
			}
			h.advance(5 * time.Millisecond)
		}
		c := h.takeAttempt(0)
		return c
	}
	h.request("q", 0, 1)
	c := next()
	if !c.WriteBy.IsZero() {
		t.Errorf("a first attempt must be written by %v, want no limit", c.WriteBy)
	}
	h.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}})
	c = next()
	if !c.WriteBy.IsZero() {
		t.Errorf("after an attempt that never ran: must be written by %v, want no limit", c.WriteBy)
	}
	first := h.now
	h.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written}})
	c = next()
	if !c.WriteBy.Equal(first.Add(window)) {
		t.Errorf("must be written by %v, want %v", c.WriteBy, first.Add(window))
	}
	h.request("other", 1, 1)
	if c := next(); !c.WriteBy.IsZero() {
		t.Errorf("a class without a window: must be written by %v, want no limit", c.WriteBy)
	}
}

// The part of a canceled attempt may be retried if the attempt timed out and its query is still open, but not if its
// client has disconnected.
func TestCore_CancelSaysWhetherThePartMayBeRetried(t *testing.T) {
	settings := balancerSettings()
	settings.CanCancel = false // attempts have timeouts
	h := newCancelRecorder(t, settings)
	h.request("times out", 0, 1)
	for i := 0; len(h.canceled) == 0 && i < 500; i++ {
		h.advance(5 * time.Millisecond)
	}
	if mayRetry, ok := h.mayRetry[h.attempts[0].Attempt]; !ok || !mayRetry {
		t.Errorf("timed out: may be retried %v, canceled %v", mayRetry, ok)
	}
	h = newCancelRecorder(t, balancerSettings())
	r := h.request("leaves", 0, 1)
	h.turn(ClientDisconnected{Request: r})
	if mayRetry, ok := h.mayRetry[h.attempts[0].Attempt]; !ok || mayRetry {
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
	if len(h.attempts) != 0 || h.core.OpenQueries() != 0 || h.core.Counters.Disconnected != 1 {
		t.Errorf("%d attempts sent, %d open queries, %v", len(h.attempts), h.core.OpenQueries(), h.core.Counters)
	}
	r = h.request("back", 0, 1)
	c := h.takeAttempt(0)
	rejected := AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Answered, Rejected: true}}
	h.turn(rejected, ClientDisconnected{Request: r})
	h.advance(time.Second)
	if len(h.attempts) != 0 || h.core.OpenQueries() != 0 {
		t.Errorf("%d attempts sent, %d open queries", len(h.attempts), h.core.OpenQueries())
	}
}

// A server that starts to drain in the turn of a request, or of the end of its first attempt, receives nothing in that
// turn.
func TestCore_ServerDrainsInTheTurnOfTheSend(t *testing.T) {
	drain := endpointChange(Server{ID: "a", Addr: "a:1", State: balance.Draining})
	for _, drains := range []bool{true, false} {
		h := newHarness(t)
		r := h.newRequest("q", 0)
		r.Parts = []PartSpec{{Weight: 1}}
		h.turn(RequestArrived{Request: r}, drain)
		if len(h.servers) != 1 || h.servers[0].ID != "b" {
			t.Fatalf("sent to %+v", h.servers)
		}
		c := h.takeAttempt(0)
		h.turn(endpointChange(Server{ID: "a", Addr: "a:1"}))
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

// If a timeout is due in the turn of the answer, the part is answered and nothing is canceled. If it is due in the
// previous turn, the attempt is canceled, and its answer counts as long as the backend has not reported its end.
func TestCore_TimeoutCrossesTheAnswer(t *testing.T) {
	for _, late := range []bool{false, true} {
		settings := balancerSettings()
		settings.CanCancel = false // attempts have timeouts
		h := newCancelRecorder(t, settings)
		h.request("q", 0, 1)
		c := h.takeAttempt(0)
		h.now = c.Deadline
		if late {
			h.turn()
		}
		h.turn(AttemptEnded{Attempt: c.Attempt, Value: "v"})
		final := h.answer("q") // the answer also counts while the cancellation is pending
		if final.Status != StatusServed || len(final.Items) != 1 || final.Items[0].Value != "v" {
			t.Errorf("late %v: %+v", late, final)
		}
		if len(h.canceled) > 0 != late {
			t.Errorf("late %v: canceled %v", late, h.canceled)
		}
	}
}

// The client's deadline, its disconnect and the end of the last attempt are handled in one turn, in each order: the
// query is completed once, and no part of it is retried.
func TestCore_DeadlineDisconnectAndAttemptEndInOneTurn(t *testing.T) {
	for name, turn := range map[string]func(ended, left Event) []Event{
		"the attempt ends, the client disconnects": func(ended, left Event) []Event { return []Event{ended, left} },
		"the client disconnects, the attempt ends": func(ended, left Event) []Event { return []Event{left, ended} },
		"the attempt ends":                         func(ended, _ Event) []Event { return []Event{ended} },
		"the client disconnects":                   func(_, left Event) []Event { return []Event{left} },
		"the deadline alone":                       func(_, _ Event) []Event { return nil },
		"the client disconnects twice":             func(_, left Event) []Event { return []Event{left, left} },
	} {
		h := newHarness(t)
		r := h.request("q", 0, 1)
		c := h.takeAttempt(0)
		h.now = h.now.Add(r.Timeout)
		ended := AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: NotConnected}}
		left := ClientDisconnected{Request: r}
		h.turn(turn(ended, left)...)
		h.turn(ended, left)
		if len(h.attempts) != 0 || h.core.OpenQueries() != 0 || len(h.answers["q"]) > 1 {
			t.Errorf("%s: %d attempts sent, %d open queries, %d answers",
				name, len(h.attempts), h.core.OpenQueries(), len(h.answers["q"]))
		}
		counters := h.core.Counters
		if counters.Received != 1 || counters.Served+counters.Rejected+counters.Failed+counters.Disconnected != 1 {
			t.Errorf("%s: %v", name, counters)
		}
	}
}
