package health

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/control/timers"
)

// Table holds the evidence on servers. It is owned by one goroutine. A server's evidence is dropped when the endpoint
// list has it no longer. Times that are given must come from one clock; one that is earlier than a time given before
// counts as that.
//
// Inside the table a server is named by its index in servers, which may be reused after the server was removed.
type Table struct {
	rules       Rules
	checks      []CheckConfig
	servers     []*server // nil: the index is free
	index       map[ID]int
	freeIndices []int
	replicas    map[int][]int   // servers of each shard that has any
	fleet       []outcomeWindow // of each class, all servers together
	partsEnded  []float64       // of each class, since the start
	timers      *timers.Wheel
	dirty       []int // servers to decide on anew
	changes     []Change

	checkedServers int       // servers with a valid check
	failingServers int       // of them, those that are down by it
	suspect        bool      // so many fail that the checks are taken for wrong
	nextSuspicion  time.Time // when to judge the checks again; zero: no reason to
	now            time.Time // the latest time given
}

// server is a server with its evidence.
type server struct {
	Server
	checks  []checkState
	classes []classState

	connectFailures int       // in a row
	unreachableAt   time.Time // of the last connection failure that made the server unreachable; zero: it is reachable
	lastUnreachable time.Time // the same, kept after the server has recovered
	revivals        int       // times that a check has made it reachable again without an answer since
	lastSuccess     time.Time

	flapPenalty   float64 // decayed number of changes of the checks' result
	flapPenaltyAt time.Time
	suppressed    bool // down because its checks flap
	wasDown       bool // by its checks, before suppression

	fraction      float64 // of its traffic
	fractionAt    time.Time
	recoveryStart time.Time // of the last return; zero: the ramp is over

	fit      bool // counts as a replica of its shards
	standing checkStanding
	queued   bool // in Table.dirty
	decision Decision
	decided  bool // there is a decision
}

// checkStanding is how a server counts when the checks are judged as a whole.
type checkStanding struct {
	checked bool // it has a valid check, and is not drained: it is one of Table.checkedServers
	failing bool // it is also down by its checks: it is one of Table.failingServers
}

// timerResolution is the interval of the timer wheel: how late a server may be decided on anew.
const timerResolution = 10 * time.Millisecond

// New returns an empty table, or an error if a rule or a check is invalid. RecordCheck names checks by their indices.
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

// UpdateEndpoints takes the servers that have changed in the endpoint list.
func (t *Table) UpdateEndpoints(now time.Time, changed []Server) {
	t.advance(now)
	for _, endpoint := range changed {
		t.updateEndpoint(endpoint)
	}
}

// ReplaceEndpoints takes the whole endpoint list: servers that are not in it are removed.
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
	i = t.takeIndex()
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

// takeIndex returns an index of servers that is free, or a new one.
func (t *Table) takeIndex() (i int) {
	last := len(t.freeIndices) - 1
	if last < 0 {
		t.servers = append(t.servers, nil)
		return len(t.servers) - 1
	}
	i = t.freeIndices[last]
	t.freeIndices = t.freeIndices[:last]
	return i
}

// removeServer drops a server with its evidence, and frees its index.
func (t *Table) removeServer(i int) {
	server := t.servers[i]
	t.removeReplicas(i)
	t.timers.Cancel(i)
	t.updateCheckCounts(server, checkStanding{})
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

// addReplicas enters a server as a replica of its shards.
func (t *Table) addReplicas(i int) {
	for _, shard := range t.servers[i].Shards {
		t.replicas[shard] = append(t.replicas[shard], i)
	}
	t.markNeighboursDirty(i)
}

// removeReplicas ends that a server counts as a replica of its shards.
func (t *Table) removeReplicas(i int) {
	t.markNeighboursDirty(i)
	for _, shard := range t.servers[i].Shards {
		remaining := slices.DeleteFunc(t.replicas[shard], func(other int) bool { return other == i })
		t.replicas[shard] = remaining
		if len(remaining) == 0 {
			delete(t.replicas, shard)
		}
	}
}

// advance moves the table's time forward to now, never back.
func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// markDirty has a server decided on anew by Changes.
func (t *Table) markDirty(i int) {
	if s := t.servers[i]; s != nil && !s.queued {
		s.queued = true
		t.dirty = append(t.dirty, i)
	}
}

// markNeighboursDirty has all servers decided on anew that share a shard with one, and itself.
func (t *Table) markNeighboursDirty(i int) {
	for _, shard := range t.servers[i].Shards {
		for _, other := range t.replicas[shard] {
			t.markDirty(other)
		}
	}
}

// Changes decides on all evidence that has come in, and returns what has changed since the last call. The slice is the
// caller's.
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

// NextDeadline returns when Changes has to be called next if no evidence comes in; ok is false if never.
func (t *Table) NextDeadline() (at time.Time, ok bool) {
	at, ok = t.timers.Next()
	if !t.nextSuspicion.IsZero() && (!ok || t.nextSuspicion.Before(at)) {
		return t.nextSuspicion, true
	}
	return at, ok
}

// Decision returns the last decision on a server; ok is false if it is not listed.
func (t *Table) Decision(id ID) (d Decision, ok bool) {
	i, ok := t.index[id]
	if !ok {
		return Decision{State: OutOfService, Cause: "not listed"}, false
	}
	return t.servers[i].decision, true
}

// UsableReplicas returns the number of a shard's replicas that can be expected to answer parts of a class.
func (t *Table) UsableReplicas(shard, class int) (usable int) {
	for _, i := range t.replicas[shard] {
		if t.servers[i].usable(class) {
			usable++
		}
	}
	return usable
}

// usable reports whether the server can be expected to answer parts of a class.
func (s *server) usable(class int) bool {
	c := &s.classes[class]
	return s.decided && s.decision.State == InService && s.decision.Usable && !c.ejected && !c.ejectionBlocked
}

// Now returns the latest time that was given to the table.
func (t *Table) Now() time.Time { return t.now }

// Len returns the number of servers listed.
func (t *Table) Len() int { return len(t.index) }

// ChecksSuspect reports whether failing checks are ignored: so many fail while parts are answered that they must be
// wrong.
func (t *Table) ChecksSuspect() bool { return t.suspect }
