package shardmap

import (
	"os"
	"slices"
	"testing"
)

// An exhaustive search of one reshape with one correction and one search: every order of nodes that learn of an epoch,
// of its publication and adoption (epochs may be skipped), of sends, arrivals, answers, lost answers and refused
// connections. Waits of the plan are left out on purpose: safety must not rest on them. The nodes are a model of their
// own; the maps, the plan's steps and what is decided on words are the real ones.

type flightState struct {
	begun    bool
	view     int // index of the pinned map
	restarts int
	done     string
	parts    []partState
}

type partState struct {
	block  ID
	left   uint8 // servers that may be asked, by bit
	at     int8  // server of the attempt that is out; -1: none is
	where  byte  // of the attempt: 's' sent, 'r' running at the node, 'a' answered, 'n' turned away, on its way back
	tries  uint8
	mayRun bool
	in     bool
}

type worldState struct {
	told  [4]int // map that each node knows
	pub   int    // published
	mix   int    // adopted by the mixer
	ran   int    // of the correction
	corr  flightState
	query flightState
}

func (w worldState) clone() worldState {
	w.corr.parts, w.query.parts = slices.Clone(w.corr.parts), slices.Clone(w.query.parts)
	return w
}

type explorer struct {
	t       *testing.T
	maps    []*Map
	servers []string
	key     Key   // of the correction
	tries   uint8 // of a part of the search; of the correction 2
	seen    map[string]bool
	ends    map[string]int
}

// key of a state: two states with the same key are the same.
func (w *worldState) key() string {
	b := make([]byte, 0, 64)
	for _, t := range w.told {
		b = append(b, byte(t))
	}
	b = append(b, byte(w.pub), byte(w.mix), byte(w.ran))
	for _, f := range []*flightState{&w.corr, &w.query} {
		flags := byte(0)
		if f.begun {
			flags = 1
		}
		b = append(b, flags, byte(f.view), byte(f.restarts), byte(len(f.done)), byte(len(f.parts)))
		for _, p := range f.parts {
			flags = 0
			if p.mayRun {
				flags |= 1
			}
			if p.in {
				flags |= 2
			}
			b = append(b, byte(p.block), p.left, byte(p.at+1), p.where, p.tries, flags)
		}
	}
	return string(b)
}

func (x *explorer) bit(server string) int { return slices.Index(x.servers, server) }

// holds says what a node, by the map that it knows, does with a part of a block: serves it, or says since when not.
func (x *explorer) holds(w *worldState, server int, b ID) (bool, Epoch) {
	m := x.maps[w.told[server]]
	if blk := m.Shard(b); blk != nil && blk.ServedBy(x.servers[server]) {
		return true, 0
	}
	return false, m.Epoch
}

// pin begins a flight on the mixer's present map.
func (x *explorer) pin(w *worldState, f *flightState, correction bool) {
	f.begun, f.view, f.parts = true, w.mix, nil
	m := x.maps[w.mix]
	add := func(b *Shard) {
		p := partState{block: b.ID, at: -1}
		for _, h := range b.ServingReplicas() {
			p.left |= 1 << x.bit(h.Server)
		}
		f.parts = append(f.parts, p)
	}
	if correction {
		add(m.Lookup(x.key))
		return
	}
	m.Active(func(b *Shard) bool { add(b); return true })
}

// decide asks the real Flight what becomes of a word.
func (x *explorer) decide(w *worldState, f *flightState, part, server int, epoch Epoch, safe bool) Decision {
	vs := &Views{rules: ViewOptions{MaxPinnedEpochs: 9, MaxPinnedAge: 1, WarmupMinFraction: 1}, now: &View{Map: x.maps[w.mix]}}
	fl := &QueryPlacement{View: &View{Map: x.maps[f.view]}, Idempotent: safe, Restarts: f.restarts}
	for _, p := range f.parts {
		one := Part{Shard: p.block, MayHaveRun: p.mayRun, Answered: p.in}
		for i, s := range x.servers {
			if p.left>>i&1 == 1 {
				one.Servers = append(one.Servers, s)
			}
		}
		fl.Parts = append(fl.Parts, one)
	}
	ask := vs.ObserveEpoch(origin, epoch)
	return fl.Rejected(vs, part, x.servers[server], NotHeld, epoch, ask)
}

