// Package load is an open-loop load generator: calls start at their intended times, whether or not previous calls have
// completed, and latencies are measured from the intended times. This avoids coordinated omission of stalls.
package load

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rooktrestle/internal/testbed/client"
)

// Mix contains the weights of the kinds of calls; the names of those over Z39.50 begin with Z3950.
type Mix struct {
	Searches         float64
	Z3950Searches    float64
	Reports          float64
	Corrections      float64
	Z3950Corrections float64
}

// DefaultMix is the mix of classes and protocols of the archive's traffic.
var DefaultMix = Mix{
	Searches:         0.4,
	Z3950Searches:    0.15,
	Reports:          0.23,
	Corrections:      0.15,
	Z3950Corrections: 0.07,
}

// Plan configures a run.
type Plan struct {
	SRU, Z3950 string  // addresses; without Z3950 all calls use SRU
	Rate       float64 // calls per second; arrivals are a Poisson process
	// MaxInFlight bounds the calls in flight: at the bound, the next call starts when one in flight completes. A
	// machine that is too slow for Rate then makes fewer calls instead of accumulating calls in flight. 0: no bound,
	// the load is open-loop.
	MaxInFlight int
	Mix         Mix
	Seed        uint64
	Timeout     time.Duration
	Origins     int // number of associations for Z39.50 calls
}

// Call is one completed call.
type Call struct {
	Kind    string // one of the kinds of calls, such as search or z-search
	ID      string // of corrections
	Began   time.Time
	Latency time.Duration // from the intended time
	Outcome client.Outcome
}

// Result collects the calls of a run. It is safe for concurrent use.
type Result struct {
	mu        sync.Mutex
	calls     []Call
	latencies *hdrhistogram.Histogram // microseconds
}

// Calls returns the completed calls that began at or after from and before to.
func (r *Result) Calls(from, to time.Time) (list []Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if !c.Began.Before(from) && c.Began.Before(to) {
			list = append(list, c)
		}
	}
	return list
}

// Quantile returns a percentile (0 to 100) of the latencies of all calls, in units of a microsecond.
func (r *Result) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// CountOutcomes counts calls by outcome.
func CountOutcomes(calls []Call) (counts [client.Disconnected + 1]int) {
	for _, c := range calls {
		counts[c.Outcome]++
	}
	return counts
}

// CompleteFraction returns the fraction of the calls that were answered completely, or 1 if there are no calls.
func CompleteFraction(calls []Call) float64 {
	if len(calls) == 0 {
		return 1
	}
	return float64(CountOutcomes(calls)[client.Complete]) / float64(len(calls))
}

func (r *Result) add(c Call) {
	r.mu.Lock()
	r.calls = append(r.calls, c)
	// Recording fails only for a latency over the histogram's range, which no call reaches, because clients time out.
	_ = r.latencies.RecordValue(max(1, int64(c.Latency/time.Microsecond)))
	r.mu.Unlock()
}

// Start starts a run. stop ends it and waits for the calls in flight; it may be called more than once.
func Start(plan Plan) (result *Result, stop func()) {
	g := &generator{
		plan:    plan,
		web:     client.NewSRU(plan.SRU, plan.Timeout),
		origins: make(chan *client.Origin, max(1, plan.Origins)),
		result:  &Result{latencies: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits)},
		quit:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	if plan.MaxInFlight > 0 {
		g.slots = make(chan struct{}, plan.MaxInFlight)
	}
	for range cap(g.origins) {
		g.origins <- nil
	}
	go g.run()
	var once sync.Once
	return g.result, func() {
		once.Do(func() { close(g.quit) })
		<-g.ended
	}
}

// Range and precision of the histogram of latencies.
const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Kinds of calls.
const (
	kindSearch          = "search"
	kindZ3950Search     = "z-search"
	kindReport          = "report"
	kindCorrection      = "correct"
	kindZ3950Correction = "z-correct"
)

// arrivalStream is the random stream of the arrivals.
const arrivalStream = 11

