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

// DayNames are the days that DaySettings draws.
var DayNames = []string{dayCalm, dayHerd, dayZone, daySplit, dayJoin}

// minSearchParts is the least number of parts of a search: in the operators' archive a search reads a third of the shards.
const minSearchParts = 4

// DaySettings draws the settings of a day by its seed: aggregators whose traffic is thin and uneven and who gossip, replicas
// that warm up after a start, and endpoint lists from local agents or from one service short of capacity. It fails for a
// day that is not in DayNames, and for fleets that are too small for a search.
func DaySettings(kind string, seed uint64, aggregators, replicas int) (Settings, error) {
	if !slices.Contains(DayNames, kind) {
		return Settings{}, fmt.Errorf("day %q: there are %v", kind, DayNames)
	}
	if aggregators < 2 || replicas < 2*minSearchParts {
		return Settings{}, fmt.Errorf("%d aggregators, %d replicas: at least 2 and %d", aggregators, replicas, 2*minSearchParts)
	}
	rng := rand.New(rand.NewPCG(seed, dayStream))
	s := Defaults(seed)
	s.Aggregators, s.Replicas, s.SearchParts = aggregators, replicas, max(minSearchParts, replicas/4)
	s.Zones, s.TrafficSkew, s.Gossip, s.Duration = 2, 0.8, true, 15*time.Second
	s.Warmup = Warmup{Period: 6 * time.Second, MinCapacity: 0.3, OverloadMultiple: 3, OverloadPeriod: 400 * time.Millisecond}
	// Three to five tenths of the capacity of all cores. A correction has one part, every other query SearchParts.
	load := 0.3 + 0.2*rng.Float64()
	s.Rate = load * float64(replicas*s.Cores) / s.MeanServiceTime.Seconds() / (0.78*float64(s.SearchParts) + 0.22)
	s.Retries = 1 + rng.IntN(2)
	s.Discovery = Discovery{Kind: LocalAgents}
	if rng.IntN(2) == 0 {
		s.Discovery = Discovery{Kind: SharedService, PerSecond: float64(aggregators) / 3, MaxWait: 500 * time.Millisecond}
	}
	from := 4*time.Second + time.Duration(rng.IntN(1000))*time.Millisecond
	first := rng.IntN(replicas)
	bad := Fault{Kind: []FaultKind{Hang, FastErrors}[rng.IntN(2)], From: from - time.Second, Duration: 8 * time.Second, First: first, Replicas: replicas / 8, Magnitude: 0.6}
	switch kind {
	case dayHerd:
		s.Faults = []Fault{bad, {Kind: Release, From: from, Duration: 5 * time.Second, First: first + replicas/8, Replicas: replicas / 2},
			{Kind: KillAggregators, From: from + 2*time.Second, Duration: 2 * time.Second, Magnitude: 0.7},
			{Kind: DiscoveryOutage, From: from - time.Second, Duration: 4 * time.Second}}
	case dayZone:
		s.Faults = []Fault{bad, {Kind: Outage, From: from, Duration: 5 * time.Second}}
	case daySplit:
		s.Faults = []Fault{{Kind: Partition, From: from, Duration: 6 * time.Second}, {Kind: DiscoveryOutage, From: from, Duration: 4 * time.Second}}
	case dayJoin:
		s.Faults = []Fault{bad, {Kind: Release, From: from, Duration: 7 * time.Second, First: first + replicas/8, Replicas: replicas * 6 / 10}}
	default:
		s.Faults = []Fault{{Kind: Burst, From: from, Duration: 3 * time.Second, Magnitude: 1.5}}
	}
	return s, nil
}
