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
	// The losers' queues move half way to the winner's queue of 1, which is not changed.
	if a, b := h.b.servers["a"].Queue, h.b.servers["b"].Queue; a != 2 || b != 1.5 {
		t.Errorf("losers' queues %v and %v, want 2 and 1.5", a, b)
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
		t.Errorf("three parts went to %d servers: each must count as in flight immediately", len(used))
	}
}

func TestChoose_FailingServerIsAvoidedAndRecovers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	send := h.sendOnePart(0)
	faulty := send.Replica
	send = onlyAction[Send](h, h.end(send, 0, Failed, 2*ms))
	onlyAction[Answer](h, h.end(send, 1, OK, 100*ms))
	halfOpenRequests := 0
	for i := range 40 {
		send := h.sendOnePart(0)
		if send.Replica == faulty {
			halfOpenRequests++
			if i == 0 {
				t.Error("the next part went to the server that just failed")
			}
		}
		onlyAction[Answer](h, h.end(send, 0, OK, 100*ms))
	}
	if halfOpenRequests == 0 || h.b.servers[faulty].Penalty > 0 {
		t.Errorf("%d half-open requests, penalty %v: no recovery", halfOpenRequests, h.b.servers[faulty].Penalty)
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
			t.Errorf("a part went to %s, which is unresponsive", unresponsive)
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
			t.Fatal("a tie went to another zone")
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
		t.Error("no half-open request went to the slow server")
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
	unhealthy := h.b.servers["a"]
	unhealthy.Penalty = 1
	h.serve(400, 100*ms)
	if unhealthy.Penalty > 0 {
		t.Error("with non-idempotent classes only, an unhealthy server did not recover")
	}
}

// A server that refuses connections is avoided for a time that grows with each failure.
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
		h.wantNone(actions, "send to a server that just refused a connection", countOf[Send](actions))
		delays = append(delays, down.avoidUntil-h.now)
		down.avoidUntil = 0
		events = nil
	}
	if delays[0] <= 0 || delays[1] <= delays[0] {
		t.Errorf("avoided for %v, want a time that grows", delays)
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

// With many balancers, a half-open request is due at every unhealthy server when a wide query arrives: only
// one of its parts is sent as one.
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

// A server loses one class of queries and answers the others. An overdue part of that class is canceled
// although the server answers others, and the class is sent elsewhere.
func TestChoose_ServerThatLosesOneClass(t *testing.T) {
	h := newHarness(t, twoClasses(Idempotent))
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 4
	faulty := h.b.servers["a"]
	var lost Send
	for lost.Replica != "a" {
		if send := h.sendOnePart(0); send.Replica == "a" {
			lost = send
		} else {
			h.end(send, 0, OK, 100*ms)
		}
	}
	sendOtherClass := func() (sentToFaulty bool) {
		send := h.sendOnePart(1)
		h.end(send, 0, OK, 100*ms)
		return send.Replica == "a"
	}
	var canceled []Cancel
	for i := 0; len(canceled) == 0 && i < 20; i++ {
		faulty.LastSuccess = h.now // it keeps answering the other class
		actions := h.begin(newQuery{class: 1, parts: 1})
		actions = append(actions, h.end(actionsOf[Send](actions)[0], 0, OK, 100*ms)...)
		canceled = actionsOf[Cancel](actions)
	}
	if len(canceled) != 1 || canceled[0].Part != lost.Part {
		t.Fatalf("canceled %v", canceled)
	}
	h.turn(AttemptEnded{Part: lost.Part, Replica: "a", Result: Canceled})
	if faulty.HealthyFor(0) || !faulty.HealthyFor(1) {
		t.Errorf("penalty %v, of each class %+v", faulty.Penalty, faulty.PerClass)
	}
	found := false
	for range 20 {
		found = sendOtherClass() || found
	}
	if !found {
		t.Error("the class that the server answers is no longer sent there")
	}
}

// A non-idempotent part is not sent as a half-open request while parts of other classes can be.
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

// If no replica is healthy, a slow one is preferred to one that loses parts of the class.
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

// A server that loses some answers is used while the healthy ones are busy, but not for non-idempotent parts,
// and not if it loses most answers.
func TestChoose_ServerThatLosesSomeAnswersHelpsTheBusy(t *testing.T) {
	for _, test := range []struct {
		loss        float64
		busy        int // parts in flight at the healthy servers
		idempotency Idempotency
		want        bool
	}{
		{loss: 0.25, busy: 8, idempotency: Idempotent, want: true},
		{loss: 0.25, busy: 0, idempotency: Idempotent, want: false},
		{loss: 0.8, busy: 8, idempotency: Idempotent, want: false},
		{loss: 0.25, busy: 8, idempotency: NonIdempotent, want: false},
	} {
		h := newHarness(t, twoClasses(test.idempotency))
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
	var record suspicion.Record
	for i := range 200 {
		record.RecordLoss(i%4 == 0)
	}
	if record.LossRate < 0.15 || record.LossRate > 0.35 {
		t.Errorf("loss rate %v after losing a quarter", record.LossRate)
	}
}

// A part waits for a replica that is full for a moment, and does not use up its attempts at excluded ones.
// Guards against searches that failed within 60 ms although a part had two healthy replicas, which were
// serving others.
func TestChoose_PartWaitsForAFullReplicaRatherThanAnExcludedOne(t *testing.T) {
	h := newFleetHarness(t, "a", "b", "c")
	for range 40 { // of 200 parts, about one may be sent to an excluded server
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

// A server with a traffic fraction, because it is known to lose some parts, receives half-open requests in
// proportion to that fraction instead of one whenever a balancer that recorded failures has one due.
func TestChoose_HalfOpenRequestsGoByTrafficFraction(t *testing.T) {
	halfOpenRequests := map[float64]int{}
	for _, fraction := range []float64{0, 0.3} {
		h := newFleetHarness(t)
		h.turn(EndpointList{
			Kind:      ListDelta,
			Endpoints: []Endpoint{{Replica: "a", HealthLimits: HealthLimits{TrafficFraction: fraction}}},
		})
		for range 60 {
			server := h.b.servers["a"]
			server.Penalty = 1
			server.NextHalfOpen = 0
			server.PerClass[0].NextHalfOpen = 0
			send := h.sendOnePart(0)
			if send.Replica == "a" {
				halfOpenRequests[fraction]++
			}
			h.turn(AttemptEnded{Part: send.Part, Replica: send.Replica, Result: OK, Elapsed: 10 * ms})
			h.now += 100 * ms
		}
	}
	// Of two servers, one with traffic fraction w receives 2w/(1+w) of its usual share: 0.46.
	if halfOpenRequests[0] != 60 || halfOpenRequests[0.3] < 18 || halfOpenRequests[0.3] > 38 {
		t.Errorf("%v half-open requests of 60", halfOpenRequests)
	}
}
