package balance

// This file decides nothing: it defines the state of a Balancer and its constructor.

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

// Balancer makes the decisions of one aggregator. Create it with New.
type Balancer struct {
	settings      Settings
	sqrtInstances float64       // square root of Settings.Instances
	minObjective  time.Duration // shortest latency objective of all classes
	rng           *rand.Rand
	now           time.Duration
	actions       []Action      // of the current turn
	timerAt       time.Duration // when the pending timer fires, or the last one fired
	pollAt        time.Duration // when to request the list again after a failed call; 0: not scheduled

	servers     map[Replica]*server
	endpoints   []*server               // all servers, in the order in which they were first listed
	cells       [][]*server             // listed servers by cell
	byGossipKey map[uint32]*server      // listed servers by gossip key; nil if two share it
	paths       map[int]*suspicion.Path // network paths by zone

	queries  []*query // in order of arrival
	byID     map[ID]*query
	byGroup  map[uint64]*query
	parts    map[ID]*part
	attempts map[attemptKey]*attempt

	fleet          fleet.Fleet
	retryDetectors []retrydetect.Detector // by class
	meanWeight     float64                // moving mean over the queries offered
	meanParts      float64                // moving mean over the queries offered
	tenantRates    tokenbucket.Buckets
	retryBudget    retrybudget.Budget
	hedgeTokens    float64 // hedged requests that parts have earned and that were not sent yet
	probeTokens    float64 // probes that parts have earned and that were not sent yet
	outbox         gossip.Outbox
	suspectUntil   []time.Duration          // by class: end of the suspicion that its queries crash servers
	crashingKeys   map[string]time.Duration // by key of crashing queries: until when they are rejected
}

// server is the state of one replica as this balancer observes it.
type server struct {
	fleet.Server
	HealthLimits
	id           Replica
	gossipKey    uint32
	zone         int
	cell         int
	avoidUntil   time.Duration // full, down or overloaded: nothing is sent to it before then
	probing      bool
	probedAt     time.Duration // last probe by this balancer or another
	resetQueries []*query      // whose connections to it were reset; nil once a probe has ended
}

// attempt is one sending of a part to a server.
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

// part is the state of a part of an open query.
type part struct {
	Part
	query           *query
	attempts        int
	inFlight        []*attempt // oldest first
	answered        bool
	abandoned       bool          // will not be sent, or not again
	mayHaveRun      bool          // an ended attempt may have run
	mayHaveRunSince time.Duration // when the earliest of these attempts was sent
	notBefore       time.Duration // earliest time of the next attempt
	warmupTarget    *server       // may receive the part although it is warming up
	failedOn        []*server     // servers at which attempts ended without an answer
}

// query is the state of an open query.
type query struct {
	Query
	class             *Class        // as of the query's arrival
	maxAttempts       int           // per part, as of the query's arrival
	deadline          time.Duration // clock time
	objective         time.Duration // clock time until which an answer earns its full weight
	parts             []*part       // of the current step
	step              int           // 0 or 1
	firstStepComplete bool
	admitted          bool
	completed         bool          // answered, rejected or failed, or its client disconnected
	halfOpenUsed      bool          // one of its parts went out as a half-open request
	crashes           int           // number of servers that crashed while they ran its parts
	probedAt          time.Duration // when its replicas were probed; 0: not yet
}

// New returns a Balancer with the settings, or an error that states which setting is invalid.
func New(set Settings) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Balancer{
		settings:       set,
		sqrtInstances:  math.Sqrt(float64(set.Instances)),
		minObjective:   set.minObjective(),
		rng:            rand.New(rand.NewPCG(set.Seed, set.Seed^seedMask)),
		servers:        map[Replica]*server{},
		cells:          make([][]*server, set.Cells),
		paths:          map[int]*suspicion.Path{},
		byID:           map[ID]*query{},
		byGroup:        map[uint64]*query{},
		parts:          map[ID]*part{},
		attempts:       map[attemptKey]*attempt{},
		fleet:          newFleet(&set),
		retryDetectors: make([]retrydetect.Detector, len(set.Classes)),
		suspectUntil:   make([]time.Duration, len(set.Classes)),
		crashingKeys:   map[string]time.Duration{},
		tenantRates:    tokenbucket.New(set.tenantRates()),
		retryBudget: retrybudget.New(retrybudget.Limits{
			Window: set.Rules.RetryBudgetWindow,
			Base:   set.Rules.RetryBudgetBase,
			Ratio:  set.Rules.RetryBudgetRatio,
		}),
		outbox: gossip.NewOutbox(set.Instances),
	}, nil
}

// seedMask derives the second half of the random generator's seed. Its value is arbitrary.
const seedMask = 0x9e3779b97f4a7c15

// newFleet returns the initial estimates of the servers, without any measurement.
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
