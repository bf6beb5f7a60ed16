package shardmap

import (
	"cmp"
	"os"
	"slices"
	"testing"
)

// The tests of this file explore all states of one change of shards with one correction, which must not run twice, and
// one search. In any order, servers receive an epoch, the epoch is published and adopted (epochs may be skipped), and
// parts are sent, arrive, are answered, lose their answers or fail to connect. The waits of the plan are left out,
// since safety must not depend on them. The servers are a model; the maps, the plan's steps and the decisions after
// rejections are those of the package.

// queryKind is one of the two queries of the model.
type queryKind int

const (
	correction queryKind = iota
	search
)

// outcome is how a query completed.
type outcome byte

const (
	unfinished outcome = iota
	complete
	failed
	rejected
)

func (o outcome) String() string {
	return [...]string{"unfinished", "complete", "failed", "rejected"}[o]
}

// phase is the progress of a part's attempt in flight.
type phase byte

const (
	sent      phase = iota + 1 // on its way to the server
	running                    // at the server
	rejection                  // the server's rejection is on its way back
)

const noServer = -1

// partState is one part of a query. The server is that of the attempt in flight, or noServer.
type partState struct {
	shard      ID
	candidates uint8 // servers that may be sent the part, by bit
	server     int8
	phase      phase
	attempts   uint8
	mayHaveRun bool
	answered   bool
}

type queryState struct {
	started  bool
	view     int // index of the pinned map
	restarts int
	outcome  outcome
	parts    []partState
}

// systemState is a state of the complete model. Maps are identified by their indices.
type systemState struct {
	received       [4]int // newest map that each server has received
	published      int
	adopted        int // by the aggregator
	correctionRuns int // how often the correction ran at a server
	queries        [2]queryState
}

func (s systemState) clone() systemState {
	for i := range s.queries {
		s.queries[i].parts = slices.Clone(s.queries[i].parts)
	}
	return s
}

// key identifies a state: states with equal keys are equal.
func (s *systemState) key() string {
	b := make([]byte, 0, 64)
	for _, received := range s.received {
		b = append(b, byte(received))
	}
	b = append(b, byte(s.published), byte(s.adopted), byte(s.correctionRuns))
	for i := range s.queries {
		q := &s.queries[i]
		b = append(b, flags(q.started), byte(q.view), byte(q.restarts), byte(q.outcome), byte(len(q.parts)))
		for _, p := range q.parts {
			b = append(b, byte(p.shard), p.candidates, byte(p.server+1), byte(p.phase), p.attempts)
			b = append(b, flags(p.mayHaveRun, p.answered))
		}
	}
	return string(b)
}

func flags(set ...bool) (bits byte) {
	for i, b := range set {
		if b {
			bits |= 1 << i
		}
	}
	return bits
}

// explorer visits all reachable states.
type explorer struct {
	t           *testing.T
	maps        []*Map
	servers     []string
	key         Key // of the correction
	maxAttempts [2]uint8
	visited     map[string]bool
	outcomes    map[[2]outcome]int // number of states in which both queries have completed
	stack       []systemState      // to be visited
}

func (x *explorer) run() {
	x.stack = []systemState{{}}
	for len(x.stack) > 0 {
		s := x.stack[len(x.stack)-1]
		x.stack = x.stack[:len(x.stack)-1]
		key := s.key()
		if x.visited[key] {
			continue
		}
		x.visited[key] = true
		x.checkInvariants(&s)
		outcomes := [2]outcome{s.queries[correction].outcome, s.queries[search].outcome}
		if outcomes[correction] != unfinished && outcomes[search] != unfinished {
			x.outcomes[outcomes]++
		}
		x.mapTransitions(s)
		x.queryTransitions(s, correction)
		x.queryTransitions(s, search)
	}
}

// push adds the state that an edit makes of s.
func (x *explorer) push(s systemState, edit func(*systemState)) {
	next := s.clone()
	edit(&next)
	x.stack = append(x.stack, next)
}

// mapTransitions has servers receive an epoch, publishes it or has the aggregator adopt it. Servers receive the epoch
// after the published one; once all have received it, it is published.
func (x *explorer) mapTransitions(s systemState) {
	if s.published+1 < len(x.maps) {
		allReceived := true
		for i := range x.servers {
			if s.received[i] <= s.published {
				allReceived = false
				x.push(s, func(n *systemState) { n.received[i] = n.published + 1 })
			}
		}
		if allReceived {
			x.push(s, func(n *systemState) { n.published++ })
		}
	}
	if s.adopted < s.published { // epochs in between are skipped
		x.push(s, func(n *systemState) { n.adopted = n.published })
	}
}

// queryTransitions has a query start, each of its parts proceed, or the query complete.
func (x *explorer) queryTransitions(s systemState, kind queryKind) {
	q := &s.queries[kind]
	if q.outcome != unfinished {
		return
	}
	if !q.started {
		x.push(s, func(n *systemState) { x.pin(n, kind) })
		return
	}
	inFlight := false
	for i := range q.parts {
		inFlight = inFlight || q.parts[i].server != noServer
		x.partTransitions(s, kind, i)
	}
	if inFlight {
		return
	}
	if result := x.outcomeOf(q, kind); result != unfinished {
		x.push(s, func(n *systemState) { n.queries[kind].outcome = result })
	}
}

