package app

import (
	"runtime/metrics"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/control/shardmap"
	fronthealth "rooktrestle/internal/frontend/health"
)

const (
	// readinessInterval is the interval between two evaluations of the process's own readiness. It is short because
	// docs/health.md guarantees that a report is accurate within a second.
	readinessInterval = 50 * time.Millisecond
	// databaseRefreshInterval is how long the databases' snapshots are reused if no server's health changes.
	databaseRefreshInterval = 500 * time.Millisecond
)

// readinessPublisher evaluates the readiness of the aggregator itself and publishes it to the health listeners. It is
// used on the loop only, as one of its adapters.
type readinessPublisher struct {
	conf      *config.Partners
	core      *aggregator.Core
	health    *healthTracker
	evaluator *readiness.Evaluator
	publisher *fronthealth.Responder
	draining  bool
	due       time.Time        // of the next evaluation
	memory    []metrics.Sample // total and released bytes

	databases          []readiness.DatabaseSnapshot // reused between refreshes
	databasesVersion   uint64                       // healthTracker.version at the last refresh
	databasesRefreshed time.Time
}

func newReadinessPublisher(
	conf *config.Partners, core *aggregator.Core, tracker *healthTracker, publisher *fronthealth.Responder,
) *readinessPublisher {
	return &readinessPublisher{
		conf:      conf,
		core:      core,
		health:    tracker,
		evaluator: readiness.New(readiness.DefaultConfig()),
		publisher: publisher,
		memory: []metrics.Sample{
			{Name: "/memory/classes/total:bytes"},
			{Name: "/memory/classes/heap/released:bytes"},
		},
	}
}

// Handle accepts no message: readiness is driven by a timer only.
func (*readinessPublisher) Handle(time.Time, aggregator.Message) ([]aggregator.Event, bool) {
	return nil, false
}

// Sweep publishes the readiness when it is due.
func (p *readinessPublisher) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	if now.Before(p.due) {
		return nil, p.due
	}
	p.publish(now)
	p.due = now.Add(readinessInterval)
	return nil, p.due
}

// startDraining publishes at once that the process is draining, so that clients use other instances.
func (p *readinessPublisher) startDraining(now time.Time) {
	p.draining = true
	p.publish(now)
}

func (p *readinessPublisher) publish(now time.Time) {
	metrics.Read(p.memory)
	counters := p.core.Counters
	snapshot := readiness.Snapshot{
		Draining:    p.draining,
		InFlight:    p.core.Load(),
		MaxInFlight: p.conf.Limits.MaxOpen,
		Received:    counters.Received,
		Rejected:    counters.Rejected,
		MemoryUsed:  p.memory[0].Value.Uint64() - p.memory[1].Value.Uint64(),
		MemoryLimit: uint64(p.conf.Limits.MemoryMB) << 20,
	}
	if !p.due.IsZero() {
		snapshot.LoopLag = max(0, now.Sub(p.due))
	}
	p.refreshDatabases(now)
	snapshot.Databases = p.databases
	p.publisher.Set(p.evaluator.Evaluate(now, snapshot))
}

// refreshDatabases rebuilds the databases' snapshots after a change of health, and otherwise every
// databaseRefreshInterval: iterating over all shards costs more than everything else in an evaluation.
func (p *readinessPublisher) refreshDatabases(now time.Time) {
	unchanged := p.databases != nil && p.databasesVersion == p.health.version
	if unchanged && now.Sub(p.databasesRefreshed) < databaseRefreshInterval {
		return
	}
	p.databases = nil
	p.databasesVersion = p.health.version
	p.databasesRefreshed = now
	for _, database := range p.conf.Databases {
		p.databases = append(p.databases, p.snapshotOf(database))
	}
}

// snapshotOf counts the shards of a database and lists those without a usable replica.
func (p *readinessPublisher) snapshotOf(database config.Database) readiness.DatabaseSnapshot {
	search := p.conf.ClassIndex(database.SearchClass)
	correction := p.conf.ClassIndex(database.CorrectionClass)
	snapshot := readiness.DatabaseSnapshot{Name: database.Name, MinCoverage: p.conf.Classes[search].MinFraction}
	if p.health.table.ChecksSuspect() {
		snapshot.Caveat = "checks are doubted"
	}
	add := func(shard int) {
		snapshot.Shards++
		if p.health.table.UsableReplicas(shard, search) == 0 {
			snapshot.SearchUnavailable = append(snapshot.SearchUnavailable, shard)
		}
		if correction >= 0 && p.health.table.UsableReplicas(shard, correction) == 0 {
			snapshot.CorrectionUnavailable = append(snapshot.CorrectionUnavailable, shard)
		}
	}
	if p.core.Resharding == nil {
		for _, shard := range database.Shards {
			add(shard)
		}
		return snapshot
	}
	current := p.core.Resharding.Views.Current()
	if current == nil {
		snapshot.Shards, snapshot.SearchUnavailable, snapshot.Caveat = 1, []int{0}, "there is no map of blocks yet"
		return snapshot
	}
	current.Active(func(shard *shardmap.Shard) bool {
		add(int(shard.ID))
		return true
	})
	return snapshot
}
