package aggregator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// mapped is a world whose blocks change.
type mapped struct {
	*world
	asked, again int
	refused      []string
	m            *shardmap.Map
}

func newMapped(t *testing.T) *mapped {
	t.Helper()
	set := settings()
	set.Cells, set.Reach, set.Shards = 1, 1, 1
	b, err := balance.New(set)
	if err != nil {
		t.Fatal(err)
	}
	views, err := shardmap.NewViews(shardmap.ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: 4 * time.Second, WarmupMinFraction: 1, MaxSourceLag: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	w := &mapped{world: &world{t: t, now: begin, finals: map[string][]FinalAnswer{}}}
	w.c = NewCore(b, w, Limits{FollowUpParts: []int{0, 0, 2}, NonIdempotent: []bool{false, true, false}, MaxOpen: 100, RetryAfter: time.Second, DeadlineMargin: 20 * time.Millisecond}, begin)
	w.c.Resharding = &Resharding{Views: views, RequestMap: func() { w.asked++ }, RequestMapSoon: func() { w.again++ }, Adopted: func(_, _ *shardmap.Map) {},
		Rejected: func(source string, err error) { w.refused = append(w.refused, source+": "+err.Error()) }}
	var list []Server
	for _, id := range []balance.Replica{"a", "b", "c", "d"} {
		list = append(list, Server{ID: id, Addr: string(id) + ":1"})
	}
	w.turn(EndpointsChanged{Kind: balance.ListFull, Servers: list})
	w.m, err = shardmap.New("captions", 1, 3, []*shardmap.Shard{
		{ID: 1, To: "m@2000", State: shardmap.Serving, Weight: 1, Replicas: []shardmap.Replica{{Server: "a"}, {Server: "b"}}},
		{ID: 2, From: "m@2000", State: shardmap.Serving, Weight: 3, Replicas: []shardmap.Replica{{Server: "a"}, {Server: "b"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	w.offer(w.m)
	return w
}

func (w *mapped) offer(m *shardmap.Map) {
	w.m = m
	w.turn(ShardMapOffered{Source: "test", Map: m})
}

// carry makes the steps of a plan the map's next epochs, all of them at once or up to a step.
func (w *mapped) carry(p *shardmap.Plan, err error) {
	w.t.Helper()
	for i := range p.Steps {
		if err == nil {
			w.m, err = p.Steps[i].Apply(w.m)
		}
		if err != nil {
			w.t.Fatal(err)
		}
		w.offer(w.m)
	}
}

func (w *mapped) query(id string, class int, key string) *Request {
	r := &Request{ID: id, Class: class, Arrived: w.now, Timeout: 3 * time.Second, Payload: "text", Frontend: asker{w.world, id}}
	r.Layout = func(v *shardmap.View) (specs []PartSpec) {
		if key != "" {
			return []PartSpec{{Shard: int(v.Map.Lookup(shardmap.Key(key)).ID), Weight: 1}}
		}
		for _, b := range v.Shards() {
			specs = append(specs, PartSpec{Shard: int(b.ID), Weight: b.Weight / v.Map.Weight()})
		}
		return specs
	}
	w.turn(RequestArrived{r})
	return r
}

// end1 ends the call that is out at a server for a block.
func (w *mapped) end1(server string, block int, err error) {
	w.t.Helper()
	for i, c := range w.calls {
		if string(w.to[i].ID) == server && c.Shard == block {
			w.calls, w.to = slices.Delete(w.calls, i, i+1), slices.Delete(w.to, i, i+1)
			w.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: fmt.Sprintf("%d at %s", block, server)})
			return
		}
	}
	w.t.Fatalf("nothing of block %d is out at %s: %s", block, server, w.out())
}

// out says what is out, as "block@server" in the order of sending.
func (w *mapped) out() string {
	var all []string
	for i, c := range w.calls {
		all = append(all, fmt.Sprintf("%d@%s", c.Shard, w.to[i].ID))
	}
	return strings.Join(all, " ")
}

func (w *mapped) server() string { return string(w.to[0].ID) }

func away(word shardmap.Mismatch, e shardmap.Epoch) error {
	return &AttemptError{Progress: Answered, Rejected: true, MapStatus: word, Epoch: e}
}

func other(s string) string { return map[string]string{"a": "b", "b": "a", "c": "d", "d": "c"}[s] }

var moveAll = []string{"c", "d"}

// A correction whose old holder turned it away goes to another of its view, then begins anew on the newer map, and runs
// once.
func TestCorrectionTurnedAwayRunsAtTheNewHolder(t *testing.T) {
	w := newMapped(t)
	w.query("q", 1, "x@2000")
	first := w.server()
	w.carry(shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{}))
	w.end1(first, 2, away(shardmap.NotHeld, w.m.Epoch))
	if w.out() != "2@"+other(first) {
		t.Fatalf("out: %s", w.out())
	}
	w.end1(other(first), 2, away(shardmap.NotHeld, w.m.Epoch))
	if now := w.server(); now != "c" && now != "d" {
		t.Fatalf("out: %s", w.out())
	}
	if w.calls[0].Epoch != w.m.Epoch {
		t.Errorf("asked by epoch %d", w.calls[0].Epoch)
	}
	w.end1(w.server(), 2, nil)
	if f := w.one("q"); f.Status != StatusServed || !f.Complete || w.c.Counters.Restarts != 1 {
		t.Errorf("%+v, begun anew %d times", f, w.c.Counters.Restarts)
	}
	w.empty()
}

// A correction that may have run at its old holder is never sent to a new one: not after a reset, an error, silence, or
// a word after that, across any number of epochs.
func TestCorrectionThatMayHaveRunGoesNowhere(t *testing.T) {
	for name, err := range map[string]error{
		"reset": &AttemptError{Progress: Written, Cause: errors.New("reset")}, "error": &AttemptError{Progress: Answered},
		"spoilt": &AttemptError{Progress: Written, CorruptStream: true}, "silence": nil,
	} {
		w := newMapped(t)
		w.query("q", 1, "x@2000")
		first := w.server()
		w.carry(shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{}))
		w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
		if name != "silence" {
			w.end1(first, 2, err)
		}
		for range 400 {
			w.now = w.now.Add(10 * time.Millisecond)
			w.turn()
			if name == "silence" && len(w.withdrawn) > 0 && len(w.calls) == 1 { // it is told at the deadline, and says so
				w.end1(first, 2, &AttemptError{Progress: Written, Canceled: true})
			}
		}
		if len(w.calls) > 0 || len(w.frames) != 1 {
			t.Errorf("%s: %d sends, out %s", name, len(w.frames), w.out())
		}
		if f := w.one("q"); f.Status != StatusFailed {
			t.Errorf("%s: %+v", name, f)
		}
		w.empty()
	}
}

// An answer of the old holder after the switch counts: it ran there.
func TestCorrectionAnsweredAfterTheSwitch(t *testing.T) {
	w := newMapped(t)
	w.query("q", 1, "x@2000")
	w.carry(shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{}))
	w.end1(w.server(), 2, nil)
	if f := w.one("q"); f.Status != StatusServed || w.c.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	w.empty()
}

// A search that is caught across a split is answered from its own view: the parent, and neither half; the next one has
// both halves. Where the old holders serve the parent no longer, all of it begins anew, each block once.
func TestSearchAcrossASplit(t *testing.T) {
	for _, served := range []bool{true, false} {
		w := newMapped(t)
		w.query("q", 0, "")
		w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
		if e, q := w.c.Resharding.Views.Pinned(); e != 1 || q != 1 {
			t.Errorf("%d epochs pinned by %d queries", e, q)
		}
		w.query("next", 0, "")
		for _, c := range slices.Clone(w.calls) {
			i := slices.IndexFunc(w.calls, func(o Call) bool { return o.Attempt == c.Attempt })
			if c.Shard == 2 && !served {
				s := string(w.to[i].ID)
				w.end1(s, 2, away(shardmap.NotHeld, w.m.Epoch))
				w.end1(other(s), 2, away(shardmap.NotHeld, w.m.Epoch))
				continue
			}
			w.end1(string(w.to[i].ID), c.Shard, nil)
		}
		if !served { // it begins anew once nothing of it is out
			w.end(nil)
		}
		want := map[string][]int{"q": {1, 2}, "next": {1, 3, 4}}
		if !served {
			want["q"] = []int{1, 3, 4}
		}
		for id, want := range want {
			f := w.one(id)
			var got []int
			for _, i := range f.Items {
				got = append(got, i.Shard)
			}
			if slices.Sort(got); f.Status != StatusServed || !f.Complete || !slices.Equal(got, want) || f.AnsweredWeight < 0.999 || f.TotalParts != len(want) {
				t.Errorf("%s, served %v: %+v", id, served, f)
			}
		}
		w.empty()
	}
}

// The same across a merge, a move of all holders, and two reshapes in a row: every block of one view once, whether the
// old holders serve still or turn every part away.
func TestSearchAcrossOtherReshapes(t *testing.T) {
	split := func(w *mapped) { w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{})) }
	for name, c := range map[string]struct {
		reshape func(w *mapped)
		after   []int // blocks of the last view
	}{
		"merge": {func(w *mapped) { w.carry(shardmap.PlanMerge(w.m, []shardmap.ID{1, 2}, shardmap.Timing{})) }, []int{3}},
		"move":  {func(w *mapped) { w.carry(shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{})) }, []int{1, 2}},
		"two": {func(w *mapped) {
			split(w)
			w.carry(shardmap.PlanMigration(w.m, 4, moveAll, shardmap.Timing{}))
		}, []int{1, 3, 4}},
	} {
		for _, served := range []bool{true, false} {
			w := newMapped(t)
			w.query("q", 0, "")
			c.reshape(w)
			for len(w.calls) > 0 {
				call, s := w.calls[0], w.server()
				switch {
				case slices.Contains(w.withdrawn, call.Attempt):
					w.end1(s, call.Shard, &AttemptError{Progress: Written, Canceled: true})
				case !served && call.Epoch < w.m.Epoch:
					w.end1(s, call.Shard, away(shardmap.NotHeld, w.m.Epoch))
				default:
					w.end1(s, call.Shard, nil)
				}
			}
			want := []int{1, 2}
			if !served {
				want = c.after
			}
			f := w.one("q")
			var got []int
			for _, i := range f.Items {
				got = append(got, i.Shard)
			}
			if slices.Sort(got); f.Status != StatusServed || !f.Complete || !slices.Equal(got, want) || f.AnsweredWeight < 0.999 {
				t.Errorf("%s, served %v: %+v, want %v", name, served, f, want)
			}
			w.empty()
		}
	}
}

