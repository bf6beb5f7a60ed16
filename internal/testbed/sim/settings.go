package sim

import "time"

// Settings configures one run: the fleet, its clients, and the faults. Replay files store it as JSON with the keys of
// the tags, which must not change, so that old files can be replayed.
type Settings struct {
	Seed            uint64        `json:"Seed"` // of all random streams
	Aggregators     int           `json:"Mixers"`
	Replicas        int           `json:"Nodes"`
	Reach           int           `json:"Reach"`     // replicas of a shard; there are as many shards as replicas
	SearchParts     int           `json:"Parts"`     // parts per search
	Cores           int           `json:"Cores"`     // per replica
	MeanServiceTime time.Duration `json:"Work"`      // of a part; half constant, half exponentially distributed
	Rate            float64       `json:"Rate"`      // queries per second over all aggregators
	Retries         int           `json:"Retries"`   // maximum retries of a rejected or failed query by its client
	RetryDelay      time.Duration `json:"RetryAt"`   // drawn uniformly from half to twice this value
	NetworkDelay    time.Duration `json:"Network"`   // mean, one way
	Duration        time.Duration `json:"For"`       // of the clients' traffic
	HealthEvidence  bool          `json:"Evidence"`  // aggregators have health tables and check replicas every second
	Zones           int           `json:"Zones"`     // 0: replicas are in two zones, all aggregators in the first
	TrafficSkew     float64       `json:"Skew"`      // standard deviation of the logarithm of the aggregators' weights
	Gossip          bool          `json:"Words"`     // aggregators send load probes, and gossip with each other
	Warmup          Warmup        `json:"Cold"`      // of replicas after their start
	Discovery       Discovery     `json:"Discovery"` // how aggregators receive the endpoint list
	Faults          []Fault       `json:"Troubles"`
	InjectedBug     Bug           `json:"Planted"` // for tests of the checker
	RecordTrace     bool          `json:"Keep"`    // also record the trace as text
}

// Defaults returns the settings of a small fleet without faults.
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

// Bug is a bug of the program under test that is injected to test the checker, which must detect it. The values are
// stored in replay files.
type Bug string

// The bugs that can be injected. The zero value injects none.
const (
	BugDoubleCorrection   Bug = "double correction" // a correction runs twice
	BugLostQuery          Bug = "lost query"        // an answer is not delivered
	BugDrainIgnored       Bug = "drain ignored"     // aggregators are not notified that a replica drains
	BugFalseComplete      Bug = "dishonest whole"   // partial answers are marked complete
	BugLeakedAttempt      Bug = "leaked attempt"    // a canceled attempt never ends
	BugConcurrentAttempts Bug = "second copy"       // a canceled attempt ends before the replica is notified
	BugWarmupIgnored      Bug = "cold ignored"      // aggregators ignore the warm-up of replicas
	BugSlowReopen         Bug = "waits in silence"  // an unresponsive watch is reopened only after the fleet's backoff
)

// Result is the result of one run.
type Result struct {
	Hash                   uint64 // hash of the trace
	Events                 uint64 // events of the simulation
	Requests               int    // queries and the clients' retries
	Served                 int    // requests, including those with a partial answer
	Partial                int    // requests served with a partial answer
	Rejected               int    // requests
	Failed                 int    // requests
	Queries                int    // first requests
	Answered               int    // queries that were finally served
	ConnectionsLost        int    // requests in flight at an aggregator that crashed
	ReplicasOverloaded     int    // crashes of warming replicas by overload
	DiscoveryPolls         int
	DiscoveryPollsRejected int
	Classes                [classCount]ClassCounts
	Violations             []string        // of the invariants, at most maxViolations
	Latencies              []time.Duration // of served requests, in the order of their answers
	Trace                  []string        // if Settings.RecordTrace is set
}

// ClassCounts contains the counts of the queries of one class. Retries are not counted as separate queries.
type ClassCounts struct {
	Queries         int
	Answered        int
	WithinObjective int
}

// Goodput returns the fraction of the queries that were answered, or 1 if there are no queries.
func (r *Result) Goodput() float64 {
	if r.Queries == 0 {
		return 1
	}
	return float64(r.Answered) / float64(r.Queries)
}
