package aggregator

import (
	"testing"
	"time"
)

// Start times of servers are stated on the wall clock, which may be set at any time, and are converted to the
// balancer's clock, which is monotonic. Whenever the wall clock was set, the result is the true start time, or a later
// one where it cannot be determined.
func TestWallClock_StartsThroughSteps(t *testing.T) {
	clockZero := time.Unix(1_700_000_000, 0)
	const start = 100 * time.Second // of a server, in time elapsed since clockZero
	for _, step := range []time.Duration{-time.Hour, -2 * time.Second, 2 * time.Second, time.Hour} {
		for name, steppedAt := range map[string]time.Duration{
			"before the start":               start - 10*time.Second,
			"between the start and its list": start + 2*time.Second,
			"after the list":                 start + time.Minute,
		} {
			var clock wallClock
			wall := func(passed time.Duration) time.Time { // time on the wall clock
				if passed >= steppedAt {
					return clockZero.Add(passed + step)
				}
				return clockZero.Add(passed)
			}
			for passed := time.Duration(0); passed < start; passed += time.Second {
				clock.observe(passed, wall(passed), clockZero)
			}
			const listedAt = start + 5*time.Second
			clock.observe(listedAt, wall(listedAt), clockZero)
			got := clock.toBalancerClock(listedAt, wall(listedAt), wall(start))
			if got < start || got > listedAt {
				t.Errorf("set by %v %s: started at %v, want %v", step, name, got, start)
			}
			if steppedAt != start+2*time.Second && got != start {
				t.Errorf("set by %v %s: started at %v, want exactly %v", step, name, got, start)
			}
		}
	}
}

func TestWallClock_WithoutSteps(t *testing.T) {
	const now = 24 * time.Hour
	wall := time.Unix(1_700_000_000, 0)
	for name, test := range map[string]struct {
		stated time.Time
		want   time.Duration
	}{
		"not stated":                         {time.Time{}, 0},
		"3 s ago":                            {wall.Add(-3 * time.Second), now - 3*time.Second},
		"an hour ago":                        {wall.Add(-time.Hour), now - time.Hour},
		"before the balancer's clock begins": {wall.Add(-48 * time.Hour), 0},
		"in the future":                      {wall.Add(time.Second), now},
	} {
		var clock wallClock
		clock.observe(now, wall, wall.Add(-now))
		if got := clock.toBalancerClock(now, wall, test.stated); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}

// A start time is converted to the balancer's clock once, however often it is listed and whatever the wall clock shows
// by then; another start time is converted again.
func TestCore_StartIsNotedOnce(t *testing.T) {
	h := newHarness(t)
	server := Server{ID: "a", Addr: "a:1", Started: h.now}
	h.turn(endpointChange(server))
	first := h.core.startedAt(server)
	h.now = h.now.Add(time.Hour)
	h.turn(endpointChange(server))
	if again := h.core.startedAt(server); again != first {
		t.Errorf("started at %v, and at %v when it was listed again", first, again)
	}
	server.Started = h.now
	h.turn(endpointChange(server))
	if next := h.core.startedAt(server); next != first+time.Hour {
		t.Errorf("started again at %v, want %v", next, first+time.Hour)
	}
}
