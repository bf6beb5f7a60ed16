package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"rooktrestle/internal/control/slowstart"
)

func TestSlowStart_ServerKeepsToItsLimit(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Replica: "a", Cell: 0, Started: 100 * time.Second})
	sends := 0
	for range 20 {
		sends += len(actionsOf[Send](h.begin(newQuery{parts: 1})))
		h.now += 100 * ms
	}
	// 2 x 0.2 x 2 s / 250 ms / 2 balancers is 1.6 parts, and 2.9 when the window ends.
	if sends < 1 || sends > 3 {
		t.Errorf("%d parts sent to a server that warms up within its window, want 1 to 3", sends)
	}
	h.now += 11 * time.Second
	if len(actionsOf[Send](h.begin(newQuery{parts: 1}))) != 1 {
		t.Error("nothing sent to a server that is warm by now")
	}
}

func TestSlowStart_RestartUnderTheSameName(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(9, 100*ms)
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: "a", Cell: 0, Started: h.now}}})
	if s := h.b.servers["a"]; s.Measured || h.b.fleet.Capacity(&s.Server, h.now) != 0.2 {
		t.Errorf("heard %v, share %v after a restart", s.Measured, h.b.fleet.Capacity(&s.Server, h.now))
	}
}

// Rule 4: however many balancers there are, together they keep to the stated multiple of a warming server's
// capacity in every window, and do not starve it.
func TestSlowStart_ManyBalancersDoNotOverloadAServer(t *testing.T) {
	const work = 100 * ms
	for _, c := range []struct {
		n         int
		from, tip float64
		window    time.Duration
	}{
		{n: 1, from: 0.2, tip: 2, window: 2 * time.Second},
		{n: 80, from: 0.2, tip: 2, window: 2 * time.Second},
		{n: 79, from: 0.17, tip: 3, window: 2 * time.Second},
		{n: 73, from: 0.22, tip: 2, window: 2 * time.Second},
		{n: 68, from: 0.18, tip: 4, window: time.Second},
	} {
		n := c.n
		settings := testSettings()
		settings.Rules.WarmupMinCapacity = c.from
		settings.Rules.OverloadMultiple = c.tip
		settings.Rules.OverloadPeriod = c.window
		settings.Instances = n
		settings.Cells = 1
		settings.Reach = 1
		start := 100 * time.Second
		var all []*Balancer
		for i := range n {
			settings.Seed = uint64(i)
			b, err := New(settings)
			if err != nil {
				t.Fatal(err)
			}
			b.now = start
			b.Turn(start, []Event{EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: "a", Started: start}}}})
			b.fleet.Mean = micros(work)
			b.fleet.Deviation = 0
			all = append(all, b)
		}
		var sent []time.Duration
		id := ID(0)
		for now := start; now < start+settings.Rules.WarmupPeriod; now += work / 2 {
			for _, b := range all {
				var events []Event
				for _, a := range attemptsInOrder(b) {
					if now-a.sent >= work {
						events = append(
							events,
							AttemptEnded{Part: a.part.ID, Attempt: a.number, Replica: "a", Result: OK, Elapsed: work},
						)
					}
				}
				id += 2
				events = append(events, Query{ID: id, Group: uint64(id), TimeLeft: 3 * time.Second, Parts: 1},
					Part{ID: id + 1, Group: uint64(id), Weight: 1})
				for _, action := range b.Turn(now, events) {
					if _, ok := action.(Send); ok {
						sent = append(sent, now)
					}
				}
			}
		}
		if len(sent) == 0 {
			t.Errorf("n = %d: a server that warms up draws nothing", n)
		}
		for i, at := range sent {
			inWindow := 0
			for _, s := range sent[:i+1] {
				if s > at-settings.Rules.OverloadPeriod {
					inWindow++
				}
			}
			share := settings.Rules.WarmupMinCapacity + (1-settings.Rules.WarmupMinCapacity)*float64(at-start)/float64(settings.Rules.WarmupPeriod)
			most := settings.Rules.OverloadMultiple * share * micros(settings.Rules.OverloadPeriod) / micros(work) * 2 // of two cores
			if float64(inWindow) > most {
				t.Fatalf("n = %d: %d parts in the window up to %v, at most %.1f", n, inWindow, at-start, most)
			}
		}
	}
}

