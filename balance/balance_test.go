package balance

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
)

const ms = time.Millisecond

// testSettings: one zone, three cells with a server each, every shard on all three.
func testSettings() Settings {
	return Settings{
		Seed: 1, Instances: 2, Tick: 5 * ms,
		Classes: []Class{{Objective: time.Second, Deadline: 3 * time.Second, Weight: 1, Idempotency: Idempotent, MinFraction: 1, CompleteFraction: 1}},
		Cells:   3, Reach: 3, Shards: 6, MaxCallParts: 1,
		MaxAttempts: 3, CanHedge: true, CanCancel: true, MaxRetryAfter: time.Second,
		Rules: Rules{WarmupPeriod: 10 * time.Second, WarmupMinCapacity: 0.2, OverloadMultiple: 2, OverloadPeriod: 2 * time.Second},
	}
}

// harness drives a Balancer by hand.
type harness struct {
	*testing.T
	b    *Balancer
	now  time.Duration
	next ID
	sent map[ID]int
}

func newHarness(t *testing.T, settings Settings, list ...Endpoint) *harness {
	t.Helper()
	b, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{T: t, b: b, now: 100 * time.Second, next: 1, sent: map[ID]int{}}
	if list == nil {
		list = threeServers()
	}
	h.turn(EndpointList{Kind: ListFull, Endpoints: list})
	return h
}

func threeServers() []Endpoint {
	return []Endpoint{{Replica: "a", Cell: 0}, {Replica: "b", Cell: 1}, {Replica: "c", Cell: 2}}
}

func (h *harness) turn(events ...Event) []Action {
	h.Helper()
	actions := h.b.Turn(h.now, events)
	return actions
}

// query returns the events of a query of class c with n parts. Its id comes first, those of its parts follow.
func (h *harness) query(c, n int) (ID, []Event) {
	id := h.next
	left := h.b.settings.Classes[c].Deadline
	events := []Event{Query{ID: id, Group: uint64(id), Class: c, TimeLeft: left, Parts: n}}
	for i := range n {
		events = append(events, Part{ID: id + 1 + ID(i), Group: uint64(id), Shard: i, Weight: 1 / float64(n)})
	}
	h.next += ID(n) + 1
	return id, events
}

func actionsOf[T Action](actions []Action) (found []T) {
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func onlyAction[T Action](h *harness, actions []Action) T {
	h.Helper()
	found := actionsOf[T](actions)
	if len(found) != 1 {
		var zero T
		h.Fatalf("want one %T, got %v", zero, actions)
	}
	return found[0]
}

func (h *harness) wantNone(actions []Action, what string, found int) {
	h.Helper()
	if found > 0 {
		h.Fatalf("no %s wanted: %v", what, actions)
	}
}

// end reports an attempt's outcome after took.
func (h *harness) end(s Send, attempt int, r AttemptResult, took time.Duration) []Action {
	h.Helper()
	h.now += took
	return h.turn(AttemptEnded{Part: s.Part, Attempt: attempt, Replica: s.Replica, Result: r, Elapsed: took})
}

// serve runs n one-part queries to their answers, each in took.
func (h *harness) serve(n int, took time.Duration) {
	h.Helper()
	for range n {
		id, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if a := onlyAction[Answer](h, h.end(s, 0, OK, took)); a.Query != id || !a.Complete {
			h.Fatalf("answer %v for query %d", a, id)
		}
	}
}

func TestChoose_LowestRank(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, name := range []Replica{"a", "b", "c"} {
		s := h.b.servers[name]
		s.Measured, s.ReportedAt, s.Averages = true, h.now, estimate.Averages{Latency: 100e3, ServiceTime: 100e3, Queue: float64(3 - i)}
	}
	_, ev := h.query(0, 1)
	if s := onlyAction[Send](h, h.turn(ev...)); s.Replica != "c" {
		t.Errorf("sent to %s, want c with the shortest queue", s.Replica)
	}
	// R 100, S 100: losers move half way to the winner's q of 1, the winner stays.
	if a, b := h.b.servers["a"].Queue, h.b.servers["b"].Queue; a != 2 || b != 1.5 {
		t.Errorf("losers' q %v and %v, want 2 and 1.5", a, b)
	}
}

func TestRank_IsC3(t *testing.T) {
	h := newHarness(t, testSettings())
	s := h.b.servers["a"]
	s.Measured, s.ReportedAt, s.Averages = true, h.now, estimate.Averages{Latency: 300, ServiceTime: 100, Queue: 2}
	s.InFlight = []time.Duration{0}
	// n = 2: q̂ = 1 + 1x2 + 2 = 5; 300 - 100 + 125 x 100
	if got := h.b.rank(s); got != 12700 {
		t.Errorf("rank %v, want 12700", got)
	}
}

func TestRank_UnmeasuredServerHasTheMean(t *testing.T) {
	h := newHarness(t, testSettings())
	if got := h.b.fleet.AveragesOf(&h.b.servers["a"].Server, h.now); got != (estimate.Averages{Latency: 1e6, ServiceTime: 1e6, Queue: 0}) {
		t.Errorf("before any answer %+v, want the objective, the objective and 0", got)
	}
	for name, r := range map[Replica]float64{"b": 100, "c": 300} {
		s := h.b.servers[name]
		s.Measured, s.Latency, s.ServiceTime, s.Queue = true, r, r/2, r/100
	}
	h.turn(TimerFired{})
	if got := h.b.fleet.AveragesOf(&h.b.servers["a"].Server, h.now); got != (estimate.Averages{Latency: 200, ServiceTime: 100, Queue: 2}) {
		t.Errorf("%+v, want the means 200, 100 and 2", got)
	}
}

func TestChoose_PartsOfOneTurnSpread(t *testing.T) {
	h := newHarness(t, testSettings())
	_, ev := h.query(0, 3)
	used := map[Replica]bool{}
	for _, s := range actionsOf[Send](h.turn(ev...)) {
		used[s.Replica] = true
	}
	if len(used) != 3 {
		t.Errorf("three parts went to %d servers: os must rise at once", len(used))
	}
}

func TestRank_LoadReportsFeedTheQueue(t *testing.T) {
	settings := testSettings()
	settings.CanProbe, settings.LoadReportsOnProbe = true, true
	h := newHarness(t, settings)
	_, ev := h.query(0, 12)
	actions := h.turn(ev...)
	p := actionsOf[Probe](actions)
	if len(p) == 0 {
		t.Fatalf("no probe for 12 parts: %v", actions)
	}
	h.turn(ProbeEnded{Replica: p[0].Replica, Result: OK, Report: &LoadReport{Queue: -1, InFlight: 20, Utilization: -1}})
	if q := h.b.servers[p[0].Replica].Queue; q < 10 {
		t.Errorf("q %v after a report of 20", q)
	}
}

func TestQuery_OneFinalAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	id, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	h.now += 100 * ms
	actions := h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK}, ClientDisconnected{Query: id})
	h.wantNone(actions, "action after the client left", len(actionsOf[Answer](actions)))
	_, ev = h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	onlyAction[Answer](h, h.end(s, 0, OK, 100*ms))
	actions = h.turn(ClientDisconnected{Query: id}, AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK})
	if len(actions) != 0 {
		t.Errorf("actions for ids no longer held: %v", actions)
	}
}

func TestQuery_EndsBeforeItsDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].OverdueFraction = 0.3
	h := newHarness(t, settings)
	id, ev := h.query(0, 1)
	onlyAction[Send](h, h.turn(ev...))
	h.now += 3*time.Second - 15*ms
	if r := onlyAction[Reject](h, h.turn(TimerFired{})); r.Query != id {
		t.Errorf("refused %d, want %d", r.Query, id)
	}
}