// partTransitions has a part, given by its index, be sent, fail to connect, arrive, be answered, lose its answer or be
// rejected.
func (x *explorer) partTransitions(s systemState, kind queryKind, part int) {
	p := &s.queries[kind].parts[part]
	push := func(edit func(*partState)) {
		x.push(s, func(n *systemState) { edit(&n.queries[kind].parts[part]) })
	}
	switch {
	case p.answered:
	case p.server == noServer:
		if kind == correction && p.mayHaveRun || p.attempts >= x.maxAttempts[kind] {
			return
		}
		for server := range x.servers {
			if p.candidates>>server&1 == 1 {
				push(func(p *partState) {
					p.server = int8(server)
					p.phase = sent
					p.attempts++
				})
			}
		}
	case p.phase == sent:
		x.push(s, func(n *systemState) { x.arrive(n, kind, part) })
		push(func(p *partState) { p.server = noServer }) // no connection: it never ran
	case p.phase == running:
		push(func(p *partState) {
			p.answered = true
			p.server = noServer
		})
		push(func(p *partState) { // reset or timed out
			p.mayHaveRun = true
			p.server = noServer
		})
	case p.phase == rejection:
		x.push(s, func(n *systemState) { x.reject(n, kind, part) })
	}
}

// arrive delivers a part to its server, which runs or rejects it.
func (x *explorer) arrive(s *systemState, kind queryKind, part int) {
	p := &s.queries[kind].parts[part]
	if serves, _ := x.serves(s, int(p.server), p.shard); !serves {
		p.phase = rejection
		return
	}
	p.phase = running
	if kind == correction {
		s.correctionRuns++
	}
}

// reject delivers the rejection of a part to the aggregator, which drops the server and may restart the query.
func (x *explorer) reject(s *systemState, kind queryKind, part int) {
	q := &s.queries[kind]
	p := &q.parts[part]
	server := int(p.server)
	_, epoch := x.serves(s, server, p.shard)
	p.server = noServer
	decision := x.decide(s, kind, part, server, epoch)
	if decision.ServerDropped {
		p.candidates &^= 1 << server
	}
	if !decision.Restart {
		return
	}
	inFlight := slices.ContainsFunc(q.parts, func(p partState) bool { return p.server != noServer })
	if kind == correction && (q.parts[0].mayHaveRun || q.parts[0].answered || inFlight) {
		x.t.Fatalf("a correction that may have run is restarted: %+v", *s)
	}
	// Attempts of a search that are in flight are canceled first and have no further effect; a correction has none.
	q.restarts++
	x.pin(s, kind)
}

// outcomeOf returns the outcome of a query without attempts in flight, or unfinished if it can proceed.
func (x *explorer) outcomeOf(q *queryState, kind queryKind) outcome {
	allAnswered := true
	stuck := false
	for _, p := range q.parts {
		allAnswered = allAnswered && p.answered
		exhausted := p.candidates == 0 || p.attempts >= x.maxAttempts[kind] || kind == correction && p.mayHaveRun
		stuck = stuck || !p.answered && exhausted
	}
	switch {
	case allAnswered:
		return complete
	case !stuck:
		return unfinished
	case kind == correction && q.parts[0].mayHaveRun:
		return failed
	}
	return rejected
}

// pin starts a query on the map that the aggregator has adopted.
func (x *explorer) pin(s *systemState, kind queryKind) {
	q := &s.queries[kind]
	q.started = true
	q.view = s.adopted
	q.parts = nil
	m := x.maps[s.adopted]
	if kind == correction {
		q.parts = append(q.parts, x.newPart(m.Lookup(x.key)))
		return
	}
	for shard := range m.Active {
		q.parts = append(q.parts, x.newPart(shard))
	}
}

func (x *explorer) newPart(shard *Shard) partState {
	p := partState{shard: shard.ID, server: noServer}
	for _, r := range shard.ServingReplicas() {
		p.candidates |= 1 << slices.Index(x.servers, r.Server)
	}
	return p
}

// serves reports whether a server serves a shard by the newest map that it has received, and that map's epoch.
func (x *explorer) serves(s *systemState, server int, id ID) (bool, Epoch) {
	m := x.maps[s.received[server]]
	shard := m.Shard(id)
	return shard != nil && shard.ServedBy(x.servers[server]), m.Epoch
}

// decide returns the decision of QueryPlacement after a rejection.
func (x *explorer) decide(s *systemState, kind queryKind, part, server int, epoch Epoch) Decision {
	q := &s.queries[kind]
	vs := &Views{
		options: ViewOptions{MaxPinnedEpochs: 9, MaxPinnedAge: 1, WarmupMinFraction: 1},
		current: &View{Map: x.maps[s.adopted]},
	}
	placement := &QueryPlacement{
		View:       &View{Map: x.maps[q.view]},
		Idempotent: kind == search,
		Restarts:   q.restarts,
	}
	for _, p := range q.parts {
		placed := Part{Shard: p.shard, MayHaveRun: p.mayHaveRun, Answered: p.answered}
		for i, name := range x.servers {
			if p.candidates>>i&1 == 1 {
				placed.Servers = append(placed.Servers, name)
			}
		}
		placement.Parts = append(placement.Parts, placed)
	}
	return placement.Rejected(vs, Rejection{
		Part:       part,
		Server:     x.servers[server],
		Mismatch:   NoLongerServed,
		Epoch:      epoch,
		RequestMap: vs.ObserveEpoch(origin, epoch),
	})
}

