package sim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// RandomSettings draws the settings of a run with a small fleet and random faults.
func RandomSettings(seed uint64) Settings {
	rng := rand.New(rand.NewPCG(seed, settingsStream))
	s := Defaults(seed)
	s.Aggregators = 1 + rng.IntN(3)
	s.Replicas = 6 + rng.IntN(18)
	s.Reach = 2 + rng.IntN(3)
	s.Rate = 40 + 160*rng.Float64()
	s.Retries = rng.IntN(3)
	s.HealthEvidence = rng.IntN(2) == 0
	s.Duration = 8 * time.Second
	for range 1 + rng.IntN(3) {
		s.Faults = append(s.Faults, randomFault(rng, s.Replicas))
	}
	return s
}

// randomFault draws a fault for a fleet with a number of replicas. The order of the fields is the order of the random
// samples.
func randomFault(rng *rand.Rand, replicas int) Fault {
	fault := Fault{
		Kind:     FaultKinds[rng.IntN(len(FaultKinds))],
		From:     time.Duration(rng.IntN(5000)) * time.Millisecond,
		Duration: time.Duration(500+rng.IntN(4000)) * time.Millisecond,
		First:    rng.IntN(replicas),
		Replicas: 1 + rng.IntN(max(1, replicas/3)),
	}
	switch fault.Kind {
	case FastErrors:
		fault.Magnitude = 0.35 + 0.5*rng.Float64()
	case Burst:
		fault.Magnitude = 1.3 + 2*rng.Float64()
	case SlowReplicas, Gray:
		fault.Magnitude = 1.5 + 8*rng.Float64()
	case EndpointLag:
		fault.Magnitude = 2 + 5*rng.Float64()
	}
	return fault
}

// Shrink simplifies the settings of a run that violates an invariant, while the simplified run still violates one:
// fewer faults and replicas, less load, less time. It makes at most maxRuns runs, and returns the simplest settings
// that it found and the number of runs.
func Shrink(s Settings, maxRuns int) (Settings, int) {
	shrinker := shrinker{best: s, maxRuns: maxRuns}
	for progress := true; progress && shrinker.runs < shrinker.maxRuns; {
		withoutFault := shrinker.removeFault()
		simpler := shrinker.simplify()
		progress = withoutFault || simpler
	}
	return shrinker.best, shrinker.runs
}

// shrinker searches for the simplest settings that violate an invariant.
type shrinker struct {
	best    Settings
	runs    int // made so far
	maxRuns int
}

// accept runs a candidate, and makes it the best if it violates an invariant.
func (s *shrinker) accept(candidate Settings) bool {
	if s.runs >= s.maxRuns {
		return false
	}
	s.runs++
	r, err := Run(candidate)
	if err != nil || len(r.Violations) == 0 {
		return false
	}
	s.best = candidate
	return true
}

// removeFault tries to remove one fault. It returns whether it has removed one.
func (s *shrinker) removeFault() bool {
	for i := range s.best.Faults {
		candidate := s.best
		candidate.Faults = slices.Delete(slices.Clone(s.best.Faults), i, i+1)
		if s.accept(candidate) {
			return true
		}
	}
	return false
}

// simplifications reduce the settings. A candidate that a simplification does not change is not run.
var simplifications = []func(*Settings){
	func(c *Settings) { c.Aggregators = 1 },
	func(c *Settings) { c.Retries = 0 },
	func(c *Settings) { c.HealthEvidence = false },
	func(c *Settings) { c.Replicas = max(c.Reach, c.Replicas/2) },
	func(c *Settings) { c.Rate /= 2 },
	func(c *Settings) { c.Duration = max(time.Second, c.Duration/2) },
	func(c *Settings) { c.SearchParts = max(1, c.SearchParts/2) },
}

// minRate is the minimum rate of a simplified run, in queries per second.
const minRate = 1

// simplify tries each simplification once. It returns whether one was accepted.
func (s *shrinker) simplify() bool {
	progress := false
	for _, change := range simplifications {
		candidate := s.best
		change(&candidate)
		if candidate.Rate < minRate || sameSize(candidate, s.best) {
			continue
		}
		if s.accept(candidate) {
			progress = true
		}
	}
	return progress
}

func sameSize(a, b Settings) bool {
	return a.Aggregators == b.Aggregators && a.Retries == b.Retries && a.HealthEvidence == b.HealthEvidence &&
		a.Replicas == b.Replicas && a.Rate == b.Rate && a.Duration == b.Duration && a.SearchParts == b.SearchParts
}
