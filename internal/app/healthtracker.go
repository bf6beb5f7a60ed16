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

// healthTracker merges the results of health checks and of attempts into the servers' states, and reports changes
// to the core's endpoint list. It is used on the loop only.
type healthTracker struct {
	table      *health.Table
	servers    map[health.ID]aggregator.Server
	shards     map[health.ID]map[int]bool // active shards of each server, if a shard map is used
	objectives []time.Duration            // of each class
	log        *slog.Logger
	mailbox    aggregator.Poster
	exclusions *exclusionStore
	saved      uint64 // health.Table.ExclusionsVersion of the exclusions passed to the store
	evaluating bool   // an evaluateHealth message is in the mailbox
	changes    uint64 // notable changes so far, for the counters
	version    uint64 // incremented by every change that may affect which servers are usable
}

// checkCompleted carries the result of one health check to the loop.
type checkCompleted struct {
	aggregator.AdapterMessage
	server health.ID
	source int // index of the check's profile
	result healthcheck.Result
}

// evaluateHealth makes the loop evaluate the outcomes recorded since the last evaluation.
type evaluateHealth struct{ aggregator.AdapterMessage }

// newHealthTracker returns a tracker of these servers, with the exclusions that a previous process has stored. The
// caller posts the first endpoint list, and then the events of a first call of evaluate.
func newHealthTracker(
	conf *config.Partners, servers []aggregator.Server, now time.Time, mailbox aggregator.Poster, log *slog.Logger,
) (*healthTracker, error) {
	table, err := health.New(conf.HealthRules(), conf.HealthSources(), now)
	if err != nil {
		return nil, err
	}
	h := &healthTracker{
		table:      table,
		servers:    map[health.ID]aggregator.Server{},
		shards:     map[health.ID]map[int]bool{},
		log:        log,
		mailbox:    mailbox,
		exclusions: newExclusionStore(conf.StateDir, conf.Name, log),
	}
	for _, class := range conf.Classes {
		h.objectives = append(h.objectives, class.Objective.Duration)
	}
	var listed []health.Server
	for _, server := range servers {
		h.servers[health.ID(server.ID)] = server
		entry := health.Server{ID: health.ID(server.ID)}
		if !conf.ShardMap.Enabled() {
			entry.Shards = shardsOfCell(conf, server.Cell)
		}
		listed = append(listed, entry)
	}
	table.ReplaceEndpoints(now, listed)
	h.restoreExclusions(conf, now)
	return h, nil
}

// restoreExclusions applies the exclusions that a previous process has stored. Those by a check that the file no longer
// gives a server are dropped: no result would ever end them.
func (h *healthTracker) restoreExclusions(conf *config.Partners, now time.Time) {
	checks := map[health.ID][]string{}
	for _, server := range conf.Servers {
		checks[health.ID(server.ID)] = server.Checks
	}
	stored := h.exclusions.load()
	current := slices.DeleteFunc(slices.Clone(stored), func(exclusion health.Exclusion) bool {
		return !slices.Contains(checks[exclusion.Server], exclusion.Check)
	})
	h.table.RestoreExclusions(now, current)
	h.saved = h.table.ExclusionsVersion()
	if restored := h.table.Exclusions(); !slices.Equal(restored, stored) {
		h.exclusions.save(restored)
	}
}

// saveExclusions passes the exclusions to the store if they have changed.
func (h *healthTracker) saveExclusions() {
	if version := h.table.ExclusionsVersion(); version != h.saved {
		h.saved = version
		h.exclusions.save(h.table.Exclusions())
	}
}

// shardsOfCell returns the shards whose replicas include the servers of a cell: those that start at the cell or at one
// of the reach-1 cells before it on the ring.
func shardsOfCell(conf *config.Partners, cell int) (shards []int) {
	cells := conf.Shards.Cells
	for shard := range conf.Shards.Count {
		distance := (cell - shard%cells + cells) % cells
		if distance < conf.Shards.Reach {
			shards = append(shards, shard)
		}
	}
	return shards
}

