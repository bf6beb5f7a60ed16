// Package load calls a front at a steady pace, open-loop: calls begin at their intended times whether earlier ones
// have ended or not, and latencies count from the intended time, so that a stall is not omitted from them.
package load

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rooktrestle/internal/testbed/client"
)

// Mix is what is called, by weight.
type Mix struct {
	Searches, ZSearches, Reports, Corrections, ZCorrections float64
}

// DefaultMix is the archive's mix of classes, over both protocols.
var DefaultMix = Mix{Searches: 0.4, ZSearches: 0.15, Reports: 0.23, Corrections: 0.15, ZCorrections: 0.07}

// Plan is a run.
type Plan struct {
	SRU, Z3950 string  // addresses; an empty one is not called
	Rate       float64 // calls a second, Poisson
	Mix        Mix
	Seed       uint64
	Timeout    time.Duration
	Origins    int // associations kept for Z39.50 calls
}

// Call is one call that has ended.
type Call struct {
	Kind    string // search, report, correct; with z- in front over Z39.50
	ID      string // of corrections
	Began   time.Time
	Latency time.Duration // from the intended time
	Outcome client.Outcome
}

// Result gathers calls. It is safe for concurrent use.
type Result struct {
	mu    sync.Mutex
	calls []Call
	took  *hdrhistogram.Histogram // microseconds
}

// Calls are those that began between two moments.
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

// Quantile is a latency of all calls.
func (r *Result) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.took.ValueAtQuantile(q)) * time.Microsecond
}

// CountOutcomes counts calls by outcome.
func CountOutcomes(calls []Call) (n [client.Disconnected + 1]int) {
	for _, c := range calls {
		n[c.Outcome]++
	}
	return n
}

// CompleteFraction is the share of calls answered whole; 1 of none.
func CompleteFraction(calls []Call) float64 {
	if len(calls) == 0 {
		return 1
	}
	return float64(CountOutcomes(calls)[client.Complete]) / float64(len(calls))
}

func (r *Result) add(c Call) {
	r.mu.Lock()
	r.calls = append(r.calls, c)
	r.took.RecordValue(max(1, int64(c.Latency/time.Microsecond)))
	r.mu.Unlock()
}

// Start begins a run. The returned function ends it, waits for the calls in hand, and returns once all have ended.
func Start(p Plan) (*Result, func()) {
	r := &Result{took: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
	stop, over := make(chan struct{}), make(chan struct{})
	web := client.NewSRU(p.SRU, p.Timeout)
	origins := make(chan *client.Origin, max(1, p.Origins))
	for range max(1, p.Origins) {
		origins <- nil // dialled when first used
	}
	var calls sync.WaitGroup
	go func() {
		defer close(over)
		rng := rand.New(rand.NewPCG(p.Seed, 11))
		due := time.Now()
		for n := 0; ; n++ {
			due = due.Add(time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second)))
			select {
			case <-stop:
				calls.Wait()
				web.Close()
				close(origins)
				for o := range origins {
					if o != nil {
						o.Close()
					}
				}
				return
			case <-time.After(time.Until(due)):
			}
			kind := p.pick(rng)
			id := fmt.Sprintf("%d:s%d-%d", rng.IntN(1024), p.Seed, n)
			calls.Add(1)
			go func(due time.Time) {
				defer calls.Done()
				began := time.Now()
				out := p.call(kind, id, web, origins)
				r.add(Call{Kind: kind, ID: id, Began: began, Latency: time.Since(due), Outcome: out})
			}(due)
		}
	}()
	var once sync.Once
	return r, func() { once.Do(func() { close(stop) }); <-over }
}

func (p Plan) pick(rng *rand.Rand) string {
	m := p.Mix
	if p.Z3950 == "" {
		m.Searches, m.ZSearches, m.Corrections, m.ZCorrections = m.Searches+m.ZSearches, 0, m.Corrections+m.ZCorrections, 0
	}
	x := rng.Float64() * (m.Searches + m.ZSearches + m.Reports + m.Corrections + m.ZCorrections)
	for _, k := range []struct {
		weight float64
		kind   string
	}{{m.Searches, "search"}, {m.ZSearches, "z-search"}, {m.Reports, "report"}, {m.Corrections, "correct"}, {m.ZCorrections, "z-correct"}} {
		if x < k.weight {
			return k.kind
		}
		x -= k.weight
	}
	return "search"
}

func (p Plan) call(kind, id string, web *client.SRU, origins chan *client.Origin) client.Outcome {
	switch kind {
	case "search":
		return web.Search("captions", "budget")
	case "report":
		return web.Search("coverage", "budget")
	case "correct":
		return web.Correct("captions", id)
	}
	o := <-origins
	if o == nil {
		var err error
		if o, err = client.Dial(p.Z3950, "", p.Timeout); err != nil {
			origins <- nil
			return client.Disconnected
		}
	}
	out := client.Disconnected
	if kind == "z-search" {
		out = o.Search("default", "captions", "budget")
	} else {
		out = o.Correct(id)
	}
	if out == client.Disconnected {
		o.Close()
		o = nil
	}
	origins <- o
	return out
}
