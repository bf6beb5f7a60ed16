package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Days of whole fleets: many aggregators under the faults that operators know.
const (
	dayCalm  = "calm"  // a burst only
	dayHerd  = "herd"  // aggregators crash at once during a release, while discovery is unresponsive
	dayZone  = "zone"  // a zone is lost and comes back warming up
	daySplit = "split" // the zones do not reach each other
	dayJoin  = "join"  // most replicas are replaced
)

// ScenarioNames are the days that DaySettings draws.
var ScenarioNames = []string{dayCalm, dayHerd, dayZone, daySplit, dayJoin}

// minSearchParts is the least number of parts of a search: in the operators' archive a search reads a third of the
// shards.
const minSearchParts = 4

// ScenarioSettings draws the settings of a day by its seed: aggregators whose traffic is thin and uneven and who gossip,
// replicas that warm up after a start, and endpoint lists from local agents or from one service short of capacity. It
// fails for a day that is not in DayNames, and for fleets that are too small for a search.
func ScenarioSettings(kind string, seed uint64, aggregators, replicas int) (Settings, error) {
	if !slices.Contains(ScenarioNames, kind) {
		return Settings{}, fmt.Errorf("day %q: there are %v", kind, ScenarioNames)
	}
	if aggregators < 2 || replicas < 2*minSearchParts {
		return Settings{}, fmt.Errorf("%d aggregators, %d replicas: at least 2 and %d",
			aggregators, replicas, 2*minSearchParts)
	}
	rng := rand.New(rand.NewPCG(seed, dayStream))
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
	// Three to five tenths of the capacity of all cores. A correction has one part, every other query SearchParts.
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
	s.Faults = dayFaults(kind, replicas, rng)
	return s, nil
}

// dayFaults draws the faults of a day.
func dayFaults(kind string, replicas int, rng *rand.Rand) []Fault {
	from := 4*time.Second + time.Duration(rng.IntN(1000))*time.Millisecond
	first := rng.IntN(replicas)
	badReplicas := Fault{
		Kind:      []FaultKind{Hang, FastErrors}[rng.IntN(2)],
		From:      from - time.Second,
		Duration:  8 * time.Second,
		First:     first,
		Replicas:  replicas / 8,
		Magnitude: 0.6,
	}
	firstReleased := first + replicas/8 // the bad replicas are not released
	switch kind {
	case dayHerd:
		return []Fault{
			badReplicas,
			{Kind: Release, From: from, Duration: 5 * time.Second, First: firstReleased, Replicas: replicas / 2},
			{Kind: KillAggregators, From: from + 2*time.Second, Duration: 2 * time.Second, Magnitude: 0.7},
			{Kind: DiscoveryOutage, From: from - time.Second, Duration: 4 * time.Second},
		}
	case dayZone:
		return []Fault{
			badReplicas,
			{Kind: Outage, From: from, Duration: 5 * time.Second},
		}
	case daySplit:
		return []Fault{
			{Kind: Partition, From: from, Duration: 6 * time.Second},
			{Kind: DiscoveryOutage, From: from, Duration: 4 * time.Second},
		}
	case dayJoin:
		return []Fault{
			badReplicas,
			{Kind: Release, From: from, Duration: 7 * time.Second, First: firstReleased, Replicas: replicas * 6 / 10},
		}
	}
	return []Fault{{Kind: Burst, From: from, Duration: 3 * time.Second, Magnitude: 1.5}}
}
