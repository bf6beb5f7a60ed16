package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A service that takes 30 calls a second and loses all callers at one moment must get them all back: eighty that
// call every 200 ms keep it overbooked for ever.
func TestManyCallersThatFailTogetherAllGetThrough(t *testing.T) {
	const capacity, n = 30, 80
	for name, c := range map[string]struct {
		of Backoff
		ok bool
	}{"by fleet": {ForFleet(n, 200*time.Millisecond, 40), true}, "fixed": {Backoff{Initial: 200 * time.Millisecond, Max: 200 * time.Millisecond}, false}} {
		rng := rand.New(rand.NewPCG(1, 2))
		next, of, through := make([]time.Duration, n), make([]Backoff, n), 0
		for i := range of {
			of[i] = c.of
			next[i] = of[i].Next(rng.Float64())
		}
		for now := time.Duration(0); now < 20*time.Second; now += time.Second {
			var calls []int
			for i := range next {
				for next[i] >= 0 && next[i] < now+time.Second {
					calls = append(calls, i)
					next[i] += of[i].Next(rng.Float64())
				}
			}
			if len(calls) > capacity {
				continue // overbooked: all have waited too long
			}
			for _, i := range calls {
				if next[i] >= 0 {
					next[i] = -1
					through++
				}
			}
		}
		if got := through == n; got != c.ok {
			t.Errorf("%s: %d of %d got through", name, through, n)
		}
	}
}

func TestWaits(t *testing.T) {
	few := ForFleet(3, 200*time.Millisecond, 40)
	if a, b := few.Next(0.5), few.Next(0.5); a != 200*time.Millisecond || b != a {
		t.Errorf("one of three waits %v, then %v", a, b)
	}
	many := ForFleet(80, 200*time.Millisecond, 40)
	var waits []time.Duration
	for range 40 {
		waits = append(waits, many.Next(0.5))
	}
	if waits[0] != 2*time.Second || waits[1] != 4*time.Second || waits[39] != 8*time.Second {
		t.Errorf("%v", waits)
	}
	many.Reset()
	if w := many.Next(0); w != time.Second {
		t.Errorf("%v after a success", w)
	}
}
