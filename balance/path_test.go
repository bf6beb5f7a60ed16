package balance

import (
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/suspicion"
)

// All of a zone's servers look slow: it is the path. They are avoided together, and one part tests the path.
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
		for _, s := range actionsOf[Send](h.turn(events...)) {
			n += h.b.servers[s.Replica].zone
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
	if h.turn(TimerFired{}); !far.Path.Usable() {
		t.Error("a few slow parts made the path slow")
	}
	for range 40 {
		h.b.fleet.RecordAnswer(&far.Server, h.now, 1.5e6, 40)
	}
	if h.turn(TimerFired{}); far.Path.Usable() {
		t.Error("every answer takes long, and the path is still used")
	}
}

// Failures count against a path only while they outnumber what is still in flight there; anything from there clears it.
func TestPath_FewFastFailuresDoNotCloseIt(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	path := h.b.paths[1]
	s := h.b.servers["b"]
	path.InFlight = make([]time.Duration, 20)
	for range 4 {
		s.RecordClassFailure(0, h.now, h.now, h.b.halfOpenDelay())
	}
	if !path.Usable() {
		t.Error("four failures with twenty parts in flight closed the path")
	}
	if path.InFlight = nil; path.Usable() {
		t.Error("four failures and nothing in flight: the path must be avoided")
	}
	h.b.fleet.RecordAnswer(&s.Server, h.now, 100e3, 1)
	if !path.Usable() {
		t.Error("an answer must open the path")
	}
}

// Many parts are in flight over a path and nothing comes from there: it is left before any of them is late by itself, and
// they move. A few slow ones are no sign.
func TestPath_OneThatTakesAllPartsIsAvoidedEarly(t *testing.T) {
	for _, c := range []struct {
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
		h.b.fleet.Mean = 100e3
		h.b.fleet.Deviation = 50e3
		h.b.hedgeTokens = maxHedgeTokens
		h.now += time.Millisecond
		for _, s := range h.b.endpoints {
			s.avoidUntil = h.now // all may be sent to
			if s.zone == 0 {
				s.avoidUntil = h.now + time.Hour
			}
		}
		if n := len(actionsOf[Send](h.begin(newQuery{parts: c.parts}))); n != c.parts {
			t.Fatalf("%d of %d parts sent", n, c.parts)
		}
		for _, s := range h.b.endpoints {
			s.avoidUntil = 0
		}
		h.now += 160 * ms
		h.turn(TimerFired{})
		if h.b.paths[1].Usable() == c.silent {
			t.Errorf("%d parts in flight, none answered: path usable %v", c.parts, h.b.paths[1].Usable())
		}
		h.now += 10 * ms
		if n := len(h.b.attempts); c.silent && !slices.ContainsFunc(attemptsInOrder(h.b), func(a *attempt) bool { return a.canceled }) {
			t.Errorf("none of %d parts is moved", n)
		}
	}
}
