package balance

import (
	"testing"
	"time"
)

// attemptsByReplica serves n one-part queries of class 0 and returns how many attempts each server received.
func (h *harness) attemptsByReplica(n int) map[Replica]int {
	h.Helper()
	got := map[Replica]int{}
	for range n {
		send := h.sendOnePart(0)
		got[send.Replica]++
		h.end(send, 0, OK, 50*ms)
	}
	return got
}

func endpointsWithLimits(e HealthLimits) []Endpoint {
	list := threeServers()
	list[0].HealthLimits = e
	return list
}

// While another replica is listed, an ejected server receives no part of the class except one for each
// granted half-open request. If all replicas are ejected, they receive parts nevertheless.
func TestLimits_EjectedServerGetsHalfOpenRequestsOnly(t *testing.T) {
	h := newHarness(t, testSettings(), endpointsWithLimits(HealthLimits{EjectedClasses: 1})...)
	if n := h.attemptsByReplica(50)["a"]; n != 0 {
		t.Fatalf("%d parts at an ejected server", n)
	}
	h.turn(EndpointList{
		Kind: ListDelta,
		Endpoints: []Endpoint{{
			Replica:      "a",
			Cell:         0,
			HealthLimits: HealthLimits{EjectedClasses: 1, HalfOpenClasses: 1},
		}},
	})
	// A later update, before the half-open request is used, grants no second one.
	h.turn(EndpointList{
		Kind: ListDelta,
		Endpoints: []Endpoint{{
			Replica:      "a",
			Cell:         0,
			HealthLimits: HealthLimits{EjectedClasses: 1, TrafficFraction: 0.5},
		}},
	})
	if n := h.attemptsByReplica(50)["a"]; n != 1 {
		t.Fatalf("%d parts at an ejected server for one half-open request", n)
	}
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
		{
			Replica:      "a",
			Cell:         0,
			HealthLimits: HealthLimits{EjectedClasses: 1},
		}, {
			Replica: "b",
			Cell:    1,
			State:   Removed,
		}, {
			Replica:      "c",
			Cell:         2,
			HealthLimits: HealthLimits{EjectedClasses: 3},
		},
	}})
	if got := h.attemptsByReplica(20); got["a"]+got["c"] != 20 {
		t.Fatalf("%v", got)
	}
}

// A non-idempotent part waits for a busy replica and is not sent to an ejected one.
func TestLimits_EjectedServerIsNoWayAroundABusyOne(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(
		t,
		settings,
		Endpoint{Replica: "a", Cell: 0, HealthLimits: HealthLimits{EjectedClasses: 1}},
		Endpoint{Replica: "b", Cell: 1, HealthLimits: HealthLimits{MaxInFlight: 1}},
	)
	if send := h.sendOnePart(0); send.Replica != "b" {
		t.Fatalf("sent to %s", send.Replica)
	}
	actions := h.begin(newQuery{parts: 1})
	h.wantNone(actions, "second part at a server limited to one", countOf[Send](actions))
}

// The number of parts in flight at a server stays within its limit.
func TestLimits_MaxInFlight(t *testing.T) {
	h := newHarness(t, testSettings(), endpointsWithLimits(HealthLimits{MaxInFlight: 2})...)
	inFlight := 0
	for range 30 {
		for _, send := range actionsOf[Send](h.begin(newQuery{parts: 1})) {
			if send.Replica == "a" {
				inFlight++
			}
		}
	}
	if inFlight != 2 {
		t.Errorf("%d parts in flight at a server limited to 2", inFlight)
	}
}

// A server with traffic fraction 0.25 next to two without a limit receives 8 to 20 % of the parts.
func TestLimits_TrafficFraction(t *testing.T) {
	h := newHarness(t, testSettings(), endpointsWithLimits(HealthLimits{TrafficFraction: 0.25})...)
	got := h.attemptsByReplica(2000)
	if share := float64(got["a"]) / 2000; share < 0.08 || share > 0.2 {
		t.Errorf("%v", got)
	}
}

// A traffic fraction of 1 leads to the same choices as zero HealthLimits with the same seed.
func TestLimits_NoneChangeNothing(t *testing.T) {
	trace := func(e HealthLimits) (got []Replica) {
		h := newHarness(t, testSettings(), endpointsWithLimits(e)...)
		for range 200 {
			send := h.sendOnePart(0)
			got = append(got, send.Replica)
			h.end(send, 0, OK, time.Duration(20+len(got)%7*10)*ms)
		}
		return got
	}
	plain := trace(HealthLimits{})
	full := trace(HealthLimits{TrafficFraction: 1})
	for i := range plain {
		if plain[i] != full[i] {
			t.Fatalf("choice %d: %s, not %s", i, full[i], plain[i])
		}
	}
}

// A part with candidates is sent to them only, and less often to one with a traffic fraction. If its last
// candidate is removed, the query is rejected immediately; if that is replaced by another, the other receives
// the part.
func TestLimits_PartsNameTheirCandidates(t *testing.T) {
	h := newHarness(t, testSettings())
	withCandidates := func(list ...Candidate) (ID, []Event) {
		id, events := h.query(newQuery{parts: 1})
		p := events[1].(Part)
		p.Candidates = list
		events[1] = p
		return id, events
	}
	got := map[Replica]int{}
	for range 1000 {
		_, events := withCandidates(
			Candidate{Replica: "a", TrafficFraction: 0.25},
			Candidate{Replica: "b"},
			Candidate{Replica: "unlisted"},
		)
		send := onlyAction[Send](h, h.turn(events...))
		got[send.Replica]++
		h.end(send, 0, OK, 50*ms)
	}
	if got["c"] != 0 || got["a"] < 50 || got["a"] > 350 || got["a"]+got["b"] != 1000 {
		t.Errorf("%v", got)
	}
	id, events := withCandidates(Candidate{Replica: "a"})
	send := onlyAction[Send](h, h.turn(events...))
	if actions := h.turn(
		CandidatesChanged{Part: send.Part, Candidates: []Candidate{}},
		AttemptEnded{Part: send.Part, Replica: "a", Result: NotSent},
	); onlyAction[Reject](h, actions).Query != id {
		t.Errorf("%v", actions)
	}
	_, events = withCandidates(Candidate{Replica: "a"})
	send = onlyAction[Send](h, h.turn(events...))
	if actions := h.turn(
		CandidatesChanged{Part: send.Part, Candidates: []Candidate{{Replica: "c"}}},
		AttemptEnded{Part: send.Part, Replica: "a", Result: NotSent},
	); onlyAction[Send](h, actions).Replica != "c" {
		t.Errorf("%v", actions)
	}
}
