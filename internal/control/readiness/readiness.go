// Package readiness decides what an aggregator reports of its own health: whether queries can be answered, database by
// database, and how much more load it can accept. It does no I/O and reads no clock.
//
// A state gets worse after a short delay, and better after a longer one, so that it does not flap. Both delays are well
// under one second, the maximum age of a state that a report may show.
package readiness

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// State is the state of the aggregator or of one database. Greater values are worse.
type State int8

// The states, from best to worst.
const (
	Up       State = iota
	Degraded       // partial answers only, or no corrections of some shards
	Down           // no query can be answered
	stateCount
)

// String returns the state's name as in reports.
func (s State) String() string { return [...]string{"up", "degraded", "down"}[s] }

// DatabaseSnapshot is the state of one database: which of its shards have no server that is expected to answer.
type DatabaseSnapshot struct {
	Name                  string
	Shards                int     // number of shards
	SearchUnavailable     []int   // shards without a usable server for searches
	CorrectionUnavailable []int   // shards without one for corrections; empty if the database accepts none
	MinCoverage           float64 // minimum fraction of the shards for an answer, 0 to 1
	Caveat                string  // why the servers' states may be unreliable; "" if they are reliable
}

// Snapshot is the state of the aggregator at one time.
type Snapshot struct {
	Draining    bool          // shutting down: queries should be sent elsewhere
	InFlight    int           // number of queries and their parts
	MaxInFlight int           // 0: not limited
	Received    uint64        // number of queries since the start of the process
	Rejected    uint64        // number of these that were rejected
	LoopLag     time.Duration // delay of the event loop
	MemoryUsed  uint64        // bytes
	MemoryLimit uint64        // bytes; 0: not limited
	Databases   []DatabaseSnapshot
}

// DatabaseReport is the reported health of one database.
type DatabaseReport struct {
	Name      string `json:"database"`
	State     State  `json:"-"`
	StateText string `json:"state"`
	Reason    string `json:"reason,omitempty"` // empty if the state is Up
}

// Report is the health that the aggregator reports for itself.
type Report struct {
	At        time.Time        `json:"at"`
	State     State            `json:"-"`
	StateText string           `json:"state"`
	Draining  bool             `json:"drain"`
	Weight    int              `json:"weight"` // for load balancers: percent of the full weight, 1 to 100
	Reasons   []string         `json:"reasons,omitempty"`
	Databases []DatabaseReport `json:"databases"`
}

// Database returns the report on a database; nil if there is none. Names are compared case-insensitively. The result
// points into r.
func (r *Report) Database(name string) *DatabaseReport {
	for i := range r.Databases {
		if strings.EqualFold(r.Databases[i].Name, name) {
			return &r.Databases[i]
		}
	}
	return nil
}

// Config contains the parameters of an Evaluator. DefaultConfig returns the usual ones.
type Config struct {
	DegradeDelay        time.Duration // how long a worse state is observed before it is reported
	RecoverDelay        time.Duration // how long a better state is observed before it is reported
	FreeFraction        float64       // fraction of MaxInFlight up to which the weight does not fall
	HalfWeightLag       time.Duration // delay of the event loop at which the weight is halved
	RejectionWindow     time.Duration // time window over which rejected queries count
	WeightRisePerSecond float64       // maximum rise of the weight, where 1 is the full weight
	WeightStep          float64       // the reported weight is a multiple of this
}

// DefaultConfig returns the usual parameters.
func DefaultConfig() Config {
	return Config{
		DegradeDelay:        100 * time.Millisecond,
		RecoverDelay:        300 * time.Millisecond,
		FreeFraction:        0.5,
		HalfWeightLag:       100 * time.Millisecond,
		RejectionWindow:     time.Second,
		WeightRisePerSecond: 0.5,
		WeightStep:          0.05,
	}
}

// Evaluator turns snapshots into reports. It is owned by one goroutine.
type Evaluator struct {
	config    Config
	databases map[string]*dampedState // by name
	headroom  headroom
}

