package app

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/backend/healthcheck"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/shardmap"
)

// evidence brings what checks and parts show of servers to the core's list. It lives on the loop.
type evidence struct {
	table   *health.Table
	servers map[health.ID]aggregator.Server
	held    map[health.ID]map[int]bool // active blocks, where they come from a map
	aims    []time.Duration            // of each class
	log     *slog.Logger
	box     aggregator.Poster
	asked   bool // a settle event is under way
	changes uint64
	version uint64 // counts whatever changes what is usable
}

// checked is the result of one check, posted to the loop.
type checked struct {
	aggregator.AdapterMessage
	server health.ID
	source int
	result healthcheck.Result
}

// settle makes the loop look at what parts have shown.
type settle struct{ aggregator.AdapterMessage }

func newEvidence(conf *config.Partners, list []aggregator.Server, now time.Time, box aggregator.Poster, log *slog.Logger) (*evidence, error) {
	table, err := health.New(conf.HealthRules(), conf.HealthSources(), now)
	if err != nil {
		return nil, err
	}
	e := &evidence{table: table, servers: map[health.ID]aggregator.Server{}, held: map[health.ID]map[int]bool{}, log: log, box: box}
	for _, c := range conf.Classes {
		e.aims = append(e.aims, c.Objective.Duration)
	}
	var nodes []health.Server
	for _, s := range list {
		e.servers[health.ID(s.ID)] = s
		n := health.Server{ID: health.ID(s.ID)}
		if !conf.ShardMap.Enabled() {
			n.Shards = blocksOf(conf, s.Cell)
		}
		nodes = append(nodes, n)
	}
	table.UpdateEndpoints(now, nodes, true)
	e.settled(now)
	return e, nil
}

// blocksOf are the shards that a server of a cell holds: those that begin at its cell or at the reach-1 before it.
func blocksOf(conf *config.Partners, cell int) (blocks []int) {
	for s := range conf.Shards.Count {
		if (cell-s%conf.Shards.Cells+conf.Shards.Cells)%conf.Shards.Cells < conf.Shards.Reach {
			blocks = append(blocks, s)
		}
	}
	return blocks
}

// AttemptEnded takes the end of an attempt as evidence.
func (e *evidence) AttemptEnded(now time.Time, a aggregator.AttemptSummary) {
	e.table.RecordOutcome(now, health.ID(a.Server), a.Class, a.HealthResult(now, e.aims[a.Class]), a.Sent)
	if !e.asked {
		e.asked = true
		e.box.Put(settle{})
	}
}

// mapped takes who holds which block from a map. Only servers whose blocks changed are told of.
func (e *evidence) mapped(now time.Time, old, m *shardmap.Map) {
	touched := map[health.ID]bool{}
	hold := func(b *shardmap.Shard, held bool) {
		if b == nil || !b.Active() {
			return
		}
		for _, h := range b.ServingReplicas() {
			id := health.ID(h.Server)
			if _, listed := e.servers[id]; !listed {
				continue
			}
			if e.held[id] == nil {
				e.held[id] = map[int]bool{}
			}
			if touched[id] = true; held {
				e.held[id][int(b.ID)] = true
			} else {
				delete(e.held[id], int(b.ID))
			}
		}
	}
	if old == nil {
		m.All(func(b *shardmap.Shard) bool { hold(b, true); return true })
	} else {
		for _, d := range shardmap.Diff(old, m) {
			hold(d.Was, false)
			hold(d.Is, true)
		}
	}
	var nodes []health.Server
	for id := range touched {
		n := health.Server{ID: id}
		for b := range e.held[id] {
			n.Shards = append(n.Shards, b)
		}
		slices.Sort(n.Shards)
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b health.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	e.table.UpdateEndpoints(now, nodes, false)
}

// Handle takes results of checks.
func (e *evidence) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	switch ev := message.(type) {
	case checked:
		e.table.RecordCheck(now, ev.server, ev.source, ev.result.CheckResult)
	case settle:
		e.asked = false
	default:
		return nil, false
	}
	return e.settled(now), true
}

// Sweep does what is due.
func (e *evidence) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	events := e.settled(now)
	next, _ := e.table.NextDeadline()
	return events, next
}

var states = map[health.State]balance.EndpointState{health.InService: balance.InService, health.Draining: balance.Draining, health.OutOfService: balance.Removed}

// settled turns what has changed into word of the list. Each change of a conclusion is logged once, with its cause.
func (e *evidence) settled(now time.Time) []aggregator.Event {
	changes := e.table.Changes(now)
	if len(changes) == 0 {
		return nil
	}
	e.version++
	m := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for _, c := range changes {
		if c.Notable {
			e.changes++
			cause := c.Cause
			if cause == "" {
				cause = "well"
			}
			e.log.Info("health", "server", string(c.ID), "state", c.State.String(), "shunned", c.EjectedClasses == health.AllClasses, "usable", c.Usable,
				"dubious", c.Contradictory, "cause", cause)
		}
		s, ok := e.servers[c.ID]
		if !ok {
			continue
		}
		s.State = states[c.State]
		s.HealthLimits = balance.HealthLimits{TrafficFraction: c.TrafficFraction, MaxInFlight: c.MaxInFlight, EjectedClasses: c.EjectedClasses, HalfOpenClasses: c.HalfOpenClasses}
		m.Servers = append(m.Servers, s)
	}
	return []aggregator.Event{m}
}

// adapters are several adapters of one loop.
type adapters []aggregator.Adapter

// Handle gives an event to the adapter that it is of.
func (as adapters) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	for _, a := range as {
		if events, mine := a.Handle(now, message); mine {
			return events, true
		}
	}
	return nil, false
}

// Sweep lets each do what is due.
func (as adapters) Sweep(now time.Time) (events []aggregator.Event, next time.Time) {
	for _, a := range as {
		more, due := a.Sweep(now)
		events = append(events, more...)
		if !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return events, next
}