func TestAdmit_RejectsWhenAShardHasNoReplica(t *testing.T) {
	settings := testSettings()
	settings.Reach = 1
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0})
	id, ev := h.query(0, 2) // shard 1 has no replica
	actions := h.turn(ev...)
	if r := onlyAction[Reject](h, actions); r.Query != id || r.RetryAfter <= 0 {
		t.Errorf("%v", r)
	}
	h.wantNone(actions, "work for the other shard", len(actionsOf[Send](actions)))
}

func TestRetry_NeverOfANonIdempotentPart(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	for _, r := range []AttemptResult{Failed, Reset, TimedOut, Canceled} {
		h := newHarness(t, settings)
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		actions := h.end(s, 0, r, 50*ms)
		onlyAction[Fail](h, actions)
		h.wantNone(actions, "second attempt", len(actionsOf[Send](actions)))
	}
	for _, r := range []AttemptResult{QueueFull, ConnectFailed} {
		h := newHarness(t, settings)
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if again := onlyAction[Send](h, h.end(s, 0, r, 5*ms)); again.Replica == s.Replica {
			t.Errorf("result %d: sent again to the same server", r)
		}
	}
}

func TestHedge_NeverOfANonIdempotentPart(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Idempotency = NonIdempotent
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	_, ev := h.query(1, 1)
	onlyAction[Send](h, h.turn(ev...))
	h.now += 900 * ms
	actions := h.turn(TimerFired{})
	h.wantNone(actions, "copy", len(actionsOf[Hedge](actions))+len(actionsOf[Cancel](actions)))
}

func TestQuery_NonIdempotentIsRejectedOnlyWhileUnsent(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, settings)
	id, ev := h.query(0, 1)
	onlyAction[Send](h, h.turn(ev...))
	h.now += time.Second - 10*ms
	if f := onlyAction[Fail](h, h.turn(TimerFired{})); f.Query != id {
		t.Errorf("failed %d, want %d", f.Query, id)
	}
}

func TestRetry_KeyedPartKeepsItsDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency, settings.Classes[0].DedupWindow, settings.Classes[0].OverdueFraction = KeyedIdempotent, 200*ms, 0.5
	h := newHarness(t, settings)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	onlyAction[Send](h, h.end(s, 0, Failed, 100*ms))
	h = newHarness(t, settings)
	_, ev = h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	actions := h.end(s, 0, Failed, 250*ms)
	h.wantNone(actions, "repeat after the window", len(actionsOf[Send](actions)))
}

// hedged runs queries of 100 ms and then one whose part is late; it returns that part's attempt and the copy.
func (h *harness) hedged() (Send, Hedge) {
	h.Helper()
	h.serve(60, 100*ms)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	h.now += 600 * ms
	return s, onlyAction[Hedge](h, h.turn(TimerFired{}))
}

func TestHedge_OverdueIdempotentPartOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	s, c := h.hedged()
	if c.Replica == s.Replica {
		t.Errorf("both copies at %s", s.Replica)
	}
	h.now += 50 * ms
	actions := h.turn(AttemptEnded{Part: s.Part, Attempt: 1, Replica: c.Replica, Result: OK})
	onlyAction[Answer](h, actions)
	if x := onlyAction[Cancel](h, actions); x.Attempt != 0 {
		t.Errorf("called off attempt %d, want 0", x.Attempt)
	}
}

func TestHedge_CancelsWhereHedgingIsNotAllowed(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	for range 40 {
		h.now += 10 * ms
		actions := h.turn(TimerFired{})
		h.wantNone(actions, "attempt beside another", len(actionsOf[Send](actions))+len(actionsOf[Hedge](actions)))
		if len(actionsOf[Cancel](actions)) > 0 {
			if n := onlyAction[Send](h, h.end(s, 0, Canceled, 5*ms)); n.Replica == s.Replica {
				t.Errorf("sent again to the silent server")
			}
			return
		}
	}
	t.Error("a part at a silent server was never called off")
}

func TestRetry_AttemptsAreCapped(t *testing.T) {
	h := newHarness(t, testSettings())
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	s = onlyAction[Send](h, h.end(s, 0, Failed, 5*ms))
	s = onlyAction[Send](h, h.end(s, 1, Failed, 5*ms))
	actions := h.end(s, 2, Failed, 5*ms)
	h.wantNone(actions, "fourth attempt", len(actionsOf[Send](actions)))
	onlyAction[Reject](h, actions)
}

func TestEndpoints_DrainingServerGetsNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{
		{Replica: "a", Cell: 0, State: Draining}, {Replica: "b", Cell: 1, State: Removed}}})
	for range 10 {
		_, ev := h.query(0, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); s.Replica != "c" {
			t.Fatalf("sent to %s", s.Replica)
		}
	}
	h.turn(EndpointList{Kind: ListFull, Endpoints: []Endpoint{{Replica: "a", Cell: 0}}})
	_, ev := h.query(0, 1)
	if s := onlyAction[Send](h, h.turn(ev...)); s.Replica != "a" {
		t.Errorf("sent to %s, which the full list no longer names", s.Replica)
	}
}

func TestEndpoints_FailedCallKeepsTheListAndPollsAgain(t *testing.T) {
	settings := testSettings()
	settings.ListOnRequest, settings.Rules.MaxListAge = true, 10*time.Second
	var waits []time.Duration
	for settings.Seed = range 2 {
		h := newHarness(t, settings)
		actions := h.turn(EndpointList{Kind: ListFailed})
		h.wantNone(actions, "call in the turn of the failed one", len(actionsOf[WatchEndpoints](actions)))
		_, ev := h.query(0, 1)
		onlyAction[Send](h, h.turn(ev...))
		failed := h.now
		for len(actionsOf[WatchEndpoints](actions)) == 0 {
			if h.now += 100 * ms; h.now > failed+settings.Rules.MaxListAge {
				t.Fatal("the list was not asked for again in the stated time")
			}
			actions = h.turn(TimerFired{})
		}
		waits = append(waits, h.now-failed)
	}
	if waits[0] == waits[1] || min(waits[0], waits[1]) < time.Second {
		t.Errorf("asked again after %v: all gatherers would call at once", waits)
	}
}

func TestSlowStart_ServerKeepsToItsLimit(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Replica: "a", Cell: 0, Started: 100 * time.Second})
	sends := 0
	for range 20 {
		_, ev := h.query(0, 1)
		sends += len(actionsOf[Send](h.turn(ev...)))
		h.now += 100 * ms
	}
	// 2 x 0.2 x 2 s / 250 ms / 2 gatherers is 1.6 parts, and 2.9 when the window ends.
	if sends < 1 || sends > 3 {
		t.Errorf("%d parts sent to a cold server within its window, want 1 to 3", sends)
	}
	h.now += 11 * time.Second
	_, ev := h.query(0, 1)
	if len(actionsOf[Send](h.turn(ev...))) != 1 {
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

func TestChoose_FailingServerIsAvoidedAndRecovers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	bad := s.Replica
	s = onlyAction[Send](h, h.end(s, 0, Failed, 2*ms))
	onlyAction[Answer](h, h.end(s, 1, OK, 100*ms))
	trials := 0
	for i := range 40 {
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if s.Replica == bad {
			if trials++; i == 0 {
				t.Error("the next part went to the server that just failed")
			}
		}
		onlyAction[Answer](h, h.end(s, 0, OK, 100*ms))
	}
	if trials == 0 || h.b.servers[bad].Penalty > 0 {
		t.Errorf("%d trials, doubt %v: it must come back", trials, h.b.servers[bad].Penalty)
	}
}

func TestChoose_UnresponsiveServerGetsNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	_, ev := h.query(0, 1)
	silent := onlyAction[Send](h, h.turn(ev...)).Replica
	h.now += 500 * ms
	h.turn(TimerFired{})
	for range 6 {
		_, ev := h.query(0, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); s.Replica == silent {
			t.Errorf("a part went to %s, which answers nothing", silent)
		}
	}
}

func TestPullBack_NotOfUnhealthyServers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	s := h.b.servers["a"]
	s.Latency, s.Penalty, s.NextHalfOpen = 5e6, 1, h.now+time.Hour
	h.serve(5, 100*ms)
	if s.Latency != 5e6 {
		t.Errorf("R %v of an ejected server was pulled toward the winner", s.Latency)
	}
}

func TestChoose_AllUnhealthyAreStillSent(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	for _, s := range h.b.servers {
		s.Penalty, s.NextHalfOpen = 2, h.now+time.Hour
	}
	_, ev := h.query(0, 3)
	if n := len(actionsOf[Send](h.turn(ev...))); n != 3 {
		t.Errorf("%d of 3 parts sent with every server doubted", n)
	}
}

func TestChoose_FullServerIsAvoidedForAWhile(t *testing.T) {
	h := newHarness(t, testSettings())
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	full := s.Replica
	onlyAction[Send](h, h.end(s, 0, QueueFull, 2*ms))
	for range 4 {
		_, ev := h.query(0, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); s.Replica == full {
			t.Error("a part went to a server that is full")
		}
	}
}

func TestQuery_PartialAnswers(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].MinFraction, settings.Classes[0].PartialFraction, settings.Classes[0].OverdueFraction = 0.6, 0.8, 0.1
	h := newHarness(t, settings)
	id, ev := h.query(0, 3)
	sends := actionsOf[Send](h.turn(ev...))
	h.now += 100 * ms
	actions := h.turn(AttemptEnded{Part: sends[0].Part, Replica: sends[0].Replica, Result: OK},
		AttemptEnded{Part: sends[1].Part, Replica: sends[1].Replica, Result: OK})
	h.wantNone(actions, "early partial answer", len(actionsOf[Answer](actions)))
	h.now += 890 * ms
	if a := onlyAction[Answer](h, h.turn(TimerFired{})); a.Query != id || a.Complete {
		t.Errorf("answer %v, want a partial one of %d", a, id)
	}
	id, ev = h.query(0, 3)
	sends = actionsOf[Send](h.turn(ev...))
	h.now += 100 * ms
	h.turn(AttemptEnded{Part: sends[0].Part, Replica: sends[0].Replica, Result: OK})
	h.now += 3*time.Second - 110*ms
	actions = h.turn(TimerFired{})
	h.wantNone(actions, "answer under the floor", len(actionsOf[Answer](actions)))
	onlyAction[Reject](h, actions)
}

func TestQuery_SecondStep(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].FollowUpParts = 1
	h := newHarness(t, settings)
	id, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	if a := onlyAction[Answer](h, h.end(s, 0, OK, 50*ms)); !a.Complete {
		t.Error("first step not whole")
	}
	h.now += 5 * ms
	s = onlyAction[Send](h, h.turn(Part{ID: 99, Group: uint64(id), Shard: 0, Weight: 1}))
	if a := onlyAction[Answer](h, h.end(s, 0, OK, 50*ms)); a.Query != id || !a.Complete {
		t.Errorf("second answer %v", a)
	}
}

func TestRetry_Budget(t *testing.T) {
	settings := testSettings()
	settings.Rules.RetryBudgetWindow, settings.Rules.RetryBudgetBase, settings.Rules.RetryBudgetRatio = 10*time.Second, 1, 0
	h := newHarness(t, settings)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	s = onlyAction[Send](h, h.end(s, 0, Failed, 5*ms))
	actions := h.end(s, 1, Failed, 5*ms)
	h.wantNone(actions, "attempt beyond the budget", len(actionsOf[Send](actions)))
}

func TestAdmit_OverloadIsRejectedAndEnds(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	h.b.fleet.Mean, h.b.fleet.Deviation = 900e3, 200e3 // a jam
	refused := 0
	for range 60 {
		_, ev := h.query(0, 1)
		for _, r := range actionsOf[Reject](h.turn(ev...)) {
			if refused++; r.RetryAfter <= 0 {
				t.Error("refused without a time to come back")
			}
		}
	}
	if refused == 0 {
		t.Fatal("60 queries at once to three servers in a jam: none refused")
	}
	// Once nothing is in hand, queries are taken again, though no answer has lowered the mean.
	for _, s := range h.b.servers {
		s.InFlight, s.LastSuccess = nil, h.now
	}
	h.b.queries = nil
	_, ev := h.query(0, 1)
	onlyAction[Send](h, h.turn(ev...))
}

func TestAdmit_HopelessRetryIsRejected(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings)
	h.serve(5, 100*ms)
	// Classes without late worth: 1.5 s of 3 s are gone, the aim of 1 s with them.
	actions := h.turn(Query{ID: 900, Group: 900, TimeLeft: 1500 * ms, Parts: 1},
		Part{ID: 901, Group: 900, Weight: 1})
	if r := onlyAction[Reject](h, actions); r.Query != 900 || len(actionsOf[Send](actions)) > 0 {
		t.Errorf("actions %v", actions)
	}
}

func TestChoose_TiesGoToTheOwnZone(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{Replica: "a", Cell: 0, Zone: 1}, Endpoint{Replica: "b", Cell: 1, Zone: 0})
	for range 20 {
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if s.Replica != "b" {
			t.Fatal("a tie left the own zone")
		}
		onlyAction[Answer](h, h.end(s, 0, OK, 100*ms))
	}
}