// Nothing of a query that begins anew is out when its parts are sent again: one attempt of a part at a time.
func TestAnewOnlyWhenNothingIsOut(t *testing.T) {
	w := newMapped(t)
	w.query("q", 0, "")
	w.carry(shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{}))
	var second string
	for i, c := range w.calls {
		if c.Shard == 2 {
			second = string(w.to[i].ID)
		}
	}
	w.end1(second, 2, away(shardmap.NotHeld, w.m.Epoch))
	w.end1(other(second), 2, away(shardmap.NotHeld, w.m.Epoch))
	if len(w.calls) != 1 || w.calls[0].Shard != 1 || len(w.withdrawn) != 1 {
		t.Fatalf("out: %s, withdrawn %d", w.out(), len(w.withdrawn))
	}
	w.end1(w.server(), 1, &AttemptError{Progress: Written, Canceled: true})
	if len(w.calls) != 2 {
		t.Fatalf("out: %s", w.out())
	}
	w.end(nil)
	if f := w.one("q"); f.Status != StatusServed || !f.Complete {
		t.Errorf("%+v", f)
	}
	w.empty()
}

// A second step stays on the view of the first, though the map has moved on.
func TestSecondStepStaysOnItsView(t *testing.T) {
	w := newMapped(t)
	w.query("q", 2, "")
	old := w.m.Epoch
	w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
	w.end(nil)
	if len(w.calls) != 2 || !w.calls[0].FollowUp || w.calls[0].Epoch != old || w.calls[0].Shard > 2 || w.calls[1].Shard > 2 {
		t.Fatalf("%+v", w.calls)
	}
	// Its holders turn one away: there is no other view for it.
	s := w.server()
	b := w.calls[0].Shard
	w.end1(s, b, away(shardmap.NotHeld, w.m.Epoch))
	w.end1(other(s), b, away(shardmap.NotHeld, w.m.Epoch))
	w.end(nil)
	if f := w.one("q"); f.Status == StatusServed && f.Complete || w.c.Counters.Restarts != 0 {
		t.Errorf("%+v", f)
	}
	w.empty()
}

