package balance

import (
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/suspicion"
)

// If all servers of a zone appear slow, the path is at fault: they are avoided together, and one part tests
// the path.
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
	remoteSends := func() (n int) {
		for _, send := range actionsOf[Send](h.turn(events...)) {
			n += h.b.servers[send.Replica].zone
		}
		return n
	}
	if n := remoteSends(); n != 0 {
		t.Errorf("%d parts over a slow path", n)
	}
	h.b.paths[1].NextHalfOpen = 0
	_, events = h.query(newQuery{parts: 6})
	if n := remoteSends(); n != 1 {
		t.Errorf("%d parts sent to test the path, want 1", n)
	}
}

// The last answers of a wide query are its slowest. They do not make a path count as slow unless all answers
// are slow.
func TestPath_SlowPartsDoNotMakeItSlow(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	remote := h.b.servers["b"]
	h.b.fleet.RecordAnswer(&remote.Server, h.now, 100e3, 40)
	for range 12 {
		h.b.fleet.RecordAnswer(&remote.Server, h.now, 600e3, 40)
	}
	h.turn(TimerFired{})
	if !remote.Path.Usable() {
		t.Error("a few slow parts made the path slow")
	}
	for range 40 {
		h.b.fleet.RecordAnswer(&remote.Server, h.now, 1.5e6, 40)
	}
	h.turn(TimerFired{})
	if remote.Path.Usable() {
		t.Error("all answers are slow, and the path is still usable")
	}
}

// Failures make a path unusable only if there are twice as many as requests in flight over it. Any answer
// clears them.
func TestPath_FewFastFailuresDoNotCloseIt(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	path := h.b.paths[1]
	server := h.b.servers["b"]
	path.InFlight = make([]time.Duration, 20)
	for range 4 {
		server.RecordClassFailure(0, h.now, h.now, h.b.halfOpenInterval())
	}
	if !path.Usable() {
		t.Error("four failures with twenty parts in flight made the path unusable")
	}
	path.InFlight = nil
	if path.Usable() {
		t.Error("the path is usable after four failures with nothing in flight")
	}
	h.b.fleet.RecordAnswer(&server.Server, h.now, 100e3, 1)
	if !path.Usable() {
		t.Error("the path is not usable after an answer")
	}
}

// If many parts are in flight over a path and none is answered, the path is avoided before any of them is
// overdue, and they are canceled to be sent elsewhere. A few slow parts do not suffice.
func TestPath_OneThatTakesAllPartsIsAvoidedEarly(t *testing.T) {
	for _, test := range []struct {
		parts      int
		unanswered bool
	}{
		{parts: suspicion.MinStalledRequests, unanswered: true},
		{parts: 3, unanswered: false},
	} {
		settings := testSettings()
		settings.CanHedge = false
		h := newHarness(t, settings, twoZones()...)
		h.serve(60, 100*ms)
		h.b.fleet.Latency = estimate.Latency{Mean: 100e3, Deviation: 50e3}
		h.b.hedgeTokens = maxHedgeTokens
		h.now += time.Millisecond
		for _, server := range h.b.endpoints {
			server.avoidUntil = h.now // may be sent to from now on
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
		if h.b.paths[1].Usable() == test.unanswered {
			t.Errorf("%d parts in flight, none answered: path usable %v", test.parts, h.b.paths[1].Usable())
		}
		h.now += 10 * ms
		isCanceled := func(a *attempt) bool { return a.canceled }
		if test.unanswered && !slices.ContainsFunc(attemptsInOrder(h.b), isCanceled) {
			t.Errorf("none of %d attempts was canceled", len(h.b.attempts))
		}
	}
}