// next calls f with each state that may follow.
func (x *explorer) next(w worldState, f func(worldState)) {
	// A node learns the epoch behind the published one; once all have, it is published.
	if w.pub+1 < len(x.maps) {
		all := true
		for i := range x.servers {
			if w.told[i] <= w.pub {
				all = false
				n := w.clone()
				n.told[i] = w.pub + 1
				f(n)
			}
		}
		if all {
			n := w.clone()
			n.pub++
			f(n)
		}
	}
	if w.mix < w.pub {
		n := w.clone()
		n.mix = w.pub // epochs between are never seen
		f(n)
	}
	for _, correction := range []bool{true, false} {
		x.flights(w, correction, f)
	}
}

func (x *explorer) most(correction bool) uint8 {
	if correction {
		return 2
	}
	return x.tries
}

func (x *explorer) flights(w worldState, correction bool, f func(worldState)) {
	of := func(w *worldState) *flightState {
		if correction {
			return &w.corr
		}
		return &w.query
	}
	fl := of(&w)
	if fl.done != "" {
		return
	}
	if !fl.begun {
		n := w.clone()
		x.pin(&n, of(&n), correction)
		f(n)
		return
	}
	out := false
	for i := range fl.parts {
		p := &fl.parts[i]
		out = out || p.at >= 0
		change := func(g func(w *worldState, p *partState)) {
			n := w.clone()
			g(&n, &of(&n).parts[i])
			f(n)
		}
		switch {
		case p.in:
		case p.at < 0 && (!p.mayRun || !correction) && p.tries < x.most(correction):
			for s := range x.servers {
				if p.left>>s&1 == 1 {
					change(func(_ *worldState, p *partState) { p.at, p.where, p.tries = int8(s), 's', p.tries+1 })
				}
			}
		case p.at >= 0 && p.where == 's':
			change(func(w *worldState, p *partState) { // it arrives
				if ok, _ := x.holds(w, int(p.at), p.block); ok {
					p.where = 'r'
					if correction {
						w.ran++
					}
				} else {
					p.where = 'n'
				}
			})
			change(func(_ *worldState, p *partState) { p.at = -1 }) // no connection: it never ran
		case p.at >= 0 && p.where == 'r':
			change(func(_ *worldState, p *partState) { p.in, p.at = true, -1 })     // the answer
			change(func(_ *worldState, p *partState) { p.mayRun, p.at = true, -1 }) // or a reset, or a time-out
		case p.at >= 0 && p.where == 'n':
			n := w.clone()
			g := of(&n)
			q := &g.parts[i]
			server := int(q.at)
			_, epoch := x.holds(&n, server, q.block)
			q.at = -1
			v := x.decide(&n, g, i, server, epoch, !correction)
			if v.DropServer {
				q.left &^= 1 << server
			}
			if v.Restart {
				still := slices.ContainsFunc(g.parts, func(p partState) bool { return p.at >= 0 })
				if correction && (g.parts[0].mayRun || g.parts[0].in || still) {
					x.t.Fatalf("a correction that may have run begins anew: %+v", n)
				}
				// What is out of it is withdrawn first, and then tells nothing any more; a correction has none.
				g.restarts++
				x.pin(&n, g, correction)
			}
			f(n)
		}
	}
	if out {
		return
	}
	whole, stuck := true, false
	for _, p := range fl.parts {
		whole = whole && p.in
		stuck = stuck || !p.in && (p.left == 0 || p.tries >= x.most(correction) || correction && p.mayRun)
	}
	if whole || stuck {
		n := w.clone()
		g := of(&n)
		switch {
		case whole:
			g.done = "whole"
		case correction && g.parts[0].mayRun:
			g.done = "failed"
		default:
			g.done = "refused"
		}
		f(n)
	}
}

