package balance

import (
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/suspicion"
)

func TestChoose_LowestRank(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, name := range []Replica{"a", "b", "c"} {
		server := h.b.servers[name]
		server.Measured = true
		server.ReportedAt = h.now
		server.Averages = estimate.Averages{Latency: 100e3, ServiceTime: 100e3, Queue: float64(3 - i)}
	}
	if send := h.sendOnePart(0); send.Replica != "c" {
		t.Errorf("sent to %s, want c with the shortest queue", send.Replica)
	}
	// R 100, S 100: losers move half way to the winner's q of 1, the winner stays.
	if a, b := h.b.servers["a"].Queue, h.b.servers["b"].Queue; a != 2 || b != 1.5 {
		t.Errorf("losers' q %v and %v, want 2 and 1.5", a, b)
	}
}

func TestChoose_PartsOfOneTurnSpread(t *testing.T) {
	h := newHarness(t, testSettings())
	_, events := h.query(newQuery{parts: 3})
	used := map[Replica]bool{}
	for _, send := range actionsOf[Send](h.turn(events...)) {
		used[send.Replica] = true
	}
	if len(used) != 3 {
		t.Errorf("three parts went to %d servers: os must rise at once", len(used))
	}
}

func TestChoose_FailingServerIsAvoidedAndRecovers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	send := h.sendOnePart(0)
	bad := send.Replica
	send = onlyAction[Send](h, h.end(send, 0, Failed, 2*ms))
	onlyAction[Answer](h, h.end(send, 1, OK, 100*ms))
	halfOpenRequests := 0
	for i := range 40 {
		send := h.sendOnePart(0)
		if send.Replica == bad {
			halfOpenRequests++
			if i == 0 {
				t.Error("the next part went to the server that just failed")
			}
		}
		onlyAction[Answer](h, h.end(send, 0, OK, 100*ms))
	}
	if halfOpenRequests == 0 || h.b.servers[bad].Penalty > 0 {
		t.Errorf("%d half-open requests, penalty %v: it must come back", halfOpenRequests, h.b.servers[bad].Penalty)
	}
}

func TestChoose_UnresponsiveServerGetsNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	unresponsive := h.sendOnePart(0).Replica
	h.now += 500 * ms
	h.turn(TimerFired{})
	for range 6 {
		if send := h.sendOnePart(0); send.Replica == unresponsive {
			t.Errorf("a part went to %s, which answers nothing", unresponsive)
		}
	}
}

func TestChoose_AllUnhealthyAreStillSent(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	for _, server := range h.b.servers {
		server.Penalty = 2
		server.NextHalfOpen = h.now + time.Hour
	}
	if n := countOf[Send](h.begin(newQuery{parts: 3})); n != 3 {
		t.Errorf("%d of 3 parts sent with every server unhealthy", n)
	}
}

func TestChoose_FullServerIsAvoidedForAWhile(t *testing.T) {
	h := newHarness(t, testSettings())
	send := h.sendOnePart(0)
	full := send.Replica
	onlyAction[Send](h, h.end(send, 0, QueueFull, 2*ms))
	for range 4 {
		if send := h.sendOnePart(0); send.Replica == full {
			t.Error("a part went to a server that is full")
		}
	}
}

func TestChoose_TiesGoToTheOwnZone(t *testing.T) {
	h := newHarness(
		t,
		testSettings(),
		Endpoint{Replica: "a", Cell: 0, Zone: 1},
		Endpoint{Replica: "b", Cell: 1, Zone: 0},
	)
	for range 20 {
		send := h.sendOnePart(0)
		if send.Replica != "b" {
			t.Fatal("a tie left the own zone")
		}
		onlyAction[Answer](h, h.end(send, 0, OK, 100*ms))
	}
}

func TestChoose_SlowServerGetsHalfOpenRequestsOnly(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	slow := h.b.servers["a"]
	slow.Recent = []float64{900e3, 900e3, 900e3, 900e3}
	slow.NextHalfOpen = h.now + time.Hour
	for range 9 {
		if send := h.sendOnePart(0); send.Replica == "a" {
			t.Fatal("a part went to a slow server")
		}
	}
	slow.NextHalfOpen = 0
	if send := h.sendOnePart(0); send.Replica != "a" {
		t.Error("a slow server is never tried again")
	}
}

func TestChoose_SlowServerStaysOutAmongTheUnhealthy(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	slow := h.b.servers["a"]
	slow.Recent = []float64{900e3, 900e3, 900e3, 900e3}
	for _, server := range h.b.servers {
		server.NextHalfOpen = h.now + time.Hour
		if server != slow {
			server.Penalty = 2
		}
	}
	for _, send := range actionsOf[Send](h.begin(newQuery{parts: 3})) {
		if send.Replica == "a" {
			t.Error("a part went to the slow server")
		}
	}
}

