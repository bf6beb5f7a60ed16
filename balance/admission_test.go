package balance

import (
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
)

func TestAdmit_RejectsWhenAShardHasNoReplica(t *testing.T) {
	settings := testSettings()
	settings.Reach = 1
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0})
	id, events := h.query(newQuery{parts: 2}) // shard 1 has no replica
	actions := h.turn(events...)
	if rejection := onlyAction[Reject](h, actions); rejection.Query != id || rejection.RetryAfter <= 0 {
		t.Errorf("%v", rejection)
	}
	h.wantNone(actions, "work for the other shard", countOf[Send](actions))
}

func TestAdmit_OverloadIsRejectedAndEnds(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	// The servers are overloaded.
	h.b.fleet.Latency = estimate.Latency{Mean: 900e3, Deviation: 200e3}
	rejected := 0
	for range 60 {
		for _, rejection := range actionsOf[Reject](h.begin(newQuery{parts: 1})) {
			rejected++
			if rejection.RetryAfter <= 0 {
				t.Error("rejected without a Retry-After")
			}
		}
	}
	if rejected == 0 {
		t.Fatal("none of 60 simultaneous queries to three overloaded servers was rejected")
	}
	// Once nothing is in flight, queries are admitted again, although no answer has lowered the mean.
	for _, server := range h.b.servers {
		server.InFlight = nil
		server.LastSuccess = h.now
	}
	h.b.queries = nil
	h.sendOnePart(0)
}

func TestAdmit_HopelessRetryIsRejected(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings)
	h.serve(5, 100*ms)
	// The class earns nothing after its objective of 1 s, and 1.5 s of the 3 s until the deadline have
	// passed.
	actions := h.turn(Query{ID: 900, Group: 900, RemainingTime: 1500 * ms, Parts: 1},
		Part{ID: 901, Group: 900, Weight: 1})
	if rejection := onlyAction[Reject](h, actions); rejection.Query != 900 || countOf[Send](actions) > 0 {
		t.Errorf("actions %v", actions)
	}
}

func TestAdmit_OverloadedShardRejects(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	overload := func(inFlight int) {
		for _, server := range h.b.servers {
			server.Recent = []float64{2e6, 2e6}
			server.InFlight = make([]time.Duration, inFlight)
			for i := range server.InFlight {
				server.InFlight[i] = h.now
			}
		}
	}
	overload(4)
	id, events := h.query(newQuery{parts: 1})
	if rejection := onlyAction[Reject](h, h.turn(events...)); rejection.Query != id {
		t.Errorf("rejected %d, want %d", rejection.Query, id)
	}
	overload(0) // with nothing in flight, the same response times are out of date
	h.sendOnePart(0)
}

// One of 80 balancers does not take the parts of its own query as a sign that the fleet is overloaded.
func TestAdmit_OneOfManyDoesNotRejectItsOwnQuery(t *testing.T) {
	for _, n := range []int{1, 80} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		h.serve(40, 100*ms)
		// The servers were overloaded a while ago.
		h.b.fleet.Latency = estimate.Latency{Mean: 400e3, Deviation: 200e3}
		for _, server := range h.b.servers {
			server.ReportedAt = h.now
			server.ReportedInFlight = 1
		}
		if got := countOf[Send](h.begin(newQuery{parts: 3})); got != 3 {
			t.Errorf("n = %d: %d of 3 parts sent to an idle fleet", n, got)
		}
	}
}

// Rejections yield no answers that lower the latency estimate. Without load reports, rejecting must end by
// itself.
func TestAdmit_RejectionsForgetTheOverload(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings)
	h.serve(40, 100*ms)
	h.b.fleet.Latency = estimate.Latency{Mean: 2e6, Deviation: 1e6}
	if countOf[Reject](h.begin(newQuery{parts: 3})) != 1 {
		t.Fatal("a query was admitted although answers take twice its objective")
	}
	for range 20 {
		if countOf[Send](h.begin(newQuery{parts: 3})) == 3 {
			return
		}
	}
	t.Error("20 queries rejected in a row: none was admitted to measure the latency")
}

