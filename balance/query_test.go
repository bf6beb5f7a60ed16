package balance

import (
	"testing"
	"time"
)

func TestQuery_OneFinalAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	id, events := h.query(newQuery{parts: 1})
	send := onlyAction[Send](h, h.turn(events...))
	h.now += 100 * ms
	actions := h.turn(endOf(send, OK), ClientDisconnected{Query: id})
	h.wantNone(actions, "answer after the client disconnected", countOf[Answer](actions))
	send = h.sendOnePart(0)
	onlyAction[Answer](h, h.end(send, 0, OK, 100*ms))
	actions = h.turn(ClientDisconnected{Query: id}, endOf(send, OK))
	if len(actions) != 0 {
		t.Errorf("actions for unknown IDs: %v", actions)
	}
}

func TestQuery_EndsBeforeItsDeadline(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].OverdueFraction = 0.3
	h := newHarness(t, settings)
	id, events := h.query(newQuery{parts: 1})
	onlyAction[Send](h, h.turn(events...))
	h.now += 3*time.Second - 15*ms
	if rejection := onlyAction[Reject](h, h.turn(TimerFired{})); rejection.Query != id {
		t.Errorf("rejected %d, want %d", rejection.Query, id)
	}
}

func TestQuery_NonIdempotentIsRejectedOnlyWhileUnsent(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = NonIdempotent
	h := newHarness(t, settings)
	id, events := h.query(newQuery{parts: 1})
	onlyAction[Send](h, h.turn(events...))
	h.now += time.Second - 10*ms
	if failure := onlyAction[Fail](h, h.turn(TimerFired{})); failure.Query != id {
		t.Errorf("failed %d, want %d", failure.Query, id)
	}
}

func TestQuery_PartialAnswers(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].MinFraction = 0.6
	settings.Classes[0].PartialFraction = 0.8
	settings.Classes[0].OverdueFraction = 0.1
	h := newHarness(t, settings)
	id, events := h.query(newQuery{parts: 3})
	sends := actionsOf[Send](h.turn(events...))
	h.now += 100 * ms
	actions := h.turn(endOf(sends[0], OK),
		endOf(sends[1], OK))
	h.wantNone(actions, "early partial answer", countOf[Answer](actions))
	h.now += 890 * ms
	if answer := onlyAction[Answer](h, h.turn(TimerFired{})); answer.Query != id || answer.Complete {
		t.Errorf("answer %v, want a partial one of %d", answer, id)
	}
	sends = actionsOf[Send](h.begin(newQuery{parts: 3}))
	h.now += 100 * ms
	h.turn(endOf(sends[0], OK))
	h.now += 3*time.Second - 110*ms
	actions = h.turn(TimerFired{})
	h.wantNone(actions, "answer below the minimum fraction", countOf[Answer](actions))
	onlyAction[Reject](h, actions)
}

func TestQuery_SecondStep(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].FollowUpParts = 1
	h := newHarness(t, settings)
	id, events := h.query(newQuery{parts: 1})
	send := onlyAction[Send](h, h.turn(events...))
	if answer := onlyAction[Answer](h, h.end(send, 0, OK, 50*ms)); !answer.Complete {
		t.Error("first step not complete")
	}
	h.now += 5 * ms
	send = onlyAction[Send](h, h.turn(Part{ID: 99, Group: uint64(id), Shard: 0, Weight: 1}))
	if answer := onlyAction[Answer](h, h.end(send, 0, OK, 50*ms)); answer.Query != id || !answer.Complete {
		t.Errorf("second answer %v", answer)
	}
}

// A retry may have more remaining time than first attempts, which must not count as retries because of it.
func TestQuery_LongerRetryDoesNotAgeFirstAttempts(t *testing.T) {
	for _, marks := range []bool{true, false} {
		settings := testSettings()
		settings.ClientsMarkRetries = marks
		h := newHarness(t, settings)
		first := Query{Group: 1, RemainingTime: 2 * time.Second}
		retry := Query{Group: 2, RemainingTime: 2500 * ms, IsRetry: marks}
		for range 5 {
			if w := h.b.timeSpent(first); w != 0 {
				t.Errorf("marked %v: a first attempt has waited %v", marks, w)
			}
		}
		if w := h.b.timeSpent(retry); w != 500*ms {
			t.Errorf("marked %v: a retry with 2.5 of 3 s left has waited %v, want 0.5 s", marks, w)
		}
		if w := h.b.timeSpent(first); w != 0 {
			t.Errorf("marked %v: a first attempt has waited %v after a retry with more time", marks, w)
		}
	}
}

