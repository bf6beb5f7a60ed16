package aggregator

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// A correction (a request that must not run twice) whose old holder rejects it goes to another one of its view, is then
// restarted on the newer map, and runs once.
func TestResharding_RejectedCorrectionRunsAtTheNewHolder(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 1, "x@2000")
	first := h.firstServer()
	h.migrate(2)
	h.endAt(first, 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	if h.inFlight() != "2@"+otherHolder(first) {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	h.endAt(otherHolder(first), 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	if now := h.firstServer(); now != "c" && now != "d" {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	if h.calls[0].Epoch != h.shardMap.Epoch {
		t.Errorf("sent with epoch %d", h.calls[0].Epoch)
	}
	h.endAt(h.firstServer(), 2, nil)
	if f := h.answer("q"); f.Status != StatusServed || !f.Complete || h.core.Counters.Restarts != 1 {
		t.Errorf("%+v, restarted %d times", f, h.core.Counters.Restarts)
	}
	h.assertNothingHeld()
}

// A correction that may have run at its old holder is never sent to a new one: not after a reset, an error, a
// time-out, or a rejection after that, across any number of epochs.
func TestResharding_CorrectionThatMayHaveRunIsNotRetried(t *testing.T) {
	for name, err := range map[string]error{
		"reset":          &AttemptError{Progress: Written, Cause: errors.New("reset")},
		"error":          &AttemptError{Progress: Answered},
		"corrupt stream": &AttemptError{Progress: Written, CorruptStream: true},
		"no answer":      nil,
	} {
		h := newReshardingHarness(t)
		h.requestShards("q", 1, "x@2000")
		first := h.firstServer()
		h.migrate(2)
		h.splitSecondShard()
		if name != "no answer" {
			h.endAt(first, 2, err)
		}
		for range 400 {
			h.advance(10 * time.Millisecond)
			if name == "no answer" && len(h.canceled) > 0 && len(h.calls) == 1 {
				// The server is notified at the deadline.
				h.endAt(first, 2, &AttemptError{Progress: Written, Canceled: true})
			}
		}
		if len(h.calls) > 0 || len(h.callSizes) != 1 {
			t.Errorf("%s: %d sends, in flight %s", name, len(h.callSizes), h.inFlight())
		}
		if final := h.answer("q"); final.Status != StatusFailed {
			t.Errorf("%s: %+v", name, final)
		}
		h.assertNothingHeld()
	}
}

// An answer of the old holder after the switch counts: it ran there.
func TestResharding_AnswerOfTheOldHolderCountsAfterTheSwitch(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 1, "x@2000")
	h.migrate(2)
	h.endAt(h.firstServer(), 2, nil)
	if f := h.answer("q"); f.Status != StatusServed || h.core.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	h.assertNothingHeld()
}

// A search in flight across a split is answered from its own view: by the parent, and neither half; the next one
// has both halves. Where the old holders serve the parent no longer, all of it is restarted, each shard once.
func TestResharding_SearchAcrossASplit(t *testing.T) {
	for _, served := range []bool{true, false} {
		h := newReshardingHarness(t)
		h.requestShards("q", 0, "")
		h.splitSecondShard()
		if e, q := h.core.Resharding.Views.Pinned(); e != 1 || q != 1 {
			t.Errorf("%d epochs pinned by %d queries", e, q)
		}
		h.requestShards("next", 0, "")
		for _, c := range slices.Clone(h.calls) {
			i := slices.IndexFunc(h.calls, func(o OutgoingAttempt) bool { return o.Attempt == c.Attempt })
			if c.Shard == 2 && !served {
				s := string(h.servers[i].ID)
				h.endAt(s, 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
				h.endAt(otherHolder(s), 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
				continue
			}
			h.endAt(string(h.servers[i].ID), c.Shard, nil)
		}
		if !served { // it is restarted once nothing of it is in flight
			h.endAll(nil)
		}
		want := map[string][]int{"q": {1, 2}, "next": {1, 3, 4}}
		if !served {
			want["q"] = []int{1, 3, 4}
		}
		for id, want := range want {
			final := h.answer(id)
			if !final.coversExactly(want) || final.TotalParts != len(want) {
				t.Errorf("%s, served %v: %+v", id, served, final)
			}
		}
		h.assertNothingHeld()
	}
}

// The same across a merge, a move to other holders, and two changes in a row: every shard of one view once, whether the
// old holders serve still or reject every part.
func TestResharding_SearchAcrossMergeMoveAndTwoChanges(t *testing.T) {
	for name, c := range map[string]struct {
		reshard func(h *reshardingHarness)
		after   []int // shards of the last view
	}{
		"merge": {
			reshard: func(h *reshardingHarness) { h.merge(1, 2) },
			after:   []int{3},
		},
		"move": {
			reshard: func(h *reshardingHarness) { h.migrate(2) },
			after:   []int{1, 2},
		},
		"split and move": {
			reshard: func(h *reshardingHarness) {
				h.splitSecondShard()
				h.migrate(4)
			},
			after: []int{1, 3, 4},
		},
	} {
		for _, served := range []bool{true, false} {
			h := newReshardingHarness(t)
			h.requestShards("q", 0, "")
			c.reshard(h)
			for len(h.calls) > 0 {
				call, s := h.calls[0], h.firstServer()
				switch {
				case slices.Contains(h.canceled, call.Attempt):
					h.endAt(s, call.Shard, &AttemptError{Progress: Written, Canceled: true})
				case !served && call.Epoch < h.shardMap.Epoch:
					h.endAt(s, call.Shard, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
				default:
					h.endAt(s, call.Shard, nil)
				}
			}
			want := []int{1, 2}
			if !served {
				want = c.after
			}
			if final := h.answer("q"); !final.coversExactly(want) {
				t.Errorf("%s, served %v: %+v, want %v", name, served, final, want)
			}
			h.assertNothingHeld()
		}
	}
}

// Nothing of a query is in flight when it is restarted: one attempt of a part at a time.
func TestResharding_RestartsOnlyWhenNothingIsInFlight(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 0, "")
	h.migrate(2)
	var second string
	for i, c := range h.calls {
		if c.Shard == 2 {
			second = string(h.servers[i].ID)
		}
	}
	h.endAt(second, 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAt(otherHolder(second), 2, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	if len(h.calls) != 1 || h.calls[0].Shard != 1 || len(h.canceled) != 1 {
		t.Fatalf("in flight: %s, canceled %d", h.inFlight(), len(h.canceled))
	}
	h.endAt(h.firstServer(), 1, &AttemptError{Progress: Written, Canceled: true})
	if len(h.calls) != 2 {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	h.endAll(nil)
	if f := h.answer("q"); f.Status != StatusServed || !f.Complete {
		t.Errorf("%+v", f)
	}
	h.assertNothingHeld()
}

// A second step stays on the view of the first, though the map has moved on.
func TestResharding_SecondStepStaysOnItsView(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 2, "")
	old := h.shardMap.Epoch
	h.splitSecondShard()
	h.endAll(nil)
	if len(h.calls) != 2 || !h.calls[0].FollowUp || h.calls[0].Epoch != old ||
		h.calls[0].Shard > 2 || h.calls[1].Shard > 2 {
		t.Fatalf("%+v", h.calls)
	}
	// Its holders reject one part: there is no other view for it.
	server := h.firstServer()
	shard := h.calls[0].Shard
	h.endAt(server, shard, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAt(otherHolder(server), shard, notHeld(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAll(nil)
	if f := h.answer("q"); f.Status == StatusServed && f.Complete || h.core.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	h.assertNothingHeld()
}

// A server knows of a newer map than the aggregator. A newer one is requested from the source; with it the query is
// restarted; where the source has none the query is rejected, after the patience for sources that are behind.
func TestResharding_WaitsForAnOverdueMap(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		h := newReshardingHarness(t)
		next := h.shardMap
		p, err := shardmap.PlanMigration(h.shardMap, 2, newHolders, shardmap.Timing{})
		if err != nil {
			t.Fatal(err)
		}
		for i := range p.Steps {
			if next, err = p.Steps[i].Apply(next); err != nil {
				t.Fatal(err)
			}
		}
		h.requestShards("q", 1, "x@2000")
		s := h.firstServer()
		h.endAt(s, 2, notHeld(shardmap.NoLongerServed, 4))
		if h.mapRequests != 1 {
			t.Errorf("a map was requested %d times", h.mapRequests)
		}
		h.endAt(otherHolder(s), 2, notHeld(shardmap.NoLongerServed, 4))
		if len(h.answers["q"]) > 0 || len(h.calls) > 0 {
			t.Fatalf("%+v, in flight %s", h.answers, h.inFlight())
		}
		h.turn(ShardMapOffered{Source: "test"}) // nothing newer yet: the source may be behind
		if len(h.answers["q"]) > 0 || h.mapRequestsSoon != 1 {
			t.Fatalf("%+v, requested again %d times", h.answers, h.mapRequestsSoon)
		}
		if arrives {
			h.offer(next)
			h.endAt(h.firstServer(), 2, nil)
			if f := h.answer("q"); f.Status != StatusServed {
				t.Errorf("%+v", f)
			}
		} else {
			h.now = h.now.Add(150 * time.Millisecond)
			h.turn(ShardMapOffered{Source: "test"})
			if f := h.answer("q"); f.Status != StatusRejected || f.RetryAfter == 0 {
				t.Errorf("%+v", f)
			}
		}
		h.assertNothingHeld()
	}
}

// Holders that drain get nothing, by whatever view; the others of the view do.
func TestResharding_DrainingHoldersOfAnOldViewGetNothing(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 0, "")
	h.endAt("a", 1, &AttemptError{Progress: NotConnected})
	h.turn(changeOf(Server{ID: "a", Addr: "a:1", State: balance.Draining}))
	h.splitSecondShard()
	before := len(h.callSizes)
	h.requestShards("late", 0, "")
	for i := range h.servers {
		if i >= before && h.servers[i].ID == "a" {
			t.Errorf("in flight: %s", h.inFlight())
		}
	}
	h.turn(changeOf(Server{ID: "b", Addr: "b:1", State: balance.Draining}))
	before = len(h.callSizes)
	h.requestShards("none", 1, "x@2000")
	if len(h.callSizes) != before {
		t.Errorf("sent to draining servers: %s", h.inFlight())
	}
	if f := h.answer("none"); f.Status != StatusRejected {
		t.Errorf("%+v", f)
	}
}

// A server's rejection contradicts the map that both know: it is reported as false, and the part goes to the others.
func TestResharding_FalseRejectionIsReported(t *testing.T) {
	h := newReshardingHarness(t)
	recorder := &summaryRecorder{}
	h.core.Observer = recorder
	h.requestShards("q", 1, "x@2000")
	s := h.firstServer()
	h.endAt(s, 2, notHeld(shardmap.NoLongerServed, 1))
	if h.mapRequests != 0 || h.core.Resharding.Views.Stats.FalseRejections != 1 ||
		len(recorder.summaries) != 1 || !recorder.summaries[0].FalseRejection {
		t.Errorf("requested %d, %+v", h.mapRequests, recorder.summaries)
	}
	h.endAt(otherHolder(s), 2, nil)
	if final := h.answer("q"); final.Status != StatusServed {
		t.Errorf("%+v", final)
	}
	h.assertNothingHeld()
}

// A partial answer states its answered weight by the weights of its view.
func TestResharding_PartialAnswerIsWeighedByItsView(t *testing.T) {
	h := newReshardingHarness(t)
	h.core.limits.FollowUpParts = nil
	h.requestShards("q", 2, "")
	h.splitSecondShard()
	for i, c := range h.calls {
		if c.Shard == 2 {
			h.endAt(string(h.servers[i].ID), 2, nil)
			break
		}
	}
	for range 350 {
		h.advance(10 * time.Millisecond)
	}
	final := h.answer("q")
	if final.Status != StatusServed || final.Complete || final.AnsweredWeight != 0.75 ||
		final.TotalParts != 2 || !slices.Equal(final.MissingShards, []int{1}) {
		t.Errorf("%+v", final)
	}
}

// Queries leave views beyond the number that is held: restarted where they may be, else left to their answer.
func TestResharding_QueriesLeaveExpiredViews(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("idempotent", 0, "")
	h.requestShards("not idempotent", 1, "x@2000")
	for range 3 {
		changed := *h.shardMap.Shard(1)
		changed.Weight = float64(h.shardMap.Epoch) + 1
		next, err := h.shardMap.Change([]*shardmap.Shard{&changed}, nil)
		if err != nil {
			t.Fatal(err)
		}
		h.offer(next)
		h.requestShards(fmt.Sprint("at ", next.Epoch), 0, "")
	}
	if len(h.rejected) > 0 || h.core.Counters.Restarts != 1 { // "idempotent"
		t.Errorf("%v, restarted %d", h.rejected, h.core.Counters.Restarts)
	}
	for len(h.calls) > 0 || len(h.canceled) > 0 {
		for _, c := range h.takeCalls() {
			var err error
			if slices.Contains(h.canceled, c.Attempt) {
				err = &AttemptError{Progress: Written, Canceled: true}
			}
			h.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: "v"})
		}
		h.canceled = nil
	}
	for _, id := range []string{"idempotent", "not idempotent"} { // a correction in flight is left to its answer
		if f := h.answer(id); f.Status != StatusServed || !f.Complete {
			t.Errorf("%s: %+v", id, f)
		}
	}
	h.assertNothingHeld()
}
