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
		sends += countOf[Send](h.begin(newQuery{parts: 1}))
		h.now += 100 * ms
	}
	// 2 x 0.2 x 2 s / 250 ms / 2 balancers is 1.6 parts at the start of the window, and 2.9 at its end.
	if sends < 1 || sends > 3 {
		t.Errorf("%d parts sent within the window of a server that is warming up, want 1 to 3", sends)
	}
	h.now += 11 * time.Second
	if countOf[Send](h.begin(newQuery{parts: 1})) != 1 {
		t.Error("nothing sent to a warm server")
	}
}

func TestSlowStart_RestartUnderTheSameName(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(9, 100*ms)
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: "a", Cell: 0, Started: h.now}}})
	if server := h.b.servers["a"]; server.Measured || h.b.fleet.Capacity(&server.Server, h.now) != 0.2 {
		t.Errorf("measured %v, capacity %v after a restart", server.Measured, h.b.fleet.Capacity(&server.Server, h.now))
	}
}

// warmingFleet is a set of balancers with one server that has just started.
type warmingFleet struct {
	balancers []*Balancer
	nextID    ID
}

const warmingWork = 100 * ms // of each part, at the server of a warmingFleet

func newWarmingFleet(t *testing.T, settings Settings, start time.Duration) *warmingFleet {
	t.Helper()
	fleet := &warmingFleet{}
	for i := range settings.Instances {
		settings.Seed = uint64(i)
		b, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		b.now = start
		b.Turn(start, []Event{EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: "a", Started: start}}}})
		b.fleet.Mean = micros(warmingWork)
		b.fleet.Deviation = 0
		fleet.balancers = append(fleet.balancers, b)
	}
	return fleet
}

// runTurns runs a turn of each balancer, with a new query each, and returns how many parts they send in all.
func (f *warmingFleet) runTurns(now time.Duration) (sends int) {
	for _, b := range f.balancers {
		events := endedAttempts(b, now)
		f.nextID += 2
		events = append(events,
			Query{ID: f.nextID, Group: uint64(f.nextID), RemainingTime: 3 * time.Second, Parts: 1},
			Part{ID: f.nextID + 1, Group: uint64(f.nextID), Weight: 1})
		sends += countOf[Send](b.Turn(now, events))
	}
	return sends
}

// endedAttempts returns the ends of a balancer's attempts that have been answered by now.
func endedAttempts(b *Balancer, now time.Duration) (events []Event) {
	for _, a := range attemptsInOrder(b) {
		if now-a.sent < warmingWork {
			continue
		}
		events = append(events, AttemptEnded{
			Part:    a.part.ID,
			Attempt: a.number,
			Replica: "a",
			Result:  OK,
			Elapsed: warmingWork,
		})
	}
	return events
}

// Rule 4: any number of balancers together stay within the stated multiple of a warming server's capacity in
// every window, and do not starve the server.
func TestSlowStart_ManyBalancersDoNotOverloadAServer(t *testing.T) {
	for _, test := range []struct {
		balancers        int
		minCapacity      float64
		overloadMultiple float64
		overloadPeriod   time.Duration
	}{
		{balancers: 1, minCapacity: 0.2, overloadMultiple: 2, overloadPeriod: 2 * time.Second},
		{balancers: 80, minCapacity: 0.2, overloadMultiple: 2, overloadPeriod: 2 * time.Second},
		{balancers: 79, minCapacity: 0.17, overloadMultiple: 3, overloadPeriod: 2 * time.Second},
		{balancers: 73, minCapacity: 0.22, overloadMultiple: 2, overloadPeriod: 2 * time.Second},
		{balancers: 68, minCapacity: 0.18, overloadMultiple: 4, overloadPeriod: time.Second},
	} {
		settings := testSettings()
		settings.Rules.WarmupMinCapacity = test.minCapacity
		settings.Rules.OverloadMultiple = test.overloadMultiple
		settings.Rules.OverloadPeriod = test.overloadPeriod
		settings.Instances = test.balancers
		settings.Cells = 1
		settings.Reach = 1
		start := 100 * time.Second
		fleet := newWarmingFleet(t, settings, start)
		var sent []time.Duration
		for now := start; now < start+settings.Rules.WarmupPeriod; now += warmingWork / 2 {
			for range fleet.runTurns(now) {
				sent = append(sent, now)
			}
		}
		if len(sent) == 0 {
			t.Errorf("%+v: nothing sent to a server that is warming up", test)
		}
		for i, sentAt := range sent {
			inWindow := countSince(sent[:i+1], sentAt-test.overloadPeriod+1)
			warm := float64(sentAt-start) / float64(settings.Rules.WarmupPeriod)
			capacity := test.minCapacity + (1-test.minCapacity)*warm
			const cores = 2
			limit := test.overloadMultiple * capacity * micros(test.overloadPeriod) / micros(warmingWork) * cores
			if float64(inWindow) > limit {
				t.Fatalf("%+v: %d parts in the window up to %v, at most %.1f", test, inWindow, sentAt-start, limit)
			}
		}
	}
}

