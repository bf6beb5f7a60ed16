package sim

import (
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

func mustRun(t *testing.T, s Settings) Result {
	t.Helper()
	r, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// violates reports whether a violation of a run contains a text.
func violates(r Result, text string) bool {
	return slices.ContainsFunc(r.Violations, func(violation string) bool { return strings.Contains(violation, text) })
}

// The same seed must give the same trace on any number of processors, and another seed a different one.
func TestRun_TraceDependsOnSeedOnly(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for seed := range uint64(2) {
		s := RandomSettings(seed)
		first := mustRun(t, s)
		runtime.GOMAXPROCS(8)
		second := mustRun(t, s)
		runtime.GOMAXPROCS(1)
		if first.Hash != second.Hash || first.Events != second.Events || first.Requests == 0 {
			t.Errorf("seed %d: %x of %d events, then %x of %d",
				seed, first.Hash, first.Events, second.Hash, second.Events)
		}
		s.Seed += 1000
		if other := mustRun(t, s); other.Hash == first.Hash {
			t.Errorf("seeds %d and %d give the same trace", seed, s.Seed)
		}
	}
}

// A fleet without faults must answer nearly all queries, and each kind of fault must have its effect.
func TestRun_EachFaultHasItsEffect(t *testing.T) {
	quiet := func() Settings {
		s := Defaults(1)
		s.Rate = 40
		return s
	}
	calm := mustRun(t, quiet())
	if calm.Goodput() < 0.999 || len(calm.Violations) > 0 || calm.Queries < 300 {
		t.Errorf("calm: %+v", calm.Violations)
	}
	median := func(r Result) time.Duration {
		slices.Sort(r.Latencies)
		return r.Latencies[len(r.Latencies)/2]
	}
	magnitudes := map[FaultKind]float64{FastErrors: 0.8, Burst: 3, SlowReplicas: 8, Gray: 8, EndpointLag: 5}
	for _, kind := range FaultKinds {
		s := quiet()
		s.Faults = []Fault{{
			Kind:      kind,
			From:      2 * time.Second,
			Duration:  6 * time.Second,
			Replicas:  6,
			Magnitude: magnitudes[kind],
		}}
		r := mustRun(t, s)
		if len(r.Violations) > 0 {
			t.Errorf("%s: %v", kind, r.Violations)
		}
		switch kind {
		case Burst:
			if r.Queries < calm.Queries*2 {
				t.Errorf("%s: %d queries, %d in calm", kind, r.Queries, calm.Queries)
			}
		case SlowReplicas:
			if median(r) < 2*median(calm) {
				t.Errorf("%s: %v, %v in calm", kind, median(r), median(calm))
			}
		case BadChecks, EndpointLag, Deploy: // a single one must not reduce the goodput noticeably
			if r.Goodput() < 0.98 {
				t.Errorf("%s: goodput %.3f", kind, r.Goodput())
			}
		default:
			if r.Hash == calm.Hash {
				t.Errorf("%s: no effect", kind)
			}
		}
	}
}

// Random fleets must not violate any invariant.
func TestRun_RandomFleetsViolateNoRule(t *testing.T) {
	for seed := range uint64(5) {
		if r := mustRun(t, RandomSettings(seed)); len(r.Violations) > 0 {
			t.Errorf("seed %d: %d violations, the first: %s", seed, len(r.Violations), r.Violations[0])
		}
	}
}

// The checker must detect an injected bug for each of these invariants.
func TestChecker_FindsPlantedBugs(t *testing.T) {
	for bug, violation := range map[Bug]string{
		BugDoubleCorrection:   "ran 2 times",
		BugLostQuery:          "has no final answer",
		BugDrainIgnored:       "drain or removal was known",
		BugFalseComplete:      "marked complete",
		BugLeakedAttempt:      "attempts in flight",
		BugConcurrentAttempts: "two attempts of",
	} {
		s := Defaults(3)
		s.InjectedBug = bug
		s.Faults = []Fault{
			{Kind: Deploy, From: time.Second, Duration: 6 * time.Second, Replicas: 6},
			{Kind: Hang, From: 2 * time.Second, Duration: 5 * time.Second, Replicas: 5, First: 6},
		}
		if r := mustRun(t, s); !violates(r, violation) {
			t.Errorf("%s: %v", bug, r.Violations)
		}
	}
}

// A run that violates an invariant must be shrunk to the fault that causes the violation.
func TestShrink_KeepsTheFaultThatViolates(t *testing.T) {
	s := RandomSettings(5)
	s.InjectedBug = BugDrainIgnored
	s.Faults = []Fault{
		{Kind: SlowReplicas, From: time.Second, Duration: time.Second, Magnitude: 2},
		{Kind: Deploy, From: time.Second, Duration: 5 * time.Second, Replicas: 4},
		{Kind: Burst, From: time.Second, Duration: time.Second, Magnitude: 2},
	}
	short, runs := Shrink(s, 200)
	if len(short.Faults) != 1 || short.Faults[0].Kind != Deploy || runs < 5 {
		t.Errorf("%d runs, %+v", runs, short.Faults)
	}
	if r := mustRun(t, short); len(r.Violations) == 0 {
		t.Error("the shrunk run violates no invariant")
	}
}

// Measures events per second by the size of the fleet. Run with -bench Fleet.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			events := uint64(0)
			for i := range b.N {
				s := Defaults(uint64(i))
				s.Replicas = n
				s.Rate = 8 * float64(n)
				s.Duration = 2 * time.Second
				r, err := Run(s)
				if err != nil || len(r.Violations) > 0 {
					b.Fatal(err, r.Violations)
				}
				events += r.Events
			}
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
