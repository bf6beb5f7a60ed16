package balance

// This file decides nothing: it holds what a Balancer remembers, and how that is made.

import (
	"math"
	"math/rand/v2"
	"time"

	"rooktrestle/internal/control/estimate"
	"rooktrestle/internal/control/fleet"
	"rooktrestle/internal/control/gossip"
	"rooktrestle/internal/control/retrybudget"
	"rooktrestle/internal/control/retrydetect"
	"rooktrestle/internal/control/slowstart"
	"rooktrestle/internal/control/suspicion"
	"rooktrestle/internal/control/tokenbucket"
)

// A Balancer decides for one aggregator. Make it with New.
type Balancer struct {
	settings      Settings
	sqrtInstances float64       // square root of the number of balancers
	minObjective  time.Duration // shortest latency objective of all classes
	rng           *rand.Rand
	now           time.Duration
	actions       []Action      // of this turn
	timerAt       time.Duration // when the timer asked for last fires
	pollAt        time.Duration // when to ask for the list, after a failed call; 0: not due

	servers     map[Replica]*server
	endpoints   []*server // the servers in the order in which they were first listed
	cells       [][]*server
	byGossipKey map[uint32]*server      // listed servers; nil where two share a key
	paths       map[int]*suspicion.Path // to each zone

	queries  []*query // in the order of arrival
	byID     map[ID]*query
	byGroup  map[uint64]*query
	parts    map[ID]*part
	attempts map[attemptKey]*attempt

	fleet         fleet.Fleet
	firstAttempts []retrydetect.Detector // of each class
	meanWeight    float64                // of a query offered
	meanParts     float64                // of a query offered
	tenantRates   tokenbucket.Buckets
	retryBudget   retrybudget.Budget
	hedgeTokens   float64 // hedged requests that parts have earned
	probeTokens   float64 // probes that parts have earned
	outbox        gossip.Outbox
	suspectUntil  []time.Duration          // of each class: its queries may crash servers until then
	crashingKeys  map[string]time.Duration // keys of queries under which servers crashed: not begun until then
}

// server is what this balancer knows of one replica.
type server struct {
	fleet.Server
	HealthLimits
	id           Replica
	gossipKey    uint32
	zone         int
	cell         int
	avoidUntil   time.Duration // it is full or down: nothing is sent to it before
	probing      bool
	probedAt     time.Duration // by this balancer or another
	resetQueries []*query      // lost a connection to it; it is being probed whether it crashed
}

// attempt is one request for a part.
type attempt struct {
	part     *part
	server   *server
	number   int
	sent     time.Duration
	canceled bool
}

type attemptKey struct {
	part   ID
	number int
}

// part is a part of a query.
type part struct {
	Part
	query           *query
	attempts        int
	inFlight        []*attempt // oldest first
	answered        bool
	abandoned       bool // it will not be sent again, or not at all
	mayHaveRun      bool
	firstMayHaveRun time.Duration // sending of the first attempt that may have run
	notBefore       time.Duration // earliest next attempt
	warmupTarget    *server       // may be sent the part though it is warming up
	failedOn        []*server
}

// query is a query that is not over.
type query struct {
	Query
	class             *Class        // as the query came
	maxAttempts       int           // of a part, as the query came
	deadline          time.Duration // clock time
	objective         time.Duration // clock time until which an answer earns the full weight
	parts             []*part       // of the present step
	step              int           // 0 or 1
	firstStepComplete bool
	admitted          bool
	done              bool
	halfOpenUsed      bool          // one of its parts went out as a half-open request
	crashes           int           // servers that crashed under it
	probedAt          time.Duration // when its replicas were probed; 0: not yet
}

// New returns a Balancer for the settings, or an error that names what is wrong with them.
func New(set Settings) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Balancer{
		settings:      set,
		sqrtInstances: math.Sqrt(float64(set.Instances)),
		minObjective:  set.minObjective(),
		rng:           rand.New(rand.NewPCG(set.Seed, set.Seed^seedMask)),
		servers:       map[Replica]*server{},
		cells:         make([][]*server, set.Cells),
		paths:         map[int]*suspicion.Path{},
		byID:          map[ID]*query{},
		byGroup:       map[uint64]*query{},
		parts:         map[ID]*part{},
		attempts:      map[attemptKey]*attempt{},
		fleet:         newFleet(&set),
		firstAttempts: make([]retrydetect.Detector, len(set.Classes)),
		suspectUntil:  make([]time.Duration, len(set.Classes)),
		crashingKeys:  map[string]time.Duration{},
		tenantRates:   tokenbucket.New(set.tenantRates()),
		retryBudget: retrybudget.New(retrybudget.Limits{
			Window: set.Rules.RetryBudgetWindow,
			Base:   set.Rules.RetryBudgetBase,
			Ratio:  set.Rules.RetryBudgetRatio,
		}),
		outbox: gossip.NewOutbox(set.Instances),
	}, nil
}

// seedMask derives the second half of the random generator's seed; any fixed number does.
const seedMask = 0x9e3779b97f4a7c15

// newFleet returns the estimates of the servers before anything was measured.
func newFleet(set *Settings) fleet.Fleet {
	return fleet.New(fleet.Options{
		Instances:    set.Instances,
		Objective:    set.minObjective(),
		ProbesShared: set.GossipEnabled(),
		SlowStart: slowstart.Limits{
			WarmupPeriod:     set.Rules.WarmupPeriod,
			MinCapacity:      set.Rules.WarmupMinCapacity,
			OverloadMultiple: set.Rules.OverloadMultiple,
			OverloadPeriod:   set.Rules.OverloadPeriod,
			Senders:          set.Instances,
		},
	})
}

func micros(d time.Duration) float64        { return estimate.Microseconds(d) }
func duration(micros float64) time.Duration { return estimate.Duration(micros) }

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }
