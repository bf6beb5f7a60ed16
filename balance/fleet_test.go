package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Shares of a server that the fleet finds to lose nearly all of its parts.
const almostNoTraffic = 0.005

// newFleetBench is one of 300 gatherers, whose classes are a search that needs every part, and a report that half of them do
// for. Every shard is on the same four servers.
func newFleetBench(t *testing.T, out ...Replica) *harness {
	settings := testSettings()
	settings.Instances, settings.CanHedge, settings.Cells, settings.Reach, settings.MaxAttempts = 300, false, 4, 4, 4
	report := settings.Classes[0]
	report.MinFraction, report.PartialFraction, report.OverdueFraction = 0.5, 0.8, 0.1
	settings.Classes = append(settings.Classes, report)
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0}, Endpoint{Replica: "b", Cell: 1}, Endpoint{Replica: "c", Cell: 2}, Endpoint{Replica: "d", Cell: 3})
	h.serve(60, 100*ms)
	var list []Endpoint
	for _, id := range out {
		m := Endpoint{Replica: id, Cell: int(id[0] - 'a')}
		m.TrafficFraction = almostNoTraffic
		list = append(list, m)
	}
	h.turn(EndpointList{Kind: ListDelta, Endpoints: list})
	return h
}

func countByReplica(sends []Send) map[Replica]int {
	n := map[Replica]int{}
	for _, s := range sends {
		n[s.Replica]++
	}
	return n
}

// A part waits for a holder that is full for a moment, and does not spend its attempts at one that has next to no
// share. Guards against searches that died of a part in 60 ms, while its two sound holders served others.
func TestChoose_PartWaitsForAFullReplicaRatherThanAnExcludedOne(t *testing.T) {
	h := newFleetBench(t, "a", "b", "c")
	for range 40 { // of 200 parts about one may try a server that is out
		_, events := h.query(0, 5)
		if n := countByReplica(actionsOf[Send](h.turn(events...))); n["d"] < 4 {
			t.Fatalf("parts went to %v", n)
		}
	}
	h = newFleetBench(t, "a", "b", "c")
	h.b.servers["d"].avoidUntil = h.now + 100*ms
	_, events := h.query(0, 1)
	if actions := h.turn(events...); len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("sent while the one sound holder is full: %v", actions)
	}
}

// Where the sound holders turn a part away its attempts are spread over the time left.
func TestRetry_AttemptsAfterFullReplicasAreSpread(t *testing.T) {
	h := newFleetBench(t, "a", "b", "c")
	_, events := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(events...))
	at, times := 0, []time.Duration{}
	start := h.now
	actions := h.end(s, at, QueueFull, ms)
	for h.now < start+900*ms && at < 3 {
		if again := actionsOf[Send](actions); len(again) == 1 {
			at++
			times = append(times, h.now-start)
			actions = h.end(again[0], at, QueueFull, ms)
			continue
		}
		h.now += 5 * ms
		actions = h.turn(TimerFired{})
	}
	if len(times) != 3 || times[0] < 200*ms || times[1]-times[0] < 150*ms || times[2]-times[1] < 150*ms {
		t.Errorf("further attempts at %v of an aim of a second", times)
	}
}

// A part is not called off at a server that is behind to be sent where nearly all parts are lost.
func TestHedge_PartIsNotCanceledForAnExcludedServer(t *testing.T) {
	for _, out := range []bool{true, false} {
		h := newFleetBench(t)
		if out {
			h = newFleetBench(t, "a", "b", "c")
		}
		h.b.hedgeTokens = 10
		_, events := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(events...))
		called := 0
		for range 160 {
			h.now += 5 * ms
			called += len(actionsOf[Cancel](h.turn(TimerFired{})))
		}
		if called > 0 == out {
			t.Errorf("out %v: %d calls back from %s", out, called, s.Replica)
		}
	}
}

// A report leaves a shard to the searches where half of its holders are out and the others are crowded, answers at
// once from the rest, and never from less than its floor.
func TestQuery_ShedsOptionalPartsOfCrowdedShards(t *testing.T) {
	crowd := func(h *harness, queue float64) {
		for _, id := range []Replica{"c", "d"} {
			h.b.servers[id].Queue, h.b.servers[id].ReportedAt = queue, h.now
		}
	}
	for _, c := range []struct {
		out         []Replica
		queue       float64
		class, want int
	}{
		{[]Replica{"a", "b"}, 12, 1, 5}, // the floor is half of ten
		{[]Replica{"a", "b"}, 12, 0, 10},
		{[]Replica{"a", "b"}, 0, 1, 10},
		{[]Replica{"a"}, 12, 1, 10},
	} {
		h := newFleetBench(t, c.out...)
		crowd(h, c.queue)
		id, events := h.query(c.class, 10)
		sends := actionsOf[Send](h.turn(events...))
		if len(sends) != c.want {
			t.Errorf("%v out, queue %v, class %d: %d parts sent, want %d", c.out, c.queue, c.class, len(sends), c.want)
			continue
		}
		if c.want == 10 {
			continue
		}
		var actions []Action
		for _, s := range sends {
			actions = append(actions, h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK, Elapsed: 10 * ms})...)
		}
		if a := onlyAction[Answer](h, actions); a.Query != id || a.Complete {
			t.Errorf("answer %+v", a)
		}
	}
}