// A mixer that hears late: the word of a server is no map. The source is asked; with the newer map the query begins
// anew; where the source has none the query ends at once, after the patience for late sources.
func TestMapHeardLate(t *testing.T) {
	for _, comes := range []bool{true, false} {
		w := newMapped(t)
		next := w.m
		p, err := shardmap.PlanMigration(w.m, 2, moveAll, shardmap.Timing{})
		for i := range p.Steps {
			if next, err = p.Steps[i].Apply(next); err != nil {
				t.Fatal(err)
			}
		}
		w.query("q", 1, "x@2000")
		s := w.server()
		w.end1(s, 2, away(shardmap.NotHeld, 4))
		if w.asked != 1 {
			t.Errorf("the source was asked %d times", w.asked)
		}
		w.end1(other(s), 2, away(shardmap.NotHeld, 4))
		if len(w.finals["q"]) > 0 || len(w.calls) > 0 {
			t.Fatalf("%+v, out %s", w.finals, w.out())
		}
		w.turn(ShardMapOffered{Source: "test"}) // nothing newer yet: it may be late
		if len(w.finals["q"]) > 0 || w.again != 1 {
			t.Fatalf("%+v, asked again %d times", w.finals, w.again)
		}
		if comes {
			w.offer(next)
			w.end1(w.server(), 2, nil)
			if f := w.one("q"); f.Status != StatusServed {
				t.Errorf("%+v", f)
			}
		} else {
			w.now = w.now.Add(150 * time.Millisecond)
			w.turn(ShardMapOffered{Source: "test"})
			if f := w.one("q"); f.Status != StatusRejected || f.RetryAfter == 0 {
				t.Errorf("%+v", f)
			}
		}
		w.empty()
	}
}