func TestChoose_NonIdempotentPartsAloneBringAServerBack(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, settings)
	h.serve(30, 100*ms)
	bad := h.b.servers["a"]
	bad.Penalty = 1
	h.serve(400, 100*ms)
	if bad.Penalty > 0 {
		t.Error("with unsafe classes only, an unhealthy server never came back")
	}
}

// A server that refuses connections gets nothing for a time that grows with each failure.
func TestChoose_DownServerIsAvoided(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	down := h.b.servers["a"]
	for _, server := range h.b.servers {
		server.avoidUntil = h.now + time.Hour
	}
	down.avoidUntil = h.now
	var delays []time.Duration
	_, events := h.query(newQuery{parts: 1})
	for attempt := range 2 {
		send := onlyAction[Send](h, h.turn(events...))
		actions := h.end(send, attempt, ConnectFailed, 5*ms)
		h.wantNone(actions, "send to a server just found down", countOf[Send](actions))
		delays = append(delays, down.avoidUntil-h.now)
		down.avoidUntil = 0
		events = nil
	}
	if delays[0] <= 0 || delays[1] <= delays[0] {
		t.Errorf("kept off for %v, want a time that grows", delays)
	}
}

// The more balancers there are, the longer each of them waits between half-open requests to a faulty server.
func TestChoose_HalfOpenRequestsAreSpacedByInstances(t *testing.T) {
	var gaps []time.Duration
	for _, n := range []int{2, 80} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		h.serve(30, 100*ms)
		send := h.sendOnePart(0)
		h.end(send, 0, Failed, 2*ms)
		gaps = append(gaps, h.b.servers[send.Replica].NextHalfOpen-h.now)
	}
	if gaps[0] <= 0 || gaps[1] < 4*gaps[0] {
		t.Errorf("half-open requests after %v: at n = 80 each must wait over four times as long as at 2", gaps)
	}
}

// With many balancers a half-open request is due at every unhealthy server when a wide query comes: only one of
// its parts is sent as one.
func TestChoose_QueryCarriesOneHalfOpenRequest(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	for i, server := range h.b.endpoints {
		if i < 6 {
			server.Penalty = 1
			server.NextHalfOpen = 0
		}
	}
	_, events := h.query(newQuery{parts: 6})
	halfOpenRequests := 0
	for _, send := range actionsOf[Send](h.turn(events...)) {
		if h.b.servers[send.Replica].Penalty > 0 {
			halfOpenRequests++
		}
	}
	if halfOpenRequests != 1 {
		t.Errorf("%d parts of one query went to unhealthy servers, want 1", halfOpenRequests)
	}
}

// A server loses one class of queries and serves the others: an overdue part of that class is canceled though
// others are answered, and the class goes elsewhere.
func TestChoose_ServerThatLosesOneClass(t *testing.T) {
	h := newHarness(t, twoClasses(Idempotent))
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 4
	bad := h.b.servers["a"]
	var lost Send
	for lost.Replica != "a" {
		if send := h.sendOnePart(0); send.Replica == "a" {
			lost = send
		} else {
			h.end(send, 0, OK, 100*ms)
		}
	}
	other := func() (sent bool) {
		send := h.sendOnePart(1)
		h.end(send, 0, OK, 100*ms)
		return send.Replica == "a"
	}
	var calledOff []Cancel
	for i := 0; len(calledOff) == 0 && i < 20; i++ {
		bad.LastSuccess = h.now // it answers the other class all the time
		actions := h.begin(newQuery{class: 1, parts: 1})
		actions = append(actions, h.end(actionsOf[Send](actions)[0], 0, OK, 100*ms)...)
		calledOff = actionsOf[Cancel](actions)
	}
	if len(calledOff) != 1 || calledOff[0].Part != lost.Part {
		t.Fatalf("canceled %v", calledOff)
	}
	h.turn(AttemptEnded{Part: lost.Part, Replica: "a", Result: Canceled})
	if bad.HealthyFor(0) || !bad.HealthyFor(1) {
		t.Errorf("penalty %v, of each class %+v", bad.Penalty, bad.PerClass)
	}
	found := false
	for range 20 {
		found = other() || found
	}
	if !found {
		t.Error("the class that it serves left it, too")
	}
}

// A part that is not idempotent is not used as a half-open request while parts of other classes can be.
func TestChoose_NonIdempotentPartsAreTheLastHalfOpenRequests(t *testing.T) {
	h := newHarness(t, twoClasses(NonIdempotent))
	h.serve(30, 100*ms)
	h.b.servers["a"].Penalty = 1
	h.b.servers["a"].NextHalfOpen = h.now
	for _, class := range []int{1, 0} { // a half-open request is due
		if send := h.sendOnePart(class); (send.Replica == "a") != (class == 0) {
			t.Errorf("class %d goes to %s", class, send.Replica)
		}
	}
}

