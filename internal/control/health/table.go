package health

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/control/timers"
)

// Table stores the evidence on servers. It is owned by one goroutine. A server's evidence is dropped when the server is
// removed from the endpoint list. All times must be from one clock; a time before the latest one given is replaced by
// the latest.
//
// Internally a server is identified by its index in servers, which is reused after the server was removed.
type Table struct {
	rules       Rules
	checks      []CheckConfig
	servers     []*server // nil: the index is free
	index       map[ID]int
	freeIndices []int
	replicas    map[int][]int   // servers of each shard that has replicas
	fleet       []outcomeWindow // by class, of all servers together
	partsEnded  []float64       // by class, since the start
	timers      *timers.Wheel
	dirty       []int // servers whose decision has to be recomputed
	changes     []Change

	exclusionsVersion uint64 // incremented when an exclusion begins, changes or ends

	checkedServers      int       // servers with a valid check
	failingServers      int       // checked servers that are down by their checks
	suspect             bool      // so many fail that the checks are taken to be wrong
	nextSuspicionUpdate time.Time // when to evaluate suspect again; zero: not needed
	now                 time.Time // the latest time given
}

// server is a server and the evidence on it.
type server struct {
	Server
	checks  []checkState
	classes []classState

	connectFailures int       // consecutive
	unreachableAt   time.Time // of the last connection failure that made the server unreachable; zero: it is reachable
	lastUnreachable time.Time // the same, retained after the server is reachable again
	checkRecoveries int       // times that a check made it reachable again since its last answer
	lastSuccess     time.Time

	flapPenalty   float64 // decayed number of changes of the checks' result
	flapPenaltyAt time.Time
	suppressed    bool // down because its checks flap
	wasDown       bool // by its checks, regardless of suppression

	fraction      float64 // current traffic fraction, not rounded
	fractionAt    time.Time
	recoveryStart time.Time // of the current recovery ramp; zero: none

	available    bool // not drained, not down and reachable: counts as a replica of its shards
	checkSummary checkSummary
	queued       bool // in Table.dirty
	decision     Decision
	decided      bool // decision is set
}

// checkSummary is what a server contributes to the evaluation of all checks together.
type checkSummary struct {
	checked bool // it has a valid check and is not drained; counted in Table.checkedServers
	failing bool // it is also down by its checks; counted in Table.failingServers
}

// timerResolution is the interval of the timer wheel, and so the maximum delay of a scheduled update of a server.
const timerResolution = 10 * time.Millisecond

// New returns an empty table, or an error if a rule or a check is invalid. RecordCheck identifies a check by its index
// in checks.
func New(rules Rules, checks []CheckConfig, start time.Time) (*Table, error) {
	if err := rules.validate(); err != nil {
		return nil, fmt.Errorf("health: %w", err)
	}
	for _, c := range checks {
		if err := c.validate(); err != nil {
			return nil, fmt.Errorf("health: %w", err)
		}
	}
	return &Table{
		rules:      rules,
		checks:     checks,
		index:      map[ID]int{},
		replicas:   map[int][]int{},
		fleet:      make([]outcomeWindow, rules.Classes),
		partsEnded: make([]float64, rules.Classes),
		timers:     timers.NewWheel(start, timerResolution),
		now:        start,
	}, nil
}

// UpdateEndpoints applies changed entries of the endpoint list.
func (t *Table) UpdateEndpoints(now time.Time, changed []Server) {
	t.advance(now)
	for _, endpoint := range changed {
		t.updateEndpoint(endpoint)
	}
}

// ReplaceEndpoints applies a complete endpoint list: servers that are not in it are removed.
func (t *Table) ReplaceEndpoints(now time.Time, list []Server) {
	t.UpdateEndpoints(now, list)
	listed := map[ID]bool{}
	for _, endpoint := range list {
		listed[endpoint.ID] = true
	}
	for i, s := range t.servers {
		if s != nil && !listed[s.ID] {
			t.removeServer(i)
		}
	}
}

// updateEndpoint adds, changes or removes one server.
func (t *Table) updateEndpoint(endpoint Server) {
	i, listed := t.index[endpoint.ID]
	if endpoint.Removed {
		if listed {
			t.removeServer(i)
		}
		return
	}
	if !listed {
		i = t.addServer(endpoint)
	}
	server := t.servers[i]
	if !slices.Equal(server.Shards, endpoint.Shards) {
		t.removeReplicas(i)
		server.Shards = endpoint.Shards
		t.addReplicas(i)
	}
	server.Draining = endpoint.Draining
	t.markDirty(i)
}

