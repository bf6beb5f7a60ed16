// Package sim is a deterministic simulator of complete fleets in virtual time: aggregators with the real core, balancer
// and health evidence, replicas, clients, and the network between them. A run depends only on its settings: two runs
// with equal settings give the same trace, on any number of processors. A checker verifies the invariants at every
// step.
package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"rooktrestle/balance"
)

// Random streams. Each purpose has its own stream, so that a different number of samples for one purpose does not
// change the others.
const (
	worldStream        = 0x51
	settingsStream     = 0x77
	scenarioStream     = 0xda
	firstReplicaStream = 1000
)

// quietPeriod is the time that a run continues after the last deadline. At its end no query or attempt may be open.
const quietPeriod = 5 * time.Second

// firstArrival is the time from StartTime to the first query.
const firstArrival = 100 * time.Millisecond

// world is the state of one run.
type world struct {
	clock
	Settings
	rng               *rand.Rand
	aggregators       []*aggregatorHost
	replicas          []*replica
	replicaByID       map[balance.Replica]*replica
	feed              *endpointFeed
	discovery         *discoveryService
	cumulativeTraffic []float64 // cumulative weights of the aggregators; empty: all equal
	partitioned       bool      // no message passes between zones
	checker           *checker
	result            Result
}

// separated reports whether a partition separates two zones.
func (w *world) separated(a, b int) bool { return w.partitioned && a != b }

// networkDelay draws the network delay of one message.
func (w *world) networkDelay() time.Duration {
	return w.NetworkDelay/2 + time.Duration(w.rng.ExpFloat64()*float64(w.NetworkDelay)/2)
}

// Run simulates a fleet. An error means that the settings are invalid; violations of invariants are part of the result.
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

// newWorld creates the fleet. The order of the steps determines the order of the random samples, and so the trace.
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

// sampleTraffic draws the weight of each aggregator in the clients' choice of one.
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