// One of many balancers gives a server that warms up its part of what it sends itself, whatever 1/n of the budget allows:
// else the caution of all starves the server, as most balancers send little.
func TestSlowStart_ServerGetsItsPartOfTheFlow(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(600, 50*ms)
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: "a", Cell: 0, Started: h.now}}})
	start := h.now
	sends := 0
	for h.now < start+4*time.Second {
		for _, name := range []Replica{"b", "c"} {
			s := h.b.servers[name]
			// the warm are busy
			s.Queue = 3
			s.ReportedAt = h.now
		}
		s := h.sendOnePart(0)
		if s.Replica == "a" {
			sends++
		}
		h.end(s, 0, OK, 50*ms)
	}
	// 20 parts a second, 10 at a warm server; 0.2 to 0.5 of 1.8 times that for 4 s are 25 parts. 1/n alone is one.
	if sends < 7 || sends > 30 {
		t.Errorf("%d parts went to the server that warms up, want about 25", sends)
	}
}

// Three hundred balancers of thin traffic owe a server that warms up their part from its start on, though each owes it one in
// many seconds, and together no more than that. Guards against all beginning with nothing owed: then none sends any
// for so long, and the last warm replica of its shards gets them all.
func TestSlowStart_ServerIsNotStarvedByManyQuietBalancers(t *testing.T) {
	const gatherers = 300
	sends := 0
	late := 0
	for i := range gatherers {
		settings := testSettings()
		settings.Instances = gatherers
		settings.Seed = uint64(i + 1)
		settings.CanHedge = false
		list := []Endpoint{}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			list = append(list, Endpoint{Replica: Replica(name), Cell: len(list) % 3})
		}
		h := newHarness(t, settings, list...)
		list[0].Started = h.now
		h.turn(EndpointList{Kind: ListDelta, Endpoints: list[:1]})
		for start := h.now; h.now < start+2*time.Second; h.now += 100 * ms {
			h.b.fleet.Demand.Answered = 0.5 * slowstart.DemandPeriods * h.b.minObjective.Seconds() // it sends a part in two seconds
			h.turn(TimerFired{})
			if s := h.b.servers["a"]; s.SlowStart.Credit >= 1 { // a part is sent as soon as it is owed
				s.SlowStart.Credit--
				if sends++; h.now >= start+time.Second {
					late++
				}
			}
		}
	}
	// A warm one of eight gets 18.75 parts a second of 150; 1.8 times that by 0.2 to 0.36 of its capacity is 19 in 2 s.
	if sends < 10 || sends > 30 || late == 0 || late == sends {
		t.Errorf("%d parts in two seconds, %d in the second of them; want about 19, in both", sends, late)
	}
}

// Where all replicas of a shard are warming up, a query that needs sixty such parts is begun: each part may go to a replica
// picked at random, in proportion to what these can do. Not where more is asked than servers were seen to answer.
func TestSlowStart_ReplicasAreSampledAtRandom(t *testing.T) {
	startAll := func(h *harness) {
		var list []Endpoint
		for i, id := range []Replica{"a", "b", "c", "d"} {
			list = append(list, Endpoint{Replica: id, Cell: i, Started: h.now - time.Duration(4+2*(i%2))*time.Second})
		}
		h.turn(EndpointList{Kind: ListDelta, Endpoints: list}) // shares of 0.52 and 0.68
		for _, s := range h.b.servers {
			s.SlowStart.Credit = 0
			s.SlowStart.FirstSendThreshold = 1
		}
	}
	n := map[Replica]int{}
	parts := 0
	for i := range 60 {
		h := newFleetBench(t)
		h.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		if startAll(h); i >= 40 {
			h.b.fleet.Demand.Offered *= 10
		}
		sends := actionsOf[Send](h.begin(newQuery{parts: 6}))
		if i >= 40 {
			if len(sends) > 0 {
				t.Fatalf("%d parts sent to servers that warm up, ten times what they answer is asked", len(sends))
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
