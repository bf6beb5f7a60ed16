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
	at  time.Time
	seq uint64 // events of one moment happen in the order in which they were made
	do  func()
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
	now    time.Time
	queue  events
	seq    uint64
	count  uint64
	trace  *xxhash.Digest
	keep   bool // keep the trace's text
	text   []string
	buffer [8]byte
}

// at makes something happen.
func (c *clock) at(t time.Time, do func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.queue, event{t, c.seq, do})
}

func (c *clock) in(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

// note adds to the trace.
func (c *clock) note(what string, a, b uint64) {
	binary.LittleEndian.PutUint64(c.buffer[:], uint64(c.now.Sub(Start)))
	c.trace.Write(c.buffer[:])
	c.trace.WriteString(what)
	binary.LittleEndian.PutUint64(c.buffer[:], a)
	c.trace.Write(c.buffer[:])
	binary.LittleEndian.PutUint64(c.buffer[:], b)
	c.trace.Write(c.buffer[:])
	if c.keep {
		c.text = append(c.text, fmt.Sprintf("%v %s %d %d", c.now.Sub(Start), what, a, b))
	}
}

// run lets time pass until an end.
func (c *clock) run(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		c.count++
		e.do()
	}
	c.now = end
}

// Settings of a fleet.
type Settings struct {
	Seed      uint64
	Mixers    int
	Nodes     int
	Reach     int           // nodes that hold a block; blocks are as many as nodes, round the ring
	Parts     int           // of a search
	Cores     int           // of a node
	Work      time.Duration // of a part, on the mean; exponential over a half of it
	Rate      float64       // queries a second over all mixers
	Retries   int           // that a client makes of a refused or failed query
	RetryAt   time.Duration // after so long, and a half to twice of it
	Network   time.Duration // one way, on the mean
	For       time.Duration // clients ask for so long
	Evidence  bool          // mixers have decide/health, and checks each second
	Zones     int           // of nodes and mixers, in turn; 0: two of nodes, all mixers in the first
	Skew      float64       // of the mixers' traffic: each gets e to so many normal deviations
	Words     bool          // mixers probe nodes and tell each other what they see
	Cold      Cold          // what a node can do after its start
	Discovery Discovery     // how mixers hear of the list
	Troubles  []Trouble
	Planted   string // a bug on purpose, for tests of the checker
	Keep      bool   // keep the trace's text
}

// Defaults is a small fleet without trouble.
func Defaults(seed uint64) Settings {
	return Settings{Seed: seed, Mixers: 2, Nodes: 12, Reach: 4, Parts: 4, Cores: 2, Work: 20 * time.Millisecond, Rate: 100, Retries: 1,
		RetryAt: 300 * time.Millisecond, Network: 500 * time.Microsecond, For: 10 * time.Second}
}

// Result of a run.
type Result struct {
	Hash                                    uint64 // of the trace
	Events                                  uint64
	Asked, Served, Partial, Refused, Failed int // queries, a client's repeats among them
	Wanted, Got                             int // first tries, and those that were answered in the end
	Lost                                    int // tries whose mixer died under them
	Fallen                                  int // cold nodes that got too much
	Calls, CallsFailed                      int // of discovery
	Classes                                 [3]OfClass
	Broken                                  []string
	Took                                    []time.Duration // of served queries, in order
	Trace                                   []string
}

// OfClass counts the queries of one class, a client's repeats not among them.
type OfClass struct{ Wanted, Got, InTime int }

// Goodput is the share of what was wanted that was answered.
func (r *Result) Goodput() float64 {
	if r.Wanted == 0 {
		return 1
	}
	return float64(r.Got) / float64(r.Wanted)
}

// world is one run.
type world struct {
	clock
	Settings
	rng      *rand.Rand
	mixers   []*mixerHost
	nodes    []*node
	byID     map[balance.Replica]*node
	roster   *roster
	registry *registry
	traffic  []float64 // of the mixers, added up
	parted   bool      // the zones do not reach each other
	check    *checker
	result   Result
}

// between says whether nothing passes from one zone to the other.
func (w *world) between(a, b int) bool { return w.parted && a != b }

// Run plays a fleet.
func Run(s Settings) (Result, error) {
	w := &world{Settings: s, byID: map[balance.Replica]*node{}, rng: rand.New(rand.NewPCG(s.Seed, 0x51)), check: newChecker()}
	w.clock = clock{now: Start, trace: xxhash.New(), keep: s.Keep}
	w.check.w = w
	for i := range s.Nodes {
		n := newNode(w, i)
		w.nodes = append(w.nodes, n)
		w.byID[n.id] = n
	}
	w.roster, w.registry = &roster{w: w}, &registry{w: w}
	if s.Skew > 0 {
		sum := 0.0
		for range s.Mixers {
			sum += math.Exp(s.Skew * w.rng.NormFloat64())
			w.traffic = append(w.traffic, sum)
		}
	}
	for i := range s.Mixers {
		m, err := newMixer(w, i)
		if err != nil {
			return Result{}, err
		}
		w.mixers = append(w.mixers, m)
	}
	for i := range s.Troubles {
		s.Troubles[i].plan(w)
	}
	w.at(Start.Add(100*time.Millisecond), w.arrive)
	w.run(Start.Add(s.For))
	// Quiet: what is open ends, and nothing may be left.
	w.run(Start.Add(s.For + deadline + 5*time.Second))
	w.check.quiet()
	w.result.Hash, w.result.Events, w.result.Trace = w.trace.Sum64(), w.count, w.text
	w.result.Broken = w.check.broken
	w.result.Calls, w.result.CallsFailed = w.registry.calls, w.registry.failed
	return w.result, nil
}
