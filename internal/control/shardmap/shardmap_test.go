package shardmap

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replicasOn(by ...string) (list []Replica) {
	for _, s := range by {
		list = append(list, Replica{Server: s})
	}
	return list
}

// threeShards blocks: up to g@2000, up to p@2000, and the rest.
func threeShards(t testing.TB) *Map {
	t.Helper()
	m, err := New("captions", 1, 4, []*Shard{
		{ID: 1, To: "g@2000", State: Serving, Replicas: replicasOn("a", "b")},
		{ID: 2, From: "g@2000", To: "p@2000", State: Serving, Weight: 3, Replicas: replicasOn("a", "b")},
		{ID: 3, From: "p@2000", State: Serving, Replicas: replicasOn("b", "c")},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestKey_ParsingAndLookup(t *testing.T) {
	for text, want := range map[string]Key{"news@2019:4": "news@2019", "news@2019": "news@2019", "odd": "odd", "a:b": "a:b", "news@19:4": "news@19:4"} {
		if got := KeyOf(text); got != want {
			t.Errorf("%q: %q", text, got)
		}
	}
	for _, bad := range []string{"news", "@2019", "a b@2019", "news@20190", "news@-001"} {
		if k, err := ParseKey(bad); err == nil {
			t.Errorf("%q: %q", bad, k)
		}
	}
	m := threeShards(t)
	for k, want := range map[Key]ID{"": 1, "f@2000": 1, "g@1999": 1, "g@2000": 2, "p@1999": 2, "p@2000": 3, "z@9999": 3} {
		if b := m.Lookup(k); b.ID != want {
			t.Errorf("%q is in block %d", k, b.ID)
		}
	}
}

// What is no map in itself is refused, with the reason.
func TestNew_RejectsInvalidMaps(t *testing.T) {
	good := func() []*Shard {
		return []*Shard{
			{ID: 1, To: "m@2000", State: Serving, Replicas: replicasOn("a")}, {ID: 2, From: "m@2000", State: Serving, Replicas: replicasOn("a")},
			{ID: 3, From: "a@2000", To: "b@2000", State: Retiring, Replicas: replicasOn("a")},
		}
	}
	for i, c := range []struct {
		change func([]*Shard)
		want   string
	}{
		{func(l []*Shard) { l[0].To = "l@2000" }, "are in no block"},
		{func(l []*Shard) { l[0].To = "n@2000" }, "overlap"},
		{func(l []*Shard) { l[0].To = "" }, "overlap"},
		{func(l []*Shard) { l[0].From = "a@2000" }, "before"},
		{func(l []*Shard) { l[1].To = "z@2000" }, "on are in no block"},
		{func(l []*Shard) { l[1].ID = 1 }, "twice"},
		{func(l []*Shard) { l[1].ID = 9 }, "next_id"},
		{func(l []*Shard) { l[1].ID = 0 }, "over 0"},
		{func(l []*Shard) { l[1].Replicas = nil }, "no holder"},
		{func(l []*Shard) { l[1].Replicas = []Replica{{Server: "a", Joining: true}}; l[1].State = Migrating }, "no holder"},
		{func(l []*Shard) { l[1].Replicas = []Replica{{Server: "a"}, {Server: "b", Joining: true}} }, "not moving"},
		{func(l []*Shard) { l[1].Replicas = replicasOn("a", "a") }, "twice"},
		{func(l []*Shard) { l[1].Replicas = replicasOn("") }, "without a name"},
		{func(l []*Shard) { l[1].Replicas = []Replica{{Server: "a", ServingSince: 9}} }, "to come"},
		{func(l []*Shard) { l[1].State = "asleep" }, "asleep"},
		{func(l []*Shard) { l[1].Weight = -1 }, "weight"},
		{func(l []*Shard) { l[0].State, l[1].State = Retiring, Retiring }, "no block is active"},
		{func(l []*Shard) { l[2].To = "a@2000" }, "empty"},
	} {
		l := good()
		if i == 0 {
			if _, err := New("x", 1, 4, good()); err != nil {
				t.Fatal(err)
			}
		}
		c.change(l)
		if _, err := New("x", 1, 4, l); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%d: %v, want %s", i, err, c.want)
		}
	}
}

// changedMap makes the next epoch by hand, past all checks of Change.
func changedMap(t *testing.T, m *Map, epochs Epoch, f func(map[ID]*Shard)) *Map {
	t.Helper()
	all := map[ID]*Shard{}
	m.All(func(b *Shard) bool {
		c := *b
		c.Replicas = slices.Clone(b.Replicas)
		all[b.ID] = &c
		return true
	})
	f(all)
	var list []*Shard
	next := m.NextID
	for _, b := range all {
		list = append(list, b)
		next = max(next, b.ID+1)
	}
	n, err := New(m.Archive, m.Epoch+epochs, next, list)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Only legal successions are accepted; each other one is refused with its reason, and the old epoch stays.
func TestMap_ValidateSuccession(t *testing.T) {
	splitting := func(t *testing.T) *Map {
		return changedMap(t, threeShards(t), 1, func(b map[ID]*Shard) { b[2].State = Splitting })
	}
	moving := func(t *testing.T) *Map {
		return changedMap(t, threeShards(t), 1, func(b map[ID]*Shard) {
			b[2].State, b[2].Replicas = Migrating, append(b[2].Replicas, Replica{Server: "c", Joining: true})
		})
	}
	cut := func(b map[ID]*Shard) {
		b[2].State = Retiring
		b[4] = &Shard{ID: 4, From: "g@2000", To: "k@2000", State: Serving, Replicas: replicasOn("a", "b"), Parents: []ID{2}}
		b[5] = &Shard{ID: 5, From: "k@2000", To: "p@2000", State: Serving, Replicas: replicasOn("a", "b"), Parents: []ID{2}}
	}
	for name, c := range map[string]struct {
		from   func(*testing.T) *Map
		epochs Epoch
		change func(map[ID]*Shard)
		want   string // empty: legal
	}{
		"weights":              {func(t *testing.T) *Map { return threeShards(t) }, 1, func(b map[ID]*Shard) { b[1].Weight = 9 }, ""},
		"split":                {splitting, 1, cut, ""},
		"split, not announced": {func(t *testing.T) *Map { return threeShards(t) }, 1, cut, "from serving to retiring"},
		"split, one half gone": {splitting, 1, func(b map[ID]*Shard) { cut(b); b[5].Parents = nil }, "without parents"},
		"split to strangers":   {splitting, 1, func(b map[ID]*Shard) { cut(b); b[5].Replicas = replicasOn("c") }, "did not serve its parent"},
		"split called off":     {splitting, 1, func(b map[ID]*Shard) { b[2].State = Serving }, ""},
		"an id again": {splitting, 1, func(b map[ID]*Shard) {
			cut(b)
			b[4].ID = 3
			delete(b, 3)
			b[3] = b[4]
			delete(b, 4)
			b[5].To = ""
		}, ""},
		"range changed": {func(t *testing.T) *Map { return threeShards(t) }, 1, func(b map[ID]*Shard) { b[1].To, b[2].From = "h@2000", "h@2000" }, "takes a new id"},
		"gone at once":  {splitting, 1, func(b map[ID]*Shard) { cut(b); delete(b, 2) }, "it has to retire first"},
		"join": {func(t *testing.T) *Map { return threeShards(t) }, 1, func(b map[ID]*Shard) {
			b[2].State, b[2].Replicas = Migrating, append(b[2].Replicas, Replica{Server: "c", Joining: true})
		}, ""},
		"serve, unjoined": {func(t *testing.T) *Map { return threeShards(t) }, 1, func(b map[ID]*Shard) { b[2].State, b[2].Replicas = Migrating, replicasOn("a", "b", "c") }, "without having joined"},
		"joined serves": {moving, 1, func(b map[ID]*Shard) {
			b[2].Replicas = append(replicasOn("a", "b"), Replica{Server: "c", ServingSince: 3})
		}, ""},
		"serves since before": {moving, 1, func(b map[ID]*Shard) {
			b[2].Replicas = append(replicasOn("a", "b"), Replica{Server: "c", ServingSince: 2})
		}, "since epoch 3"},
		"all old ones leave": {moving, 1, func(b map[ID]*Shard) { b[2].State, b[2].Replicas = Serving, []Replica{{Server: "c", ServingSince: 3}} }, "none of its holders held it before"},
		"one old one leaves": {moving, 1, func(b map[ID]*Shard) {
			b[2].State, b[2].Replicas = Serving, append(replicasOn("b"), Replica{Server: "c", ServingSince: 3})
		}, ""},
		"leaves, not moving": {func(t *testing.T) *Map { return threeShards(t) }, 1, func(b map[ID]*Shard) { b[2].Replicas = replicasOn("a") }, "a holder leaves"},
		"joins again":        {moving, 1, func(b map[ID]*Shard) { b[2].Replicas[0].Joining = true }, "joins again"},
		"moving, split":      {moving, 1, func(b map[ID]*Shard) { b[2].State, b[2].Replicas = Splitting, replicasOn("a", "b") }, "from moving to splitting"},
		"gap":                {func(t *testing.T) *Map { return threeShards(t) }, 5, func(b map[ID]*Shard) { cut(b); delete(b, 2) }, ""},
		"gap, range changed": {func(t *testing.T) *Map { return threeShards(t) }, 5, func(b map[ID]*Shard) { b[1].To, b[2].From = "h@2000", "h@2000" }, "takes a new id"},
	} {
		old := c.from(t)
		var now *Map
		if name == "an id again" { // 3 gave its place to a new block, and a new block takes its name
			continue
		}
		now = changedMap(t, old, c.epochs, c.change)
		vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
		if _, err := vs.Offer(origin, old); err != nil {
			t.Fatal(name, err)
		}
		adopted, err := vs.Offer(origin, now)
		if c.want == "" && (err != nil || !adopted) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || vs.Current() != old) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	// An id that was given before stays given, though its block is gone.
	m := splitting(t)
	m = changedMap(t, m, 1, cut)
	m = changedMap(t, m, 1, func(b map[ID]*Shard) { delete(b, 2) })
	again := changedMap(t, m, 1, func(b map[ID]*Shard) {
		b[2] = &Shard{ID: 2, From: "g@2000", To: "k@2000", State: Serving, Replicas: replicasOn("a", "b"), Parents: []ID{4}}
		b[4].State = Retiring
	})
	if err := again.ValidateSuccession(m); err == nil || !strings.Contains(err.Error(), "given before") {
		t.Error(err)
	}
}

// Sources that go back, repeat, fork or bring another archive's map change nothing.
func TestViews_Offer_RejectsInvalidMaps(t *testing.T) {
	vs, err := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
	if err != nil {
		t.Fatal(err)
	}
	m1 := threeShards(t)
	m2 := changedMap(t, m1, 1, func(b map[ID]*Shard) { b[1].Weight = 2 })
	fork := changedMap(t, m1, 1, func(b map[ID]*Shard) { b[1].Weight = 5 })
	other := changedMap(t, m2, 1, func(map[ID]*Shard) {})
	other.Archive = "other"
	for i, c := range []struct {
		m       *Map
		adopted bool
		want    error
	}{{m1, true, nil}, {m2, true, nil}, {m2, false, nil}, {m1, false, ErrStaleEpoch}, {fork, false, ErrForked}, {other, false, ErrOtherArchive}} {
		if adopted, err := vs.Offer(origin, c.m); adopted != c.adopted || !errors.Is(err, c.want) {
			t.Errorf("%d: %v %v", i, adopted, err)
		}
	}
	if vs.Current() != m2 || vs.Stats.Stale != 1 || vs.Stats.Rejected != 2 || vs.Stats.Accepted != 2 {
		t.Errorf("%+v", vs.Stats)
	}
	again, err := Parse(m2.Encode())
	if err != nil || !again.sameShards(m2) || again.Epoch != 2 {
		t.Error(err)
	}
}

// An epoch is let go with its last query; those held too long, or beyond the number, are to be left, each once.
func TestViews_PinAndExpire(t *testing.T) {
	vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: 10 * time.Second, WarmupMinFraction: 1})
	m, now := threeShards(t), origin
	vs.Offer(now, m)
	var pins []*View
	for range 4 {
		pins = append(pins, vs.Pin())
		m = changedMap(t, m, 1, func(b map[ID]*Shard) { b[1].Weight++ })
		now = now.Add(time.Second)
		if _, err := vs.Offer(now, m); err != nil {
			t.Fatal(err)
		}
	}
	if e, q := vs.Pinned(); e != 4 || q != 4 {
		t.Errorf("%d epochs, %d queries", e, q)
	}
	if list := vs.Expired(now); len(list) != 2 || list[0] != pins[0] || list[1] != pins[1] {
		t.Errorf("%v", list)
	}
	if list := vs.Expired(now); len(list) != 0 {
		t.Errorf("told again: %v", list)
	}
	if due := vs.NextExpiry(); !due.Equal(origin.Add(13 * time.Second)) {
		t.Error(due)
	}
	if list := vs.Expired(origin.Add(13 * time.Second)); len(list) != 1 || list[0] != pins[2] {
		t.Errorf("%v", list)
	}
	for _, p := range pins {
		vs.Release(p)
	}
	if e, q := vs.Pinned(); e != 0 || q != 0 {
		t.Errorf("%d epochs, %d queries", e, q)
	}
}

// Holders that are new to a block are cold for it, others are not.
func TestViews_TrafficFraction_NewReplicasWarmUp(t *testing.T) {
	vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupPeriod: 16 * time.Second, WarmupMinFraction: 0.25})
	m := threeShards(t)
	vs.Offer(origin, m)
	p, err := PlanMigration(m, 2, []string{"b", "c"}, Timing{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range p.Steps[:2] {
		if m, err = p.Steps[i].Apply(m); err != nil {
			t.Fatal(err)
		}
		if _, err := vs.Offer(origin, m); err != nil {
			t.Fatal(err)
		}
	}
	for server, want := range map[string]float64{"a": 1, "b": 1, "c": 0.25} {
		for _, h := range m.Shard(2).ServingReplicas() {
			if h.Server == server && vs.TrafficFraction(origin, h) != want {
				t.Errorf("%s: %v", server, vs.TrafficFraction(origin, h))
			}
			if h.Server == "c" && (vs.TrafficFraction(origin.Add(8*time.Second), h) != 0.625 || vs.TrafficFraction(origin.Add(16*time.Second), h) != 1) {
				t.Error(vs.TrafficFraction(origin.Add(8*time.Second), h))
			}
		}
	}
}

// Plans reach what they are for by legal steps, whatever other plans do in between; a step done is found done.
func FuzzPlans(f *testing.F) {
	f.Add(uint64(1), uint16(60))
	f.Add(uint64(5), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 4))
		m := threeShards(t)
		servers := []string{"a", "b", "c", "d", "e"}
		type running struct {
			p *Plan
			n int
		}
		var plans []*running
		vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 3, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
		vs.Offer(origin, m)
		for range steps % 400 {
			var ids []ID
			m.Active(func(b *Shard) bool { ids = append(ids, b.ID); return true })
			i := rng.IntN(len(ids))
			b := m.Shard(ids[i])
			var p *Plan
			var err error
			switch rng.IntN(6) {
			case 0:
				to := slices.Clone(servers)
				rng.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
				p, err = PlanMigration(m, b.ID, to[:1+rng.IntN(3)], Timing{MapPropagation: 1, MaxQueryTime: 1})
			case 1:
				var at []Key
				for range 1 + rng.IntN(2) {
					k, _ := MakeKey(string(rune('a'+rng.IntN(26))), rng.IntN(9999))
					at = append(at, k)
				}
				p, err = PlanSplit(m, b.ID, at, Timing{MapPropagation: 1, MaxQueryTime: 1})
			case 2:
				if i+1 < len(ids) {
					p, err = PlanMerge(m, ids[i:i+2], Timing{MapPropagation: 1, MaxQueryTime: 1})
				}
			default:
				if len(plans) == 0 {
					continue
				}
				k := rng.IntN(len(plans))
				r := plans[k]
				next, err := r.p.Steps[r.n].Apply(m)
				if err != nil {
					if !strings.Contains(err.Error(), "given since") {
						t.Fatalf("%s, step %d: %v", r.p.What, r.n, err)
					}
					plans = slices.Delete(plans, k, k+1)
					continue
				}
				if _, err := vs.Offer(origin, next); err != nil {
					t.Fatalf("%s, step %d: %v", r.p.What, r.n, err)
				}
				whole, err := Parse(next.Encode()) // made whole, it is as it was made by changes
				if err != nil || !whole.sameShards(next) || whole.ActiveCount() != next.ActiveCount() || fmt.Sprint(whole.weight) == "NaN" {
					t.Fatalf("%s, step %d: %v", r.p.What, r.n, err)
				}
				on := whole.ShareWith(m) // as a source brings it
				if !on.sameShards(next) || !next.sameShards(on) || on.ActiveCount() != next.ActiveCount() || on.ValidateSuccession(m) != nil || !slices.EqualFunc((&View{Map: on}).Shards(), (&View{Map: next}).Shards(), (*Shard).equal) {
					t.Fatalf("%s, step %d: shared, it is another", r.p.What, r.n)
				}
				m = next
				if r.n++; r.p.StepsDone(m) != r.n {
					t.Fatalf("%s: %d steps are done, and %d are found", r.p.What, r.n, r.p.StepsDone(m))
				}
				if r.n == len(r.p.Steps) {
					plans = slices.Delete(plans, k, k+1)
				}
			}
			if err == nil && p != nil {
				// Two plans for one block, or one that does nothing, would stand in each other's way.
				next, err := p.Steps[0].Apply(m)
				if err != nil {
					t.Fatalf("%s: %v", p.What, err)
				}
				if _, err := vs.Offer(origin, next); err != nil {
					t.Fatalf("%s: %v", p.What, err)
				}
				m = next
				plans = append(plans, &running{p, 1})
			}
		}
	})
}