func TestTurn_SameEventsSameActions(t *testing.T) {
	run := func() (actions []Action) {
		h := newHarness(t, testSettings())
		for i := range 30 {
			_, ev := h.query(0, 1+i%3)
			got := h.turn(ev...)
			actions = append(actions, got...)
			h.now += 40 * ms
			for _, s := range actionsOf[Send](got) {
				actions = append(actions, h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: AttemptResult(i % 3)})...)
			}
		}
		return actions
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestNew_InvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":   func(s *Settings) { s.Classes = nil },
		"no cells":     func(s *Settings) { s.Cells = 0 },
		"no instances": func(s *Settings) { s.Instances = 0 },
		"no attempts":  func(s *Settings) { s.MaxAttempts = 0 },
		"no tick":      func(s *Settings) { s.Tick = 0 },
		"no aim":       func(s *Settings) { s.Classes[0].Objective = 0 },
		"need over 1":  func(s *Settings) { s.Classes[0].CompleteFraction = 2 },
		"budget under": func(s *Settings) { s.Rules.RetryBudgetRatio = -1 },
		"asked before": func(s *Settings) { s.Rules.MaxListAge = -time.Second },
	} {
		settings := testSettings()
		spoil(&settings)
		if _, err := New(settings); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestAdmit_JammedShardRejects(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(20, 100*ms)
	jam := func(parts int) {
		for _, s := range h.b.servers {
			s.Recent, s.InFlight = []float64{2e6, 2e6}, make([]time.Duration, parts)
			for i := range s.InFlight {
				s.InFlight[i] = h.now
			}
		}
	}
	jam(4)
	id, ev := h.query(0, 1)
	if r := onlyAction[Reject](h, h.turn(ev...)); r.Query != id {
		t.Errorf("refused %d, want %d", r.Query, id)
	}
	jam(0) // the same times with nothing in hand are old news
	_, ev = h.query(0, 1)
	onlyAction[Send](h, h.turn(ev...))
}

func TestChoose_SlowServerGetsHalfOpenRequestsOnly(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	slow := h.b.servers["a"]
	slow.Recent = []float64{900e3, 900e3, 900e3, 900e3}
	slow.NextHalfOpen = h.now + time.Hour
	for range 9 {
		_, ev := h.query(0, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); s.Replica == "a" {
			t.Fatal("a part went to a slow server")
		}
	}
	slow.NextHalfOpen = 0
	_, ev := h.query(0, 1)
	if s := onlyAction[Send](h, h.turn(ev...)); s.Replica != "a" {
		t.Error("a slow server is never tried again")
	}
}

func TestChoose_SlowServerStaysOutAmongTheUnhealthy(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	slow := h.b.servers["a"]
	slow.Recent = []float64{900e3, 900e3, 900e3, 900e3}
	for _, s := range h.b.servers {
		s.NextHalfOpen = h.now + time.Hour
		if s != slow {
			s.Penalty = 2
		}
	}
	_, ev := h.query(0, 3)
	for _, s := range actionsOf[Send](h.turn(ev...)) {
		if s.Replica == "a" {
			t.Error("a part went to the slow server")
		}
	}
}

func TestAttempts_CanceledOneShowsSlowness(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(40, 100*ms)
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	srv := h.b.servers[s.Replica]
	r := srv.Latency
	h.end(s, 0, Canceled, 800*ms)
	if last := srv.Recent[len(srv.Recent)-1]; last != 800e3 || srv.Latency <= r {
		t.Errorf("last time %v, R %v after %v: a censored time counts", last, srv.Latency, r)
	}
	_, ev = h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	before := len(h.b.servers[s.Replica].Recent)
	h.end(s, 0, Canceled, 20*ms)
	if srv := h.b.servers[s.Replica]; len(srv.Recent) != before || slices.Contains(srv.Recent, 20e3) {
		t.Error("a short attempt called off counts as a quick answer")
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
		t.Error("with unsafe classes only, a doubted server never came back")
	}
}

func TestTurn_TimerWithALongObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Objective, settings.Classes[0].Deadline, settings.Classes[0].OverdueFraction = time.Minute, 2*time.Minute, 0.5
	h := newHarness(t, settings)
	_, ev := h.query(0, 1)
	if w := onlyAction[StartTimer](h, h.turn(ev...)); w.After > 15*ms {
		t.Errorf("next look after %v: a query could outlive its time", w.After)
	}
}

func TestTurn_RecentAnswersAreBounded(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(200, 100*ms)
	if n := len(h.b.fleet.RecentAnswers); n > 21 {
		t.Errorf("%d answers remembered after a calm stretch, 2 s hold 20", n)
	}
}

// At n = 80 one query's own parts are no sign of a full fleet.
func TestAdmit_OneOfManyDoesNotRejectItsOwnQuery(t *testing.T) {
	for _, n := range []int{1, 80} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		h.serve(40, 100*ms)
		h.b.fleet.Mean, h.b.fleet.Deviation = 400e3, 200e3 // crowded a while ago
		for _, s := range h.b.servers {
			s.ReportedAt, s.ReportedInFlight = h.now, 1
		}
		_, ev := h.query(0, 3)
		if got := len(actionsOf[Send](h.turn(ev...))); got != 3 {
			t.Errorf("n = %d: %d of 3 parts sent to an idle fleet", n, got)
		}
	}
}

// One own part must not drown a reported queue: at n = 80 the rank would count it as 80 parts.
func TestRank_OwnRequestDoesNotOutweighALoadReport(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings)
	a, b := h.b.servers["a"], h.b.servers["b"]
	for _, s := range []*server{a, b} {
		s.Measured, s.ReportedAt, s.Latency, s.ServiceTime = true, h.now, 100e3, 100e3
	}
	a.InFlight, b.Queue = []time.Duration{0}, 20
	if h.b.rank(a) >= h.b.rank(b) {
		t.Error("one own part outranks a queue of twenty")
	}
}

// Refusing brings no answers; without word from anyone it must end by itself.
func TestAdmit_RejectionsForgetTheJam(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings)
	h.serve(40, 100*ms)
	h.b.fleet.Mean, h.b.fleet.Deviation = 2e6, 1e6
	_, ev := h.query(0, 3)
	if len(actionsOf[Reject](h.turn(ev...))) != 1 {
		t.Fatal("a query was begun where answers take twice its aim")
	}
	for range 20 {
		_, ev = h.query(0, 3)
		if len(actionsOf[Send](h.turn(ev...))) == 3 {
			return
		}
	}
	t.Error("20 queries refused in a row: nothing lets one through to see")
}

// A later try may have more time left than a first one, which then must not count as late.
func TestQuery_LongerRetryDoesNotAgeFirstAttempts(t *testing.T) {
	for _, marks := range []bool{true, false} {
		settings := testSettings()
		settings.ClientsMarkRetries = marks
		h := newHarness(t, settings)
		first := Query{Group: 1, TimeLeft: 2 * time.Second}
		again := Query{Group: 2, TimeLeft: 2500 * ms, IsRetry: marks}
		for range 5 {
			if w := h.b.timeSpent(first); w != 0 {
				t.Errorf("marked %v: a first try has waited %v", marks, w)
			}
		}
		if w := h.b.timeSpent(again); w != 500*ms {
			t.Errorf("marked %v: a try with 2.5 of 3 s left has waited %v, want 0.5 s", marks, w)
		}
		if w := h.b.timeSpent(first); w != 0 {
			t.Errorf("marked %v: a first try has waited %v after a longer one", marks, w)
		}
	}
}

// A new query asks its replicas for a report and waits for it, but not for one that does not come.
func TestProbe_NewQueryProbesItsReplicas(t *testing.T) {
	settings := testSettings()
	settings.CanProbe, settings.LoadReportsOnProbe = true, true
	h := newHarness(t, settings)
	h.b.probeTokens = 1
	_, ev := h.query(0, 3)
	actions := h.turn(ev...)
	probes := actionsOf[Probe](actions)
	if len(probes) != 1 {
		t.Fatalf("want one probe, got %v", actions)
	}
	h.wantNone(actions, "send before the report", len(actionsOf[Send](actions)))
	h.now += 5 * ms
	actions = h.turn(ProbeEnded{Replica: probes[0].Replica, Result: OK, Report: &LoadReport{Queue: -1, InFlight: 9, Utilization: -1}})
	for _, s := range actionsOf[Send](actions)[:2] {
		if s.Replica == probes[0].Replica {
			t.Error("the replica that reports nine parts in hand was not passed over")
		}
	}
	h.now += time.Second
	h.b.probeTokens = 1
	_, ev = h.query(0, 3)
	h.turn(ev...)
	h.now += 30 * ms
	if n := len(actionsOf[Send](h.turn(TimerFired{}))); n == 0 {
		t.Error("still waiting for a report that does not come")
	}
}

