package balance

import (
	"testing"
	"time"
)

// Two servers crash while they run parts of a query of which none is answered yet: the query is rejected, and
// later queries of its class send one part ahead of the others.
func TestCrash_QueryThatCrashesServersEnds(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	settings.Classes = append(settings.Classes, settings.Classes[0])
	h := newHarness(t, settings)
	h.serve(10, 100*ms)
	id, events := h.query(newQuery{parts: 3})
	sends := actionsOf[Send](h.turn(events...))
	for i, send := range sends[:2] {
		h.now += 5 * ms
		actions := h.turn(AttemptEnded{Part: send.Part, Replica: send.Replica, Result: Reset, Elapsed: 50 * ms})
		if probe := onlyAction[Probe](h, actions); probe.Replica != send.Replica {
			t.Fatalf("probed %s, want %s", probe.Replica, send.Replica)
		}
		h.wantNone(actions, "retry before the probe has ended", countOf[Send](actions))
		h.now += 5 * ms
		actions = h.turn(ProbeEnded{Replica: send.Replica, Result: ConnectFailed})
		if rejections := countOf[Reject](actions); rejections != i {
			t.Fatalf("rejected %d times after %d crashes", rejections, i+1)
		} else if rejections == 1 && onlyAction[Reject](h, actions).Query != id {
			t.Error("another query was rejected")
		}
	}
	first := onlyAction[Send](h, h.begin(newQuery{parts: 3}))
	if n := countOf[Send](h.end(first, 0, OK, 20*ms)); n != 2 {
		t.Errorf("%d parts sent after the answer of the first, want 2", n)
	}
	if n := countOf[Send](h.begin(newQuery{class: 1, parts: 3})); n != 3 {
		t.Errorf("%d of 3 parts of another class sent at once", n)
	}
}

// If connections break and the servers are still up, only answers were lost: the query does not count as
// crashing servers.
func TestCrash_LostAnswersAreNoCrashes(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	h := newHarness(t, settings)
	h.serve(10, 100*ms)
	for _, send := range actionsOf[Send](h.begin(newQuery{parts: 3}))[:2] {
		h.turn(AttemptEnded{Part: send.Part, Replica: send.Replica, Result: Reset, Elapsed: 50 * ms})
		actions := h.turn(ProbeEnded{Replica: send.Replica, Result: OK})
		if countOf[Reject](actions) > 0 || countOf[Send](actions) != 1 {
			t.Errorf("want the part sent again, got %v", actions)
		}
	}
}

// The retry of a query that crashed servers has the same key: it is rejected before it crashes more servers.
func TestCrash_RetryOfACrashingQueryIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(10, 100*ms)
	id, events := h.query(newQuery{parts: 3})
	keyed := func() {
		q := events[0].(Query)
		q.Key = "k"
		events[0] = q
	}
	keyed()
	var resets []Event
	for _, send := range actionsOf[Send](h.turn(events...)) {
		resets = append(resets, endOf(send, Reset))
	}
	h.now += 50 * ms
	if rejection := onlyAction[Reject](h, h.turn(resets...)); rejection.Query != id {
		t.Fatalf("rejected %v", rejection)
	}
	h.now += 500 * ms
	id, events = h.query(newQuery{parts: 3})
	keyed()
	if actions := h.turn(events...); onlyAction[Reject](h, actions).Query != id || countOf[Send](actions) > 0 {
		t.Errorf("the retry was admitted: %v", actions)
	}
	h.now += time.Minute
	_, events = h.query(newQuery{parts: 3})
	keyed()
	if countOf[Send](h.turn(events...)) == 0 {
		t.Error("queries with the key are still rejected a minute later")
	}
}
