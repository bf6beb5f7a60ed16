// Package readiness decides what an aggregator reports of its own health: whether queries can be answered, database by
// database, and how much more load it can take. It does no I/O and reads no clock.
//
// A state gets worse once its cause has lasted for a moment, and better once the cause has been gone for longer,
// so that it does not flap. Both delays are well under the second within which the report has to be true.
package readiness

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// State of the aggregator, or of one database. A greater one is worse.
type State int8

// States from best to worst.
const (
	Up       State = iota
	Degraded       // partial answers only, or no corrections of some shards
	Down           // no answer can be given
	stateCount
)

// String returns the state's name, as it stands in reports.
func (s State) String() string { return [...]string{"up", "degraded", "down"}[s] }

// DatabaseSnapshot is what is known of one database: which of its shards have a server that may be expected to answer.
type DatabaseSnapshot struct {
	Name                  string
	Shards                int     // number of shards
	SearchUnavailable     []int   // shards without a usable server for searches
	CorrectionUnavailable []int   // shards without one for corrections; empty if the database takes none
	MinCoverage           float64 // minimum share of shards for an answer, 0 to 1
	Caveat                string  // why the servers' states may be wrong; "" if there is no doubt
}

// Snapshot is the state of the aggregator at one moment.
type Snapshot struct {
	Draining    bool          // shutting down: queries should go elsewhere
	InFlight    int           // queries and their parts
	MaxInFlight int           // 0: not limited
	Received    uint64        // queries, since the start of the process
	Rejected    uint64        // of these
	LoopLag     time.Duration // by which the event loop is behind
	MemoryUsed  uint64        // bytes
	MemoryLimit uint64        // bytes; 0: not limited
	Databases   []DatabaseSnapshot
}

// DatabaseReport is the reported health of one database.
type DatabaseReport struct {
	Name      string `json:"database"`
	State     State  `json:"-"`
	StateText string `json:"state"`
	Reason    string `json:"reason,omitempty"` // of a state that is not Up
}

// Report is the health that the aggregator reports of itself.
type Report struct {
	At        time.Time        `json:"at"`
	State     State            `json:"-"`
	StateText string           `json:"state"`
	Draining  bool             `json:"drain"`
	Weight    int              `json:"weight"` // of the aggregator for load balancers: percent, 1 to 100
	Reasons   []string         `json:"reasons,omitempty"`
	Databases []DatabaseReport `json:"databases"`
}

// Database returns the report on a database, whose name is compared without regard to case; nil if there is none. The
// result points into r.
func (r *Report) Database(name string) *DatabaseReport {
	for i := range r.Databases {
		if strings.EqualFold(r.Databases[i].Name, name) {
			return &r.Databases[i]
		}
	}
	return nil
}

// Config holds the parameters of an Evaluator. DefaultConfig returns the usual ones.
type Config struct {
	DegradeDelay        time.Duration // how long a cause lasts before a state gets worse
	RecoverDelay        time.Duration // how long it is gone before the state gets better
	FreeFraction        float64       // fraction of MaxInFlight that may be in flight before the weight falls
	HalfWeightLag       time.Duration // lag of the event loop at which the weight is a half
	RejectionWindow     time.Duration // over which rejected queries count
	WeightRisePerSecond float64       // by which the weight may rise, where 1 is the full weight
	WeightStep          float64       // the reported weight is a multiple of it
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

// Evaluate returns the report for a snapshot. Snapshots come in the order of time, at least every DegradeDelay.
func (e *Evaluator) Evaluate(now time.Time, snapshot Snapshot) Report {
	report := Report{At: now, Draining: snapshot.Draining}
	e.forgetRemovedDatabases(snapshot.Databases)
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

func (e *Evaluator) forgetRemovedDatabases(databases []DatabaseSnapshot) {
	present := map[string]bool{}
	for _, database := range databases {
		present[database.Name] = true
	}
	for name := range e.databases {
		if !present[name] {
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

// weightPercent rounds a weight from 0 to 1 to the step in which it is reported.
func (e *Evaluator) weightPercent(weight float64) int {
	step := e.config.WeightStep
	return max(1, int(math.Round(weight/step)*step*100+0.5))
}

// combinedState is the state of the aggregator. It follows the databases' states at once, which are damped already.
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

// databaseState is the state of a database by a snapshot alone, and the reason unless that is Up.
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

// maxShardsListed is how many shards a reason names.
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
