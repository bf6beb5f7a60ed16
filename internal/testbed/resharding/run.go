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

// Load configures the load on an archive.
type Load struct {
	Rate float64 // calls per second over all frontends; arrivals are a Poisson process
	Seed uint64
}

// Report contains the results of a load. Its fields may be read after the load has been stopped.
type Report struct {
	mu                 sync.Mutex
	Outcomes           map[string][client.Disconnected + 1]int // by kind of call
	Violations         []string
	Calls              int
	latencies          *hdrhistogram.Histogram   // in microseconds, from the intended times
	correctionOutcomes map[string]client.Outcome // as reported to the callers, by the correction's identifier
}

// Count returns the number of calls of all kinds by outcome.
func (r *Report) Count() (total [client.Disconnected + 1]int) {
	for _, counts := range r.Outcomes {
		for outcome, count := range counts {
			total[outcome] += count
		}
	}
	return total
}

// Answered returns the fraction of the calls with a complete or partial answer.
func (r *Report) Answered() float64 {
	counts := r.Count()
	return float64(counts[client.Complete]+counts[client.Partial]) / float64(max(1, r.Calls))
}

// Quantile returns a percentile (0 to 100) of the calls' latencies.
func (r *Report) Quantile(q float64) time.Duration {
	return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond
}

func (r *Report) add(kind string, latency time.Duration, out client.Outcome, violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.Outcomes[kind]
	counts[out]++
	r.Outcomes[kind] = counts
	r.Calls++
	// Recording fails only for a latency over the histogram's range, which no call reaches, because callers time out.
	_ = r.latencies.RecordValue(max(1, int64(latency/time.Microsecond)))
	if violation != "" && len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, kind+": "+violation)
	}
}

// callTimeout is the callers' timeout.
const callTimeout = 10 * time.Second

// maxViolations is the maximum number of violations that a report retains of answers.
const maxViolations = 100

// Range and precision of the histogram of latencies.
const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// Random streams of the load and of the plans.
const (
	loadStream = 21
	planStream = 31
)

// Cumulative fractions of the kinds of calls. A sample from 0 to 1 that is not below any of them selects a correction.
const (
	searchThreshold      = 0.45
	z3950SearchThreshold = 0.6
	reportThreshold      = 0.75
)

// StartLoad calls the frontends until stop is called. stop waits for the calls in flight, and checks the reported
// outcomes of the corrections against the corrections that ran. It may be called more than once, but repeats this check
// each time.
func (a *Archive) StartLoad(load Load) (report *Report, stop func()) {
	report = &Report{
		Outcomes:           map[string][client.Disconnected + 1]int{},
		latencies:          hdrhistogram.New(1, int64(maxLatency/time.Microsecond), significantDigits),
		correctionOutcomes: map[string]client.Outcome{},
	}
	stopRequested := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.generateLoad(load, report, stopRequested)
	}()
	var once sync.Once
	return report, func() {
		once.Do(func() { close(stopRequested) })
		<-ended
		report.checkCorrections(a)
	}
}

// generateLoad starts calls at their intended times until quit is closed, and waits for those in flight.
func (a *Archive) generateLoad(load Load, report *Report, quit <-chan struct{}) {
	web := NewHTTPClient(callTimeout)
	defer web.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(load.Seed, loadStream))
	var calls sync.WaitGroup
	defer calls.Wait()
	intended := time.Now()
	for n := 0; ; n++ {
		intended = intended.Add(time.Duration(rng.ExpFloat64() / load.Rate * float64(time.Second)))
		select {
		case <-quit:
			return
		case <-time.After(time.Until(intended)):
		}
		frontend := a.Frontends[rng.IntN(len(a.Frontends))]
		kind := rng.Float64()
		recordID := a.Content.IDs[rng.IntN(len(a.Content.IDs))]
		c := &call{
			archive:      a,
			report:       report,
			web:          web,
			frontend:     frontend,
			intended:     intended,
			kind:         kind,
			correctionID: fmt.Sprintf("%s-%d-%d", recordID, load.Seed, n),
		}
		calls.Go(c.execute)
	}
}