// AttemptEnded records the outcome of an attempt. It implements aggregator.AttemptObserver.
func (h *healthTracker) AttemptEnded(now time.Time, attempt aggregator.AttemptSummary) {
	result := attempt.HealthResult(now, h.objectives[attempt.Class])
	h.table.RecordOutcome(now, health.ID(attempt.Server), attempt.Class, result, attempt.Sent)
	if !h.evaluating {
		h.evaluating = true
		h.mailbox.Put(evaluateHealth{})
	}
}

// shardMapAdopted updates the servers' shards from a newly adopted map; old is nil for the first one. Only servers
// whose shards changed are passed to the health table.
func (h *healthTracker) shardMapAdopted(now time.Time, old, adopted *shardmap.Map) {
	changed := map[health.ID]bool{}
	if old == nil {
		adopted.All(func(shard *shardmap.Shard) bool {
			h.setReplicas(shard, true, changed)
			return true
		})
	} else {
		for _, difference := range shardmap.Diff(old, adopted) {
			h.setReplicas(difference.Before, false, changed)
			h.setReplicas(difference.After, true, changed)
		}
	}
	var entries []health.Server
	for id := range changed {
		entry := health.Server{ID: id}
		for shard := range h.shards[id] {
			entry.Shards = append(entry.Shards, shard)
		}
		slices.Sort(entry.Shards)
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b health.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	h.table.UpdateEndpoints(now, entries)
}

// setReplicas adds a shard to the listed servers that serve it, or removes it from them, and adds those to changed. A
// shard that is nil or not active is ignored.
func (h *healthTracker) setReplicas(shard *shardmap.Shard, serving bool, changed map[health.ID]bool) {
	if shard == nil || !shard.Active() {
		return
	}
	for _, replica := range shard.ServingReplicas() {
		id := health.ID(replica.Server)
		if _, listed := h.servers[id]; !listed {
			continue
		}
		if h.shards[id] == nil {
			h.shards[id] = map[int]bool{}
		}
		changed[id] = true
		if serving {
			h.shards[id][int(shard.ID)] = true
		} else {
			delete(h.shards[id], int(shard.ID))
		}
	}
}

// Handle records the result of a check, if the message has one, and evaluates the table. It implements
// aggregator.Adapter.
func (h *healthTracker) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	switch m := message.(type) {
	case checkCompleted:
		h.table.RecordCheck(now, m.server, m.source, m.result.CheckResult)
		h.saveExclusions()
	case evaluateHealth:
		h.evaluating = false
	default:
		return nil, false
	}
	return h.evaluate(now), true
}

// Sweep evaluates the entries that are due and returns the next deadline.
func (h *healthTracker) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	events := h.evaluate(now)
	next, _ := h.table.NextDeadline()
	return events, next
}

// endpointStates maps the states of the health table to those of the endpoint list.
var endpointStates = map[health.State]balance.EndpointState{
	health.InService:    balance.InService,
	health.Draining:     balance.Draining,
	health.OutOfService: balance.Removed,
}

// evaluate turns the servers whose health has changed into one change of the endpoint list, and logs each notable
// change once, with its cause.
func (h *healthTracker) evaluate(now time.Time) []aggregator.Event {
	changes := h.table.Changes(now)
	if len(changes) == 0 {
		return nil
	}
	h.version++
	update := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for _, change := range changes {
		if change.Notable {
			h.changes++
			h.logChange(change)
		}
		server, ok := h.servers[change.ID]
		if !ok {
			continue
		}
		server.State = endpointStates[change.State]
		server.HealthLimits = balance.HealthLimits{
			TrafficFraction: change.TrafficFraction,
			MaxInFlight:     change.MaxInFlight,
			EjectedClasses:  change.EjectedClasses,
			HalfOpenClasses: change.HalfOpenClasses,
		}
		update.Servers = append(update.Servers, server)
	}
	return []aggregator.Event{update}
}

func (h *healthTracker) logChange(change health.Change) {
	cause := change.Cause
	if cause == "" {
		cause = "well"
	}
	h.log.Info("health", "server", string(change.ID), "state", change.State.String(), "usable", change.Usable,
		"ejected", change.EjectedClasses == health.AllClasses, "contradictory", change.Contradictory, "cause", cause)
}