// A gatherer that only ever saw a jam admits again: what it forgets with each refusal leads to its first guess, and
// fresh probes of short queues tell more than old answers. Fresh probes of long ones refuse at once.
func TestAdmit_JamIsForgotten(t *testing.T) {
	h := newFleetBench(t)
	jam := func() { // long ago, and nothing since
		h.b.fleet.Mean, h.b.fleet.Deviation, h.b.meanWeight, h.b.meanParts, h.b.fleet.RecentAnswers = 800e3, 300e3, 1, 30, nil
		for _, s := range h.b.servers {
			s.Recent = []float64{700e3, 700e3, 700e3, 700e3}
		}
	}
	jam()
	refused := 0
	for ; refused < 20; refused++ {
		_, events := h.query(0, 30)
		if len(actionsOf[Send](h.turn(events...))) > 0 {
			break
		}
		h.now += time.Second
	}
	if refused == 0 || refused > 6 {
		t.Errorf("%d queries refused after a jam", refused)
	}
	for _, c := range []struct {
		queue float64
		sends int
	}{{0, 30}, {40, 0}} {
		h = newFleetBench(t)
		if jam(); c.queue > 0 {
			h.b.fleet.Mean, h.b.fleet.Deviation = 100e3, 20e3
		}
		for _, s := range h.b.servers {
			s.ProbedQueue, s.ProbedQueueAt = c.queue, h.now
		}
		_, events := h.query(0, 30)
		if n := len(actionsOf[Send](h.turn(events...))); n != c.sends {
			t.Errorf("%d parts sent, queues of %v", n, c.queue)
		}
	}
}

