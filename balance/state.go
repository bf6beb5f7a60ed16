package balance

// This file decides nothing: it holds what a Balancer remembers, how that is made, and how it is looked up.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
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
	actions       []Action // of this turn
	timerAt       time.Duration
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

	latency           estimate.Latency // of all servers
	recentAnswers     estimate.Window
	medianServiceTime float64  // of all servers, as of this turn, microseconds
	fleetAverages     averages // means over the measured servers, as of this turn
	demand            slowstart.Demand
	slowStart         slowstart.Limits
	firstAttempts     []retrydetect.Detector // of each class
	meanWeight        float64                // of a query offered
	meanParts         float64                // of a query offered
	tenantRates       tokenbucket.Buckets
	retryBudget       retrybudget.Budget
	hedgeTokens       float64
	probeTokens       float64
	outbox            gossip.Outbox
	suspectUntil      []time.Duration          // of each class: its queries may crash servers until then
	crashingKeys      map[string]time.Duration // keys of queries under which servers crashed: not begun until then
}

// server is what this balancer knows of one replica.
type server struct {
	suspicion.Record
	HealthLimits
	averages

	id         Replica
	gossipKey  uint32
	zone, cell int
	listed     bool
	path       *suspicion.Path    // to its zone
	perClass   []suspicion.Record // a server may lose requests of one class and answer the others
	slowStart  slowstart.Server

	measured         bool             // the averages of latency and service time are its own
	recent           estimate.Samples // response times as measured, microseconds; never pulled back
	stalled          int              // requests in flight taken for lost, as of this turn
	avoidUntil       time.Duration    // full, or down
	reportedAt       time.Duration    // of the last load report; 0: never
	reportedInFlight float64          // negative: not reported
	probedQueue      float64          // by the last probe that showed it
	probedQueueAt    time.Duration
	queueWasLong     bool // by the last gossip sent or received

	probing         bool
	probedAt        time.Duration // by this balancer or another
	probeFailed     bool          // the last probe brought an error or nothing
	probeUnanswered bool          // the last probe, this balancer's or another's, brought nothing
	resetQueries    []*query      // lost a connection to it; it is being probed whether it crashed
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
	class             *Class
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

// progress is how far a query's step has come.
type progress struct {
	weight    float64 // of the parts answered
	reachable float64 // what that may still come to
	answered  int     // number of parts
}

// New returns a Balancer for the settings, or an error that names what is wrong with them.
func New(set Settings) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	shortest := slices.MinFunc(set.Classes, func(c, d Class) int { return cmp.Compare(c.Objective, d.Objective) })
	rates := make([]float64, len(set.Tenants))
	for i, tenant := range set.Tenants {
		rates[i] = tenant.Quota / float64(set.Instances)
	}
	rules := set.Rules
	return &Balancer{
		settings:      set,
		sqrtInstances: math.Sqrt(float64(set.Instances)),
		minObjective:  shortest.Objective,
		rng:           rand.New(rand.NewPCG(set.Seed, set.Seed^0x9e3779b97f4a7c15)),
		servers:       map[Replica]*server{},
		cells:         make([][]*server, set.Cells),
		paths:         map[int]*suspicion.Path{},
		byID:          map[ID]*query{},
		byGroup:       map[uint64]*query{},
		parts:         map[ID]*part{},
		attempts:      map[attemptKey]*attempt{},
		latency:       estimate.NewLatency(micros(shortest.Objective)),
		firstAttempts: make([]retrydetect.Detector, len(set.Classes)),
		suspectUntil:  make([]time.Duration, len(set.Classes)),
		crashingKeys:  map[string]time.Duration{},
		tenantRates:   tokenbucket.New(rates),
		retryBudget:   retrybudget.New(rules.RetryBudgetWindow, rules.RetryBudgetBase, rules.RetryBudgetRatio),
		outbox:        gossip.NewOutbox(set.Instances),
		slowStart: slowstart.Limits{
			WarmupPeriod: rules.WarmupPeriod, MinCapacity: rules.WarmupMinCapacity,
			OverloadMultiple: rules.OverloadMultiple, OverloadPeriod: rules.OverloadPeriod,
			Senders: set.Instances,
		},
	}, nil
}

func micros(d time.Duration) float64        { return estimate.Microseconds(d) }
func duration(micros float64) time.Duration { return estimate.Duration(micros) }

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// replicas are the servers in service that hold a shard.
func (b *Balancer) replicas(shard int) []*server {
	var all []*server
	for j := range min(b.settings.Reach, b.settings.Cells) {
		all = append(all, b.cells[(shard+j)%b.settings.Cells]...)
	}
	return all
}

// candidates are the servers in service that may be asked for a part.
func (b *Balancer) candidates(p *part) (all []*server) {
	if p.Candidates == nil {
		return b.replicas(p.Shard)
	}
	for _, c := range p.Candidates {
		if s := b.servers[c.Replica]; s != nil && s.listed {
			all = append(all, s)
		}
	}
	return all
}

// indexEndpoints puts the listed servers where parts and gossip messages look for them.
func (b *Balancer) indexEndpoints() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	b.byGossipKey = map[uint32]*server{}
	for _, s := range b.endpoints {
		if _, twice := b.byGossipKey[s.gossipKey]; twice || !s.listed {
			b.byGossipKey[s.gossipKey] = nil
		} else {
			b.byGossipKey[s.gossipKey] = s
		}
		if s.listed && s.cell >= 0 && s.cell < len(b.cells) {
			b.cells[s.cell] = append(b.cells[s.cell], s)
		}
	}
}

// removeAttempt takes an attempt that ended from all that are in flight; it returns nil if there is none.
func (b *Balancer) removeAttempt(key attemptKey) *attempt {
	a := b.attempts[key]
	if a == nil {
		return nil
	}
	delete(b.attempts, key)
	a.part.inFlight = slices.DeleteFunc(a.part.inFlight, func(other *attempt) bool { return other == a })
	a.server.Ended(a.sent)
	a.server.path.Ended(a.sent)
	a.server.perClass[a.part.query.Class].Ended(a.sent)
	return a
}

// progress sums up the parts of a query's step.
func (q *query) progress() (done progress) {
	for _, p := range q.parts {
		if p.answered {
			done.weight += p.Weight
			done.answered++
		}
		if !p.abandoned {
			done.reachable += p.Weight
		}
	}
	return done
}

// neededWeight is the weight of the parts that make an answer complete, and minWeight the least for any answer.
func (q *query) neededWeight() float64 {
	if q.step > 0 {
		return 1
	}
	return q.class.CompleteFraction
}

func (q *query) minWeight() float64 {
	if q.step > 0 && q.class.MinFraction >= q.class.CompleteFraction {
		return 1
	}
	return min(q.class.MinFraction, q.neededWeight())
}

// lastAttempt is the latest attempt in flight. There must be one.
func (p *part) lastAttempt() *attempt { return p.inFlight[len(p.inFlight)-1] }

func (p *part) mightHaveRun() bool { return p.mayHaveRun || p.answered || len(p.inFlight) > 0 }

// recordMayHaveRun notes that an attempt that ended may have run.
func (p *part) recordMayHaveRun(a *attempt) {
	if !p.mayHaveRun || a.sent < p.firstMayHaveRun {
		p.mayHaveRun, p.firstMayHaveRun = true, a.sent
	}
}

// prefer returns the servers for which holds is true, or all if there are none.
func prefer(servers []*server, holds func(*server) bool) (preferred []*server) {
	for _, s := range servers {
		if holds(s) {
			preferred = append(preferred, s)
		}
	}
	if len(preferred) == 0 {
		return servers
	}
	return preferred
}
