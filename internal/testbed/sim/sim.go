// Package sim plays whole fleets under one seeded virtual clock: mixers with the real core, decisions and evidence,
// nodes, clients and the network between them. A run is fixed by its settings and its seed: two runs give the same
// trace, on any number of processors. A checker holds every step against the rules.
package sim

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"rooktrestle/balance"
)

// Start of virtual time.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at     time.Time
	seq    uint64 // events of one moment happen in the order in which they were made
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock is virtual time with what is to happen in it, and the trace of what has.
type clock struct {
	now        time.Time
	queue      events
	seq        uint64
	eventCount uint64
	trace      *xxhash.Digest
	keepText   bool // keep the trace's text
	traceText  []string
	buffer     [8]byte
}

// at makes something happen.
func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.queue, event{t, c.seq, do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// record adds to the trace.
func (c *clock) record(what string, a, b uint64) {
	binary.LittleEndian.PutUint64(c.buffer[:], uint64(c.now.Sub(Start)))
	c.trace.Write(c.buffer[:])
	c.trace.WriteString(what)
	binary.LittleEndian.PutUint64(c.buffer[:], a)
	c.trace.Write(c.buffer[:])
	binary.LittleEndian.PutUint64(c.buffer[:], b)
	c.trace.Write(c.buffer[:])
	if c.keepText {
		c.traceText = append(c.traceText, fmt.Sprintf("%v %s %d %d", c.now.Sub(Start), what, a, b))
	}
}

// run lets time pass until an end.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.eventCount++
		e.action()
	}
	c.now = end
}

// Settings of a fleet.
type Settings struct {
	Seed            uint64        `json:"Seed"`
	Aggregators     int           `json:"Mixers"`
	Replicas        int           `json:"Nodes"`
	Reach           int           `json:"Reach"`     // nodes that hold a block; blocks are as many as nodes, round the ring
	SearchParts     int           `json:"Parts"`     // of a search
	Cores           int           `json:"Cores"`     // of a node
	MeanServiceTime time.Duration `json:"Work"`      // of a part, on the mean; exponential over a half of it
	Rate            float64       `json:"Rate"`      // queries a second over all mixers
	Retries         int           `json:"Retries"`   // that a client makes of a refused or failed query
	RetryDelay      time.Duration `json:"RetryAt"`   // after so long, and a half to twice of it
	NetworkDelay    time.Duration `json:"Network"`   // one way, on the mean
	Duration        time.Duration `json:"For"`       // clients ask for so long
	HealthEvidence  bool          `json:"Evidence"`  // mixers have decide/health, and checks each second
	Zones           int           `json:"Zones"`     // of nodes and mixers, in turn; 0: two of nodes, all mixers in the first
	TrafficSkew     float64       `json:"Skew"`      // of the mixers' traffic: each gets e to so many normal deviations
	Gossip          bool          `json:"Words"`     // mixers probe nodes and tell each other what they see
	Warmup          Warmup        `json:"Cold"`      // what a node can do after its start
	Discovery       Discovery     `json:"Discovery"` // how mixers hear of the list
	Faults          []Fault       `json:"Troubles"`
	PlantedBug      string        `json:"Planted"` // a bug on purpose, for tests of the checker
	KeepTrace       bool          `json:"Keep"`    // keep the trace's text
}

// Defaults is a small fleet without trouble.
func Defaults(seed uint64) Settings {
	return Settings{Seed: seed, Aggregators: 2, Replicas: 12, Reach: 4, SearchParts: 4, Cores: 2, MeanServiceTime: 20 * time.Millisecond, Rate: 100, Retries: 1,
		RetryDelay: 300 * time.Millisecond, NetworkDelay: 500 * time.Microsecond, Duration: 10 * time.Second}
}

// Result of a run.
type Result struct {
	Hash                                        uint64 // of the trace
	Events                                      uint64
	Requests, Served, Partial, Rejected, Failed int // queries, a client's repeats among them
	Queries, Answered                           int // first tries, and those that were answered in the end
	ConnectionsLost                             int // tries whose mixer died under them
	ReplicasOverloaded                          int // cold nodes that got too much
	DiscoveryPolls, DiscoveryPollsRejected      int // of discovery
	Classes                                     [3]ClassCounts
	Violations                                  []string
	Latencies                                   []time.Duration // of served queries, in order
	Trace                                       []string
}

// ClassCounts counts the queries of one class, a client's repeats not among them.
type ClassCounts struct{ Queries, Answered, WithinObjective int }

// Goodput is the share of what was wanted that was answered.
func (r *Result) Goodput() float64 {
	if r.Queries == 0 {
		return 1
	}
	return float64(r.Answered) / float64(r.Queries)
}

// world is one run.
type world struct {
	clock
	Settings
	rng               *rand.Rand
	aggregators       []*aggregatorHost
	replicas          []*replica
	replicaByID       map[balance.Replica]*replica
	feed              *endpointFeed
	discovery         *discoveryService
	cumulativeTraffic []float64 // of the mixers, added up
	partitioned       bool      // the zones do not reach each other
	checker           *checker
	result            Result
}

// separated says whether nothing passes from one zone to the other.
func (w *world) separated(a, b int) bool { return w.partitioned && a != b }

// Run plays a fleet.
func Run(s Settings) (Result, error) {
	w := &world{Settings: s, replicaByID: map[balance.Replica]*replica{}, rng: rand.New(rand.NewPCG(s.Seed, 0x51)), checker: newChecker()}
	w.clock = clock{now: Start, trace: xxhash.New(), keepText: s.KeepTrace}
	w.checker.world = w
	for i := range s.Replicas {
		n := newReplica(w, i)
		w.replicas = append(w.replicas, n)
		w.replicaByID[n.id] = n
	}
	w.feed, w.discovery = &endpointFeed{world: w}, &discoveryService{world: w}
	if s.TrafficSkew > 0 {
		sum := 0.0
		for range s.Aggregators {
			sum += math.Exp(s.TrafficSkew * w.rng.NormFloat64())
			w.cumulativeTraffic = append(w.cumulativeTraffic, sum)
		}
	}
	for i := range s.Aggregators {
		m, err := newAggregatorHost(w, i)
		if err != nil {
			return Result{}, err
		}
		w.aggregators = append(w.aggregators, m)
	}
	for i := range s.Faults {
		s.Faults[i].schedule(w)
	}
	w.at(Start.Add(100*time.Millisecond), w.queryArrives)
	w.run(Start.Add(s.Duration))
	// Quiet: what is open ends, and nothing may be left.
	w.run(Start.Add(s.Duration + maxDeadline + 5*time.Second))
	w.checker.checkQuiescence()
	w.result.Hash, w.result.Events, w.result.Trace = w.trace.Sum64(), w.eventCount, w.traceText
	w.result.Violations = w.checker.violations
	w.result.DiscoveryPolls, w.result.DiscoveryPollsRejected = w.discovery.polls, w.discovery.rejectedPolls
	return w.result, nil
}