// Parts that a complete answer does not need are held in reserve, and are sent before others are retried.
func TestQuery_PartsNotNeededWaitInReserve(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].CompleteFraction = 0.6
	settings.Classes[0].MinFraction = 0.6
	h := newHarness(t, settings)
	h.serve(60, 100*ms)
	id, events := h.query(newQuery{parts: 10})
	sends := actionsOf[Send](h.turn(events...))
	if len(sends) != 6 {
		t.Fatalf("%d of 10 parts sent at once, want the 6 that are needed", len(sends))
	}
	h.now += 10 * ms
	actions := h.turn(endOf(sends[0], Failed))
	next := onlyAction[Send](h, actions)
	if next.Part == sends[0].Part {
		t.Error("the failed part was sent again while others were unsent")
	}
	var ends []Event
	for _, send := range append(sends[1:], next) {
		ends = append(ends, endOf(send, OK))
	}
	h.now += 50 * ms
	if answer := onlyAction[Answer](h, h.turn(ends...)); answer.Query != id || !answer.Complete {
		t.Errorf("answer %v", answer)
	}
}

// A first step ends without its last part early enough to reserve part of the objective for the second step.
func TestQuery_FirstStepLeavesTimeForTheSecond(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].MinFraction = 0.5
	settings.Classes[0].PartialFraction = 0.9
	settings.Classes[0].OverdueFraction = 0.1
	settings.Classes[0].FollowUpParts = 3
	settings.CanHedge = false
	h := newHarness(t, settings)
	h.serveBothSteps(60)
	id, events := h.query(newQuery{parts: 3})
	start := h.now
	sends := actionsOf[Send](h.turn(events...))
	h.now += 100 * ms
	h.turn(endOf(sends[0], OK),
		endOf(sends[1], OK))
	for h.now < start+time.Second {
		h.now += 10 * ms
		if a := actionsOf[Answer](h.turn(TimerFired{})); len(a) > 0 {
			if left := start + time.Second - h.now; a[0].Query != id || a[0].Complete || left < 100*ms {
				t.Errorf("answer %v with %v remaining for the second step", a[0], left)
			}
			return
		}
	}
	t.Error("no answer from two of three parts before the objective")
}

// If half of a shard's replicas are excluded and the others are overloaded, a query of the report class drops
// its optional parts. It is answered as soon as the others are, and never with less than its minimum
// fraction.
func TestQuery_ShedsOptionalPartsOfCrowdedShards(t *testing.T) {
	setQueues := func(h *harness, queue float64) {
		for _, id := range []Replica{"c", "d"} {
			h.b.servers[id].Queue = queue
			h.b.servers[id].ReportedAt = h.now
		}
	}
	for _, test := range []struct {
		excluded    []Replica
		queue       float64
		class, want int
	}{
		{excluded: []Replica{"a", "b"}, queue: 12, class: 1, want: 5}, // the minimum is half of ten
		{excluded: []Replica{"a", "b"}, queue: 12, class: 0, want: 10},
		{excluded: []Replica{"a", "b"}, queue: 0, class: 1, want: 10},
		{excluded: []Replica{"a"}, queue: 12, class: 1, want: 10},
	} {
		h := newFleetHarness(t, test.excluded...)
		setQueues(h, test.queue)
		id, events := h.query(newQuery{class: test.class, parts: 10})
		sends := actionsOf[Send](h.turn(events...))
		if len(sends) != test.want {
			t.Errorf("%+v: %d parts sent", test, len(sends))
			continue
		}
		if test.want == 10 {
			continue
		}
		var actions []Action
		for _, send := range sends {
			actions = append(actions, h.turn(AttemptEnded{
				Part:    send.Part,
				Replica: send.Replica,
				Result:  OK,
				Elapsed: 10 * ms,
			})...)
		}
		if answer := onlyAction[Answer](h, actions); answer.Query != id || answer.Complete {
			t.Errorf("answer %+v", answer)
		}
	}
}