// One of many balancers sends a server that is warming up its share of the balancer's own traffic, even
// beyond 1/n of the limit. Otherwise the server would be starved, as most balancers send little.
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
			server := h.b.servers[name]
			// The warm servers are busy.
			server.Queue = 3
			server.ReportedAt = h.now
		}
		send := h.sendOnePart(0)
		if send.Replica == "a" {
			sends++
		}
		h.end(send, 0, OK, 50*ms)
	}
	// Of 20 parts per second, a warm server receives 10. 0.2 to 0.5 of 1.8 times that for 4 s is 25; 1/n
	// alone is 1.
	if sends < 7 || sends > 30 {
		t.Errorf("%d parts went to the server that is warming up, want about 25", sends)
	}
}

// 300 balancers with little traffic send a server its share from its start on, and together no more than
// that, although each earns a credit of one part only in many seconds. Guards against an initial credit of
// zero in all of them: none would send a part for that time, and the last warm replica of the server's shards
// would receive all parts.
func TestSlowStart_ServerIsNotStarvedByManyQuietBalancers(t *testing.T) {
	const balancers = 300
	sends := 0
	inSecondSecond := 0
	for i := range balancers {
		settings := testSettings()
		settings.Instances = balancers
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
			const partsPerSecond = 0.5 // of each balancer
			h.b.fleet.Demand.Answered = partsPerSecond * slowstart.DemandPeriods * h.b.minObjective.Seconds()
			h.turn(TimerFired{})
			if server := h.b.servers["a"]; server.SlowStart.Credit >= 1 { // a part is sent as soon as the credit allows
				server.SlowStart.Credit--
				sends++
				if h.now >= start+time.Second {
					inSecondSecond++
				}
			}
		}
	}
	// One of eight warm servers receives 18.75 of 150 parts per second; 1.8 times that by 0.2 to 0.36 is 19
	// in 2 s.
	if sends < 10 || sends > 30 || inSecondSecond == 0 || inSecondSecond == sends {
		t.Errorf("%d parts in two seconds, %d in the second of them; want about 19, in both", sends, inSecondSecond)
	}
}

// If all replicas of a shard are warming up, a query that needs sixty such parts is admitted: each part may
// be sent to a replica picked at random in proportion to its capacity. It is not admitted if the demand
// exceeds what servers have answered.
func TestSlowStart_ReplicasAreSampledAtRandom(t *testing.T) {
	startAll := func(h *harness) {
		var list []Endpoint
		for i, id := range []Replica{"a", "b", "c", "d"} {
			list = append(list, Endpoint{Replica: id, Cell: i, Started: h.now - time.Duration(4+2*(i%2))*time.Second})
		}
		h.turn(EndpointList{Kind: ListDelta, Endpoints: list}) // capacities of 0.52 and 0.68
		for _, server := range h.b.servers {
			server.SlowStart.Credit = 0
			server.SlowStart.FirstSendThreshold = 1
		}
	}
	n := map[Replica]int{}
	parts := 0
	for i := range 60 {
		h := newFleetHarness(t)
		h.b.rng = rand.New(rand.NewPCG(uint64(i), 1))
		startAll(h)
		if i >= 40 {
			h.b.fleet.Demand.Offered *= 10
		}
		sends := actionsOf[Send](h.begin(newQuery{parts: 6}))
		if i >= 40 {
			if len(sends) > 0 {
				t.Fatalf("%d parts sent to servers that are warming up, at ten times the usual demand", len(sends))
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
	// Of 240 parts, 52 go to each server at 0.52 and 68 to each at 0.68, with a standard deviation of 7.
	for id, want := range map[Replica]int{"a": 52, "b": 68, "c": 52, "d": 68} {
		if n[id] < want-24 || n[id] > want+24 {
			t.Errorf("%s received %d of %d parts, want about %d", id, n[id], parts, want)
		}
	}
}