// New returns an Evaluator that has reported nothing yet.
func New(config Config) *Evaluator {
	return &Evaluator{config: config, databases: map[string]*dampedState{}, headroom: newHeadroom(config)}
}

// Evaluate returns the report for a snapshot. It is called in the order of time, at least every DegradeDelay.
func (e *Evaluator) Evaluate(now time.Time, snapshot Snapshot) Report {
	report := Report{At: now, Draining: snapshot.Draining}
	e.dropRemovedDatabases(snapshot.Databases)
	for _, database := range snapshot.Databases {
		report.Databases = append(report.Databases, e.evaluateDatabase(now, database))
	}
	for _, database := range report.Databases {
		if database.Reason != "" {
			report.Reasons = append(report.Reasons, database.Name+": "+database.Reason)
		}
	}
	report.State = combinedState(report.Databases)
	report.StateText = report.State.String()
	weight, reasons := e.headroom.update(now, snapshot)
	report.Weight = e.weightPercent(weight)
	report.Reasons = append(report.Reasons, reasons...)
	if snapshot.Draining {
		report.Reasons = append(report.Reasons, "shutting down")
	}
	return report
}

func (e *Evaluator) dropRemovedDatabases(databases []DatabaseSnapshot) {
	current := map[string]bool{}
	for _, database := range databases {
		current[database.Name] = true
	}
	for name := range e.databases {
		if !current[name] {
			delete(e.databases, name)
		}
	}
}

func (e *Evaluator) evaluateDatabase(now time.Time, database DatabaseSnapshot) DatabaseReport {
	damped := e.databases[database.Name]
	if damped == nil {
		damped = &dampedState{}
		e.databases[database.Name] = damped
	}
	state, reason := databaseState(database)
	damped.update(now, state, reason, e.config)
	return DatabaseReport{
		Name:      database.Name,
		State:     damped.current,
		StateText: damped.current.String(),
		Reason:    damped.reason,
	}
}

// weightPercent converts a weight from 0 to 1 to a percentage, rounded to a multiple of WeightStep and at least 1.
func (e *Evaluator) weightPercent(weight float64) int {
	step := e.config.WeightStep
	return max(1, int(math.Round(weight/step)*step*100+0.5))
}

// combinedState returns the state of the aggregator. It is not damped, since the databases' states are.
func combinedState(databases []DatabaseReport) State {
	counts := [stateCount]int{}
	for _, database := range databases {
		counts[database.State]++
	}
	switch {
	case len(databases) > 0 && counts[Down] == len(databases):
		return Down
	case counts[Down]+counts[Degraded] > 0:
		return Degraded
	}
	return Up
}

// databaseState returns the undamped state of a database by a snapshot, and the reason unless the state is Up.
func databaseState(database DatabaseSnapshot) (State, string) {
	coverage := 1.0
	if database.Shards > 0 {
		coverage = 1 - float64(len(database.SearchUnavailable))/float64(database.Shards)
	}
	reason := ""
	switch {
	case len(database.SearchUnavailable) > 0:
		reason = "no usable holder of block " + formatShards(database.SearchUnavailable)
	case len(database.CorrectionUnavailable) > 0:
		reason = "no usable holder for corrections of block " + formatShards(database.CorrectionUnavailable)
	}
	if reason != "" && database.Caveat != "" {
		reason += " (" + database.Caveat + ")"
	}
	const roundingError = 1e-9 // of coverage
	switch {
	case coverage < database.MinCoverage-roundingError || coverage <= 0:
		return Down, reason
	case reason != "":
		return Degraded, reason
	}
	return Up, ""
}

// maxShardsListed is the maximum number of shards that a reason lists.
const maxShardsListed = 8

func formatShards(shards []int) string {
	sorted := slices.Clone(shards)
	slices.Sort(sorted)
	var names []string
	for _, shard := range sorted[:min(len(sorted), maxShardsListed)] {
		names = append(names, fmt.Sprint(shard))
	}
	if more := len(sorted) - maxShardsListed; more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}
