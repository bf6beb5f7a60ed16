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

type placementState struct {
	started  bool
	view     int // index of the pinned map
	restarts int
	outcome  string
	parts    []partState
}

type partState struct {
	shard      ID
	candidates uint8 // servers that may be asked, by bit
	server     int8  // server of the attempt that is out; -1: none is
	phase      byte  // of the attempt: 's' sent, 'r' running at the node, 'a' answered, 'n' turned away, on its way back
	attempts   uint8
	mayHaveRun bool
	answered   bool
}

type systemState struct {
	known          [4]int // map that each node knows
	published      int    // published
	adopted        int    // adopted by the mixer
	correctionRuns int    // of the correction
	correction     placementState
	search         placementState
}

func (w systemState) clone() systemState {
	w.correction.parts, w.search.parts = slices.Clone(w.correction.parts), slices.Clone(w.search.parts)
	return w
}

type explorer struct {
	t                 *testing.T
	maps              []*Map
	servers           []string
	key               Key   // of the correction
	maxSearchAttempts uint8 // of a part of the search; of the correction 2
	visited           map[string]bool
	outcomes          map[string]int
}

// key of a state: two states with the same key are the same.
func (w *systemState) key() string {
	b := make([]byte, 0, 64)
	for _, t := range w.known {
		b = append(b, byte(t))
	}
	b = append(b, byte(w.published), byte(w.adopted), byte(w.correctionRuns))
	for _, f := range []*placementState{&w.correction, &w.search} {
		flags := byte(0)
		if f.started {
			flags = 1
		}
		b = append(b, flags, byte(f.view), byte(f.restarts), byte(len(f.outcome)), byte(len(f.parts)))
		for _, p := range f.parts {
			flags = 0
			if p.mayHaveRun {
				flags |= 1
			}
			if p.answered {
				flags |= 2
			}
			b = append(b, byte(p.shard), p.candidates, byte(p.server+1), p.phase, p.attempts, flags)
		}
	}
	return string(b)
}

func (x *explorer) bit(server string) int { return slices.Index(x.servers, server) }

// serves says what a node, by the map that it knows, does with a part of a block: serves it, or says since when not.
func (x *explorer) serves(w *systemState, server int, b ID) (bool, Epoch) {
	m := x.maps[w.known[server]]
	if blk := m.Shard(b); blk != nil && blk.ServedBy(x.servers[server]) {
		return true, 0
	}
	return false, m.Epoch
}