// Two servers die under a query before any part came back: it ends, and its class sends one part ahead.
func TestCrash_QueryThatCrashesServersEnds(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	settings.Classes = append(settings.Classes, settings.Classes[0])
	h := newHarness(t, settings)
	h.serve(10, 100*ms)
	id, ev := h.query(0, 3)
	sends := actionsOf[Send](h.turn(ev...))
	for i, s := range sends[:2] {
		h.now += 5 * ms
		actions := h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: Reset, Elapsed: 50 * ms})
		if p := onlyAction[Probe](h, actions); p.Replica != s.Replica {
			t.Fatalf("asked %s whether it lives, want %s", p.Replica, s.Replica)
		}
		h.wantNone(actions, "part sent again before the server was asked", len(actionsOf[Send](actions)))
		h.now += 5 * ms
		actions = h.turn(ProbeEnded{Replica: s.Replica, Result: ConnectFailed})
		if over := len(actionsOf[Reject](actions)); over != i {
			t.Fatalf("refused %d times after %d deaths", over, i+1)
		} else if over == 1 && onlyAction[Reject](h, actions).Query != id {
			t.Error("another query was refused")
		}
	}
	_, ev = h.query(0, 3)
	ahead := onlyAction[Send](h, h.turn(ev...))
	if n := len(actionsOf[Send](h.end(ahead, 0, OK, 20*ms))); n != 2 {
		t.Errorf("%d parts sent once the one ahead came back, want 2", n)
	}
	_, ev = h.query(1, 3)
	if n := len(actionsOf[Send](h.turn(ev...))); n != 3 {
		t.Errorf("%d of 3 parts of another class sent at once", n)
	}
}

// Connections break, but the servers live: answers are lost, and the query is innocent.
func TestCrash_LostAnswersAreNoCrashes(t *testing.T) {
	settings := testSettings()
	settings.CanProbe = true
	h := newHarness(t, settings)
	h.serve(10, 100*ms)
	_, ev := h.query(0, 3)
	for _, s := range actionsOf[Send](h.turn(ev...))[:2] {
		h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: Reset, Elapsed: 50 * ms})
		actions := h.turn(ProbeEnded{Replica: s.Replica, Result: OK})
		if len(actionsOf[Reject](actions)) > 0 || len(actionsOf[Send](actions)) != 1 {
			t.Errorf("want the part sent again, got %v", actions)
		}
	}
}

// A server that refuses connections draws nothing for a spell, which grows.
func TestChoose_DownServerIsAvoided(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 100*ms)
	down := h.b.servers["a"]
	for _, s := range h.b.servers {
		s.avoidUntil = h.now + time.Hour
	}
	down.avoidUntil = h.now
	var spells []time.Duration
	_, ev := h.query(0, 1)
	for try := range 2 {
		s := onlyAction[Send](h, h.turn(ev...))
		actions := h.end(s, try, ConnectFailed, 5*ms)
		h.wantNone(actions, "send to a server just found down", len(actionsOf[Send](actions)))
		spells = append(spells, down.avoidUntil-h.now)
		down.avoidUntil, ev = 0, nil
	}
	if spells[0] <= 0 || spells[1] <= spells[0] {
		t.Errorf("kept off for %v, want a spell that grows", spells)
	}
}

// attemptsInOrder returns the attempts in flight in the order in which they were sent.
func attemptsInOrder(b *Balancer) []*attempt {
	return slices.SortedFunc(maps.Values(b.attempts), func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(x.part.ID, y.part.ID))
	})
}