// Old holders that drain get nothing, by whatever view; the others of the view do.
func TestDrainedHoldersOfAnOldView(t *testing.T) {
	w := newMapped(t)
	w.query("q", 0, "")
	w.end1("a", 1, &AttemptError{Progress: NotConnected})
	w.turn(EndpointsChanged{Kind: balance.ListDelta, Servers: []Server{{ID: "a", Addr: "a:1", State: balance.Draining}}})
	w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
	before := len(w.frames)
	w.query("late", 0, "")
	for i := range w.to {
		if i >= before && w.to[i].ID == "a" {
			t.Errorf("out: %s", w.out())
		}
	}
	w.turn(EndpointsChanged{Kind: balance.ListDelta, Servers: []Server{{ID: "b", Addr: "b:1", State: balance.Draining}}})
	n := len(w.frames)
	w.query("none", 1, "x@2000")
	if len(w.frames) != n {
		t.Errorf("sent to servers that drain: %s", w.out())
	}
	if f := w.one("none"); f.Status != StatusRejected {
		t.Errorf("%+v", f)
	}
}

// A liar is known: what it says contradicts the map that both know, the others are asked.
func TestLiarIsKnown(t *testing.T) {
	w := newMapped(t)
	saw := &witness{}
	w.c.Observer = saw
	w.query("q", 1, "x@2000")
	s := w.server()
	w.end1(s, 2, away(shardmap.NotHeld, 1))
	if w.asked != 0 || w.c.Resharding.Views.Stats.FalseRejections != 1 || len(saw.list) != 1 || !saw.list[0].FalseRejection {
		t.Errorf("asked %d, %+v", w.asked, saw.list)
	}
	w.end1(other(s), 2, nil)
	if f := w.one("q"); f.Status != StatusServed {
		t.Errorf("%+v", f)
	}
	w.empty()
}