// generator makes the calls of one run.
type generator struct {
	plan    Plan
	web     *client.SRU
	origins chan *client.Origin // idle associations; nil entries are dialed on first use
	slots   chan struct{}       // one entry for each call in flight; nil: no bound
	result  *Result
	calls   sync.WaitGroup
	quit    chan struct{}
	ended   chan struct{}
}

// run starts calls at their intended times until quit is closed.
func (g *generator) run() {
	defer close(g.ended)
	defer g.close()
	rng := rand.New(rand.NewPCG(g.plan.Seed, arrivalStream))
	intended := time.Now()
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(rng.ExpFloat64() / g.plan.Rate * float64(time.Second)))
		select {
		case <-g.quit:
			return
		case <-time.After(time.Until(intended)):
		}
		kind := g.plan.pick(rng)
		id := fmt.Sprintf("%d:s%d-%d", rng.IntN(1024), g.plan.Seed, n)
		if !g.acquireSlot() {
			return
		}
		due := intended // the loop changes intended
		g.calls.Go(func() {
			defer g.releaseSlot()
			began := time.Now()
			out := g.call(kind, id)
			g.result.add(Call{Kind: kind, ID: id, Began: began, Latency: time.Since(due), Outcome: out})
		})
	}
}

// acquireSlot waits until another call may be in flight. It returns false if the run ends first.
func (g *generator) acquireSlot() bool {
	if g.slots == nil {
		return true
	}
	select {
	case g.slots <- struct{}{}:
		return true
	case <-g.quit:
		return false
	}
}

func (g *generator) releaseSlot() {
	if g.slots != nil {
		<-g.slots
	}
}

// close waits for the calls in flight and closes the connections.
func (g *generator) close() {
	g.calls.Wait()
	g.web.Close()
	close(g.origins)
	for o := range g.origins {
		if o != nil {
			o.Close()
		}
	}
}

// pick draws the kind of a call. Without a Z39.50 address, the calls over Z39.50 are replaced by calls over SRU.
func (p Plan) pick(rng *rand.Rand) string {
	mix := p.Mix
	if p.Z3950 == "" {
		mix.Searches += mix.Z3950Searches
		mix.Z3950Searches = 0
		mix.Corrections += mix.Z3950Corrections
		mix.Z3950Corrections = 0
	}
	kinds := [...]struct {
		weight float64
		kind   string
	}{
		{mix.Searches, kindSearch},
		{mix.Z3950Searches, kindZ3950Search},
		{mix.Reports, kindReport},
		{mix.Corrections, kindCorrection},
		{mix.Z3950Corrections, kindZ3950Correction},
	}
	x := rng.Float64() * (mix.Searches + mix.Z3950Searches + mix.Reports + mix.Corrections + mix.Z3950Corrections)
	for _, k := range kinds {
		if x < k.weight {
			return k.kind
		}
		x -= k.weight
	}
	return kindSearch
}

// call makes one call; id identifies a correction.
func (g *generator) call(kind, id string) client.Outcome {
	switch kind {
	case kindSearch:
		return g.web.Search("captions", "budget")
	case kindReport:
		return g.web.Search("coverage", "budget")
	case kindCorrection:
		return g.web.Correct("captions", id)
	}
	return g.callZ3950(kind, id)
}

// callZ3950 makes a call on an idle association. A broken association is replaced on its next use.
func (g *generator) callZ3950(kind, id string) client.Outcome {
	o := <-g.origins
	if o == nil {
		var err error
		if o, err = client.Dial(g.plan.Z3950, "", g.plan.Timeout); err != nil {
			g.origins <- nil
			return client.Disconnected
		}
	}
	var out client.Outcome
	if kind == kindZ3950Search {
		out = o.Search("default", "captions", "budget")
	} else {
		out = o.Correct(id)
	}
	if out == client.Disconnected {
		o.Close()
		o = nil
	}
	g.origins <- o
	return out
}