// call is one call of the load.
type call struct {
	archive      *Archive
	report       *Report
	web          *http.Client
	frontend     *app.PartnersDeployment
	intended     time.Time
	kind         float64 // drawn uniformly from 0 to 1
	correctionID string
}

// execute makes the call and adds it to the report.
func (c *call) execute() {
	sru := c.frontend.Addr("sru")
	switch {
	case c.kind < searchThreshold:
		c.add("search", c.archive.Search(c.web, sru, "captions"))
	case c.kind < z3950SearchThreshold:
		c.add("z-search", c.archive.searchZ3950(c.frontend.Addr("z3950")))
	case c.kind < reportThreshold:
		c.add("report", c.archive.Search(c.web, sru, "coverage"))
	default:
		out := c.archive.Correct(c.web, sru, c.correctionID)
		c.add("correct", Answer{Outcome: out})
		c.report.setCorrection(c.correctionID, out)
	}
}

// add adds the result of the call to the report; its latency is from the intended time until now.
func (c *call) add(kind string, answer Answer) {
	c.report.add(kind, time.Since(c.intended), answer.Outcome, answer.Violation)
}

func (r *Report) setCorrection(id string, out client.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.correctionOutcomes[id] = out
}

// checkCorrections checks that no correction ran twice, that each correction reported complete ran once, and that no
// correction reported rejected ran.
func (r *Report) checkCorrections(a *Archive) {
	ran := a.CorrectionRuns()
	for id, out := range r.correctionOutcomes {
		violation := ""
		switch runs := ran[id]; {
		case runs > 1:
			violation = fmt.Sprintf("correct: %s ran %d times", id, runs)
		case out == client.Complete && runs != 1:
			violation = fmt.Sprintf("correct: %s is reported complete, but ran %d times", id, runs)
		case out == client.Rejected && runs != 0:
			violation = fmt.Sprintf("correct: %s is reported rejected, but ran", id)
		}
		if violation != "" {
			r.Violations = append(r.Violations, violation)
		}
	}
}

// searchZ3950 searches over Z39.50, retrieves the first records, and compares them with the archive.
func (a *Archive) searchZ3950(addr string) Answer {
	origin, err := client.Dial(addr, "", callTimeout)
	if err != nil {
		return Answer{Outcome: client.Disconnected}
	}
	defer origin.Close()
	if out := origin.Search("s", "captions", "line"); out != client.Complete {
		return Answer{Outcome: out}
	}
	return a.presentPage(origin, "s", 1, 8)
}

// presentPage retrieves count records of a result set, beginning with record number start, and compares them with the
// archive.
func (a *Archive) presentPage(origin *client.Origin, set string, start, count int) Answer {
	response, err := origin.RoundTrip(ber.PresentAPDU(set, start, count))
	if err != nil {
		return Answer{Outcome: client.Disconnected}
	}
	switch ber.DiagnosticCode(response) {
	case 0:
		ids, _ := recordIDs(string(response.Body))
		return Answer{Outcome: client.Complete, Violation: a.checkPage(ids, start, count)}
	case temporaryError:
		return Answer{Outcome: client.Rejected}
	}
	return Answer{Outcome: client.Failed}
}

// temporaryError is the Bib-1 diagnostic with which the frontend rejects a request.
const temporaryError = 2

// checkPage compares the identifiers of a page with those of the archive. It returns the first difference; empty: none.
func (a *Archive) checkPage(ids []string, start, count int) (violation string) {
	if len(ids) != count {
		return fmt.Sprintf("%d records instead of %d", len(ids), count)
	}
	for i, id := range ids {
		if want := a.Content.IDs[start-1+i]; id != want {
			return fmt.Sprintf("record %d is %s, not %s", start+i, id, want)
		}
	}
	return ""
}