type witness struct{ list []AttemptSummary }

func (s *witness) AttemptEnded(_ time.Time, a AttemptSummary) { s.list = append(s.list, a) }

// A partial answer states its share by the weights of its view.
func TestPartialShareByTheView(t *testing.T) {
	w := newMapped(t)
	w.c.lim.FollowUpParts = nil
	w.query("q", 2, "")
	w.carry(shardmap.PlanSplit(w.m, 2, []shardmap.Key{"p@2000"}, shardmap.Timing{}))
	for i, c := range w.calls {
		if c.Shard == 2 {
			w.end1(string(w.to[i].ID), 2, nil)
			break
		}
	}
	for range 350 {
		w.now = w.now.Add(10 * time.Millisecond)
		w.turn()
	}
	if f := w.one("q"); f.Status != StatusServed || f.Complete || f.AnsweredWeight != 0.75 || f.TotalParts != 2 || !slices.Equal(f.MissingShards, []int{1}) {
		t.Errorf("%+v", f)
	}
}

// Queries leave views beyond the number that is held: begun anew where they may be, else ended.
func TestExpiredViewsAreLeft(t *testing.T) {
	w := newMapped(t)
	w.query("safe", 0, "")
	w.query("unsafe", 1, "x@2000")
	for range 3 {
		next, err := w.m.Change([]*shardmap.Shard{{ID: 1, To: "m@2000", State: shardmap.Serving, Weight: float64(w.m.Epoch) + 1, Replicas: w.m.Shard(1).Replicas}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		w.offer(next)
		w.query(fmt.Sprint("at ", next.Epoch), 0, "")
	}
	if len(w.refused) > 0 || w.c.Counters.Restarts != 1 { // "safe"
		t.Errorf("%v, begun anew %d", w.refused, w.c.Counters.Restarts)
	}
	for len(w.calls) > 0 || len(w.withdrawn) > 0 {
		calls := w.calls
		w.calls, w.to = nil, nil
		for _, c := range calls {
			var err error
			if slices.Contains(w.withdrawn, c.Attempt) {
				err = &AttemptError{Progress: Written, Canceled: true}
			}
			w.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: "v"})
		}
		w.withdrawn = nil
	}
	for _, id := range []string{"safe", "unsafe"} { // a correction that is out is left to its answer
		if f := w.one(id); f.Status != StatusServed || !f.Complete {
			t.Errorf("%s: %+v", id, f)
		}
	}
	w.empty()
}

// empty checks that nothing is left of any query.
func (w *mapped) empty() {
	w.t.Helper()
	if e, q := w.c.Resharding.Views.Pinned(); e+q > 0 || w.c.OpenQueries() != 0 || len(w.c.parts) != 0 || len(w.c.attempts) != 0 || len(w.c.names) != 0 {
		w.t.Errorf("left: %d epochs pinned by %d queries, %d queries, %d parts, %d attempts, %d names", e, q, w.c.OpenQueries(), len(w.c.parts), len(w.c.attempts), len(w.c.names))
	}
}

