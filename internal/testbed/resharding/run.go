package resharding

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/ber"
	"rooktrestle/internal/testbed/client"
)

// Load is a run of callers.
type Load struct {
	Rate float64 // calls a second over all fronts, Poisson
	Seed uint64
}

// Report is what callers got.
type Report struct {
	mu         sync.Mutex
	Outcomes   map[string][client.Disconnected + 1]int // by kind of call
	Violations []string
	Asked      int
	took       *hdrhistogram.Histogram   // microseconds from the intended time
	told       map[string]client.Outcome // corrections, as told
}

// Count adds up the outcomes of all kinds.
func (r *Report) Count() (n [client.Disconnected + 1]int) {
	for _, o := range r.Outcomes {
		for i, k := range o {
			n[i] += k
		}
	}
	return n
}

// Answered is the share of calls that were answered, whole or in part.
func (r *Report) Answered() float64 {
	n := r.Count()
	return float64(n[client.Complete]+n[client.Partial]) / float64(max(1, r.Asked))
}

// Quantile is a latency of the calls.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.took.ValueAtQuantile(q)) * time.Microsecond
}

func (r *Report) add(kind string, took time.Duration, out client.Outcome, wrong string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Outcomes[kind]
	o[out]++
	r.Outcomes[kind] = o
	r.Asked++
	r.took.RecordValue(max(1, int64(took/time.Microsecond)))
	if wrong != "" && len(r.Violations) < 100 {
		r.Violations = append(r.Violations, kind+": "+wrong)
	}
}

// StartLoad keeps callers asking until the returned function is called, which waits for the calls in hand.
func (a *Archive) StartLoad(l Load) (*Report, func()) {
	r := &Report{Outcomes: map[string][client.Disconnected + 1]int{}, took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), told: map[string]client.Outcome{}}
	stop, over := make(chan struct{}), make(chan struct{})
	web := NewHTTPClient(10 * time.Second)
	go func() {
		defer close(over)
		rng := rand.New(rand.NewPCG(l.Seed, 21))
		var calls sync.WaitGroup
		due := time.Now()
		for n := 0; ; n++ {
			due = due.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
			select {
			case <-stop:
				calls.Wait()
				web.CloseIdleConnections()
				return
			case <-time.After(time.Until(due)):
			}
			front := a.Frontends[rng.IntN(len(a.Frontends))]
			x, k := rng.Float64(), rng.IntN(len(a.Content.IDs))
			id := fmt.Sprintf("%s-%d-%d", a.Content.IDs[k], l.Seed, n)
			calls.Add(1)
			go func(due time.Time) {
				defer calls.Done()
				took := func() time.Duration { return time.Since(due) }
				switch {
				case x < 0.45:
					got := a.Search(web, front.Addr("sru"), "captions")
					r.add("search", took(), got.Outcome, got.Violation)
				case x < 0.6:
					out, wrong := a.zSearch(front.Addr("z3950"))
					r.add("z-search", took(), out, wrong)
				case x < 0.75:
					got := a.Search(web, front.Addr("sru"), "coverage")
					r.add("report", took(), got.Outcome, got.Violation)
				default:
					out := a.Correct(web, front.Addr("sru"), id)
					r.add("correct", took(), out, "")
					r.mu.Lock()
					r.told[id] = out
					r.mu.Unlock()
				}
			}(due)
		}
	}()
	var once sync.Once
	return r, func() {
		once.Do(func() { close(stop) })
		<-over
		r.settle(a)
	}
}

// settle compares what callers were told of corrections with what ran: one that was told as done ran once, one that
// was refused never.
func (r *Report) settle(a *Archive) {
	ran := a.CorrectionRuns()
	for id, out := range r.told {
		switch n := ran[id]; {
		case n > 1:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s ran %d times", id, n))
		case out == client.Complete && n != 1:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s is told as done, and ran %d times", id, n))
		case out == client.Rejected && n != 0:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s is told as refused, and ran", id))
		}
	}
}

