package balance

import (
	"testing"
	"time"
)

func TestAdmit_RejectsWhenAShardHasNoReplica(t *testing.T) {
	settings := testSettings()
	settings.Reach = 1
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0})
	id, events := h.query(newQuery{parts: 2}) // shard 1 has no replica
	actions := h.turn(events...)
	if r := onlyAction[Reject](h, actions); r.Query != id || r.RetryAfter <= 0 {
		t.Errorf("%v", r)
	}
	h.wantNone(actions, "work for the other shard", len(actionsOf[Send](actions)))
}

func TestAdmit_OverloadIsRejectedAndEnds(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	// a jam
	h.b.fleet.Mean = 900e3
	h.b.fleet.Deviation = 200e3
	refused := 0
	for range 60 {
		for _, r := range actionsOf[Reject](h.begin(newQuery{parts: 1})) {
			if refused++; r.RetryAfter <= 0 {
				t.Error("rejected without a time to come back")
			}
		}
	}
	if refused == 0 {
		t.Fatal("60 queries at once to three servers in a jam: none rejected")
	}
	// Once nothing is in hand, queries are taken again, though no answer has lowered the mean.
	for _, s := range h.b.servers {
		s.InFlight = nil
		s.LastSuccess = h.now
	}
	h.b.queries = nil
	h.sendOnePart(0)
}

func TestAdmit_HopelessRetryIsRejected(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings)
	h.serve(5, 100*ms)
	// Classes without value after the objective: 1.5 s of 3 s are gone, the objective of 1 s with them.
	actions := h.turn(Query{ID: 900, Group: 900, TimeLeft: 1500 * ms, Parts: 1},
		Part{ID: 901, Group: 900, Weight: 1})
	if r := onlyAction[Reject](h, actions); r.Query != 900 || len(actionsOf[Send](actions)) > 0 {
		t.Errorf("actions %v", actions)
	}
}

func TestAdmit_JammedShardRejects(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	jam := func(parts int) {
		for _, s := range h.b.servers {
			s.Recent = []float64{2e6, 2e6}
			s.InFlight = make([]time.Duration, parts)
			for i := range s.InFlight {
				s.InFlight[i] = h.now
			}
		}
	}
	jam(4)
	id, events := h.query(newQuery{parts: 1})
	if r := onlyAction[Reject](h, h.turn(events...)); r.Query != id {
		t.Errorf("rejected %d, want %d", r.Query, id)
	}
	jam(0) // the same times with nothing in hand are old news
	h.sendOnePart(0)
}

// At n = 80 one query's own parts are no sign of a full fleet.
func TestAdmit_OneOfManyDoesNotRejectItsOwnQuery(t *testing.T) {
	for _, n := range []int{1, 80} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		h.serve(40, 100*ms)
		// crowded a while ago
		h.b.fleet.Mean = 400e3
		h.b.fleet.Deviation = 200e3
		for _, s := range h.b.servers {
			s.ReportedAt = h.now
			s.ReportedInFlight = 1
		}
		if got := len(actionsOf[Send](h.begin(newQuery{parts: 3}))); got != 3 {
			t.Errorf("n = %d: %d of 3 parts sent to an idle fleet", n, got)
		}
	}
}

// Rejecting brings no answers; without reports from anyone it must end by itself.
func TestAdmit_RejectionsForgetTheJam(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings)
	h.serve(40, 100*ms)
	h.b.fleet.Mean = 2e6
	h.b.fleet.Deviation = 1e6
	if len(actionsOf[Reject](h.begin(newQuery{parts: 3}))) != 1 {
		t.Fatal("a query was begun where answers take twice its objective")
	}
	for range 20 {
		if len(actionsOf[Send](h.begin(newQuery{parts: 3}))) == 3 {
			return
		}
	}
	t.Error("20 queries rejected in a row: nothing lets one through to see")
}

// Where fewer parts make an answer, admission does not wait for the slowest of all.
func TestAdmit_CountsOnlyNeededParts(t *testing.T) {
	settings := testSettings()
	settings.Instances = 60
	for _, c := range []struct {
		floor float64
		sends int
	}{
		{floor: 1, sends: 0},
		{floor: 0.8, sends: 30},
	} {
		settings.Classes[0].MinFraction = c.floor
		settings.Classes[0].PartialFraction = 0.9
		settings.Classes[0].OverdueFraction = 0.3
		h := newHarness(t, settings)
		h.serve(20, 100*ms)
		h.b.fleet.Mean = 320e3
		h.b.fleet.Deviation = 130e3
		h.b.meanWeight = 1
		h.b.meanParts = 30
		if n := len(actionsOf[Send](h.begin(newQuery{parts: 30}))); n != c.sends {
			t.Errorf("floor %v: %d parts sent, want %d", c.floor, n, c.sends)
		}
	}
}

// A replica that warms up that may not be sent a part now is no reason to begin a query.
func TestAdmit_ReplicaWarmingUpWithoutCapacityIsNotOpen(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0, Started: 100 * time.Second})
	h.b.servers["a"].SlowStart.FirstSendThreshold = 1
	if actions := h.begin(newQuery{parts: 1}); len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Send](actions)) != 0 {
		t.Errorf("want a refusal at once, got %v", actions)
	}
}

// Both replicas of a shard report more parts than they can serve in an objective, whatever the fleet's state: the shard is
// closed until they may have served them.
func TestAdmit_CrowdedShardIsClosedForAWhile(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	for _, s := range h.b.endpoints {
		h.b.recordLoad(s, &LoadReport{Queue: 40, InFlight: 42})
	}
	if actions := h.begin(newQuery{parts: 1}); len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Send](actions)) > 0 {
		t.Errorf("want a refusal at once, got %v", actions)
	}
	h.now += 3 * time.Second
	h.sendOnePart(0)
}