// Random steps: maps that change, servers that answer, fail, turn away, lie or stay silent. One final answer each; a
// correction that may have run is never sent again; no two attempts of a part out at once; a whole answer covers its
// view; nothing is left at the end.
func FuzzReshape(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(9), uint16(1500))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 6))
		w := newMapped(t)
		mayRun := map[string]bool{} // corrections
		classes := map[string]int{}
		out := map[AttemptID]string{} // of which query's block
		seen := 0
		asked := 0
		sent := func() {
			for ; seen < len(w.frames); seen++ {
			}
			busy := map[string]bool{}
			for _, c := range w.calls {
				id := strings.SplitN(c.Name, ".", 2)[0]
				k := c.Name
				if _, known := out[c.Attempt]; !known {
					out[c.Attempt] = k
					if classes[id] == 1 && mayRun[id] {
						t.Fatalf("correction %s is sent again after it may have run", id)
					}
				}
				if busy[k] {
					t.Fatalf("two attempts of %s are out", k)
				}
				busy[k] = true
			}
		}
		for range steps % 2500 {
			w.now = w.now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
			switch x := rng.IntN(12); {
			case x < 3:
				asked++
				id := fmt.Sprintf("q%d", asked)
				classes[id] = rng.IntN(2)
				key := ""
				if classes[id] == 1 {
					key = []string{"c@2000", "o@2000", "x@2000"}[rng.IntN(3)]
				}
				w.query(id, classes[id], key)
			case x < 8 && len(w.calls) > 0:
				i := rng.IntN(len(w.calls))
				c := w.calls[i]
				id := strings.SplitN(c.Name, ".", 2)[0]
				w.calls, w.to = slices.Delete(w.calls, i, i+1), slices.Delete(w.to, i, i+1)
				var err error
				switch y := rng.IntN(8); {
				case slices.Contains(w.withdrawn, c.Attempt):
					err = &AttemptError{Progress: Written, Canceled: true}
					mayRun[id] = true
				case y == 0:
					err = &AttemptError{Progress: Written}
					mayRun[id] = true
				case y == 1:
					err = &AttemptError{Progress: NotConnected}
				case y < 5:
					err = away(shardmap.Mismatch(1+rng.IntN(2)), w.m.Epoch+shardmap.Epoch(rng.IntN(3))-1+1)
				default:
					mayRun[id] = true
				}
				w.turn(AttemptEnded{Attempt: c.Attempt, Err: err, Value: fmt.Sprint(c.Shard)})
			case x == 8:
				w.turn(ShardMapOffered{Source: "test"})
			default:
				var ids []shardmap.ID
				w.m.All(func(b *shardmap.Shard) bool { ids = append(ids, b.ID); return true })
				var p *shardmap.Plan
				var err error
				id := ids[rng.IntN(len(ids))]
				switch rng.IntN(3) {
				case 0:
					p, err = shardmap.PlanMigration(w.m, id, [][]string{{"a", "b"}, {"c", "d"}, {"b", "c"}}[rng.IntN(3)], shardmap.Timing{})
				case 1:
					p, err = shardmap.PlanSplit(w.m, id, []shardmap.Key{[]shardmap.Key{"d@2000", "p@2000", "t@2000"}[rng.IntN(3)]}, shardmap.Timing{})
				default:
					i := rng.IntN(len(ids))
					p, err = shardmap.PlanMerge(w.m, []shardmap.ID{ids[i], ids[(i+1)%len(ids)]}, shardmap.Timing{})
				}
				if err == nil {
					w.carry(p, nil)
				}
			}
			w.turn()
			sent()
		}
		// Whatever is out ends, and time passes.
		for range 500 {
			w.now = w.now.Add(20 * time.Millisecond)
			w.turn(ShardMapOffered{Source: "test"})
			for len(w.calls) > 0 {
				c := w.calls[0]
				w.calls, w.to = w.calls[1:], w.to[1:]
				w.turn(AttemptEnded{Attempt: c.Attempt, Err: &AttemptError{Progress: Written, Canceled: true}})
			}
		}
		for i := range asked {
			id := fmt.Sprintf("q%d", i+1)
			fin := w.one(id)
			if fin.Status == StatusServed && fin.Complete && fin.AnsweredWeight < 0.999 {
				t.Fatalf("%s: whole, and %v of the weight", id, fin.AnsweredWeight)
			}
			if fin.Status == StatusRejected && classes[id] == 1 && mayRun[id] {
				t.Fatalf("%s is refused, and may have run", id)
			}
		}
		w.empty()
	})
}