// Rule 4: however many gatherers there are, together they keep to the stated multiple of a cold server's
// capacity in every window, and do not starve it.
func TestSlowStart_ManyBalancersDoNotOverloadAServer(t *testing.T) {
	const work = 100 * ms
	for _, c := range []struct {
		n         int
		from, tip float64
		window    time.Duration
	}{{1, 0.2, 2, 2 * time.Second}, {80, 0.2, 2, 2 * time.Second}, {79, 0.17, 3, 2 * time.Second},
		{73, 0.22, 2, 2 * time.Second}, {68, 0.18, 4, time.Second}} {
		n, settings := c.n, testSettings()
		settings.Rules.WarmupMinCapacity, settings.Rules.OverloadMultiple, settings.Rules.OverloadPeriod = c.from, c.tip, c.window
		settings.Instances, settings.Cells, settings.Reach = n, 1, 1
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
			b.fleet.Mean, b.fleet.Deviation = micros(work), 0
			all = append(all, b)
		}
		var sent []time.Duration
		id := ID(0)
		for now := start; now < start+settings.Rules.WarmupPeriod; now += work / 2 {
			for _, b := range all {
				var events []Event
				for _, a := range attemptsInOrder(b) {
					if now-a.sent >= work {
						events = append(events, AttemptEnded{Part: a.part.ID, Attempt: a.number, Replica: "a", Result: OK, Elapsed: work})
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
			t.Errorf("n = %d: a cold server draws nothing", n)
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

// n gatherers try a bad server: each leaves it the longer, the more there are.
func TestChoose_HalfOpenRequestsAreSpacedByInstances(t *testing.T) {
	var gaps []time.Duration
	for _, n := range []int{2, 80} {
		settings := testSettings()
		settings.Instances = n
		h := newHarness(t, settings)
		h.serve(30, 100*ms)
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		h.end(s, 0, Failed, 2*ms)
		gaps = append(gaps, h.b.servers[s.Replica].NextHalfOpen-h.now)
	}
	if gaps[0] <= 0 || gaps[1] < 4*gaps[0] {
		t.Errorf("trials after %v: at n = 80 each must wait over four times as long as at 2", gaps)
	}
}

// A part called off late, at a server that showed nothing since or was outrun, leaves doubt like a failure.
func TestHedge_CanceledOverdueAttemptLeavesAPenalty(t *testing.T) {
	h := newHarness(t, testSettings())
	s, c := h.hedged()
	tokens := h.b.hedgeTokens
	h.now += 50 * ms
	h.turn(AttemptEnded{Part: s.Part, Attempt: 1, Replica: c.Replica, Result: OK, Elapsed: 50 * ms})
	if h.b.hedgeTokens != tokens+1 {
		t.Errorf("tokens %v -> %v: a copy that answers first pays for the next", tokens, h.b.hedgeTokens)
	}
	h.end(s, 0, Canceled, 5*ms)
	if d := h.b.servers[s.Replica].Penalty; d < 1 {
		t.Errorf("doubt %v in a server that lost a part", d)
	}
	_, ev := h.query(0, 1)
	s = onlyAction[Send](h, h.turn(ev...))
	h.end(s, 0, Canceled, 20*ms)
	if d := h.b.servers[s.Replica].Penalty; d != 0 {
		t.Errorf("doubt %v after an early call-off", d)
	}
}

// Where fewer parts make an answer, admission does not wait for the slowest of all.
func TestAdmit_CountsOnlyNeededParts(t *testing.T) {
	settings := testSettings()
	settings.Instances = 60
	for _, c := range []struct {
		floor float64
		sends int
	}{{1, 0}, {0.8, 30}} {
		settings.Classes[0].MinFraction, settings.Classes[0].PartialFraction, settings.Classes[0].OverdueFraction = c.floor, 0.9, 0.3
		h := newHarness(t, settings)
		h.serve(20, 100*ms)
		h.b.fleet.Mean, h.b.fleet.Deviation, h.b.meanWeight, h.b.meanParts = 320e3, 130e3, 1, 30
		_, ev := h.query(0, 30)
		if n := len(actionsOf[Send](h.turn(ev...))); n != c.sends {
			t.Errorf("floor %v: %d parts sent, want %d", c.floor, n, c.sends)
		}
	}
}

// The last answers of a wide query are its slowest: they may not stand for all.
func TestLatency_WideQueryDoesNotOutweighOthers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(80, 100*ms)
	_, ev := h.query(0, 60)
	sends := actionsOf[Send](h.turn(ev...))
	for i, s := range sends {
		h.now += 10 * ms
		if i == 40 {
			h.now += 300 * ms
		}
		h.turn(AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK})
	}
	if len(sends) != 60 || h.b.fleet.Mean > 400e3 {
		t.Errorf("%d parts; mean %.0f us, of many queries of 100 ms and one of 10 to 900 ms", len(sends), h.b.fleet.Mean)
	}
}

func twoZones() []Endpoint {
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{Replica: Replica(rune('a' + i)), Cell: i % 3, Zone: i % 2})
	}
	return list
}

// All of a zone's servers look slow: it is the way. They are left together, and one part tries the way.
func TestPath_SlowOneIsAvoidedAsAWhole(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	h.b.paths[1].MinLatency = 1.5e6
	h.turn(TimerFired{})
	if h.b.paths[1].Usable() || h.b.fleet.MedianServiceTime > 200e3 {
		t.Fatalf("way fit %v, median %v", h.b.paths[1].Usable(), h.b.fleet.MedianServiceTime)
	}
	h.b.paths[1].NextHalfOpen = h.now + time.Hour
	_, ev := h.query(0, 6)
	far := func() (n int) {
		for _, s := range actionsOf[Send](h.turn(ev...)) {
			n += h.b.servers[s.Replica].zone
		}
		return n
	}
	if n := far(); n != 0 {
		t.Errorf("%d parts over a slow way", n)
	}
	h.b.paths[1].NextHalfOpen = 0
	_, ev = h.query(0, 6)
	if n := far(); n != 1 {
		t.Errorf("%d parts try the way, want 1", n)
	}
}

// The last answers of a wide query are its slowest: they do not make a way slow, unless all are.
func TestPath_SlowPartsDoNotMakeItSlow(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	far := h.b.servers["b"]
	h.b.fleet.RecordAnswer(&far.Server, h.now, 100e3, 40)
	for range 12 {
		h.b.fleet.RecordAnswer(&far.Server, h.now, 600e3, 40)
	}
	if h.turn(TimerFired{}); !far.Path.Usable() {
		t.Error("a few slow parts made the way slow")
	}
	for range 40 {
		h.b.fleet.RecordAnswer(&far.Server, h.now, 1.5e6, 40)
	}
	if h.turn(TimerFired{}); far.Path.Usable() {
		t.Error("every answer takes long, and the way is still used")
	}
}

// Failures count against a way only while they outnumber what is still out there; any word from there clears it.
func TestPath_FewFastFailuresDoNotCloseIt(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	way, s := h.b.paths[1], h.b.servers["b"]
	way.InFlight = make([]time.Duration, 20)
	for range 4 {
		s.RecordClassFailure(0, h.now, h.now, h.b.halfOpenDelay())
	}
	if !way.Usable() {
		t.Error("four failures with twenty parts out closed the way")
	}
	if way.InFlight = nil; way.Usable() {
		t.Error("four failures and nothing out: the way must be left")
	}
	h.b.fleet.RecordAnswer(&s.Server, h.now, 100e3, 1)
	if !way.Usable() {
		t.Error("an answer must open the way")
	}
}

// With many gatherers a trial is due at every doubted server when a wide query comes: it carries one.
func TestChoose_QueryCarriesOneHalfOpenRequest(t *testing.T) {
	h := newHarness(t, testSettings(), twoZones()...)
	h.serve(60, 100*ms)
	for i, s := range h.b.endpoints {
		if i < 6 {
			s.Penalty, s.NextHalfOpen = 1, 0
		}
	}
	_, ev := h.query(0, 6)
	trials := 0
	for _, s := range actionsOf[Send](h.turn(ev...)) {
		if h.b.servers[s.Replica].Penalty > 0 {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("%d parts of one query went to doubted servers, want 1", trials)
	}
}

// One of many gatherers gives a cold server its part of what it sends itself, whatever 1/n of the budget allows:
// else the caution of all starves the server, as most gatherers send little.
func TestSlowStart_ServerGetsItsPartOfTheFlow(t *testing.T) {
	settings := testSettings()
	settings.Instances, settings.CanHedge = 80, false
	h := newHarness(t, settings)
	h.serve(600, 50*ms)
	h.turn(EndpointList{Kind: ListDelta, Endpoints: []Endpoint{{Replica: "a", Cell: 0, Started: h.now}}})
	start, sends := h.now, 0
	for h.now < start+4*time.Second {
		for _, name := range []Replica{"b", "c"} {
			s := h.b.servers[name]
			s.Queue, s.ReportedAt = 3, h.now // the warm are busy
		}
		_, ev := h.query(0, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		if s.Replica == "a" {
			sends++
		}
		h.end(s, 0, OK, 50*ms)
	}
	// 20 parts a second, 10 at a warm server; 0.2 to 0.5 of 1.8 times that for 4 s are 25 parts. 1/n alone is one.
	if sends < 7 || sends > 30 {
		t.Errorf("%d parts went to the cold server, want about 25", sends)
	}
}

// A cold replica that may not be sent a part now is no reason to begin a query.
func TestAdmit_ReplicaWarmingUpWithoutCapacityIsNotOpen(t *testing.T) {
	settings := testSettings()
	settings.Instances = 80
	h := newHarness(t, settings, Endpoint{Replica: "a", Cell: 0, Started: 100 * time.Second})
	h.b.servers["a"].SlowStart.FirstSendThreshold = 1
	_, ev := h.query(0, 1)
	if actions := h.turn(ev...); len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Send](actions)) != 0 {
		t.Errorf("want a refusal at once, got %v", actions)
	}
}

// Parts that a whole answer does not need wait in reserve, and no further attempt is spent on them.
func TestQuery_PartsNotNeededWaitInReserve(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].CompleteFraction, settings.Classes[0].MinFraction = 0.6, 0.6
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	id, ev := h.query(0, 10)
	sends := actionsOf[Send](h.turn(ev...))
	if len(sends) != 6 {
		t.Fatalf("%d of 10 parts sent at once, want the 6 that are needed", len(sends))
	}
	h.now += 10 * ms
	actions := h.turn(AttemptEnded{Part: sends[0].Part, Replica: sends[0].Replica, Result: Failed})
	next := onlyAction[Send](h, actions)
	if next.Part == sends[0].Part {
		t.Error("the failed part was sent again with others unsent")
	}
	var events []Event
	for _, s := range append(sends[1:], next) {
		events = append(events, AttemptEnded{Part: s.Part, Replica: s.Replica, Result: OK})
	}
	h.now += 50 * ms
	if a := onlyAction[Answer](h, h.turn(events...)); a.Query != id || !a.Complete {
		t.Errorf("answer %v", a)
	}
}

// A query under which servers died comes again with its key: it is refused before it costs more servers.
func TestCrash_RetryOfACrashingQueryIsRejected(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(10, 100*ms)
	id, ev := h.query(0, 3)
	keyed := func() {
		q := ev[0].(Query)
		q.Key = "k"
		ev[0] = q
	}
	keyed()
	var died []Event
	for _, s := range actionsOf[Send](h.turn(ev...)) {
		died = append(died, AttemptEnded{Part: s.Part, Replica: s.Replica, Result: Reset})
	}
	h.now += 50 * ms
	if r := onlyAction[Reject](h, h.turn(died...)); r.Query != id {
		t.Fatalf("refused %v", r)
	}
	h.now += 500 * ms
	id, ev = h.query(0, 3)
	keyed()
	if actions := h.turn(ev...); onlyAction[Reject](h, actions).Query != id || len(actionsOf[Send](actions)) > 0 {
		t.Errorf("the repeat was begun: %v", actions)
	}
	h.now += time.Minute
	_, ev = h.query(0, 3)
	keyed()
	if len(actionsOf[Send](h.turn(ev...))) == 0 {
		t.Error("the key is never served again")
	}
}

