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

// reshardingHarness is a harness with four servers, "a" to "d", and a shard map of two shards that "a" and "b" hold.
type reshardingHarness struct {
	*harness
	mapRequests, mapRequestsSoon int
	rejected                     []string
	shardMap                     *shardmap.Map
}

func newReshardingHarness(t *testing.T) *reshardingHarness {
	t.Helper()
	set := balancerSettings()
	set.Cells, set.Reach, set.Shards = 1, 1, 1
	b, err := balance.New(set)
	if err != nil {
		t.Fatal(err)
	}
	views, err := shardmap.NewViews(shardmap.ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: 4 * time.Second, WarmupMinFraction: 1, MaxSourceLag: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	h := &reshardingHarness{harness: &harness{t: t, now: startTime, answers: map[string][]FinalAnswer{}}}
	h.core = NewCore(b, h, Limits{FollowUpParts: []int{0, 0, 2}, NonIdempotent: []bool{false, true, false}, MaxOpen: 100, RetryAfter: time.Second, DeadlineMargin: 20 * time.Millisecond}, startTime)
	h.core.Resharding = &Resharding{
		Views: views, RequestMap: func() { h.mapRequests++ }, RequestMapSoon: func() { h.mapRequestsSoon++ },
		Adopted:  func(_, _ *shardmap.Map) {},
		Rejected: func(source string, err error) { h.rejected = append(h.rejected, source+": "+err.Error()) },
	}
	var list []Server
	for _, id := range []balance.Replica{"a", "b", "c", "d"} {
		list = append(list, Server{ID: id, Addr: string(id) + ":1"})
	}
	h.turn(EndpointsChanged{Kind: balance.ListFull, Servers: list})
	h.shardMap, err = shardmap.New("captions", 1, 3, []*shardmap.Shard{
		{ID: 1, To: "m@2000", State: shardmap.Serving, Weight: 1, Replicas: []shardmap.Replica{{Server: "a"}, {Server: "b"}}},
		{ID: 2, From: "m@2000", State: shardmap.Serving, Weight: 3, Replicas: []shardmap.Replica{{Server: "a"}, {Server: "b"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	h.offer(h.shardMap)
	return h
}

// offer offers the core a map, which is the present one from then on.
func (h *reshardingHarness) offer(m *shardmap.Map) {
	h.shardMap = m
	h.turn(ShardMapOffered{Source: "test", Map: m})
}

// applyPlan offers the maps that a plan's steps lead to. It takes the planner's error, too, and fails on it.
func (h *reshardingHarness) applyPlan(p *shardmap.Plan, err error) {
	h.t.Helper()
	for i := range p.Steps {
		if err == nil {
			h.shardMap, err = p.Steps[i].Apply(h.shardMap)
		}
		if err != nil {
			h.t.Fatal(err)
		}
		h.offer(h.shardMap)
	}
}

// requestShards sends a request for the shard of a key, or for all shards if the key is empty.
func (h *reshardingHarness) requestShards(id string, class int, key string) {
	r := &Request{ID: id, Class: class, Arrived: h.now, Timeout: 3 * time.Second, Payload: "text", Frontend: client{h.harness, id}}
	r.Layout = func(v *shardmap.View) (specs []PartSpec) {
		if key != "" {
			return []PartSpec{{Shard: int(v.Map.Lookup(shardmap.Key(key)).ID), Weight: 1}}
		}
		for _, b := range v.Shards() {
			specs = append(specs, PartSpec{Shard: int(b.ID), Weight: b.Weight / v.Map.Weight()})
		}
		return specs
	}
	h.turn(RequestArrived{r})
}

// endAt ends the call in flight at a server for a shard.
func (h *reshardingHarness) endAt(server string, shard int, err error) {
	h.t.Helper()
	for i, c := range h.calls {
		if string(h.servers[i].ID) == server && c.Shard == shard {
			h.calls, h.servers = slices.Delete(h.calls, i, i+1), slices.Delete(h.servers, i, i+1)
			h.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: fmt.Sprintf("%d at %s", shard, server)})
			return
		}
	}
	h.t.Fatalf("nothing of shard %d is in flight at %s: %s", shard, server, h.inFlight())
}

// inFlight says what is in flight, as "shard@server" in the order of sending.
func (h *reshardingHarness) inFlight() string {
	var all []string
	for i, c := range h.calls {
		all = append(all, fmt.Sprintf("%d@%s", c.Shard, h.servers[i].ID))
	}
	return strings.Join(all, " ")
}

// firstServer is where the earliest call in flight was sent.
func (h *reshardingHarness) firstServer() string { return string(h.servers[0].ID) }

// notHeld is a server's rejection by its shard map of an epoch.
func notHeld(status shardmap.Mismatch, epoch shardmap.Epoch) error {
	return &AttemptError{Progress: Answered, Rejected: true, MapStatus: status, Epoch: epoch}
}

// otherHolder is the server that holds the same shards.
func otherHolder(server string) string {
	return map[string]string{"a": "b", "b": "a", "c": "d", "d": "c"}[server]
}

// newHolders hold what is moved.
var newHolders = []string{"c", "d"}

// assertNothingHeld checks that nothing is left of any query.
func (h *reshardingHarness) assertNothingHeld() {
	h.t.Helper()
	c := h.core
	if epochs, queries := c.Resharding.Views.Pinned(); epochs+queries > 0 || c.OpenQueries() != 0 || len(c.parts) != 0 || len(c.attempts) != 0 || len(c.requestIDs) != 0 {
		h.t.Errorf("left: %d epochs pinned by %d queries, %d queries, %d parts, %d attempts, %d request ids",
			epochs, queries, c.OpenQueries(), len(c.parts), len(c.attempts), len(c.requestIDs))
	}
}

// summaryRecorder records the summaries of ended attempts.
type summaryRecorder struct{ summaries []AttemptSummary }

func (r *summaryRecorder) AttemptEnded(_ time.Time, summary AttemptSummary) {
	r.summaries = append(r.summaries, summary)
}

// shards are the shards of an answer's items, in ascending order.
func shards(final FinalAnswer) (list []int) {
	for _, item := range final.Items {
		list = append(list, item.Shard)
	}
	slices.Sort(list)
	return list
}