// addServer adds a server that is not listed yet, and returns its index.
func (t *Table) addServer(endpoint Server) (i int) {
	i = t.allocateIndex()
	t.servers[i] = &server{
		Server:     endpoint,
		classes:    make([]classState, t.rules.Classes),
		fraction:   1,
		fractionAt: t.now,
	}
	t.index[endpoint.ID] = i
	t.addReplicas(i)
	return i
}

// allocateIndex returns a free index of servers, or appends a new one.
func (t *Table) allocateIndex() (i int) {
	last := len(t.freeIndices) - 1
	if last < 0 {
		t.servers = append(t.servers, nil)
		return len(t.servers) - 1
	}
	i = t.freeIndices[last]
	t.freeIndices = t.freeIndices[:last]
	return i
}

// removeServer removes a server and its evidence, and frees its index.
func (t *Table) removeServer(i int) {
	server := t.servers[i]
	t.removeReplicas(i)
	t.timers.Cancel(i)
	t.updateCheckCounts(server, checkSummary{})
	t.exclusionsVersion++
	delete(t.index, server.ID)
	t.servers[i] = nil
	t.freeIndices = append(t.freeIndices, i)
	t.changes = append(t.changes, Change{
		ID:            server.ID,
		Decision:      Decision{State: OutOfService, TrafficFraction: 1, Cause: "the roster: gone"},
		Notable:       true,
		PreviousState: server.decision.State,
	})
}

// addReplicas adds a server to the replicas of its shards.
func (t *Table) addReplicas(i int) {
	for _, shard := range t.servers[i].Shards {
		t.replicas[shard] = append(t.replicas[shard], i)
	}
	t.markShardReplicasDirty(i)
}

// removeReplicas removes a server from the replicas of its shards.
func (t *Table) removeReplicas(i int) {
	t.markShardReplicasDirty(i)
	for _, shard := range t.servers[i].Shards {
		remaining := slices.DeleteFunc(t.replicas[shard], func(other int) bool { return other == i })
		t.replicas[shard] = remaining
		if len(remaining) == 0 {
			delete(t.replicas, shard)
		}
	}
}

// advance moves the table's time forward to now. It never moves back.
func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// markDirty makes the next Changes recompute the decision on a server.
func (t *Table) markDirty(i int) {
	if s := t.servers[i]; s != nil && !s.queued {
		s.queued = true
		t.dirty = append(t.dirty, i)
	}
}

// markShardReplicasDirty marks a server dirty and all servers that share a shard with it.
func (t *Table) markShardReplicasDirty(i int) {
	for _, shard := range t.servers[i].Shards {
		for _, other := range t.replicas[shard] {
			t.markDirty(other)
		}
	}
}

// Changes recomputes decisions from the evidence recorded since the last call, and returns what has changed. The caller
// owns the slice.
func (t *Table) Changes(now time.Time) []Change {
	t.advance(now)
	t.timers.Pop(t.now, t.markDirty)
	t.updateSuspicion()
	for len(t.dirty) > 0 {
		i := t.dirty[0]
		t.dirty = t.dirty[1:]
		if server := t.servers[i]; server != nil {
			server.queued = false
			t.update(i)
		}
	}
	changes := t.changes
	t.changes = nil
	return changes
}

// NextDeadline returns when Changes has to be called next if no evidence is recorded; ok is false if never.
func (t *Table) NextDeadline() (at time.Time, ok bool) {
	at, ok = t.timers.Next()
	if !t.nextSuspicionUpdate.IsZero() && (!ok || t.nextSuspicionUpdate.Before(at)) {
		return t.nextSuspicionUpdate, true
	}
	return at, ok
}

// Decision returns the current decision on a server; ok is false if the server is not listed.
func (t *Table) Decision(id ID) (d Decision, ok bool) {
	i, ok := t.index[id]
	if !ok {
		return Decision{State: OutOfService, Cause: "not listed"}, false
	}
	return t.servers[i].decision, true
}

// UsableReplicas returns the number of a shard's replicas that are expected to answer parts of a class.
func (t *Table) UsableReplicas(shard, class int) (usable int) {
	for _, i := range t.replicas[shard] {
		if t.servers[i].usable(class) {
			usable++
		}
	}
	return usable
}

// usable reports whether the server is expected to answer parts of a class.
func (s *server) usable(class int) bool {
	c := &s.classes[class]
	return s.decided && s.decision.State == InService && s.decision.Usable && !c.ejected && !c.ejectionBlocked
}

// Now returns the latest time given to the table.
func (t *Table) Now() time.Time { return t.now }

// Len returns the number of servers listed.
func (t *Table) Len() int { return len(t.index) }

// ChecksSuspect reports whether failing checks are ignored, because so many fail while parts are answered that the
// checks must be wrong.
func (t *Table) ChecksSuspect() bool { return t.suspect }
