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
		if send := h.sendOnePart(0); send.Replica != "c" {
			t.Fatalf("sent to %s", send.Replica)
		}
	}
	h.turn(EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: "a", Cell: 0}}})
	if send := h.sendOnePart(0); send.Replica != "a" {
		t.Errorf("sent to %s, which is not in the full list", send.Replica)
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
		h.wantNone(actions, "call in the turn of the failed one", countOf[WatchEndpoints](actions))
		h.sendOnePart(0)
		failed := h.now
		for countOf[WatchEndpoints](actions) == 0 {
			h.now += 100 * ms
			if h.now > failed+settings.Rules.MaxListAge {
				t.Fatal("the list was not requested again within MaxListAge")
			}
			actions = h.turn(TimerFired{})
		}
		waits = append(waits, h.now-failed)
	}
	if waits[0] == waits[1] || min(waits[0], waits[1]) < time.Second {
		t.Errorf("requested again after %v: all balancers would call at the same time", waits)
	}
}
