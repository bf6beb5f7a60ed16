package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenarios of complete fleets: many aggregators under faults that occur in operation.
const (
	scenarioCalm  = "calm"  // only a burst
	scenarioHerd  = "herd"  // many aggregators crash at the same time during a release, while discovery is unresponsive
	scenarioZone  = "zone"  // a zone fails, and restarts warming up
	scenarioSplit = "split" // the zones are partitioned
	scenarioJoin  = "join"  // most replicas are replaced
)

// ScenarioNames are the scenarios that ScenarioSettings accepts.
var ScenarioNames = []string{scenarioCalm, scenarioHerd, scenarioZone, scenarioSplit, scenarioJoin}

// minSearchParts is the minimum number of parts of a search. In the operators' archive a search reads a third of the
// shards.
const minSearchParts = 4

// ScenarioSettings draws the settings of a scenario by its seed: aggregators with low, uneven traffic and gossip,
// replicas that warm up after a start, and endpoint lists from local agents or from a shared service with little
// capacity. It fails for a scenario that is not in ScenarioNames, and for a fleet that is too small for a search.
func ScenarioSettings(kind string, seed uint64, aggregators, replicas int) (Settings, error) {
	if !slices.Contains(ScenarioNames, kind) {
		return Settings{}, fmt.Errorf("unknown scenario %q: must be one of %v", kind, ScenarioNames)
	}
	if aggregators < 2 || replicas < 2*minSearchParts {
		return Settings{}, fmt.Errorf("%d aggregators, %d replicas: must be at least 2 and %d",
			aggregators, replicas, 2*minSearchParts)
	}
	rng := rand.New(rand.NewPCG(seed, scenarioStream))
	s := Defaults(seed)
	s.Aggregators = aggregators
	s.Replicas = replicas
	s.SearchParts = max(minSearchParts, replicas/4)
	s.Zones = 2
	s.TrafficSkew = 0.8
	s.Gossip = true
	s.Duration = 15 * time.Second
	s.Warmup = Warmup{
		Period:           6 * time.Second,
		MinCapacity:      0.3,
		OverloadMultiple: 3,
		OverloadPeriod:   400 * time.Millisecond,
	}
	// 30% to 50% of the capacity of all cores. A correction has one part, every other query SearchParts.
	load := 0.3 + 0.2*rng.Float64()
	meanParts := (1-correctionFraction)*float64(s.SearchParts) + correctionFraction
	s.Rate = load * float64(replicas*s.Cores) / s.MeanServiceTime.Seconds() / meanParts
	s.Retries = 1 + rng.IntN(2)
	s.Discovery = Discovery{Kind: LocalAgents}
	if rng.IntN(2) == 0 {
		s.Discovery = Discovery{
			Kind:      SharedService,
			PerSecond: float64(aggregators) / 3,
			MaxWait:   500 * time.Millisecond,
		}
	}
	s.Faults = scenarioFaults(kind, replicas, rng)
	return s, nil
}

// scenarioFaults draws the faults of a scenario.
func scenarioFaults(kind string, replicas int, rng *rand.Rand) []Fault {
	from := 4*time.Second + time.Duration(rng.IntN(1000))*time.Millisecond
	first := rng.IntN(replicas)
	faultyReplicas := Fault{
		Kind:      []FaultKind{Hang, FastErrors}[rng.IntN(2)],
		From:      from - time.Second,
		Duration:  8 * time.Second,
		First:     first,
		Replicas:  replicas / 8,
		Magnitude: 0.6,
	}
	firstReleased := first + replicas/8 // the faulty replicas are not released
	switch kind {
	case scenarioHerd:
		return []Fault{
			faultyReplicas,
			{Kind: Release, From: from, Duration: 5 * time.Second, First: firstReleased, Replicas: replicas / 2},
			{Kind: KillAggregators, From: from + 2*time.Second, Duration: 2 * time.Second, Magnitude: 0.7},
			{Kind: DiscoveryOutage, From: from - time.Second, Duration: 4 * time.Second},
		}
	case scenarioZone:
		return []Fault{
			faultyReplicas,
			{Kind: Outage, From: from, Duration: 5 * time.Second},
		}
	case scenarioSplit:
		return []Fault{
			{Kind: Partition, From: from, Duration: 6 * time.Second},
			{Kind: DiscoveryOutage, From: from, Duration: 4 * time.Second},
		}
	case scenarioJoin:
		return []Fault{
			faultyReplicas,
			{Kind: Release, From: from, Duration: 7 * time.Second, First: firstReleased, Replicas: replicas * 6 / 10},
		}
	}
	return []Fault{{Kind: Burst, From: from, Duration: 3 * time.Second, Magnitude: 1.5}}
}
