package balance

import (
	"testing"
	"time"
)

func TestEndpoints_DrainingServerGetsNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
		{Replica: "a", Cell: 0, State: Draining}, {Replica: "b", Cell: 1, State: Removed}}})
	for range 10 {
		if s := h.sendOnePart(0); s.Replica != "c" {
			t.Fatalf("sent to %s", s.Replica)
		}
	}
	h.turn(EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: "a", Cell: 0}}})
	if s := h.sendOnePart(0); s.Replica != "a" {
		t.Errorf("sent to %s, which the full list no longer names", s.Replica)
	}
}

func TestEndpoints_FailedCallKeepsTheListAndPollsAgain(t *testing.T) {
	settings := testSettings()
	settings.ListOnRequest = true
	settings.Rules.MaxListAge = 10 * time.Second
	var waits []time.Duration
	for settings.Seed = range 2 {
		h := newHarness(t, settings)
		actions := h.turn(EndpointList{Kind: ListFailed})
		h.wantNone(actions, "call in the turn of the failed one", len(actionsOf[WatchEndpoints](actions)))
		h.sendOnePart(0)
		failed := h.now
		for len(actionsOf[WatchEndpoints](actions)) == 0 {
			if h.now += 100 * ms; h.now > failed+settings.Rules.MaxListAge {
				t.Fatal("the list was not asked for again in the stated time")
			}
			actions = h.turn(TimerFired{})
		}
		waits = append(waits, h.now-failed)
	}
	if waits[0] == waits[1] || min(waits[0], waits[1]) < time.Second {
		t.Errorf("asked again after %v: all balancers would call at once", waits)
	}
}