// A balancer that only ever saw a jam admits again: what it forgets with each rejection leads to its first estimate, and
// fresh probes of short queues count for more than old answers. Fresh probes of long ones reject at once.
func TestAdmit_JamIsForgotten(t *testing.T) {
	h := newFleetBench(t)
	jam := func() { // long ago, and nothing since
		h.b.fleet.Mean = 800e3
		h.b.fleet.Deviation = 300e3
		h.b.meanWeight = 1
		h.b.meanParts = 30
		h.b.fleet.RecentAnswers = nil
		for _, s := range h.b.servers {
			s.Recent = []float64{700e3, 700e3, 700e3, 700e3}
		}
	}
	jam()
	refused := 0
	for ; refused < 20; refused++ {
		if len(actionsOf[Send](h.begin(newQuery{parts: 30}))) > 0 {
			break
		}
		h.now += time.Second
	}
	if refused == 0 || refused > 6 {
		t.Errorf("%d queries rejected after a jam", refused)
	}
	for _, c := range []struct {
		queue float64
		sends int
	}{
		{queue: 0, sends: 30},
		{queue: 40, sends: 0},
	} {
		h = newFleetBench(t)
		if jam(); c.queue > 0 {
			h.b.fleet.Mean = 100e3
			h.b.fleet.Deviation = 20e3
		}
		for _, s := range h.b.servers {
			s.ProbedQueue = c.queue
			s.ProbedQueueAt = h.now
		}
		if n := len(actionsOf[Send](h.begin(newQuery{parts: 30}))); n != c.sends {
			t.Errorf("%d parts sent, queues of %v", n, c.queue)
		}
	}
}

// A wide query's weight per part is weighed against that of the parts offered, not of the queries: beside corrections of
// one part it would count as of no weight, and be rejected in a lull.
func TestAdmit_WideQueriesBesideNarrowOnes(t *testing.T) {
	h := newFleetBench(t)
	// as the queries below have on average
	h.b.meanWeight = 1
	h.b.meanParts = 15.5
	for i := range 200 {
		n := 1
		if i%2 == 0 {
			n = 30
		}
		_, events := h.query(newQuery{parts: n})
		// 1.2 ln 30 deviations: 0.61 of the objective
		h.b.fleet.Mean = 200e3
		h.b.fleet.Deviation = 100e3
		sends := actionsOf[Send](h.turn(events...))
		if len(sends) != n {
			t.Fatalf("query %d: %d of %d parts sent", i, len(sends), n)
		}
		for _, s := range sends {
			h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK, Elapsed: 10 * ms})
		}
		h.now += 100 * ms
	}
}

// A query is not begun where the only replicas of one of its parts are known to be so far behind that it would be late.
func TestAdmit_RejectsWhereAPartWouldWaitTooLong(t *testing.T) {
	for _, c := range []struct {
		queue float64
		sends int
	}{
		{queue: 3, sends: 10},
		{queue: 28, sends: 0},
	} {
		h := newFleetBench(t)
		h.b.settings.PeerMessages = true
		h.b.fleet.Options.ProbesShared = true
		h.b.meanWeight = 1
		h.b.meanParts = 10
		for _, s := range h.b.servers { // at 28 a part would wait for 0.7 of the objective, and the servers are not full
			s.Queue = c.queue
			s.ReportedAt = h.now
		}
		actions := h.begin(newQuery{parts: 10})
		if n := len(actionsOf[Send](actions)); n != c.sends || c.sends == 0 && len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("queues of %v: %d parts sent", c.queue, n)
		}
	}
}

// Nor where all its replicas but one that is excluded are full: that one will not have it.
func TestAdmit_ExcludedReplicaIsNotOpen(t *testing.T) {
	for _, out := range []bool{true, false} {
		h := newFleetBench(t)
		if out {
			h = newFleetBench(t, "a")
		}
		for _, id := range []Replica{"b", "c", "d"} {
			h.b.servers[id].avoidUntil = h.now + 100*ms
		}
		if n := len(actionsOf[Reject](h.begin(newQuery{parts: 1}))); n == 1 != out {
			t.Errorf("excluded %v: %d rejected", out, n)
		}
	}
}

// By fresh probes the slowest of many parts waits longer than one does; own answers count while they are as fresh.
func TestAdmit_CountsOnTheSlowestPart(t *testing.T) {
	for _, c := range []struct {
		mean, queue float64
		stale       bool
		sends       int
	}{
		{mean: 100e3, queue: 4, stale: false, sends: 30},
		{mean: 100e3, queue: 15, stale: false, sends: 0}, // one part would be in time
		{mean: 500e3, queue: 2, stale: false, sends: 0},
		{mean: 500e3, queue: 2, stale: true, sends: 30}, // as the servers were once
	} {
		h := newFleetBench(t)
		h.b.fleet.Mean = c.mean
		h.b.fleet.Deviation = 20e3
		h.b.meanWeight = 1
		h.b.meanParts = 30
		if c.stale {
			h.b.fleet.RecentAnswers = nil
		}
		for _, s := range h.b.servers {
			s.ProbedQueue = c.queue
			s.ProbedQueueAt = h.now
		}
		if n := len(actionsOf[Send](h.begin(newQuery{parts: 30}))); n != c.sends {
			t.Errorf("%+v: %d parts sent", c, n)
		}
	}
}
