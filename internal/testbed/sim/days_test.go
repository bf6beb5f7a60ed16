package sim

import "testing"

// fleet plays a day of a small fleet; testbed days plays the sizes that operators have.
func fleet(t *testing.T, kind string, seed uint64, planted Bug) Result {
	t.Helper()
	return loaded(t, kind, seed, planted, 1)
}

// loaded plays a day of a small fleet with a multiple of its load.
func loaded(t *testing.T, kind string, seed uint64, planted Bug, load float64) Result {
	t.Helper()
	s, err := ScenarioSettings(kind, seed, 12, 12)
	if err != nil {
		t.Fatal(err)
	}
	s.InjectedBug = planted
	s.Rate = load * s.Rate / 3
	return play(t, s)
}

// No day violates a rule, and each has its faults.
func TestDays_ViolateNoRule(t *testing.T) {
	for _, kind := range ScenarioNames {
		r := fleet(t, kind, 1, "")
		if len(r.Violations) > 0 {
			t.Errorf("%s: %d broken, the first %s", kind, len(r.Violations), r.Violations[0])
		}
		if kind == "calm" && r.Goodput() < 0.95 {
			t.Errorf("calm: %.3f answered", r.Goodput())
		}
		if kind == "herd" && r.ConnectionsLost == 0 || r.DiscoveryPolls < 12 {
			t.Errorf("%s: %d connections lost, %d polls of discovery", kind, r.ConnectionsLost, r.DiscoveryPolls)
		}
	}
}

// Aggregators that ignore the warm-up make replicas collapse, and the checker finds it.
func TestChecker_FindsOverloadedWarmingReplicas(t *testing.T) {
	if honest := loaded(t, "join", 1, "", 6); len(honest.Violations) > 0 {
		t.Errorf("%s", honest.Violations[0])
	}
	r := loaded(t, "join", 1, BugWarmupIgnored, 6)
	if r.ReplicasOverloaded == 0 || !violates(r, "collapses under") {
		t.Errorf("%d collapsed, violations: %v", r.ReplicasOverloaded, r.Violations)
	}
}

// The same seed gives the same trace with gossip, crashes, and polled endpoint lists.
func TestDays_TraceDependsOnSeedOnly(t *testing.T) {
	first := fleet(t, "herd", 2, "")
	second := fleet(t, "herd", 2, "")
	if first.Hash != second.Hash || first.Requests == 0 {
		t.Errorf("%x, then %x", first.Hash, second.Hash)
	}
}

// Aggregators that wait after their watches became unresponsive send to replicas that drain. It was seen at full
// size, and is what control/listwatch guards against.
func TestChecker_FindsSendsToDrainingReplicas(t *testing.T) {
	found := false
	for seed := uint64(1); seed < 6 && !found; seed++ {
		found = violates(fleet(t, "herd", seed, BugSlowReopen), "drain or removal was known")
		if honest := fleet(t, "herd", seed, ""); len(honest.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, honest.Violations[0])
		}
	}
	if !found {
		t.Error("no seed violates it")
	}
}