// check holds a state against the rules.
func (x *explorer) check(w *worldState) {
	if w.ran > 1 {
		x.t.Fatalf("the correction ran %d times: %+v", w.ran, *w)
	}
	if w.corr.done == "whole" && w.ran != 1 || w.corr.done == "refused" && w.ran != 0 {
		x.t.Fatalf("the correction is %s, and ran %d times: %+v", w.corr.done, w.ran, *w)
	}
	if w.query.done != "whole" {
		return
	}
	// Every key in exactly one of the blocks that answered, and all of one view.
	m := x.maps[w.query.view]
	var list []*Shard
	for _, p := range w.query.parts {
		list = append(list, m.Shard(p.block))
	}
	slices.SortFunc(list, func(a, b *Shard) int { return compareKeys(a.From, b.From) })
	if err := covers(list); err != nil || len(list) != m.ActiveCount() {
		x.t.Fatalf("a whole answer of blocks that do not cover the archive once: %v: %+v", err, *w)
	}
}

func compareKeys(a, b Key) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (x *explorer) run() {
	stack := []worldState{{}}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		k := w.key()
		if x.seen[k] {
			continue
		}
		x.seen[k] = true
		x.check(&w)
		if w.corr.done != "" && w.query.done != "" {
			x.ends[w.corr.done+"/"+w.query.done]++
		}
		x.next(w, func(n worldState) { stack = append(stack, n) })
	}
}

// long says whether long runs are wanted.
func long() bool { return os.Getenv("ROOKTRESTLE_LONG") != "" }

// All interleavings of one move, split or merge with one correction and one search. With ROOKTRESTLE_LONG set each part
// of the search has two attempts, else one.
func TestAllInterleavings(t *testing.T) {
	base := func() *Map {
		m, err := New("captions", 1, 2, []*Shard{{ID: 1, State: Serving, Replicas: held("a", "b")}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	two := func() *Map {
		m, err := New("captions", 1, 3, []*Shard{{ID: 1, To: "m@2000", State: Serving, Replicas: held("a", "b")}, {ID: 2, From: "m@2000", State: Serving, Replicas: held("a", "b")}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	tries := uint8(1)
	if long() {
		tries = 2
	}
	for name, c := range map[string]struct {
		m    *Map
		plan func(*Map) (*Plan, error)
	}{
		"move all":  {base(), func(m *Map) (*Plan, error) { return PlanMigration(m, 1, []string{"c", "d"}, Timing{}) }},
		"move half": {base(), func(m *Map) (*Plan, error) { return PlanMigration(m, 1, []string{"b", "c"}, Timing{}) }},
		"split":     {base(), func(m *Map) (*Plan, error) { return PlanSplit(m, 1, []Key{"m@2000"}, Timing{}) }},
		"merge":     {two(), func(m *Map) (*Plan, error) { return PlanMerge(m, []ID{1, 2}, Timing{}) }},
	} {
		x := &explorer{t: t, maps: []*Map{c.m}, servers: []string{"a", "b", "c", "d"}, key: "x@2000", tries: tries, seen: map[string]bool{}, ends: map[string]int{}}
		if name == "split" || name == "merge" {
			x.servers = x.servers[:2]
		}
		p, err := c.plan(c.m)
		if err != nil {
			t.Fatal(err)
		}
		m := c.m
		for i := range p.Steps {
			if m, err = p.Steps[i].Apply(m); err != nil {
				t.Fatal(err)
			}
			x.maps = append(x.maps, m)
		}
		x.run()
		t.Logf("%s: %d states visited; ends (correction/search): %v", name, len(x.seen), x.ends)
		if len(x.seen) < 1000 || x.ends["whole/whole"] == 0 || x.ends["refused/whole"] == 0 {
			t.Errorf("%s: %d states, ends %v", name, len(x.seen), x.ends)
		}
	}
}