// checkInvariants fails the test if a state violates an invariant: the correction runs at most once, its outcome
// reports whether it ran, and a complete search has every key in exactly one shard of one view.
func (x *explorer) checkInvariants(s *systemState) {
	if s.correctionRuns > 1 {
		x.t.Fatalf("the correction ran %d times: %+v", s.correctionRuns, *s)
	}
	result := s.queries[correction].outcome
	if result == complete && s.correctionRuns != 1 || result == rejected && s.correctionRuns != 0 {
		x.t.Fatalf("the correction is %s and ran %d times: %+v", result, s.correctionRuns, *s)
	}
	q := &s.queries[search]
	if q.outcome != complete {
		return
	}
	m := x.maps[q.view]
	var answered []*Shard
	for _, p := range q.parts {
		answered = append(answered, m.Shard(p.shard))
	}
	slices.SortFunc(answered, func(a, b *Shard) int { return cmp.Compare(a.From, b.From) })
	if err := checkCoverage(answered); err != nil || len(answered) != m.ActiveCount() {
		x.t.Fatalf("a complete answer from shards that do not cover each key exactly once: %v: %+v", err, *s)
	}
}

// longRuns reports whether long tests are enabled.
func longRuns() bool { return os.Getenv("ROOKTRESTLE_LONG") != "" }

// mapOnFirstServers returns a map of shards that the servers a and b serve.
func mapOnFirstServers(t *testing.T, shards ...*Shard) *Map {
	t.Helper()
	for _, s := range shards {
		s.State = Serving
		s.Replicas = replicasOn("a", "b")
	}
	m, err := New("captions", 1, ID(len(shards)+1), shards)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// mapsOfPlan returns a map and the maps after each step of a plan.
func mapsOfPlan(t *testing.T, first *Map, plan *Plan) []*Map {
	t.Helper()
	maps := []*Map{first}
	for i := range plan.Steps {
		next, err := plan.Steps[i].Apply(maps[i])
		if err != nil {
			t.Fatal(err)
		}
		maps = append(maps, next)
	}
	return maps
}

// A correction runs at most once, and a complete search covers each key once, in all interleavings of one migration,
// split or merge with one correction and one search. If ROOKTRESTLE_LONG is set, each part of the search has two
// attempts, else one.
func TestInterleavings_QueriesAreCorrect(t *testing.T) {
	oneShard := mapOnFirstServers(t, &Shard{ID: 1})
	twoShards := mapOnFirstServers(t, &Shard{ID: 1, To: "m@2000"}, &Shard{ID: 2, From: "m@2000"})
	allServers := []string{"a", "b", "c", "d"}
	firstServers := allServers[:2]
	maxAttempts := [2]uint8{correction: 2, search: 1}
	if longRuns() {
		maxAttempts[search] = 2
	}
	for name, c := range map[string]struct {
		m       *Map
		servers []string
		plan    func(*Map) (*Plan, error)
	}{
		"migrate to other servers": {
			m:       oneShard,
			servers: allServers,
			plan:    func(m *Map) (*Plan, error) { return PlanMigration(m, 1, []string{"c", "d"}, Timing{}) },
		},
		"replace one server": {
			m:       oneShard,
			servers: allServers,
			plan:    func(m *Map) (*Plan, error) { return PlanMigration(m, 1, []string{"b", "c"}, Timing{}) },
		},
		"split": {
			m:       oneShard,
			servers: firstServers,
			plan:    func(m *Map) (*Plan, error) { return PlanSplit(m, 1, []Key{"m@2000"}, Timing{}) },
		},
		"merge": {
			m:       twoShards,
			servers: firstServers,
			plan:    func(m *Map) (*Plan, error) { return PlanMerge(m, []ID{1, 2}, Timing{}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			plan, err := c.plan(c.m)
			if err != nil {
				t.Fatal(err)
			}
			x := &explorer{
				t:           t,
				maps:        mapsOfPlan(t, c.m, plan),
				servers:     c.servers,
				key:         "x@2000",
				maxAttempts: maxAttempts,
				visited:     map[string]bool{},
				outcomes:    map[[2]outcome]int{},
			}
			x.run()
			t.Logf("%d states visited; outcomes (correction, search): %v", len(x.visited), x.outcomes)
			bothComplete := x.outcomes[[2]outcome{complete, complete}]
			searchComplete := x.outcomes[[2]outcome{rejected, complete}]
			if len(x.visited) < 1000 || bothComplete == 0 || searchComplete == 0 {
				t.Errorf("only %d states visited, or outcomes are missing: %v", len(x.visited), x.outcomes)
			}
		})
	}
}
