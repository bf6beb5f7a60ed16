package aggregator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// reshardingHarness is a harness with four servers, "a" to "d", and a shard map of two shards that "a" and "b" serve.
type reshardingHarness struct {
	*harness
	mapRequests     int
	mapRequestsSoon int
	rejected        []string
	shardMap        *shardmap.Map
}

func newReshardingHarness(t *testing.T) *reshardingHarness {
	t.Helper()
	settings := balancerSettings()
	settings.Cells = 1
	settings.Reach = 1
	settings.Shards = 1
	b, err := balance.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	views, err := shardmap.NewViews(shardmap.ViewOptions{
		MaxPinnedEpochs:   2,
		MaxPinnedAge:      4 * time.Second,
		WarmupMinFraction: 1,
		MaxSourceLag:      100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	h := &reshardingHarness{harness: &harness{t: t, now: startTime, answers: map[string][]FinalAnswer{}}}
	h.core = NewCore(b, h, Limits{
		FollowUpParts:  []int{0, 0, 2},
		NonIdempotent:  []bool{false, true, false},
		MaxOpen:        100,
		RetryAfter:     time.Second,
		DeadlineMargin: 20 * time.Millisecond,
	}, startTime)
	h.core.Resharding = &Resharding{
		Views:          views,
		RequestMap:     func() { h.mapRequests++ },
		RequestMapSoon: func() { h.mapRequestsSoon++ },
		Adopted:        func(_, _ *shardmap.Map) {},
		Rejected:       func(source string, err error) { h.rejected = append(h.rejected, source+": "+err.Error()) },
	}
	var list []Server
	for _, id := range []balance.Replica{"a", "b", "c", "d"} {
		list = append(list, Server{ID: id, Addr: string(id) + ":1"})
	}
	h.turn(EndpointsChanged{Kind: balance.ListFull, Servers: list})
	replicas := []shardmap.Replica{{Server: "a"}, {Server: "b"}}
	h.shardMap, err = shardmap.New("captions", 1, 3, []*shardmap.Shard{
		{ID: 1, To: "m@2000", State: shardmap.Serving, Weight: 1, Replicas: replicas},
		{ID: 2, From: "m@2000", State: shardmap.Serving, Weight: 3, Replicas: replicas},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.offer(h.shardMap)
	return h
}

// offer offers the core a map, which is the current one from then on.
func (h *reshardingHarness) offer(m *shardmap.Map) {
	h.shardMap = m
	h.turn(ShardMapOffered{Source: "test", Map: m})
}

// applyPlan offers the maps that result from the steps of a plan. It fails the test if err, the planner's error, is
// set.
func (h *reshardingHarness) applyPlan(plan *shardmap.Plan, err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
	for i := range plan.Steps {
		next, err := plan.Steps[i].Apply(h.shardMap)
		if err != nil {
			h.t.Fatal(err)
		}
		h.offer(next)
	}
}

// migrate offers the maps by which a shard moves to newReplicas.
func (h *reshardingHarness) migrate(id shardmap.ID) {
	h.t.Helper()
	h.applyPlan(shardmap.PlanMigration(h.shardMap, id, newReplicas, shardmap.Timing{}))
}

// splitSecondShard offers the maps by which shard 2 is split into shards 3 and 4.
func (h *reshardingHarness) splitSecondShard() {
	h.t.Helper()
	h.applyPlan(shardmap.PlanSplit(h.shardMap, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
}

// merge offers the maps by which shards are merged into one.
func (h *reshardingHarness) merge(ids ...shardmap.ID) {
	h.t.Helper()
	h.applyPlan(shardmap.PlanMerge(h.shardMap, ids, shardmap.Timing{}))
}

// requestShards sends a request for the shard of a key, or for all shards if the key is empty.
func (h *reshardingHarness) requestShards(id string, class int, key string) {
	r := h.newRequest(id, class)
	r.Layout = func(v *shardmap.View) (specs []PartSpec) {
		if key != "" {
			return []PartSpec{{Shard: int(v.Map.Lookup(shardmap.Key(key)).ID), Weight: 1}}
		}
		for _, shard := range v.Shards() {
			specs = append(specs, PartSpec{Shard: int(shard.ID), Weight: shard.Weight / v.Map.Weight()})
		}
		return specs
	}
	h.turn(RequestArrived{Request: r})
}

// endAt ends the attempt in flight at a server for a shard.
func (h *reshardingHarness) endAt(server string, shard int, err error) {
	h.t.Helper()
	for i, c := range h.attempts {
		if string(h.servers[i].ID) == server && c.Shard == shard {
			h.takeAttempt(i)
			h.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: fmt.Sprintf("%d at %s", shard, server)})
			return
		}
	}
	h.t.Fatalf("no attempt for shard %d is in flight at %s: %s", shard, server, h.inFlight())
}

// inFlight returns the attempts in flight, as "shard@server" in the order in which they were sent.
func (h *reshardingHarness) inFlight() string {
	var all []string
	for i, c := range h.attempts {
		all = append(all, fmt.Sprintf("%d@%s", c.Shard, h.servers[i].ID))
	}
	return strings.Join(all, " ")
}

// firstServer returns the server of the earliest attempt in flight.
func (h *reshardingHarness) firstServer() string { return string(h.servers[0].ID) }

// mapRejection returns the error of an attempt that a server rejected because of its shard map of an epoch.
func mapRejection(status shardmap.Mismatch, epoch shardmap.Epoch) error {
	return &AttemptError{Progress: Answered, Rejected: true, MapStatus: status, Epoch: epoch}
}

// otherReplica returns the other server that serves the same shards.
func otherReplica(server string) string {
	return map[string]string{"a": "b", "b": "a", "c": "d", "d": "c"}[server]
}

// newReplicas serve the shards that are moved.
var newReplicas = []string{"c", "d"}

// assertNoState checks that no state of any query is left.
func (h *reshardingHarness) assertNoState() {
	h.t.Helper()
	c := h.core
	epochs, queries := c.Resharding.Views.Pinned()
	remaining := c.OpenQueries() + len(c.parts) + len(c.attempts) + len(c.requestIDs)
	if epochs+queries > 0 || remaining > 0 {
		h.t.Errorf("left: %d epochs pinned by %d queries, %d queries, %d parts, %d attempts, %d request ids",
			epochs, queries, c.OpenQueries(), len(c.parts), len(c.attempts), len(c.requestIDs))
	}
}

// summaryRecorder records the summaries of ended attempts.
type summaryRecorder struct{ summaries []AttemptSummary }

func (r *summaryRecorder) AttemptEnded(_ time.Time, summary AttemptSummary) {
	r.summaries = append(r.summaries, summary)
}

// coversExactly reports whether an answer is complete and has the items of exactly these shards, which are in ascending
// order.
func (f FinalAnswer) coversExactly(want []int) bool {
	return f.Status == StatusServed && f.Complete && f.AnsweredWeight >= 0.999 && slices.Equal(shards(f), want)
}

// shards returns the shards of an answer's items, in ascending order.
func shards(final FinalAnswer) (list []int) {
	for _, item := range final.Items {
		list = append(list, item.Shard)
	}
	slices.Sort(list)
	return list
}
