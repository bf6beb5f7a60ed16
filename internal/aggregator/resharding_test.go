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

// A correction (a request that must not run twice) that is rejected by its previous replica is sent to the other
// replica of its view, is then restarted on the newer map, and runs once.
func TestResharding_RejectedCorrectionRunsAtTheNewHolder(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 1, "x@2000")
	first := h.firstServer()
	h.migrate(2)
	h.endAt(first, 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	if h.inFlight() != "2@"+otherReplica(first) {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	h.endAt(otherReplica(first), 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	if server := h.firstServer(); server != "c" && server != "d" {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	if h.attempts[0].Epoch != h.shardMap.Epoch {
		t.Errorf("sent with epoch %d", h.attempts[0].Epoch)
	}
	h.endAt(h.firstServer(), 2, nil)
	if f := h.answer("q"); f.Status != StatusServed || !f.Complete || h.core.Counters.Restarts != 1 {
		t.Errorf("%+v, restarted %d times", f, h.core.Counters.Restarts)
	}
	h.assertNoState()
}

// A correction that may have run at its previous replica is never sent to a new one: not after a reset, an error, a
// timeout, or a rejection that follows one of these, across any number of epochs.
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
			if name == "no answer" && len(h.canceled) > 0 && len(h.attempts) == 1 {
				// The server is notified at the deadline.
				h.endAt(first, 2, &AttemptError{Progress: Written, Canceled: true})
			}
		}
		if len(h.attempts) > 0 || len(h.callSizes) != 1 {
			t.Errorf("%s: %d sends, in flight %s", name, len(h.callSizes), h.inFlight())
		}
		if final := h.answer("q"); final.Status != StatusFailed {
			t.Errorf("%s: %+v", name, final)
		}
		h.assertNoState()
	}
}

// An answer of the previous replica counts after a shard has moved: the part ran there.
func TestResharding_AnswerOfTheOldHolderCountsAfterTheSwitch(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 1, "x@2000")
	h.migrate(2)
	h.endAt(h.firstServer(), 2, nil)
	if f := h.answer("q"); f.Status != StatusServed || h.core.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	h.assertNoState()
}