// Reshard carries out random plans in sequence, at least interval from the start of one to the start of the next, until
// stop is closed or limit plans are completed (0: no limit). It returns the number of completed plans by kind.
func (a *Archive) Reshard(
	stop <-chan struct{}, interval time.Duration, limit int, seed uint64,
) (done map[string]int, err error) {
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
		kind, plan := a.randomPlan(rng)
		if plan == nil {
			continue
		}
		if err := a.Controller.PersistPlan(plan); err != nil {
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

// Kinds of plans.
const (
	kindMigration = "move"
	kindSplit     = "split"
	kindMerge     = "merge"
)

// Cumulative fractions of the kinds of plans while there are few shards. With many shards, merges replace splits.
const (
	migrationThreshold = 0.4
	splitThreshold     = 0.75
)

// randomPlan draws a plan for the current map, with splits while there are few shards and merges while there are many.
// plan is nil if the drawn change is not possible.
func (a *Archive) randomPlan(rng *rand.Rand) (kind string, plan *shardmap.Plan) {
	current := a.Controller.Map()
	var shards []*shardmap.Shard
	current.Active(func(shard *shardmap.Shard) bool {
		shards = append(shards, shard)
		return true
	})
	index := rng.IntN(len(shards))
	few := len(shards) < 2*a.ShardCount
	fewest := len(shards) <= a.ShardCount
	sample := rng.Float64()
	switch {
	case sample < migrationThreshold:
		return a.randomMigration(rng, current, shards[index])
	case fewest || few && sample < splitThreshold:
		return a.randomSplit(rng, current, shards[index])
	}
	return a.merge(current, shards, index)
}

func (a *Archive) randomMigration(rng *rand.Rand, m *shardmap.Map, shard *shardmap.Shard) (string, *shardmap.Plan) {
	var replicas []string
	for _, index := range rng.Perm(len(a.Replicas))[:2] {
		replicas = append(replicas, a.Replicas[index].Name)
	}
	return a.migrate(m, shard, replicas)
}

// migrate plans the migration of a shard to other replicas.
func (a *Archive) migrate(m *shardmap.Map, shard *shardmap.Shard, replicas []string) (string, *shardmap.Plan) {
	plan, err := shardmap.PlanMigration(m, shard.ID, replicas, a.Timing)
	if err != nil {
		return "", nil // these replicas already hold the shard
	}
	return kindMigration, plan
}

func (a *Archive) randomSplit(rng *rand.Rand, m *shardmap.Map, shard *shardmap.Shard) (string, *shardmap.Plan) {
	records := a.Content.between(string(shard.From), string(shard.To))
	if len(records) < 2 {
		return "", nil
	}
	firstKey := shardmap.Key(keyOf(records[1+rng.IntN(len(records)-1)])) // first key of the second half
	plan, err := shardmap.PlanSplit(m, shard.ID, []shardmap.Key{firstKey}, a.Timing)
	if err != nil {
		return "", nil // the key is the first key of the shard
	}
	return kindSplit, plan
}

// merge plans to merge the first pair of adjacent shards with the same replicas, beginning at a shard. If there is
// none, it plans to migrate the shard to the replicas of its successor in key order.
func (a *Archive) merge(m *shardmap.Map, shards []*shardmap.Shard, index int) (string, *shardmap.Plan) {
	for offset := range shards {
		left := (index + offset) % len(shards)
		right := left + 1
		if right == len(shards) {
			continue
		}
		plan, err := shardmap.PlanMerge(m, []shardmap.ID{shards[left].ID, shards[right].ID}, a.Timing)
		if err == nil {
			return kindMerge, plan
		}
	}
	if index+1 == len(shards) {
		return "", nil
	}
	var replicas []string
	for _, holder := range shards[index+1].ServingReplicas() {
		replicas = append(replicas, holder.Server)
	}
	return a.migrate(m, shards[index], replicas)
}
