package sim

import (
	"math/rand/v2"
	"time"
)

// RandomSettings makes the settings of a random run: a fleet and a schedule of troubles.
func RandomSettings(seed uint64) Settings {
	rng := rand.New(rand.NewPCG(seed, 0x77))
	s := Defaults(seed)
	s.Aggregators = 1 + rng.IntN(3)
	s.Replicas = 6 + rng.IntN(18)
	s.Reach = 2 + rng.IntN(3)
	s.Rate = 40 + 160*rng.Float64()
	s.Retries = rng.IntN(3)
	s.HealthEvidence = rng.IntN(2) == 0
	s.Duration = 8 * time.Second
	for range 1 + rng.IntN(3) {
		t := Fault{Kind: FaultKinds[rng.IntN(len(FaultKinds))], From: time.Duration(rng.IntN(5000)) * time.Millisecond, Duration: time.Duration(500+rng.IntN(4000)) * time.Millisecond,
			First: rng.IntN(s.Replicas), Replicas: 1 + rng.IntN(max(1, s.Replicas/3))}
		switch t.Kind {
		case FastErrors:
			t.Magnitude = 0.35 + 0.5*rng.Float64()
		case Burst:
			t.Magnitude = 1.3 + 2*rng.Float64()
		case SlowReplicas, Gray:
			t.Magnitude = 1.5 + 8*rng.Float64()
		case EndpointLag:
			t.Magnitude = 2 + 5*rng.Float64()
		}
		s.Faults = append(s.Faults, t)
	}
	return s
}

// Shrink makes a run that breaks a rule shorter, as long as it breaks one: fewer troubles, fewer nodes, less load, less
// time. It returns the shortest that was found and how many runs that took.
func Shrink(s Settings, most int) (Settings, int) {
	runs := 0
	breaks := func(c Settings) bool {
		if runs >= most {
			return false
		}
		runs++
		r, err := Run(c)
		return err == nil && len(r.Violations) > 0
	}
	for again := true; again && runs < most; {
		again = false
		for i := range s.Faults {
			c := s
			c.Faults = append(append([]Fault{}, s.Faults[:i]...), s.Faults[i+1:]...)
			if breaks(c) {
				s, again = c, true
				break
			}
		}
		for _, change := range []func(*Settings){
			func(c *Settings) { c.Aggregators = 1 },
			func(c *Settings) { c.Retries = 0 },
			func(c *Settings) { c.HealthEvidence = false },
			func(c *Settings) { c.Replicas = max(c.Reach, c.Replicas/2) },
			func(c *Settings) { c.Rate /= 2 },
			func(c *Settings) { c.Duration = max(time.Second, c.Duration/2) },
			func(c *Settings) { c.SearchParts = max(1, c.SearchParts/2) },
		} {
			c := s
			change(&c)
			if c.Aggregators == s.Aggregators && c.Retries == s.Retries && c.HealthEvidence == s.HealthEvidence && c.Replicas == s.Replicas && c.Rate == s.Rate && c.Duration == s.Duration && c.SearchParts == s.SearchParts || c.Rate < 1 {
				continue
			}
			if breaks(c) {
				s, again = c, true
			}
		}
	}
	return s, runs
}