// A search that is in flight during a split is answered from its own view: by the parent shard and neither successor;
// the next search is answered by both successors. If the previous replicas no longer serve the parent, the complete
// search is restarted, with each shard once.
func TestResharding_SearchAcrossASplit(t *testing.T) {
	for _, served := range []bool{true, false} {
		h := newReshardingHarness(t)
		h.requestShards("q", 0, "")
		h.splitSecondShard()
		if e, q := h.core.Resharding.Views.Pinned(); e != 1 || q != 1 {
			t.Errorf("%d epochs pinned by %d queries", e, q)
		}
		h.requestShards("next", 0, "")
		for _, c := range slices.Clone(h.attempts) {
			i := slices.IndexFunc(h.attempts, func(o OutgoingAttempt) bool { return o.Attempt == c.Attempt })
			if c.Shard == 2 && !served {
				s := string(h.servers[i].ID)
				h.endAt(s, 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
				h.endAt(otherReplica(s), 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
				continue
			}
			h.endAt(string(h.servers[i].ID), c.Shard, nil)
		}
		if !served { // it restarts once none of its attempts is in flight
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
		h.assertNoState()
	}
}

// The same during a merge, a move to other replicas, and two successive changes: the answer has every shard of one view
// once, whether the previous replicas still serve or reject every part.
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
			for len(h.attempts) > 0 {
				attempt, s := h.attempts[0], h.firstServer()
				switch {
				case slices.Contains(h.canceled, attempt.Attempt):
					h.endAt(s, attempt.Shard, &AttemptError{Progress: Written, Canceled: true})
				case !served && attempt.Epoch < h.shardMap.Epoch:
					h.endAt(s, attempt.Shard, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
				default:
					h.endAt(s, attempt.Shard, nil)
				}
			}
			want := []int{1, 2}
			if !served {
				want = c.after
			}
			if final := h.answer("q"); !final.coversExactly(want) {
				t.Errorf("%s, served %v: %+v, want %v", name, served, final, want)
			}
			h.assertNoState()
		}
	}
}

// No attempt of a query is in flight when it is restarted: a part has at most one attempt at a time.
func TestResharding_RestartsOnlyWhenNothingIsInFlight(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 0, "")
	h.migrate(2)
	var second string
	for i, c := range h.attempts {
		if c.Shard == 2 {
			second = string(h.servers[i].ID)
		}
	}
	h.endAt(second, 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAt(otherReplica(second), 2, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	if len(h.attempts) != 1 || h.attempts[0].Shard != 1 || len(h.canceled) != 1 {
		t.Fatalf("in flight: %s, canceled %d", h.inFlight(), len(h.canceled))
	}
	h.endAt(h.firstServer(), 1, &AttemptError{Progress: Written, Canceled: true})
	if len(h.attempts) != 2 {
		t.Fatalf("in flight: %s", h.inFlight())
	}
	h.endAll(nil)
	if f := h.answer("q"); f.Status != StatusServed || !f.Complete {
		t.Errorf("%+v", f)
	}
	h.assertNoState()
}

// A second step stays on the view of the first step, even if there is a newer map.
func TestResharding_SecondStepStaysOnItsView(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 2, "")
	old := h.shardMap.Epoch
	h.splitSecondShard()
	h.endAll(nil)
	if len(h.attempts) != 2 || !h.attempts[0].FollowUp || h.attempts[0].Epoch != old ||
		h.attempts[0].Shard > 2 || h.attempts[1].Shard > 2 {
		t.Fatalf("%+v", h.attempts)
	}
	// Its replicas reject one part, which cannot be restarted on another view.
	server := h.firstServer()
	shard := h.attempts[0].Shard
	h.endAt(server, shard, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAt(otherReplica(server), shard, mapRejection(shardmap.NoLongerServed, h.shardMap.Epoch))
	h.endAll(nil)
	if f := h.answer("q"); f.Status == StatusServed && f.Complete || h.core.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	h.assertNoState()
}

// A server has a newer map than the aggregator. A newer map is requested from the source. If the source provides one,
// the query is restarted; if not, the query is rejected once MaxSourceLag has elapsed.
func TestResharding_WaitsForAnOverdueMap(t *testing.T) {
	for _, arrives := range []bool{true, false} {
		h := newReshardingHarness(t)
		next := h.shardMap
		p, err := shardmap.PlanMigration(h.shardMap, 2, newReplicas, shardmap.Timing{})
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
		h.endAt(s, 2, mapRejection(shardmap.NoLongerServed, 4))
		if h.mapRequests != 1 {
			t.Errorf("a map was requested %d times", h.mapRequests)
		}
		h.endAt(otherReplica(s), 2, mapRejection(shardmap.NoLongerServed, 4))
		if len(h.answers["q"]) > 0 || len(h.attempts) > 0 {
			t.Fatalf("%+v, in flight %s", h.answers, h.inFlight())
		}
		h.turn(ShardMapOffered{Source: "test"}) // no newer map yet: the source may be behind
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
		h.assertNoState()
	}
}

// Draining replicas receive nothing, by any view; the other replicas of the view do.
func TestResharding_DrainingHoldersOfAnOldViewGetNothing(t *testing.T) {
	h := newReshardingHarness(t)
	h.requestShards("q", 0, "")
	h.endAt("a", 1, &AttemptError{Progress: NotConnected})
	h.turn(endpointChange(Server{ID: "a", Addr: "a:1", State: balance.Draining}))
	h.splitSecondShard()
	before := len(h.callSizes)
	h.requestShards("late", 0, "")
	for i := range h.servers {
		if i >= before && h.servers[i].ID == "a" {
			t.Errorf("in flight: %s", h.inFlight())
		}
	}
	h.turn(endpointChange(Server{ID: "b", Addr: "b:1", State: balance.Draining}))
	before = len(h.callSizes)
	h.requestShards("none", 1, "x@2000")
	if len(h.callSizes) != before {
		t.Errorf("sent to draining servers: %s", h.inFlight())
	}
	if f := h.answer("none"); f.Status != StatusRejected {
		t.Errorf("%+v", f)
	}
}

// A rejection that contradicts the map that server and aggregator have is reported as false, and the part is sent to
// the other replica.
func TestResharding_FalseRejectionIsReported(t *testing.T) {
	h := newReshardingHarness(t)
	recorder := &summaryRecorder{}
	h.core.Observer = recorder
	h.requestShards("q", 1, "x@2000")
	s := h.firstServer()
	h.endAt(s, 2, mapRejection(shardmap.NoLongerServed, 1))
	if h.mapRequests != 0 || h.core.Resharding.Views.Stats.FalseRejections != 1 ||
		len(recorder.summaries) != 1 || !recorder.summaries[0].FalseRejection {
		t.Errorf("requested %d, %+v", h.mapRequests, recorder.summaries)
	}
	h.endAt(otherReplica(s), 2, nil)
	if final := h.answer("q"); final.Status != StatusServed {
		t.Errorf("%+v", final)
	}
	h.assertNoState()
}

// The answered weight of a partial answer is computed from the weights of its view.
func TestResharding_PartialAnswerIsWeighedByItsView(t *testing.T) {
	h := newReshardingHarness(t)
	h.core.limits.FollowUpParts = nil
	h.requestShards("q", 2, "")
	h.splitSecondShard()
	for i, c := range h.attempts {
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

// Queries on views beyond MaxPinnedEpochs are restarted if they may be; the others stay on their view until their
// answer.
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
	for len(h.attempts) > 0 || len(h.canceled) > 0 {
		for _, c := range h.takeAttempts() {
			var err error
			if slices.Contains(h.canceled, c.Attempt) {
				err = &AttemptError{Progress: Written, Canceled: true}
			}
			h.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: "v"})
		}
		h.canceled = nil
	}
	for _, id := range []string{"idempotent", "not idempotent"} { // a correction in flight stays on its view
		if f := h.answer(id); f.Status != StatusServed || !f.Complete {
			t.Errorf("%s: %+v", id, f)
		}
	}
	h.assertNoState()
}
