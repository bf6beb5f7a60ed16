package resharding

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rooktrestle/internal/app"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/ber"
	"rooktrestle/internal/testbed/client"
)

// Load describes a run of callers.
type Load struct {
	Rate float64 // calls a second over all frontends; arrivals are a Poisson process
	Seed uint64
}

// Report is what callers got. Its fields may be read once the load has ended.
type Report struct {
	mu                 sync.Mutex
	Outcomes           map[string][client.Disconnected + 1]int // by kind of call
	Violations         []string
	Calls              int
	latencies          *hdrhistogram.Histogram   // in microseconds, from the intended times
	correctionOutcomes map[string]client.Outcome // as callers were told, by identifier
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

// Answered is the fraction of the calls that was answered, completely or in part.
func (r *Report) Answered() float64 {
	n := r.Count()
	return float64(n[client.Complete]+n[client.Partial]) / float64(max(1, r.Calls))
}

// Quantile is a percentile (0 to 100) of the calls' latencies.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
}

func (r *Report) add(kind string, latency time.Duration, out client.Outcome, violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.Outcomes[kind]
	o[out]++
	r.Outcomes[kind] = o
	r.Calls++
	// A latency over the histogram's range cannot be recorded: no call takes as long, as callers give up.
	_ = r.latencies.RecordValue(max(1, int64(latency/time.Microsecond)))
	if violation != "" && len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, kind+": "+violation)
	}
}

// callTimeout is when callers give up.
const callTimeout = 10 * time.Second

// maxViolations bounds the violations that a report keeps.
const maxViolations = 100

// Range and precision of the histogram of latencies.
const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// Streams of random numbers: of the load, and of the plans.
const (
	loadStream = 21
	planStream = 31
)

// Shares of the kinds of calls, added up; corrections are the rest.
const (
	searchThreshold      = 0.45
	z3950SearchThreshold = 0.6
	reportThreshold      = 0.75
)

// StartLoad calls the frontends until stop is called, which waits for the calls in flight and compares what callers were
// told of corrections with what ran. stop may be called more than once, but the comparison is made each time.
func (a *Archive) StartLoad(l Load) (report *Report, stop func()) {
	r := &Report{
		Outcomes:           map[string][client.Disconnected + 1]int{},
		latencies:          hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
		correctionOutcomes: map[string]client.Outcome{},
	}
	quit, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		a.generateLoad(l, r, quit)
	}()
	var once sync.Once
	return r, func() {
		once.Do(func() { close(quit) })
		<-ended
		r.checkCorrections(a)
	}
}

// generateLoad starts calls at their intended times until quit is closed, and waits for those in flight.
func (a *Archive) generateLoad(l Load, r *Report, quit <-chan struct{}) {
	web := NewHTTPClient(callTimeout)
	defer web.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(l.Seed, loadStream))
	var calls sync.WaitGroup
	defer calls.Wait()
	intended := time.Now()
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)))
		select {
		case <-quit:
			return
		case <-time.After(time.Until(intended)):
		}
		c := &call{archive: a, report: r, web: web, intended: intended}
		c.frontend = a.Frontends[rng.IntN(len(a.Frontends))]
		c.kind = rng.Float64()
		record := a.Content.IDs[rng.IntN(len(a.Content.IDs))]
		c.correctionID = fmt.Sprintf("%s-%d-%d", record, l.Seed, n)
		calls.Go(c.make)
	}
}

// call is one call of the load.
type call struct {
	archive      *Archive
	report       *Report
	web          *http.Client
	frontend     *app.PartnersDeployment
	intended     time.Time
	kind         float64 // drawn evenly from 0 to 1
	correctionID string
}

// make makes the call and reports it.
func (c *call) make() {
	a, r := c.archive, c.report
	elapsed := func() time.Duration { return time.Since(c.intended) }
	switch {
	case c.kind < searchThreshold:
		got := a.Search(c.web, c.frontend.Addr("sru"), "captions")
		r.add("search", elapsed(), got.Outcome, got.Violation)
	case c.kind < z3950SearchThreshold:
		out, violation := a.searchZ3950(c.frontend.Addr("z3950"))
		r.add("z-search", elapsed(), out, violation)
	case c.kind < reportThreshold:
		got := a.Search(c.web, c.frontend.Addr("sru"), "coverage")
		r.add("report", elapsed(), got.Outcome, got.Violation)
	default:
		out := a.Correct(c.web, c.frontend.Addr("sru"), c.correctionID)
		r.add("correct", elapsed(), out, "")
		r.setCorrection(c.correctionID, out)
	}
}

func (r *Report) setCorrection(id string, out client.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.correctionOutcomes[id] = out
}

