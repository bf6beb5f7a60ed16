package balance

import (
	"testing"
	"time"

	"rooktrestle/internal/control/estimate"
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
	h.wantNone(actions, "hedged request or cancellation", countOf[Hedge](actions)+countOf[Cancel](actions))
}

func TestHedge_OverdueIdempotentPartOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	send, hedge := h.hedged()
	if hedge.Replica == send.Replica {
		t.Errorf("both attempts at %s", send.Replica)
	}
	h.now += 50 * ms
	actions := h.turn(AttemptEnded{Part: send.Part, Attempt: 1, Replica: hedge.Replica, Result: OK})
	onlyAction[Answer](h, actions)
	if cancel := onlyAction[Cancel](h, actions); cancel.Attempt != 0 {
		t.Errorf("canceled attempt %d, want 0", cancel.Attempt)
	}
}

func TestHedge_CancelsWhereHedgingIsNotAllowed(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	send := h.sendOnePart(0)
	for range 40 {
		h.now += 10 * ms
		actions := h.turn(TimerFired{})
		h.wantNone(actions, "second attempt of a part", countOf[Send](actions)+countOf[Hedge](actions))
		if countOf[Cancel](actions) > 0 {
			if retry := onlyAction[Send](h, h.end(send, 0, Canceled, 5*ms)); retry.Replica == send.Replica {
				t.Errorf("sent again to the unresponsive server")
			}
			return
		}
	}
	t.Error("an attempt at an unresponsive server was never canceled")
}

// An overdue attempt that is canceled counts as a failure of its server if the server has answered nothing
// since or was slower than the hedged request.
func TestHedge_CanceledOverdueAttemptLeavesAPenalty(t *testing.T) {
	h := newHarness(t, testSettings())
	send, hedge := h.hedged()
	tokens := h.b.hedgeTokens
	h.now += 50 * ms
	h.turn(AttemptEnded{Part: send.Part, Attempt: 1, Replica: hedge.Replica, Result: OK, Elapsed: 50 * ms})
	if h.b.hedgeTokens != tokens+1 {
		t.Errorf("tokens %v -> %v: a hedged request that is answered first must earn a token", tokens, h.b.hedgeTokens)
	}
	h.end(send, 0, Canceled, 5*ms)
	if penalty := h.b.servers[send.Replica].Penalty; penalty < 1 {
		t.Errorf("penalty %v of a server that lost a part", penalty)
	}
	send = h.sendOnePart(0)
	h.end(send, 0, Canceled, 20*ms)
	if penalty := h.b.servers[send.Replica].Penalty; penalty != 0 {
		t.Errorf("penalty %v after an early cancellation", penalty)
	}
}

// Without hedging, an overdue part is not canceled at first: it is probably an expensive one that would be
// overdue elsewhere too. Only after twice the overdue time without any answer from the server is it canceled.
func TestHedge_HeavyPartIsNotCanceled(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	// Attempts are overdue after 390 ms.
	h.b.fleet.Latency = estimate.Latency{Mean: 150e3, Deviation: 80e3}
	send := h.sendOnePart(0)
	h.now += 600 * ms
	actions := h.turn(TimerFired{})
	h.wantNone(actions, "early cancellation", countOf[Cancel](actions))
	h.now += 200 * ms
	if cancel := onlyAction[Cancel](h, h.turn(TimerFired{})); cancel.Part != send.Part {
		t.Errorf("canceled %v", cancel)
	}
}