// Where an answer needs fewer than all parts, admission does not count on the slowest one.
func TestAdmit_CountsOnlyNeededParts(t *testing.T) {
	settings := testSettings()
	settings.Instances = 60
	for _, test := range []struct {
		minFraction float64
		sends       int
	}{
		{minFraction: 1, sends: 0},
		{minFraction: 0.8, sends: 30},
	} {
		settings.Classes[0].MinFraction = test.minFraction
		settings.Classes[0].PartialFraction = 0.9
		settings.Classes[0].OverdueFraction = 0.3
		h := newHarness(t, settings)
		h.serve(20, 100*ms)
		h.b.fleet.Latency = estimate.Latency{Mean: 320e3, Deviation: 130e3}
		h.b.meanWeight = 1
		h.b.meanParts = 30
		if n := countOf[Send](h.begin(newQuery{parts: 30})); n != test.sends {
			t.Errorf("minimum fraction %v: %d parts sent, want %d", test.minFraction, n, test.sends)
		}
	}
}

// A query is not admitted if its only replica is warming up and may not receive a part now.
func TestAdmit_ReplicaWarmingUpWithoutCapacityIsNotOpen(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0, Started: 100 * time.Second})
	h.b.servers["a"].SlowStart.FirstSendThreshold = 1
	actions := h.begin(newQuery{parts: 1})
	if countOf[Reject](actions) != 1 || countOf[Send](actions) != 0 {
		t.Errorf("want an immediate rejection, got %v", actions)
	}
}

// All replicas of a shard report more parts than they can serve within an objective, while the fleet is not
// overloaded: queries are rejected until the replicas may have served those parts.
func TestAdmit_CrowdedShardIsClosedForAWhile(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	for _, server := range h.b.endpoints {
		h.b.recordLoad(server, &LoadReport{Queue: 40, InFlight: 42})
	}
	actions := h.begin(newQuery{parts: 1})
	if countOf[Reject](actions) != 1 || countOf[Send](actions) > 0 {
		t.Errorf("want an immediate rejection, got %v", actions)
	}
	h.now += 3 * time.Second
	h.sendOnePart(0)
}

// A balancer that observed nothing but overload admits queries again: each rejection moves its estimate
// toward the initial one, and fresh probes of short queues take precedence over old answers. Fresh probes of
// long queues lead to immediate rejections.
func TestAdmit_OverloadIsForgotten(t *testing.T) {
	h := newFleetHarness(t)
	overloadLongAgo := func() {
		h.b.fleet.Latency = estimate.Latency{Mean: 800e3, Deviation: 300e3}
		h.b.meanWeight = 1
		h.b.meanParts = 30
		h.b.fleet.RecentAnswers = nil
		for _, server := range h.b.servers {
			server.Recent = []float64{700e3, 700e3, 700e3, 700e3}
		}
	}
	overloadLongAgo()
	rejected := 0
	for ; rejected < 20; rejected++ {
		if countOf[Send](h.begin(newQuery{parts: 30})) > 0 {
			break
		}
		h.now += time.Second
	}
	if rejected == 0 || rejected > 6 {
		t.Errorf("%d queries rejected after an overload", rejected)
	}
	for _, test := range []struct {
		queue float64
		sends int
	}{
		{queue: 0, sends: 30},
		{queue: 40, sends: 0},
	} {
		h = newFleetHarness(t)
		overloadLongAgo()
		if test.queue > 0 {
			h.b.fleet.Latency = estimate.Latency{Mean: 100e3, Deviation: 20e3}
		}
		for _, server := range h.b.servers {
			server.ProbedQueue = test.queue
			server.ProbedQueueAt = h.now
		}
		if n := countOf[Send](h.begin(newQuery{parts: 30})); n != test.sends {
			t.Errorf("%d parts sent, queues of %v", n, test.queue)
		}
	}
}

