package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Days are fleets of many mixers in the troubles that the operators name. Their sizes are the caller's.
var Days = []string{"calm", "herd", "zone", "split", "join"}

// partsLeast of a search: as in the operators' archive, where a search asks a third of the shards.
const partsLeast = 4

// Day draws a day: so many mixers whose traffic is thin and uneven, with words between them, nodes that are cold after
// a start, and lists that come from agents or from one service short of capacity, by the seed.
func Day(kind string, seed uint64, mixers, nodes int) (Settings, error) {
	if !slices.Contains(Days, kind) {
		return Settings{}, fmt.Errorf("day %q: there are %v", kind, Days)
	}
	if mixers < 2 || nodes < 2*partsLeast {
		return Settings{}, fmt.Errorf("%d mixers, %d nodes: at least 2 and %d", mixers, nodes, 2*partsLeast)
	}
	rng := rand.New(rand.NewPCG(seed, 0xda))
	s := Defaults(seed)
	s.Mixers, s.Nodes, s.Parts = mixers, nodes, max(partsLeast, nodes/4)
	s.Zones, s.Skew, s.Words, s.For = 2, 0.8, true, 15*time.Second
	s.Cold = Cold{For: 6 * time.Second, From: 0.3, Tip: 3, TipFor: 400 * time.Millisecond}
	// Three to five tenths of what all cores do: a search is 0.56 of the queries, a report 0.22.
	load := 0.3 + 0.2*rng.Float64()
	s.Rate = load * float64(nodes*s.Cores) / s.Work.Seconds() / (0.78*float64(s.Parts) + 0.22)
	s.Retries = 1 + rng.IntN(2)
	s.Discovery = Discovery{Kind: Agents}
	if rng.IntN(2) == 0 {
		s.Discovery = Discovery{Kind: Shared, PerSecond: float64(mixers) / 3, Wait: 500 * time.Millisecond}
	}
	from := 4*time.Second + time.Duration(rng.IntN(1000))*time.Millisecond
	first := rng.IntN(nodes)
	bad := Trouble{Kind: []Kind{Hang, FastErrors}[rng.IntN(2)], From: from - time.Second, For: 8 * time.Second, First: first, Nodes: nodes / 8, Size: 0.6}
	switch kind {
	case "herd":
		s.Troubles = []Trouble{bad, {Kind: Release, From: from, For: 5 * time.Second, First: first + nodes/8, Nodes: nodes / 2},
			{Kind: Kill, From: from + 2*time.Second, For: 2 * time.Second, Size: 0.7},
			{Kind: Silence, From: from - time.Second, For: 4 * time.Second}}
	case "zone":
		s.Troubles = []Trouble{bad, {Kind: Outage, From: from, For: 5 * time.Second}}
	case "split":
		s.Troubles = []Trouble{{Kind: Partition, From: from, For: 6 * time.Second}, {Kind: Silence, From: from, For: 4 * time.Second}}
	case "join":
		s.Troubles = []Trouble{bad, {Kind: Release, From: from, For: 7 * time.Second, First: first + nodes/8, Nodes: nodes * 6 / 10}}
	default:
		s.Troubles = []Trouble{{Kind: Burst, From: from, For: 3 * time.Second, Size: 1.5}}
	}
	return s, nil
}