// zSearch searches over Z39.50 and presents what is there in two pages, which must be the archive's first records.
func (a *Archive) zSearch(addr string) (client.Outcome, string) {
	o, err := client.Dial(addr, "", 10*time.Second)
	if err != nil {
		return client.Disconnected, ""
	}
	defer o.Close()
	if out := o.Search("s", "captions", "line"); out != client.Complete {
		return out, ""
	}
	return a.page(o, "s", 1, 8)
}

// page presents records of a result set and compares them.
func (a *Archive) page(o *client.Origin, set string, start, n int) (client.Outcome, string) {
	v, err := o.RoundTrip(ber.PresentAPDU(set, start, n))
	if err != nil {
		return client.Disconnected, ""
	}
	if code := ber.DiagnosticCode(v); code != 0 {
		if code == 2 {
			return client.Rejected, ""
		}
		return client.Failed, ""
	}
	list, _ := ids(string(v.Body))
	if len(list) != n {
		return client.Complete, fmt.Sprintf("%d records of %d", len(list), n)
	}
	for i, id := range list {
		if want := a.Content.IDs[start-1+i]; id != want {
			return client.Complete, fmt.Sprintf("record %d is %s, not %s", start+i, id, want)
		}
	}
	return client.Complete, ""
}

// Reshard carries out random plans, one after the other, each begun so long after the last, until stop is closed or so
// many are done (0: no end). It returns how many of each kind were.
func (a *Archive) Reshard(stop <-chan struct{}, every time.Duration, most int, seed uint64) (done map[string]int, err error) {
	rng := rand.New(rand.NewPCG(seed, 31))
	done = map[string]int{}
	next := time.Now()
	for n := 0; most == 0 || n < most; {
		select {
		case <-stop:
			return done, nil
		case <-time.After(time.Until(next)):
		}
		next = time.Now().Add(every)
		kind, p := a.plan(rng)
		if p == nil {
			continue
		}
		if err := a.Controller.Start(p); err != nil {
			return done, err
		}
		if err := a.Controller.Run(stop); err != nil {
			return done, err
		}
		done[kind]++
		n++
	}
	return done, nil
}

// plan makes a random plan for the present map: more blocks are split while there are few, and merged while many.
func (a *Archive) plan(rng *rand.Rand) (string, *shardmap.Plan) {
	m := a.Controller.Map()
	var list []*shardmap.Shard
	m.Active(func(b *shardmap.Shard) bool { list = append(list, b); return true })
	i := rng.IntN(len(list))
	b := list[i]
	switch x := rng.Float64(); {
	case x < 0.4:
		var to []string
		for _, k := range rng.Perm(len(a.Replicas))[:2] {
			to = append(to, a.Replicas[k].Name)
		}
		p, err := shardmap.PlanMigration(m, b.ID, to, a.Timing)
		if err == nil {
			return "move", p
		}
	case len(list) < 2*a.Blocks && x < 0.75 || len(list) <= a.Blocks:
		in := a.Content.in(string(b.From), string(b.To))
		if len(in) < 2 {
			return "", nil
		}
		k := shardmap.Key(keyOf(in[1+rng.IntN(len(in)-1)]))
		if p, err := shardmap.PlanSplit(m, b.ID, []shardmap.Key{k}, a.Timing); err == nil {
			return "split", p
		}
	default:
		for j := range list { // neighbours with the same holders, or a move that makes them so
			k := (i + j) % len(list)
			if k+1 >= len(list) {
				continue
			}
			if p, err := shardmap.PlanMerge(m, []shardmap.ID{list[k].ID, list[k+1].ID}, a.Timing); err == nil {
				return "merge", p
			}
		}
		if i+1 < len(list) {
			var to []string
			for _, h := range list[i+1].ServingReplicas() {
				to = append(to, h.Server)
			}
			if p, err := shardmap.PlanMigration(m, b.ID, to, a.Timing); err == nil {
				return "move", p
			}
		}
	}
	return "", nil
}