// Where no replica is healthy, a slow one is preferred to one that loses the class.
func TestChoose_ReplicaThatLosesTheClassIsTheLastResort(t *testing.T) {
	h := newHarness(t, twoClasses(Idempotent))
	h.serve(40, 100*ms)
	for id, server := range h.b.servers {
		server.NextHalfOpen = h.now + time.Hour
		server.PerClass[0].NextHalfOpen = server.NextHalfOpen
		if id == "a" {
			server.Recent = []float64{900e3, 900e3, 900e3, 900e3}
		} else {
			server.PerClass[0].Penalty = 1
		}
	}
	for class, want := range []bool{true, false} {
		if send := h.sendOnePart(class); (send.Replica == "a") != want {
			t.Errorf("class %d goes to %s", class, send.Replica)
		}
	}
}

// A server that loses some answers is used while the healthy ones are busy, but not for parts that are not
// idempotent, nor once it loses most answers.
func TestChoose_ServerThatLosesSomeAnswersHelpsTheBusy(t *testing.T) {
	for _, test := range []struct {
		loss   float64
		busy   int // parts in flight at the healthy servers
		effect Idempotency
		want   bool
	}{
		{loss: 0.25, busy: 8, effect: Idempotent, want: true},
		{loss: 0.25, busy: 0, effect: Idempotent, want: false},
		{loss: 0.8, busy: 8, effect: Idempotent, want: false},
		{loss: 0.25, busy: 8, effect: NonIdempotent, want: false},
	} {
		h := newHarness(t, twoClasses(test.effect))
		h.serve(60, 100*ms)
		for id, server := range h.b.servers {
			if id == "a" {
				server.PerClass[1].Penalty = 1
				server.PerClass[1].LossRate = test.loss
				server.PerClass[1].NextHalfOpen = h.now + time.Hour
				continue
			}
			for range test.busy {
				server.InFlight = append(server.InFlight, h.now)
			}
		}
		if send := h.sendOnePart(1); (send.Replica == "a") != test.want {
			t.Errorf("%+v: went to %s", test, send.Replica)
		}
	}
	var of suspicion.Record
	for i := range 200 {
		of.RecordLoss(i%4 == 0)
	}
	if of.LossRate < 0.15 || of.LossRate > 0.35 {
		t.Errorf("a quarter is lost, taken for %v", of.LossRate)
	}
}

// A part waits for a replica that is full for a moment, and does not spend its attempts at one that has next to no
// traffic. Guards against searches that failed within 60 ms, while the two healthy replicas of a part served others.
func TestChoose_PartWaitsForAFullReplicaRatherThanAnExcludedOne(t *testing.T) {
	h := newFleetHarness(t, "a", "b", "c")
	for range 40 { // of 200 parts about one may try a server that is excluded
		if n := countByReplica(actionsOf[Send](h.begin(newQuery{parts: 5}))); n["d"] < 4 {
			t.Fatalf("parts went to %v", n)
		}
	}
	h = newFleetHarness(t, "a", "b", "c")
	h.b.servers["d"].avoidUntil = h.now + 100*ms
	if actions := h.begin(newQuery{parts: 1}); countOf[Send](actions) != 0 {
		t.Fatalf("sent while the one healthy replica is full: %v", actions)
	}
}

// A server of which the fleet knows that it loses some parts gets half-open requests in proportion to its traffic
// fraction, not by the clock of each balancer that holds failures against it.
func TestChoose_HalfOpenRequestsGoByTrafficFraction(t *testing.T) {
	halfOpenRequests := map[float64]int{}
	for _, share := range []float64{0, 0.3} {
		h := newFleetHarness(t)
		h.turn(EndpointList{
			Kind:      ListDelta,
			Endpoints: []Endpoint{{Replica: "a", HealthLimits: HealthLimits{TrafficFraction: share}}},
		})
		for range 60 {
			server := h.b.servers["a"]
			server.Penalty = 1
			server.NextHalfOpen = 0
			server.PerClass[0].NextHalfOpen = 0
			send := h.sendOnePart(0)
			if send.Replica == "a" {
				halfOpenRequests[share]++
			}
			h.turn(AttemptEnded{Part: send.Part, Replica: send.Replica, Result: OK, Elapsed: 10 * ms})
			h.now += 100 * ms
		}
	}
	// Of two servers, one with traffic fraction w gets 2w/(1+w) of what it would get: 0.46.
	if halfOpenRequests[0] != 60 || halfOpenRequests[0.3] < 18 || halfOpenRequests[0.3] > 38 {
		t.Errorf("%v half-open requests of 60", halfOpenRequests)
	}
}
