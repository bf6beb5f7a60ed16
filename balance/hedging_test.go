package balance

import (
	"testing"
	"time"

	"rooktrestle/internal/control/suspicion"
)

func TestHedge_NeverOfANonIdempotentPart(t *testing.T) {
	settings := testSettings()
	settings.Classes = append(settings.Classes, settings.Classes[0])
	settings.Classes[1].Idempotency = NonIdempotent
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	h.sendOnePart(1)
	h.now += 900 * ms
	actions := h.turn(TimerFired{})
	h.wantNone(actions, "copy", len(actionsOf[Hedge](actions))+len(actionsOf[Cancel](actions)))
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
		t.Errorf("canceled attempt %d, want 0", x.Attempt)
	}
}

func TestHedge_CancelsWhereHedgingIsNotAllowed(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	s := h.sendOnePart(0)
	for range 40 {
		h.now += 10 * ms
		actions := h.turn(TimerFired{})
		h.wantNone(actions, "attempt beside another", len(actionsOf[Send](actions))+len(actionsOf[Hedge](actions)))
		if len(actionsOf[Cancel](actions)) > 0 {
			if n := onlyAction[Send](h, h.end(s, 0, Canceled, 5*ms)); n.Replica == s.Replica {
				t.Errorf("sent again to the unresponsive server")
			}
			return
		}
	}
	t.Error("a part at an unresponsive server was never canceled")
}

// A part canceled late, at a server that showed nothing since or was outrun, leaves a penalty like a failure.
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
		t.Errorf("penalty %v in a server that lost a part", d)
	}
	s = h.sendOnePart(0)
	h.end(s, 0, Canceled, 20*ms)
	if d := h.b.servers[s.Replica].Penalty; d != 0 {
		t.Errorf("penalty %v after an early cancellation", d)
	}
}

// Where only one attempt may be in flight, the late part of a quiet server is a heavy one and stays: it would be late
// elsewhere too. Only a server that shows nothing for twice as long loses it.
func TestHedge_HeavyPartIsNotCanceled(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	// late is 390 ms
	h.b.fleet.Mean = 150e3
	h.b.fleet.Deviation = 80e3
	s := h.sendOnePart(0)
	h.now += 600 * ms
	actions := h.turn(TimerFired{})
	h.wantNone(actions, "early cancellation", len(actionsOf[Cancel](actions)))
	h.now += 200 * ms
	if c := onlyAction[Cancel](h, h.turn(TimerFired{})); c.Part != s.Part {
		t.Errorf("canceled %v", c)
	}
}

// A part is canceled though its server answers others of the class, once it is so late that it must be lost;
// what is lost is no load, and a call-off that pays earns the next.
func TestHedge_PartsLostAmongOthers(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 1
	lost := h.sendOnePart(0)
	srv := h.b.servers[lost.Replica]
	calledAt := time.Duration(0)
	for sent := h.now; calledAt == 0 && h.now < sent+2*time.Second; h.now += 10 * ms {
		srv.LastSuccess = h.now
		srv.PerClass[0].LastSuccess = h.now
		if len(actionsOf[Cancel](h.turn(TimerFired{}))) > 0 {
			calledAt = h.now - sent
		}
	}
	if late := h.b.fleet.Overdue(); micros(calledAt) < suspicion.LostFactor*late || micros(calledAt) > suspicion.LostFactor*late+20e3 {
		t.Errorf("canceled after %v, late is %v", calledAt, duration(late))
	}
	if srv.Lost != 1 || srv.HealthyFor(0) {
		t.Errorf("%d parts are lost there, healthy: %v", srv.Lost, srv.HealthyFor(0))
	}
	if r := h.b.rank(srv); r > 10*micros(100*ms) {
		t.Errorf("rank %v: a lost part counts as load", r)
	}
	penalty := srv.Penalty
	tokens := h.b.hedgeTokens
	again := onlyAction[Send](h, h.turn(AttemptEnded{Part: lost.Part, Replica: lost.Replica, Result: Canceled}))
	if srv.Penalty != penalty || srv.PerClass[0].Penalty != 1 || again.Replica == lost.Replica {
		t.Errorf("penalty %v, with the class %v; again at %s", srv.Penalty, srv.PerClass[0].Penalty, again.Replica)
	}
	h.end(again, 1, OK, 100*ms)
	if h.b.hedgeTokens < tokens+1 {
		t.Errorf("%v tokens after %v", h.b.hedgeTokens, tokens)
	}
}

// A part is not canceled at a server that is behind to be sent where nearly all parts are lost.
func TestHedge_PartIsNotCanceledForAnExcludedServer(t *testing.T) {
	for _, out := range []bool{true, false} {
		h := newFleetBench(t)
		if out {
			h = newFleetBench(t, "a", "b", "c")
		}
		h.b.hedgeTokens = 10
		s := h.sendOnePart(0)
		called := 0
		for range 160 {
			h.now += 5 * ms
			called += len(actionsOf[Cancel](h.turn(TimerFired{})))
		}
		if called > 0 == out {
			t.Errorf("excluded %v: %d calls back from %s", out, called, s.Replica)
		}
	}
}

// Nor is a part canceled at a server that lives, for another whose queue is long: it would wait there as long, and
// the first does its work all the same. Guards against two crowded replicas that finish only what was canceled.
func TestHedge_PartIsNotCanceledBetweenCrowdedServers(t *testing.T) {
	for _, c := range []struct {
		queue float64
		calls bool
	}{
		{queue: 15, calls: false},
		{queue: 0, calls: true},
	} {
		h := newFleetBench(t, "a", "b")
		h.b.hedgeTokens = 10
		h.begin(newQuery{parts: 1})
		called := 0
		for range 120 {
			h.now += 5 * ms
			for _, s := range h.b.servers {
				s.Queue = c.queue
				s.ReportedAt = h.now
			}
			called += len(actionsOf[Cancel](h.turn(TimerFired{})))
		}
		if called > 0 != c.calls {
			t.Errorf("queues of %v: %d calls back", c.queue, called)
		}
	}
}

// What says nothing of being behind is left for one that is: its lateness is not explained by a queue. Guards parts sent
// across a cut that were in flight until their query's end, 1.33 s of 1.34, as the replicas on this side had long queues, or had
// been reported as such when messages still came.
func TestHedge_PartIsCanceledWhereNothingSaysWhyItIsLate(t *testing.T) {
	for _, c := range []struct {
		own, others float64
		long        bool // the others, by a message of long ago
		calls       bool
	}{
		{own: 0, others: 15, long: false, calls: true},
		{own: 15, others: 0, long: true, calls: true},
		{own: 15, others: 15, long: false, calls: false},
	} {
		h := newFleetBench(t)
		h.b.hedgeTokens = 10
		at := h.sendOnePart(0).Replica
		called := 0
		for range 120 {
			h.now += 5 * ms
			for id, s := range h.b.servers {
				s.ReportedAt = h.now
				s.Queue = c.others
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