// A first step that waits for its last part until the aim leaves the second step none.
func TestQuery_FirstStepLeavesTimeForTheSecond(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].MinFraction, settings.Classes[0].PartialFraction, settings.Classes[0].OverdueFraction, settings.Classes[0].FollowUpParts = 0.5, 0.9, 0.1, 3
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serveFirst(60)
	id, ev := h.query(0, 3)
	start := h.now
	sends := actionsOf[Send](h.turn(ev...))
	h.now += 100 * ms
	h.turn(AttemptEnded{Part: sends[0].Part, Replica: sends[0].Replica, Result: OK},
		AttemptEnded{Part: sends[1].Part, Replica: sends[1].Replica, Result: OK})
	for h.now < start+time.Second {
		h.now += 10 * ms
		if a := actionsOf[Answer](h.turn(TimerFired{})); len(a) > 0 {
			if left := start + time.Second - h.now; a[0].Query != id || a[0].Complete || left < 100*ms {
				t.Errorf("answer %v with %v left for the second step", a[0], left)
			}
			return
		}
	}
	t.Error("no answer from two of three parts before the aim")
}

// serveFirst runs n one-part queries through both steps, 100 ms each.
func (h *harness) serveFirst(n int) {
	h.Helper()
	for range n {
		id, ev := h.query(0, 1)
		onlyAction[Answer](h, h.end(onlyAction[Send](h, h.turn(ev...)), 0, OK, 100*ms))
		h.next++
		s := onlyAction[Send](h, h.turn(Part{ID: h.next, Group: uint64(id), Weight: 1}))
		onlyAction[Answer](h, h.end(s, 0, OK, 100*ms))
		h.next++
	}
}

// Where only one attempt may be out, the late part of a quiet server is a heavy one and stays: it would be late
// elsewhere too. Only a server that shows nothing for twice as long loses it.
func TestHedge_HeavyPartIsNotCanceled(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	h.b.fleet.Mean, h.b.fleet.Deviation = 150e3, 80e3 // late is 390 ms
	_, ev := h.query(0, 1)
	s := onlyAction[Send](h, h.turn(ev...))
	h.now += 600 * ms
	actions := h.turn(TimerFired{})
	h.wantNone(actions, "early call-off", len(actionsOf[Cancel](actions)))
	h.now += 200 * ms
	if c := onlyAction[Cancel](h, h.turn(TimerFired{})); c.Part != s.Part {
		t.Errorf("called off %v", c)
	}
}

// What was reported long ago says little: it goes toward the mean of all.
func TestRank_OldLoadReportCountsLess(t *testing.T) {
	h := newHarness(t, testSettings())
	for i, name := range []Replica{"a", "b", "c"} {
		s := h.b.servers[name]
		s.Measured, s.ReportedAt, s.Averages = true, h.now, estimate.Averages{Latency: 100e3, ServiceTime: 100e3, Queue: float64(9 * i)}
	}
	h.turn(TimerFired{})
	if q := h.b.fleet.AveragesOf(&h.b.servers["c"].Server, h.now).Queue; q != 18 {
		t.Errorf("q %v just after a report of 18", q)
	}
	h.now += 10 * time.Second
	h.turn(TimerFired{})
	if q := h.b.fleet.AveragesOf(&h.b.servers["c"].Server, h.now).Queue; q < 9 || q > 10 {
		t.Errorf("q %v ten aims after a report of 18, want the mean of 9", q)
	}
}

// Many parts are out on a way and nothing comes from there: it is left before any of them is late by itself, and
// they move. A few slow ones are no sign.
func TestPath_OneThatTakesAllPartsIsAvoidedEarly(t *testing.T) {
	for _, c := range []struct {
		parts  int
		silent bool
	}{{suspicion.MaxTypicalOverdue, true}, {3, false}} {
		settings := testSettings()
		settings.CanHedge = false
		h := newHarness(t, settings, twoZones()...)
		h.serve(60, 100*ms)
		h.b.fleet.Mean, h.b.fleet.Deviation, h.b.hedgeTokens = 100e3, 50e3, maxHedgeTokens
		h.now += time.Millisecond
		for _, s := range h.b.endpoints {
			s.avoidUntil = h.now // all may be sent to
			if s.zone == 0 {
				s.avoidUntil = h.now + time.Hour
			}
		}
		_, ev := h.query(0, c.parts)
		if n := len(actionsOf[Send](h.turn(ev...))); n != c.parts {
			t.Fatalf("%d of %d parts sent", n, c.parts)
		}
		for _, s := range h.b.endpoints {
			s.avoidUntil = 0
		}
		h.now += 160 * ms
		h.turn(TimerFired{})
		if h.b.paths[1].Usable() == c.silent {
			t.Errorf("%d parts out, none answered: way fit %v", c.parts, h.b.paths[1].Usable())
		}
		h.now += 10 * ms
		if n := len(h.b.attempts); c.silent && !slices.ContainsFunc(attemptsInOrder(h.b), func(a *attempt) bool { return a.canceled }) {
			t.Errorf("none of %d parts is moved", n)
		}
	}
}

// Both replicas of a shard report more parts than they can serve in an aim, whatever the fleet's state: the shard is
// closed until they may have served them.
func TestAdmit_CrowdedShardIsClosedForAWhile(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(60, 100*ms)
	for _, s := range h.b.endpoints {
		h.b.recordLoad(s, &LoadReport{Queue: 40, InFlight: 42})
	}
	_, ev := h.query(0, 1)
	if actions := h.turn(ev...); len(actionsOf[Reject](actions)) != 1 || len(actionsOf[Send](actions)) > 0 {
		t.Errorf("want a refusal at once, got %v", actions)
	}
	h.now += 3 * time.Second
	_, ev = h.query(0, 1)
	onlyAction[Send](h, h.turn(ev...))
}

// Rule 6 at every moment of a long bad spell: in any window the attempts beyond each part's first stay within the free
// ones and the share of queries and parts taken in it, parts of a second step and second copies included.
func TestRetry_BudgetHoldsInEveryWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].FollowUpParts, settings.Classes[0].OverdueFraction = 2, 0.3
	settings.Rules.RetryBudgetWindow, settings.Rules.RetryBudgetBase, settings.Rules.RetryBudgetRatio = 2*time.Second, 3, 0.1
	settings.MaxAttempts = 4
	h := newHarness(t, settings)
	var took, further []time.Duration
	tries := map[ID]int{}
	var pending []AttemptEnded
	second := map[ID]bool{}
	var next []Event
	turn := func(events ...Event) {
		for _, e := range events {
			switch e.(type) {
			case Query, Part:
				took = append(took, h.now)
			}
		}
		for _, action := range h.turn(events...) {
			var s Send
			switch action := action.(type) {
			case Send:
				s = action
			case Hedge:
				s = Send(action)
			case Answer: // of a first step: its second brings two parts
				if !second[action.Query] {
					second[action.Query] = true
					for range 2 {
						next = append(next, Part{ID: h.next, Group: uint64(action.Query), Weight: 0.5})
						h.next++
					}
				}
				continue
			default:
				continue
			}
			if tries[s.Part]++; tries[s.Part] > 1 {
				further = append(further, h.now)
				n, k := 0.0, 0.0
				for _, at := range further {
					if at >= h.now-settings.Rules.RetryBudgetWindow {
						n++
					}
				}
				for _, at := range took {
					if at > h.now-settings.Rules.RetryBudgetWindow {
						k++
					}
				}
				if n > settings.Rules.RetryBudgetBase+settings.Rules.RetryBudgetRatio*k {
					t.Fatalf("%v further attempts within a window that took %v", n, k)
				}
			}
			result := OK
			if h.b.rng.Float64() < 0.5 {
				result = Failed
			}
			pending = append(pending, AttemptEnded{Part: s.Part, Attempt: tries[s.Part] - 1, Replica: s.Replica, Result: result})
		}
	}
	for i := range 600 {
		h.now += 20 * ms
		var events []Event
		if i%4 == 0 {
			_, events = h.query(0, 3)
		}
		events = append(events, next...)
		for _, o := range pending {
			events = append(events, o)
		}
		pending, next = nil, nil
		turn(events...)
	}
	if len(further) < 12 {
		t.Errorf("only %d further attempts in 12 s: the budget is there to be used", len(further))
	}
}

