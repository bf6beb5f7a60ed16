package sim

import "time"

// Settings describe one run: the fleet, its clients, and the faults. Replay files hold them as JSON under the keys of
// the tags, which stay as they are so that old files can be played.
type Settings struct {
	Seed            uint64        `json:"Seed"` // of all random samples
	Aggregators     int           `json:"Mixers"`
	Replicas        int           `json:"Nodes"`
	Reach           int           `json:"Reach"`     // replicas that hold a shard; there are as many shards as replicas
	SearchParts     int           `json:"Parts"`     // parts of one search
	Cores           int           `json:"Cores"`     // of a replica
	MeanServiceTime time.Duration `json:"Work"`      // of a part: half of it fixed, half exponential
	Rate            float64       `json:"Rate"`      // queries a second over all aggregators
	Retries         int           `json:"Retries"`   // that a client makes of a rejected or failed query
	RetryDelay      time.Duration `json:"RetryAt"`   // drawn from half of it to twice of it
	NetworkDelay    time.Duration `json:"Network"`   // mean, one way
	Duration        time.Duration `json:"For"`       // of the clients' traffic
	HealthEvidence  bool          `json:"Evidence"`  // aggregators have health tables, and check replicas once a second
	Zones           int           `json:"Zones"`     // 0: replicas are in two zones, all aggregators in the first
	TrafficSkew     float64       `json:"Skew"`      // standard deviation of the log of aggregators' weights
	Gossip          bool          `json:"Words"`     // aggregators probe replicas' load and gossip with each other
	Warmup          Warmup        `json:"Cold"`      // of a replica after its start
	Discovery       Discovery     `json:"Discovery"` // how aggregators learn of the endpoint list
	Faults          []Fault       `json:"Troubles"`
	InjectedBug     Bug           `json:"Planted"` // on purpose, for tests of the checker
	RecordTrace     bool          `json:"Keep"`    // keep the trace's text
}

// Defaults are the settings of a small fleet without faults.
func Defaults(seed uint64) Settings {
	return Settings{
		Seed:            seed,
		Aggregators:     2,
		Replicas:        12,
		Reach:           4,
		SearchParts:     4,
		Cores:           2,
		MeanServiceTime: 20 * time.Millisecond,
		Rate:            100,
		Retries:         1,
		RetryDelay:      300 * time.Millisecond,
		NetworkDelay:    500 * time.Microsecond,
		Duration:        10 * time.Second,
	}
}

// Bug is a fault of the program under test that is planted on purpose: a test of the checker, which has to find it. The
// values stand in replay files.
type Bug string

// The bugs that can be planted. The zero value plants none.
const (
	BugDoubleCorrection   Bug = "double correction" // a correction runs twice
	BugLostQuery          Bug = "lost query"        // an answer reaches nobody
	BugDrainIgnored       Bug = "drain ignored"     // aggregators are not notified that a replica drains
	BugFalseComplete      Bug = "dishonest whole"   // partial answers are marked complete
	BugLeakedAttempt      Bug = "leaked attempt"    // a canceled attempt never ends
	BugConcurrentAttempts Bug = "second copy"       // a canceled attempt ends before the replica is notified
	BugWarmupIgnored      Bug = "cold ignored"      // warming replicas get as much as warm ones
	BugSlowReopen         Bug = "waits in silence"  // an unresponsive watch is reopened only after the fleet's backoff
)

// Result is what one run came to.
type Result struct {
	Hash                   uint64 // of the trace
	Events                 uint64 // of the simulation
	Requests               int    // queries and the clients' retries of them
	Served                 int    // requests, partial answers included
	Partial                int    // requests served with a partial answer
	Rejected               int    // requests
	Failed                 int    // requests
	Queries                int    // first requests
	Answered               int    // queries that were served in the end
	ConnectionsLost        int    // requests whose aggregator crashed under them
	ReplicasOverloaded     int    // warming replicas that collapsed under too many parts
	DiscoveryPolls         int
	DiscoveryPollsRejected int
	Classes                [classCount]ClassCounts
	Violations             []string        // of the rules, bounded by maxViolations
	Latencies              []time.Duration // of served requests, in the order of their answers
	Trace                  []string        // if Settings.RecordTrace is set
}

// ClassCounts count the queries of one class; a client's retries count with the query that they retry.
type ClassCounts struct {
	Queries         int
	Answered        int
	WithinObjective int
}

// Goodput is the fraction of the queries that was answered; 1 if there was none.
func (r *Result) Goodput() float64 {
	if r.Queries == 0 {
		return 1
	}
	return float64(r.Answered) / float64(r.Queries)
}