func TestPlan_RejectsInvalidArguments(t *testing.T) {
	m := threeShards(t)
	busy := changedMap(t, m, 1, func(b map[ID]*Shard) { b[2].State = Splitting })
	for name, err := range map[string]error{
		"not there":    planError(PlanMigration(m, 9, []string{"a"}, Timing{})),
		"no holder":    planError(PlanMigration(m, 2, nil, Timing{})),
		"twice":        planError(PlanMigration(m, 2, []string{"c", "c"}, Timing{})),
		"already":      planError(PlanMigration(m, 2, []string{"b", "a"}, Timing{})),
		"under way":    planError(PlanMigration(busy, 2, []string{"c"}, Timing{})),
		"no key":       planError(PlanSplit(m, 2, nil, Timing{})),
		"does not":     planError(PlanSplit(m, 2, []Key{"z@2000"}, Timing{})),
		"order":        planError(PlanSplit(m, 2, []Key{"k@2000", "h@2000"}, Timing{})),
		"not next to":  planError(PlanMerge(threeShards(t), []ID{1, 3}, Timing{})),
		"other hold":   planError(PlanMerge(m, []ID{2, 3}, Timing{})),
		"stands twice": planError(PlanMerge(m, []ID{2, 2}, Timing{})),
		"two blocks":   planError(PlanMerge(m, []ID{2}, Timing{})),
	} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func planError(_ *Plan, err error) error { return err }

// Words of servers: each has its outcome.
func TestQueryPlacement_Rejected(t *testing.T) {
	vs, _ := NewViews(ViewOptions{MaxPinnedEpochs: 2, MaxPinnedAge: time.Minute, WarmupMinFraction: 1})
	m1 := threeShards(t)
	vs.Offer(origin, m1)
	flight := func(safe bool, servers ...string) *QueryPlacement {
		return &QueryPlacement{View: vs.current, Idempotent: safe, Parts: []Part{{Shard: 2, Servers: servers}}}
	}
	// Another holder is left: it is asked, and the source, too.
	f := flight(false, "a", "b")
	if v := f.Rejected(vs, 0, "a", NotHeld, 2, vs.ObserveEpoch(origin, 2)); v != (Decision{DropServer: true, RequestMap: true}) || !slices.Equal(f.Parts[0].Servers, []string{"b"}) {
		t.Errorf("%+v %v", v, f.Parts)
	}
	// Nobody is left: a newer map may be on its way.
	if v := f.Rejected(vs, 0, "b", NotHeld, 2, vs.ObserveEpoch(origin, 2)); v != (Decision{DropServer: true, AwaitMap: true}) {
		t.Errorf("%+v", v)
	}
	// The source knows of none: no wait.
	vs.SourceUnchanged(origin)
	if v := f.ViewUnusable(vs); v != (Decision{}) {
		t.Errorf("%+v", v)
	}
	// It serves the block by the map that both know: a lie.
	f = flight(true, "a", "b")
	if v := f.Rejected(vs, 0, "a", NotHeld, 1, vs.ObserveEpoch(origin, 1)); !v.FalseRejection || v.RequestMap {
		t.Errorf("%+v", v)
	}
	// A newer map is there: the query begins anew, unless something of it may have run, or it is in its second step,
	// or has begun anew too often.
	m2 := changedMap(t, m1, 1, func(b map[ID]*Shard) { b[1].Weight = 2 })
	old := vs.Pin()
	vs.Offer(origin, m2)
	for name, c := range map[string]struct {
		f    QueryPlacement
		want bool
	}{
		"safe":           {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, MayHaveRun: true}}}, true},
		"never ran":      {QueryPlacement{Parts: []Part{{Shard: 2}}}, true},
		"may have run":   {QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true}}}, false},
		"another has":    {QueryPlacement{Parts: []Part{{Shard: 2}, {Shard: 3, Answered: true}}}, false},
		"second step":    {QueryPlacement{Idempotent: true, SecondStep: true, Parts: []Part{{Shard: 2}}}, false},
		"too often":      {QueryPlacement{Idempotent: true, Restarts: MaxRestarts, Parts: []Part{{Shard: 2}}}, false},
		"turned away":    {QueryPlacement{Parts: []Part{{Shard: 2, Servers: []string{"a"}}}}, true},
		"others to ask":  {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, Servers: []string{"a", "b"}}}}, false},
		"ran, and away":  {QueryPlacement{Parts: []Part{{Shard: 2, MayHaveRun: true, Servers: []string{"a"}}}}, false},
		"is in, and low": {QueryPlacement{Idempotent: true, Parts: []Part{{Shard: 2, Answered: true, Servers: []string{"a"}}}}, false},
	} {
		c.f.View = old
		if v := c.f.Rejected(vs, 0, "a", NotHeld, 2, false); v.Restart != c.want || v.AwaitMap {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