// A wide query's weight per part is compared with the mean over parts, not over queries: otherwise, together
// with corrections of one part, it would count as of almost no weight and be rejected even at low load.
func TestAdmit_WideQueriesBesideNarrowOnes(t *testing.T) {
	h := newFleetHarness(t)
	// The means are those of the queries below.
	h.b.meanWeight = 1
	h.b.meanParts = 15.5
	for i := range 200 {
		n := 1
		if i%2 == 0 {
			n = 30
		}
		_, events := h.query(newQuery{parts: n})
		// The slowest of 30 parts is 1.2 ln 30 deviations beyond the mean, at 0.61 of the objective.
		h.b.fleet.Latency = estimate.Latency{Mean: 200e3, Deviation: 100e3}
		sends := actionsOf[Send](h.turn(events...))
		if len(sends) != n {
			t.Fatalf("query %d: %d of %d parts sent", i, len(sends), n)
		}
		for _, send := range sends {
			h.turn(AttemptEnded{Part: send.Part, Replica: send.Replica, Result: OK, Elapsed: 10 * ms})
		}
		h.now += 100 * ms
	}
}

// A query is not admitted if all replicas of one of its parts have queues that would make its answer overdue.
func TestAdmit_RejectsWhereAPartWouldWaitTooLong(t *testing.T) {
	for _, test := range []struct {
		queue float64
		sends int
	}{
		{queue: 3, sends: 10},
		{queue: 28, sends: 0},
	} {
		h := newFleetHarness(t)
		h.b.settings.PeerMessages = true
		h.b.fleet.Options.ProbesShared = true
		h.b.meanWeight = 1
		h.b.meanParts = 10
		// At a queue of 28, a part would wait for 0.7 of the objective; the servers are not full.
		for _, server := range h.b.servers {
			server.Queue = test.queue
			server.ReportedAt = h.now
		}
		actions := h.begin(newQuery{parts: 10})
		if n := countOf[Send](actions); n != test.sends || test.sends == 0 && countOf[Reject](actions) != 1 {
			t.Errorf("queues of %v: %d parts sent", test.queue, n)
		}
	}
}

// A query is not admitted if all replicas of its part are full except an excluded one, which would not
// receive it.
func TestAdmit_ExcludedReplicaIsNotOpen(t *testing.T) {
	for _, excluded := range []bool{true, false} {
		h := newFleetHarness(t)
		if excluded {
			h = newFleetHarness(t, "a")
		}
		for _, id := range []Replica{"b", "c", "d"} {
			h.b.servers[id].avoidUntil = h.now + 100*ms
		}
		if n := countOf[Reject](h.begin(newQuery{parts: 1})); n == 1 != excluded {
			t.Errorf("excluded %v: %d rejected", excluded, n)
		}
	}
}

// By fresh probes of queues, the slowest of many parts is expected to wait longer than a single part. The
// balancer's own answers count only while they are as fresh as the probes.
func TestAdmit_CountsOnTheSlowestPart(t *testing.T) {
	for _, test := range []struct {
		mean, queue float64
		stale       bool
		sends       int
	}{
		{mean: 100e3, queue: 4, stale: false, sends: 30},
		{mean: 100e3, queue: 15, stale: false, sends: 0}, // a single part would be in time
		{mean: 500e3, queue: 2, stale: false, sends: 0},
		{mean: 500e3, queue: 2, stale: true, sends: 30}, // the latency is that of an earlier time
	} {
		h := newFleetHarness(t)
		h.b.fleet.Latency = estimate.Latency{Mean: test.mean, Deviation: 20e3}
		h.b.meanWeight = 1
		h.b.meanParts = 30
		if test.stale {
			h.b.fleet.RecentAnswers = nil
		}
		for _, server := range h.b.servers {
			server.ProbedQueue = test.queue
			server.ProbedQueueAt = h.now
		}
		if n := countOf[Send](h.begin(newQuery{parts: 30})); n != test.sends {
			t.Errorf("%+v: %d parts sent", test, n)
		}
	}
}
