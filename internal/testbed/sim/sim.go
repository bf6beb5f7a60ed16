// Package sim plays whole fleets under one seeded virtual clock: aggregators with the real core, decisions and health
// evidence, replicas, clients, and the network between them. A run is determined by its settings: two runs with equal
// settings give the same trace, on any number of processors. A checker holds every step against the rules that have to
// hold whatever happens.
package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"rooktrestle/balance"
)

// Streams of random numbers. Each purpose has its own, so that another number of samples for one does not change the
// others.
const (
	worldStream        = 0x51
	settingsStream     = 0x77
	dayStream          = 0xda
	firstReplicaStream = 1000
)

// quietPeriod is how long a run goes on after the last deadline: at its end no query and no attempt may be open.
const quietPeriod = 5 * time.Second

// firstArrival is when the first query comes.
const firstArrival = 100 * time.Millisecond

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
	cumulativeTraffic []float64 // of the aggregators, added up; empty: all equal
	partitioned       bool      // the zones do not reach each other
	checker           *checker
	result            Result
}

// separated says whether nothing passes between two zones.
func (w *world) separated(a, b int) bool { return w.partitioned && a != b }

// networkDelay draws the delay of one message.
func (w *world) networkDelay() time.Duration {
	return w.NetworkDelay/2 + time.Duration(w.rng.ExpFloat64()*float64(w.NetworkDelay)/2)
}

// Run plays a fleet. An error means that the settings make no fleet; violations of the rules are part of the result.
func Run(settings Settings) (Result, error) {
	w, err := newWorld(settings)
	if err != nil {
		return Result{}, err
	}
	for i := range settings.Faults {
		settings.Faults[i].schedule(w)
	}
	w.at(StartTime.Add(firstArrival), w.queryArrives)
	w.run(StartTime.Add(settings.Duration + maxDeadline + quietPeriod))
	w.checker.checkQuiescence()
	return w.finalResult(), nil
}

// newWorld builds the fleet. The order of the steps fixes the order of the random samples.
func newWorld(settings Settings) (*world, error) {
	w := &world{
		clock:       newClock(settings.RecordTrace),
		Settings:    settings,
		rng:         rand.New(rand.NewPCG(settings.Seed, worldStream)),
		replicaByID: map[balance.Replica]*replica{},
	}
	w.checker = newChecker(w)
	for i := range settings.Replicas {
		w.addReplica(newReplica(w, i))
	}
	w.feed = &endpointFeed{world: w}
	w.discovery = &discoveryService{world: w}
	w.sampleTraffic()
	for i := range settings.Aggregators {
		h, err := newAggregatorHost(w, i)
		if err != nil {
			return nil, err
		}
		w.aggregators = append(w.aggregators, h)
	}
	return w, nil
}

func (w *world) addReplica(r *replica) {
	w.replicas = append(w.replicas, r)
	w.replicaByID[r.id] = r
}

// sampleTraffic draws each aggregator's weight in the clients' choice.
func (w *world) sampleTraffic() {
	if w.TrafficSkew <= 0 {
		return
	}
	total := 0.0
	for range w.Aggregators {
		total += math.Exp(w.TrafficSkew * w.rng.NormFloat64())
		w.cumulativeTraffic = append(w.cumulativeTraffic, total)
	}
}

func (w *world) finalResult() Result {
	result := w.result
	result.Hash = w.trace.Sum64()
	result.Events = w.eventCount
	result.Trace = w.traceText
	result.Violations = w.checker.violations
	result.DiscoveryPolls = w.discovery.polls
	result.DiscoveryPollsRejected = w.discovery.rejectedPolls
	return result
}