// checkCorrections compares what callers were told of corrections with what ran: one that is done ran once, one that was
// rejected never.
func (r *Report) checkCorrections(a *Archive) {
	ran := a.CorrectionRuns()
	for id, out := range r.correctionOutcomes {
		switch n := ran[id]; {
		case n > 1:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s ran %d times", id, n))
		case out == client.Complete && n != 1:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s is reported done, and ran %d times", id, n))
		case out == client.Rejected && n != 0:
			r.Violations = append(r.Violations, fmt.Sprintf("correct: %s is reported rejected, and ran", id))
		}
	}
}

// searchZ3950 searches over Z39.50 and presents the first records, which must be those of the archive.
func (a *Archive) searchZ3950(addr string) (client.Outcome, string) {
	o, err := client.Dial(addr, "", callTimeout)
	if err != nil {
		return client.Disconnected, ""
	}
	defer o.Close()
	if out := o.Search("s", "captions", "line"); out != client.Complete {
		return out, ""
	}
	return a.presentPage(o, "s", 1, 8)
}

// presentPage presents records of a result set and compares them with the archive.
func (a *Archive) presentPage(o *client.Origin, set string, start, n int) (client.Outcome, string) {
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
	list, _ := recordIDs(string(v.Body))
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

// Reshard carries out random plans, one after the other, each begun interval after the last, until stop is closed or limit
// are done (0: no limit). It returns how many of each kind were done.
func (a *Archive) Reshard(stop <-chan struct{}, interval time.Duration, limit int, seed uint64) (done map[string]int, err error) {
	rng := rand.New(rand.NewPCG(seed, planStream))
	done = map[string]int{}
	next := time.Now()
	for n := 0; limit == 0 || n < limit; {
		select {
		case <-stop:
			return done, nil
		case <-time.After(time.Until(next)):
		}
		next = time.Now().Add(interval)
		kind, p := a.randomPlan(rng)
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

// randomPlan draws a plan for the current map: shards are rather split while they are few, and merged while they are many.
// There may be none.
func (a *Archive) randomPlan(rng *rand.Rand) (kind string, p *shardmap.Plan) {
	m := a.Controller.Map()
	var shards []*shardmap.Shard
	m.Active(func(b *shardmap.Shard) bool {
		shards = append(shards, b)
		return true
	})
	i := rng.IntN(len(shards))
	few := len(shards) < 2*a.ShardCount
	switch x := rng.Float64(); {
	case x < 0.4:
		return a.randomMigration(rng, m, shards[i])
	case few && x < 0.75 || len(shards) <= a.ShardCount:
		return a.randomSplit(rng, m, shards[i])
	}
	return a.randomMerge(m, shards, i)
}

func (a *Archive) randomMigration(rng *rand.Rand, m *shardmap.Map, shard *shardmap.Shard) (string, *shardmap.Plan) {
	var to []string
	for _, k := range rng.Perm(len(a.Replicas))[:2] {
		to = append(to, a.Replicas[k].Name)
	}
	p, err := shardmap.PlanMigration(m, shard.ID, to, a.Timing)
	if err != nil {
		return "", nil // it has these holders already
	}
	return "move", p
}

func (a *Archive) randomSplit(rng *rand.Rand, m *shardmap.Map, shard *shardmap.Shard) (string, *shardmap.Plan) {
	records := a.Content.between(string(shard.From), string(shard.To))
	if len(records) < 2 {
		return "", nil
	}
	at := shardmap.Key(keyOf(records[1+rng.IntN(len(records)-1)]))
	p, err := shardmap.PlanSplit(m, shard.ID, []shardmap.Key{at}, a.Timing)
	if err != nil {
		return "", nil // the key is the shard's first
	}
	return "split", p
}

// randomMerge merges the first neighbours from shard i on that have the same holders, or else moves shard i to the holders
// of the next.
func (a *Archive) randomMerge(m *shardmap.Map, shards []*shardmap.Shard, i int) (string, *shardmap.Plan) {
	for j := range shards {
		k := (i + j) % len(shards)
		if k+1 >= len(shards) {
			continue
		}
		if p, err := shardmap.PlanMerge(m, []shardmap.ID{shards[k].ID, shards[k+1].ID}, a.Timing); err == nil {
			return "merge", p
		}
	}
	if i+1 >= len(shards) {
		return "", nil
	}
	var to []string
	for _, h := range shards[i+1].ServingReplicas() {
		to = append(to, h.Server)
	}
	p, err := shardmap.PlanMigration(m, shards[i].ID, to, a.Timing)
	if err != nil {
		return "", nil // it has these holders already
	}
	return "move", p
}
