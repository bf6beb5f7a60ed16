package sim

import "testing"

// runScenario runs a scenario with a small fleet; the command testbed days runs it with fleets of operational size.
func runScenario(t *testing.T, kind string, seed uint64, injected Bug) Result {
	t.Helper()
	return runScenarioWithLoad(t, kind, seed, injected, 1)
}

// runScenarioWithLoad runs a scenario with a small fleet and a multiple of its load.
func runScenarioWithLoad(t *testing.T, kind string, seed uint64, injected Bug, load float64) Result {
	t.Helper()
	s, err := ScenarioSettings(kind, seed, 12, 12)
	if err != nil {
		t.Fatal(err)
	}
	s.InjectedBug = injected
	s.Rate = load * s.Rate / 3
	return mustRun(t, s)
}

// No scenario may violate an invariant, and the faults must have their effects.
func TestDays_ViolateNoRule(t *testing.T) {
	for _, kind := range ScenarioNames {
		r := runScenario(t, kind, 1, "")
		if len(r.Violations) > 0 {
			t.Errorf("%s: %d violations, the first: %s", kind, len(r.Violations), r.Violations[0])
		}
		if kind == "calm" && r.Goodput() < 0.95 {
			t.Errorf("calm: %.3f answered", r.Goodput())
		}
		if kind == "herd" && r.ConnectionsLost == 0 || r.DiscoveryPolls < 12 {
			t.Errorf("%s: %d connections lost, %d polls of discovery", kind, r.ConnectionsLost, r.DiscoveryPolls)
		}
	}
}

// Aggregators that ignore the warm-up of replicas overload them until they crash, and the checker must detect this.
func TestChecker_FindsOverloadedWarmingReplicas(t *testing.T) {
	if withoutBug := runScenarioWithLoad(t, "join", 1, "", 6); len(withoutBug.Violations) > 0 {
		t.Errorf("%s", withoutBug.Violations[0])
	}
	r := runScenarioWithLoad(t, "join", 1, BugWarmupIgnored, 6)
	if r.ReplicasOverloaded == 0 || !violates(r, "collapses under") {
		t.Errorf("%d replicas overloaded, violations: %v", r.ReplicasOverloaded, r.Violations)
	}
}

// The same seed must give the same trace, also with gossip, crashes, and polled endpoint lists.
func TestDays_TraceDependsOnSeedOnly(t *testing.T) {
	first := runScenario(t, "herd", 2, "")
	second := runScenario(t, "herd", 2, "")
	if first.Hash != second.Hash || first.Requests == 0 {
		t.Errorf("%x, then %x", first.Hash, second.Hash)
	}
}

// Aggregators that back off before they reopen an unresponsive watch send parts to draining replicas. The failure
// occurred in fleets of full size, and control/listwatch guards against it; the checker must detect it.
func TestChecker_FindsSendsToDrainingReplicas(t *testing.T) {
	found := false
	for seed := uint64(1); seed < 6 && !found; seed++ {
		found = violates(runScenario(t, "herd", seed, BugSlowReopen), "drain or removal was known")
		if withoutBug := runScenario(t, "herd", seed, ""); len(withoutBug.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, withoutBug.Violations[0])
		}
	}
	if !found {
		t.Error("no seed gives the violation")
	}
}