// A wide query's worth a part is weighed against that of the parts offered, not of the queries: beside corrections of
// one part it would count as worth nothing, and be refused in a lull.
func TestAdmit_WideQueriesBesideNarrowOnes(t *testing.T) {
	h := newFleetBench(t)
	h.b.meanWeight, h.b.meanParts = 1, 15.5 // as the queries below have on average
	for i := range 200 {
		n := 1
		if i%2 == 0 {
			n = 30
		}
		_, events := h.query(0, n)
		h.b.fleet.Mean, h.b.fleet.Deviation = 200e3, 100e3 // 1.2 ln 30 deviations: 0.61 of the aim
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

// Nor is a part called off at a server that lives, for another whose queue is long: it would wait there as long, and
// the first does its work all the same. Guards against two crowded holders that finish only what was called off.
func TestHedge_PartIsNotCanceledBetweenCrowdedServers(t *testing.T) {
	for _, c := range []struct {
		queue float64
		calls bool
	}{{15, false}, {0, true}} {
		h := newFleetBench(t, "a", "b")
		h.b.hedgeTokens = 10
		_, events := h.query(0, 1)
		h.turn(events...)
		called := 0
		for range 120 {
			h.now += 5 * ms
			for _, s := range h.b.servers {
				s.Queue, s.ReportedAt = c.queue, h.now
			}
			called += len(actionsOf[Cancel](h.turn(TimerFired{})))
		}
		if called > 0 != c.calls {
			t.Errorf("queues of %v: %d calls back", c.queue, called)
		}
	}
}

// What says nothing of being behind is left for one that is: its lateness is not told by a queue. Guards parts sent
// across a cut that were out until their query's end, 1.33 s of 1.34, as the holders on this side had long queues, or had
// been told of as such when words still came.
func TestHedge_PartIsCanceledWhereNothingSaysWhyItIsLate(t *testing.T) {
	for _, c := range []struct {
		own, others float64
		long        bool // the others, by a word of long ago
		calls       bool
	}{{0, 15, false, true}, {15, 0, true, true}, {15, 15, false, false}} {
		h := newFleetBench(t)
		h.b.hedgeTokens = 10
		_, events := h.query(0, 1)
		at := onlyAction[Send](h, h.turn(events...)).Replica
		called := 0
		for range 120 {
			h.now += 5 * ms
			for id, s := range h.b.servers {
				s.ReportedAt, s.Queue = h.now, c.others
				if s.QueueWasLong = c.long; id == at {
					s.Queue = c.own
				} else if c.long {
					s.ReportedAt -= 4 * time.Second
				}
			}
			called += len(actionsOf[Cancel](h.turn(TimerFired{})))
		}
		if called > 0 != c.calls {
			t.Errorf("%+v: %d calls back", c, called)
		}
	}
}

// Where all holders of a shard are cold, a query that needs sixty such parts is begun: each part may go to a holder
// drawn by lot, in proportion to what these can do. Not where more is asked than servers were seen to answer.
func TestSlowStart_ReplicasAreSampledAtRandom(t *testing.T) {
	cold := func(h *harness) {
		var list []Endpoint
		for i, id := range []Replica{"a", "b", "c", "d"} {
			list = append(list, Endpoint{Replica: id, Cell: i, Started: h.now - time.Duration(4+2*(i%2))*time.Second})
		}
		h.turn(EndpointList{Kind: ListDelta, Endpoints: list}) // shares of 0.52 and 0.68
		for _, s := range h.b.servers {
			s.SlowStart.Credit, s.SlowStart.FirstSendThreshold = 0, 1
		}
	}
	n, parts := map[Replica]int{}, 0
	for i := range 60 {
		h := newFleetBench(t)
		h.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		if cold(h); i >= 40 {
			h.b.fleet.Demand.Offered *= 10
		}
		_, events := h.query(0, 6)
		sends := actionsOf[Send](h.turn(events...))
		if i >= 40 {
			if len(sends) > 0 {
				t.Fatalf("%d parts sent to cold servers, ten times what they answer is asked", len(sends))
			}
			continue
		}
		if len(sends) != 6 {
			t.Fatalf("%d of 6 parts sent", len(sends))
		}
		for id, k := range countByReplica(sends) {
			n[id] += k
			parts += k
		}
	}
	// Of 240 parts 52 for each server at 0.52 and 68 for each at 0.68, with a deviation of 7.
	for id, want := range map[Replica]int{"a": 52, "b": 68, "c": 52, "d": 68} {
		if n[id] < want-24 || n[id] > want+24 {
			t.Errorf("%s got %d of %d parts, want about %d", id, n[id], parts, want)
		}
	}
}

// A query is not begun where the only holders of one of its parts are known to be so far behind that it would be late.
func TestAdmit_RejectsWhereAPartWouldWaitTooLong(t *testing.T) {
	for _, c := range []struct {
		queue float64
		sends int
	}{{3, 10}, {28, 0}} {
		h := newFleetBench(t)
		h.b.settings.PeerMessages, h.b.fleet.Options.ProbesShared = true, true
		h.b.meanWeight, h.b.meanParts = 1, 10
		for _, s := range h.b.servers { // at 28 a part would wait for 0.7 of the aim, and the servers are not full
			s.Queue, s.ReportedAt = c.queue, h.now
		}
		_, events := h.query(0, 10)
		actions := h.turn(events...)
		if n := len(actionsOf[Send](actions)); n != c.sends || c.sends == 0 && len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("queues of %v: %d parts sent", c.queue, n)
		}
	}
}

// Nor where all its holders but one that is out are full: that one will not have it.
func TestAdmit_ExcludedReplicaIsNotOpen(t *testing.T) {
	for _, out := range []bool{true, false} {
		h := newFleetBench(t)
		if out {
			h = newFleetBench(t, "a")
		}
		for _, id := range []Replica{"b", "c", "d"} {
			h.b.servers[id].avoidUntil = h.now + 100*ms
		}
		_, events := h.query(0, 1)
		if n := len(actionsOf[Reject](h.turn(events...))); n == 1 != out {
			t.Errorf("out %v: %d refused", out, n)
		}
	}
}

// A server that the fleet knows to lose some is tried by its share, not by the clock of each gatherer that doubts it.
func TestChoose_HalfOpenRequestsGoByTrafficFraction(t *testing.T) {
	trials := map[float64]int{}
	for _, share := range []float64{0, 0.3} {
		h := newFleetBench(t)
		h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: "a", HealthLimits: HealthLimits{TrafficFraction: share}}}})
		for range 60 {
			s := h.b.servers["a"]
			s.Penalty, s.NextHalfOpen, s.PerClass[0].NextHalfOpen = 1, 0, 0
			_, events := h.query(0, 1)
			s1 := onlyAction[Send](h, h.turn(events...))
			if s1.Replica == "a" {
				trials[share]++
			}
			h.turn(AttemptEnded{Part: s1.Part, Replica: s1.Replica, Result: OK, Elapsed: 10 * ms})
			h.now += 100 * ms
		}
	}
	// Between two servers, one of share w gets 2w/(1+w) of what it would get: 0.46.
	if trials[0] != 60 || trials[0.3] < 18 || trials[0.3] > 38 {
		t.Errorf("%v trials of 60", trials)
	}
}

// By fresh probes the slowest of many parts waits longer than one does; own answers count while they are as fresh.
func TestAdmit_CountsOnTheSlowestPart(t *testing.T) {
	for _, c := range []struct {
		mean, queue float64
		stale       bool
		sends       int
	}{
		{100e3, 4, false, 30},
		{100e3, 15, false, 0}, // one part would be in time
		{500e3, 2, false, 0},
		{500e3, 2, true, 30}, // as the servers were once
	} {
		h := newFleetBench(t)
		h.b.fleet.Mean, h.b.fleet.Deviation, h.b.meanWeight, h.b.meanParts = c.mean, 20e3, 1, 30
		if c.stale {
			h.b.fleet.RecentAnswers = nil
		}
		for _, s := range h.b.servers {
			s.ProbedQueue, s.ProbedQueueAt = c.queue, h.now
		}
		_, events := h.query(0, 30)
		if n := len(actionsOf[Send](h.turn(events...))); n != c.sends {
			t.Errorf("%+v: %d parts sent", c, n)
		}
	}
}
