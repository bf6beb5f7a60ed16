package balance

import (
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/suspicion"
)

// Where all servers of a zone look slow, the path is at fault. They are avoided together, and one part tests the path.
func TestPath_SlowOneIsAvoidedAsAWhole(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	h.b.paths[1].MinLatency = 1.5e6
	h.turn(TimerFired{})
	if h.b.paths[1].Usable() || h.b.fleet.MedianServiceTime > 200e3 {
		t.Fatalf("path usable %v, median %v", h.b.paths[1].Usable(), h.b.fleet.MedianServiceTime)
	}
	h.b.paths[1].NextHalfOpen = h.now + time.Hour
	_, events := h.query(newQuery{parts: 6})
	far := func() (n int) {
		for _, send := range actionsOf[Send](h.turn(events...)) {
			n += h.b.servers[send.Replica].zone
		}
		return n
	}
	if n := far(); n != 0 {
		t.Errorf("%d parts over a slow path", n)
	}
	h.b.paths[1].NextHalfOpen = 0
	_, events = h.query(newQuery{parts: 6})
	if n := far(); n != 1 {
		t.Errorf("%d parts test the path, want 1", n)
	}
}

// The last answers of a wide query are its slowest: they do not make a path slow, unless all are.
func TestPath_SlowPartsDoNotMakeItSlow(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	far := h.b.servers["b"]
	h.b.fleet.RecordAnswer(&far.Server, h.now, 100e3, 40)
	for range 12 {
		h.b.fleet.RecordAnswer(&far.Server, h.now, 600e3, 40)
	}
	h.turn(TimerFired{})
	if !far.Path.Usable() {
		t.Error("a few slow parts made the path slow")
	}
	for range 40 {
		h.b.fleet.RecordAnswer(&far.Server, h.now, 1.5e6, 40)
	}
	h.turn(TimerFired{})
	if far.Path.Usable() {
		t.Error("every answer takes long, and the path is still used")
	}
}

// Failures count against a path only once there are twice as many as requests in flight there. Any answer clears them.
func TestPath_FewFastFailuresDoNotCloseIt(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	path := h.b.paths[1]
	server := h.b.servers["b"]
	path.InFlight = make([]time.Duration, 20)
	for range 4 {
		server.RecordClassFailure(0, h.now, h.now, h.b.halfOpenDelay())
	}
	if !path.Usable() {
		t.Error("four failures with twenty parts in flight closed the path")
	}
	path.InFlight = nil
	if path.Usable() {
		t.Error("four failures and nothing in flight: the path must be avoided")
	}
	h.b.fleet.RecordAnswer(&server.Server, h.now, 100e3, 1)
	if !path.Usable() {
		t.Error("an answer must open the path")
	}
}

// Many parts are in flight over a path and nothing comes back: the path is avoided before any of them is overdue, and
// they are moved. A few slow parts do not suffice.
func TestPath_OneThatTakesAllPartsIsAvoidedEarly(t *testing.T) {
	for _, test := range []struct {
		parts  int
		silent bool
	}{
		{parts: suspicion.MaxTypicalOverdue, silent: true},
		{parts: 3, silent: false},
	} {
		settings := testSettings()
		settings.CanHedge = false
		h := newHarness(t, settings, twoZones()...)
		h.serve(60, 100*ms)
		h.b.fleet.Latency = estimate.Latency{Mean: 100e3, Deviation: 50e3}
		h.b.hedgeTokens = maxHedgeTokens
		h.now += time.Millisecond
		for _, server := range h.b.endpoints {
			server.avoidUntil = h.now // all may be sent to
			if server.zone == 0 {
				server.avoidUntil = h.now + time.Hour
			}
		}
		if n := countOf[Send](h.begin(newQuery{parts: test.parts})); n != test.parts {
			t.Fatalf("%d of %d parts sent", n, test.parts)
		}
		for _, server := range h.b.endpoints {
			server.avoidUntil = 0
		}
		h.now += 160 * ms
		h.turn(TimerFired{})
		if h.b.paths[1].Usable() == test.silent {
			t.Errorf("%d parts in flight, none answered: path usable %v", test.parts, h.b.paths[1].Usable())
		}
		h.now += 10 * ms
		isCanceled := func(a *attempt) bool { return a.canceled }
		if test.silent && !slices.ContainsFunc(attemptsInOrder(h.b), isCanceled) {
			t.Errorf("none of %d parts is moved", len(h.b.attempts))
		}
	}
}
