package sim

import (
	"math/rand/v2"
	"time"
)

// Draw makes the settings of a random run: a fleet and a schedule of troubles.
func Draw(seed uint64) Settings {
	rng := rand.New(rand.NewPCG(seed, 0x77))
	s := Defaults(seed)
	s.Mixers = 1 + rng.IntN(3)
	s.Nodes = 6 + rng.IntN(18)
	s.Reach = 2 + rng.IntN(3)
	s.Rate = 40 + 160*rng.Float64()
	s.Retries = rng.IntN(3)
	s.Evidence = rng.IntN(2) == 0
	s.For = 8 * time.Second
	for range 1 + rng.IntN(3) {
		t := Trouble{Kind: Kinds[rng.IntN(len(Kinds))], From: time.Duration(rng.IntN(5000)) * time.Millisecond, For: time.Duration(500+rng.IntN(4000)) * time.Millisecond,
			First: rng.IntN(s.Nodes), Nodes: 1 + rng.IntN(max(1, s.Nodes/3))}
		switch t.Kind {
		case FastErrors:
			t.Size = 0.35 + 0.5*rng.Float64()
		case Burst:
			t.Size = 1.3 + 2*rng.Float64()
		case Slow, Gray:
			t.Size = 1.5 + 8*rng.Float64()
		case Lag:
			t.Size = 2 + 5*rng.Float64()
		}
		s.Troubles = append(s.Troubles, t)
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
		return err == nil && len(r.Broken) > 0
	}
	for again := true; again && runs < most; {
		again = false
		for i := range s.Troubles {
			c := s
			c.Troubles = append(append([]Trouble{}, s.Troubles[:i]...), s.Troubles[i+1:]...)
			if breaks(c) {
				s, again = c, true
				break
			}
		}
		for _, change := range []func(*Settings){
			func(c *Settings) { c.Mixers = 1 },
			func(c *Settings) { c.Retries = 0 },
			func(c *Settings) { c.Evidence = false },
			func(c *Settings) { c.Nodes = max(c.Reach, c.Nodes/2) },
			func(c *Settings) { c.Rate /= 2 },
			func(c *Settings) { c.For = max(time.Second, c.For/2) },
			func(c *Settings) { c.Parts = max(1, c.Parts/2) },
		} {
			c := s
			change(&c)
			if c.Mixers == s.Mixers && c.Retries == s.Retries && c.Evidence == s.Evidence && c.Nodes == s.Nodes && c.Rate == s.Rate && c.For == s.For && c.Parts == s.Parts || c.Rate < 1 {
				continue
			}
			if breaks(c) {
				s, again = c, true
			}
		}
	}
	return s, runs
}