// twoClasses: class 1 is like class 0, or unsafe.
func twoClasses(e Idempotency) Settings {
	settings := testSettings()
	settings.CanHedge = false
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Idempotency = e
	return settings
}

// A server that loses one class of queries and serves the others: a late part of that class is called off though
// others are answered, and the class goes elsewhere.
func TestChoose_ServerThatLosesOneClass(t *testing.T) {
	h := newHarness(t, twoClasses(Idempotent))
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 4
	bad := h.b.servers["a"]
	var lost Send
	for lost.Replica != "a" {
		_, ev := h.query(0, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); s.Replica == "a" {
			lost = s
		} else {
			h.end(s, 0, OK, 100*ms)
		}
	}
	other := func() (sent bool) {
		_, ev := h.query(1, 1)
		s := onlyAction[Send](h, h.turn(ev...))
		h.end(s, 0, OK, 100*ms)
		return s.Replica == "a"
	}
	var calledOff []Cancel
	for i := 0; len(calledOff) == 0 && i < 20; i++ {
		bad.LastSuccess = h.now // it answers the other class all the time
		_, ev := h.query(1, 1)
		actions := h.turn(ev...)
		actions = append(actions, h.end(actionsOf[Send](actions)[0], 0, OK, 100*ms)...)
		calledOff = actionsOf[Cancel](actions)
	}
	if len(calledOff) != 1 || calledOff[0].Part != lost.Part {
		t.Fatalf("called off %v", calledOff)
	}
	h.turn(AttemptEnded{Part: lost.Part, Replica: "a", Result: Canceled})
	if bad.HealthyFor(0) || !bad.HealthyFor(1) {
		t.Errorf("doubt %v, of each class %+v", bad.Penalty, bad.PerClass)
	}
	found := false
	for range 20 {
		found = other() || found
	}
	if !found {
		t.Error("the class that it serves left it, too")
	}
}

// What may not run twice does not try a doubted server while other classes can.
func TestChoose_NonIdempotentPartsAreTheLastHalfOpenRequests(t *testing.T) {
	h := newHarness(t, twoClasses(NonIdempotent))
	h.serve(30, 100*ms)
	h.b.servers["a"].Penalty, h.b.servers["a"].NextHalfOpen = 1, h.now
	for _, class := range []int{1, 0} { // a trial is due
		_, ev := h.query(class, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); (s.Replica == "a") != (class == 0) {
			t.Errorf("class %d goes to %s", class, s.Replica)
		}
	}
}

// Where no replica is sound, one that loses the class comes after one that is slow.
func TestChoose_ReplicaThatLosesTheClassIsTheLastResort(t *testing.T) {
	h := newHarness(t, twoClasses(Idempotent))
	h.serve(40, 100*ms)
	for id, s := range h.b.servers {
		s.NextHalfOpen = h.now + time.Hour
		s.PerClass[0].NextHalfOpen = s.NextHalfOpen
		if id == "a" {
			s.Recent = []float64{900e3, 900e3, 900e3, 900e3}
		} else {
			s.PerClass[0].Penalty = 1
		}
	}
	for class, want := range []bool{true, false} {
		_, ev := h.query(class, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); (s.Replica == "a") != want {
			t.Errorf("class %d goes to %s", class, s.Replica)
		}
	}
}

// A part is called off though its server answers others of the class, once it is so late that it must be lost;
// what is lost is no load, and a call-off that pays earns the next.
func TestHedge_PartsLostAmongOthers(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 1
	_, ev := h.query(0, 1)
	lost := onlyAction[Send](h, h.turn(ev...))
	srv := h.b.servers[lost.Replica]
	calledAt := time.Duration(0)
	for sent := h.now; calledAt == 0 && h.now < sent+2*time.Second; h.now += 10 * ms {
		srv.LastSuccess, srv.PerClass[0].LastSuccess = h.now, h.now
		if len(actionsOf[Cancel](h.turn(TimerFired{}))) > 0 {
			calledAt = h.now - sent
		}
	}
	if late := h.b.fleet.Overdue(); micros(calledAt) < suspicion.LostFactor*late || micros(calledAt) > suspicion.LostFactor*late+20e3 {
		t.Errorf("called off after %v, late is %v", calledAt, duration(late))
	}
	if srv.Lost != 1 || srv.HealthyFor(0) {
		t.Errorf("%d parts are lost there, sound: %v", srv.Lost, srv.HealthyFor(0))
	}
	if r := h.b.rank(srv); r > 10*micros(100*ms) {
		t.Errorf("rank %v: a lost part counts as load", r)
	}
	doubt, tokens := srv.Penalty, h.b.hedgeTokens
	again := onlyAction[Send](h, h.turn(AttemptEnded{Part: lost.Part, Replica: lost.Replica, Result: Canceled}))
	if srv.Penalty != doubt || srv.PerClass[0].Penalty != 1 || again.Replica == lost.Replica {
		t.Errorf("doubt %v, with the class %v; again at %s", srv.Penalty, srv.PerClass[0].Penalty, again.Replica)
	}
	h.end(again, 1, OK, 100*ms)
	if h.b.hedgeTokens < tokens+1 {
		t.Errorf("%v tokens after %v", h.b.hedgeTokens, tokens)
	}
}

// A server that loses some answers is of use while the sound ones are busy, but not to what may not run twice,
// nor once it loses most.
func TestChoose_ServerThatLosesSomeAnswersHelpsTheBusy(t *testing.T) {
	for _, c := range []struct {
		loss   float64
		busy   int // parts in hand at the sound servers
		effect Idempotency
		want   bool
	}{{0.25, 8, Idempotent, true}, {0.25, 0, Idempotent, false}, {0.8, 8, Idempotent, false}, {0.25, 8, NonIdempotent, false}} {
		h := newHarness(t, twoClasses(c.effect))
		h.serve(60, 100*ms)
		for id, s := range h.b.servers {
			if id == "a" {
				s.PerClass[1].Penalty, s.PerClass[1].LossRate, s.PerClass[1].NextHalfOpen = 1, c.loss, h.now+time.Hour
				continue
			}
			for range c.busy {
				s.InFlight = append(s.InFlight, h.now)
			}
		}
		_, ev := h.query(1, 1)
		if s := onlyAction[Send](h, h.turn(ev...)); (s.Replica == "a") != c.want {
			t.Errorf("%+v: went to %s", c, s.Replica)
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

// Three hundred gatherers of thin traffic owe a cold server their part from its start on, though each owes it one in
// many seconds, and together no more than that. Guards against all beginning with nothing owed: then none sends any
// for so long, and the last warm holder of its shards gets them all.
func TestSlowStart_ServerIsNotStarvedByManyQuietBalancers(t *testing.T) {
	const gatherers = 300
	sends, late := 0, 0
	for i := range gatherers {
		settings := testSettings()
		settings.Instances, settings.Seed, settings.CanHedge = gatherers, uint64(i+1), false
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