// pin begins a flight on the mixer's present map.
func (x *explorer) pin(w *systemState, f *placementState, correction bool) {
	f.started, f.view, f.parts = true, w.adopted, nil
	m := x.maps[w.adopted]
	add := func(b *Shard) {
		p := partState{shard: b.ID, server: -1}
		for _, h := range b.ServingReplicas() {
			p.candidates |= 1 << x.bit(h.Server)
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
func (x *explorer) decide(w *systemState, f *placementState, part, server int, epoch Epoch, safe bool) Decision {
	vs := &Views{options: ViewOptions{MaxPinnedEpochs: 9, MaxPinnedAge: 1, WarmupMinFraction: 1}, current: &View{Map: x.maps[w.adopted]}}
	fl := &QueryPlacement{View: &View{Map: x.maps[f.view]}, Idempotent: safe, Restarts: f.restarts}
	for _, p := range f.parts {
		one := Part{Shard: p.shard, MayHaveRun: p.mayHaveRun, Answered: p.answered}
		for i, s := range x.servers {
			if p.candidates>>i&1 == 1 {
				one.Servers = append(one.Servers, s)
			}
		}
		fl.Parts = append(fl.Parts, one)
	}
	ask := vs.ObserveEpoch(origin, epoch)
	return fl.Rejected(vs, part, x.servers[server], NotHeld, epoch, ask)
}

// transitions calls f with each state that may follow.
func (x *explorer) transitions(w systemState, f func(systemState)) {
	// A node learns the epoch behind the published one; once all have, it is published.
	if w.published+1 < len(x.maps) {
		all := true
		for i := range x.servers {
			if w.known[i] <= w.published {
				all = false
				n := w.clone()
				n.known[i] = w.published + 1
				f(n)
			}
		}
		if all {
			n := w.clone()
			n.published++
			f(n)
		}
	}
	if w.adopted < w.published {
		n := w.clone()
		n.adopted = w.published // epochs between are never seen
		f(n)
	}
	for _, correction := range []bool{true, false} {
		x.queryTransitions(w, correction, f)
	}
}

func (x *explorer) maxAttempts(correction bool) uint8 {
	if correction {
		return 2
	}
	return x.maxSearchAttempts
}

func (x *explorer) queryTransitions(w systemState, correction bool, f func(systemState)) {
	of := func(w *systemState) *placementState {
		if correction {
			return &w.correction
		}
		return &w.search
	}
	fl := of(&w)
	if fl.outcome != "" {
		return
	}
	if !fl.started {
		n := w.clone()
		x.pin(&n, of(&n), correction)
		f(n)
		return
	}
	out := false
	for i := range fl.parts {
		p := &fl.parts[i]
		out = out || p.server >= 0
		change := func(g func(w *systemState, p *partState)) {
			n := w.clone()
			g(&n, &of(&n).parts[i])
			f(n)
		}
		switch {
		case p.answered:
		case p.server < 0 && (!p.mayHaveRun || !correction) && p.attempts < x.maxAttempts(correction):
			for s := range x.servers {
				if p.candidates>>s&1 == 1 {
					change(func(_ *systemState, p *partState) { p.server, p.phase, p.attempts = int8(s), 's', p.attempts+1 })
				}
			}
		case p.server >= 0 && p.phase == 's':
			change(func(w *systemState, p *partState) { // it arrives
				if ok, _ := x.serves(w, int(p.server), p.shard); ok {
					p.phase = 'r'
					if correction {
						w.correctionRuns++
					}
				} else {
					p.phase = 'n'
				}
			})
			change(func(_ *systemState, p *partState) { p.server = -1 }) // no connection: it never ran
		case p.server >= 0 && p.phase == 'r':
			change(func(_ *systemState, p *partState) { p.answered, p.server = true, -1 })   // the answer
			change(func(_ *systemState, p *partState) { p.mayHaveRun, p.server = true, -1 }) // or a reset, or a time-out
		case p.server >= 0 && p.phase == 'n':
			n := w.clone()
			g := of(&n)
			q := &g.parts[i]
			server := int(q.server)
			_, epoch := x.serves(&n, server, q.shard)
			q.server = -1
			v := x.decide(&n, g, i, server, epoch, !correction)
			if v.DropServer {
				q.candidates &^= 1 << server
			}
			if v.Restart {
				still := slices.ContainsFunc(g.parts, func(p partState) bool { return p.server >= 0 })
				if correction && (g.parts[0].mayHaveRun || g.parts[0].answered || still) {
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
		whole = whole && p.answered
		stuck = stuck || !p.answered && (p.candidates == 0 || p.attempts >= x.maxAttempts(correction) || correction && p.mayHaveRun)
	}
	if whole || stuck {
		n := w.clone()
		g := of(&n)
		switch {
		case whole:
			g.outcome = "whole"
		case correction && g.parts[0].mayHaveRun:
			g.outcome = "failed"
		default:
			g.outcome = "refused"
		}
		f(n)
	}
}

// checkInvariants holds a state against the rules.
func (x *explorer) checkInvariants(w *systemState) {
	if w.correctionRuns > 1 {
		x.t.Fatalf("the correction ran %d times: %+v", w.correctionRuns, *w)
	}
	if w.correction.outcome == "whole" && w.correctionRuns != 1 || w.correction.outcome == "refused" && w.correctionRuns != 0 {
		x.t.Fatalf("the correction is %s, and ran %d times: %+v", w.correction.outcome, w.correctionRuns, *w)
	}
	if w.search.outcome != "whole" {
		return
	}
	// Every key in exactly one of the blocks that answered, and all of one view.
	m := x.maps[w.search.view]
	var list []*Shard
	for _, p := range w.search.parts {
		list = append(list, m.Shard(p.shard))
	}
	slices.SortFunc(list, func(a, b *Shard) int { return compareKeys(a.From, b.From) })
	if err := checkCoverage(list); err != nil || len(list) != m.ActiveCount() {
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
	stack := []systemState{{}}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		k := w.key()
		if x.visited[k] {
			continue
		}
		x.visited[k] = true
		x.checkInvariants(&w)
		if w.correction.outcome != "" && w.search.outcome != "" {
			x.outcomes[w.correction.outcome+"/"+w.search.outcome]++
		}
		x.transitions(w, func(n systemState) { stack = append(stack, n) })
	}
}

// longRuns says whether long runs are wanted.
func longRuns() bool { return os.Getenv("ROOKTRESTLE_LONG") != "" }

// All interleavings of one move, split or merge with one correction and one search. With ROOKTRESTLE_LONG set each part
// of the search has two attempts, else one.
func TestInterleavings_QueriesAreCorrect(t *testing.T) {
	base := func() *Map {
		m, err := New("captions", 1, 2, []*Shard{{ID: 1, State: Serving, Replicas: replicasOn("a", "b")}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	two := func() *Map {
		m, err := New("captions", 1, 3, []*Shard{{ID: 1, To: "m@2000", State: Serving, Replicas: replicasOn("a", "b")}, {ID: 2, From: "m@2000", State: Serving, Replicas: replicasOn("a", "b")}})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	tries := uint8(1)
	if longRuns() {
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
		x := &explorer{t: t, maps: []*Map{c.m}, servers: []string{"a", "b", "c", "d"}, key: "x@2000", maxSearchAttempts: tries, visited: map[string]bool{}, outcomes: map[string]int{}}
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
		t.Logf("%s: %d states visited; ends (correction/search): %v", name, len(x.visited), x.outcomes)
		if len(x.visited) < 1000 || x.outcomes["whole/whole"] == 0 || x.outcomes["refused/whole"] == 0 {
			t.Errorf("%s: %d states, ends %v", name, len(x.visited), x.outcomes)
		}
	}
}