// An attempt is canceled although its server answers others of the class once it is so long overdue that it
// must be lost. A lost part does not count as load, and a cancellation after which the part is answered
// elsewhere earns a token.
func TestHedge_PartsLostAmongOthers(t *testing.T) {
	settings := testSettings()
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	h.b.hedgeTokens = 1
	lost := h.sendOnePart(0)
	server := h.b.servers[lost.Replica]
	canceledAfter := time.Duration(0)
	for sent := h.now; canceledAfter == 0 && h.now < sent+2*time.Second; h.now += 10 * ms {
		server.LastSuccess = h.now
		server.PerClass[0].LastSuccess = h.now
		if countOf[Cancel](h.turn(TimerFired{})) > 0 {
			canceledAfter = h.now - sent
		}
	}
	lostAfter := suspicion.LostFactor * h.b.fleet.Overdue()
	if micros(canceledAfter) < lostAfter || micros(canceledAfter) > lostAfter+20e3 {
		t.Errorf("canceled after %v, lost after %v", canceledAfter, duration(lostAfter))
	}
	if server.Lost != 1 || server.HealthyFor(0) {
		t.Errorf("%d parts count as lost at the server, healthy: %v", server.Lost, server.HealthyFor(0))
	}
	if r := h.b.rank(server); r > 10*micros(100*ms) {
		t.Errorf("rank %v: a lost part counts as load", r)
	}
	penalty := server.Penalty
	tokens := h.b.hedgeTokens
	retry := onlyAction[Send](h, h.turn(endOf(lost, Canceled)))
	if server.Penalty != penalty || server.PerClass[0].Penalty != 1 || retry.Replica == lost.Replica {
		t.Errorf("penalty %v, of the class %v; sent again to %s",
			server.Penalty, server.PerClass[0].Penalty, retry.Replica)
	}
	h.end(retry, 1, OK, 100*ms)
	if h.b.hedgeTokens < tokens+1 {
		t.Errorf("%v tokens after %v", h.b.hedgeTokens, tokens)
	}
}

// An attempt at a server with a backlog is not canceled if the only other servers lose nearly all parts.
func TestHedge_PartIsNotCanceledForAnExcludedServer(t *testing.T) {
	for _, othersExcluded := range []bool{true, false} {
		h := newFleetHarness(t)
		if othersExcluded {
			h = newFleetHarness(t, "a", "b", "c")
		}
		h.b.hedgeTokens = 10
		send := h.sendOnePart(0)
		canceled := 0
		for range 160 {
			h.now += 5 * ms
			canceled += countOf[Cancel](h.turn(TimerFired{}))
		}
		if canceled > 0 == othersExcluded {
			t.Errorf("others excluded %v: %d cancellations at %s", othersExcluded, canceled, send.Replica)
		}
	}
}

// An attempt is not canceled at a responsive server if the other server has a long queue too: the part would
// wait there as long, and the first server does the work anyway. Guards against overloaded replicas that
// complete only canceled attempts.
func TestHedge_PartIsNotCanceledBetweenCrowdedServers(t *testing.T) {
	for _, test := range []struct {
		queue      float64
		isCanceled bool
	}{
		{queue: 15, isCanceled: false},
		{queue: 0, isCanceled: true},
	} {
		h := newFleetHarness(t, "a", "b")
		h.b.hedgeTokens = 10
		h.begin(newQuery{parts: 1})
		canceled := 0
		for range 120 {
			h.now += 5 * ms
			for _, server := range h.b.servers {
				server.Queue = test.queue
				server.ReportedAt = h.now
			}
			canceled += countOf[Cancel](h.turn(TimerFired{}))
		}
		if canceled > 0 != test.isCanceled {
			t.Errorf("queues of %v: %d cancellations", test.queue, canceled)
		}
	}
}

// An attempt is canceled at a server without a backlog even if the other servers have one, as no queue
// explains why it is overdue. Guards against parts sent over a cut path that stayed in flight until their
// query ended, for 1.33 s of its 1.34 s, because the replicas in the own zone had long queues, or had been
// reported with long queues before the gossip messages stopped arriving.
func TestHedge_PartIsCanceledWhereNothingSaysWhyItIsLate(t *testing.T) {
	for _, test := range []struct {
		ownQueue      float64 // of the server to which the part was sent
		otherQueues   float64
		otherWereLong bool // by a message of four seconds ago
		isCanceled    bool
	}{
		{ownQueue: 0, otherQueues: 15, otherWereLong: false, isCanceled: true},
		{ownQueue: 15, otherQueues: 0, otherWereLong: true, isCanceled: true},
		{ownQueue: 15, otherQueues: 15, otherWereLong: false, isCanceled: false},
	} {
		h := newFleetHarness(t)
		h.b.hedgeTokens = 10
		sentTo := h.sendOnePart(0).Replica
		canceled := 0
		for range 120 {
			h.now += 5 * ms
			for id, server := range h.b.servers {
				server.ReportedAt = h.now
				server.Queue = test.otherQueues
				server.QueueWasLong = test.otherWereLong
				if id == sentTo {
					server.Queue = test.ownQueue
				} else if test.otherWereLong {
					server.ReportedAt -= 4 * time.Second
				}
			}
			canceled += countOf[Cancel](h.turn(TimerFired{}))
		}
		if canceled > 0 != test.isCanceled {
			t.Errorf("%+v: %d cancellations", test, canceled)
		}
	}
}
