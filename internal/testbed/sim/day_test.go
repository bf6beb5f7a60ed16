package sim

import (
	"slices"
	"strings"
	"testing"
)

// fleet plays a day of a small fleet; the sizes that the operators name are played by testbed days.
func fleet(t *testing.T, kind string, seed uint64, planted string) Result {
	t.Helper()
	return loaded(t, kind, seed, planted, 1)
}

// loaded plays it with so many times the load.
func loaded(t *testing.T, kind string, seed uint64, planted string, load float64) Result {
	t.Helper()
	s, err := DaySettings(kind, seed, 12, 12)
	if err != nil {
		t.Fatal(err)
	}
	s.PlantedBug, s.Rate = planted, load*s.Rate/3
	return play(t, s)
}

// No rule breaks on any day, and the day's trouble is there.
func TestDaysKeepTheRules(t *testing.T) {
	for _, kind := range DayNames {
		r := fleet(t, kind, 1, "")
		if len(r.Violations) > 0 {
			t.Errorf("%s: %d broken, the first %s", kind, len(r.Violations), r.Violations[0])
		}
		if kind == "calm" && r.Goodput() < 0.95 {
			t.Errorf("calm: %.3f answered", r.Goodput())
		}
		if kind == "herd" && r.ConnectionsLost == 0 || r.DiscoveryPolls < 12 {
			t.Errorf("%s: %d tries lost, %d calls of discovery", kind, r.ConnectionsLost, r.DiscoveryPolls)
		}
	}
}

// A fleet that takes cold nodes for warm ones makes them fall, and the checker sees it.
func TestFloodedColdNodesAreFound(t *testing.T) {
	if honest := loaded(t, "join", 1, "", 6); len(honest.Violations) > 0 {
		t.Errorf("%s", honest.Violations[0])
	}
	r := loaded(t, "join", 1, bugIgnoreWarmup, 6)
	if r.ReplicasOverloaded == 0 || !slices.ContainsFunc(r.Violations, func(b string) bool { return strings.Contains(b, "falls under") }) {
		t.Errorf("%d fell, broken: %v", r.ReplicasOverloaded, r.Violations)
	}
}

// The same seed gives the same trace with words, deaths, and lists that are called for.
func TestDaysAreFixedByTheirSeed(t *testing.T) {
	if one, two := fleet(t, "herd", 2, ""), fleet(t, "herd", 2, ""); one.Hash != two.Hash || one.Requests == 0 {
		t.Errorf("%x, then %x", one.Hash, two.Hash)
	}
}

// A fleet that waits after its watches fell silent sends to nodes that drain: what was seen at full size, and what the
// calls of decide/watch are for.
func TestWaitingInSilenceBreaksTheRuleOnDrains(t *testing.T) {
	found := false
	for seed := uint64(1); seed < 6 && !found; seed++ {
		r := fleet(t, "herd", seed, bugWaitInSilence)
		found = slices.ContainsFunc(r.Violations, func(b string) bool { return strings.Contains(b, "after it was told to drain") })
		if honest := fleet(t, "herd", seed, ""); len(honest.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, honest.Violations[0])
		}
	}
	if !found {
		t.Error("no seed broke it")
	}
}
