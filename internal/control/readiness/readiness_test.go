package readiness

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pace = 50 * time.Millisecond

// say lets facts stand for a time and returns the last word.
func say(j *Evaluator, now *time.Time, d time.Duration, f Snapshot) (w Report) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(pace)
		w = j.Evaluate(*now, f)
	}
	return w
}

func captions(lost, closed []int) DatabaseSnapshot {
	return DatabaseSnapshot{Name: "captions", Shards: 4, MinCoverage: 1, SearchUnavailable: lost, CorrectionUnavailable: closed}
}

func coverage(lost []int) DatabaseSnapshot {
	return DatabaseSnapshot{Name: "coverage", Shards: 4, MinCoverage: 0.5, SearchUnavailable: lost}
}

func TestDatabasesAndTheWhole(t *testing.T) {
	for _, c := range []struct {
		lost, closed    []int
		cap, cov, whole State
		reason          string
	}{
		{nil, nil, Up, Up, Up, ""},
		{[]int{2}, []int{2}, Down, Degraded, Degraded, "captions: no usable holder of block 2"},
		{nil, []int{1}, Degraded, Up, Degraded, "corrections of block 1"},
		{[]int{0, 1, 2}, nil, Down, Down, Down, "coverage: no usable holder of block 0, 1, 2"},
	} {
		j, now := New(DefaultConfig()), origin
		say(j, &now, time.Second, Snapshot{Databases: []DatabaseSnapshot{captions(nil, nil), coverage(nil)}})
		w := say(j, &now, time.Second, Snapshot{Databases: []DatabaseSnapshot{captions(c.lost, c.closed), coverage(c.lost)}})
		if w.Database("CAPTIONS").State != c.cap || w.Database("coverage").State != c.cov || w.State != c.whole || !strings.Contains(strings.Join(w.Reasons, "; "), c.reason) {
			t.Errorf("%v %v: %+v", c.lost, c.closed, w)
		}
		if w = say(j, &now, time.Second, Snapshot{Databases: []DatabaseSnapshot{captions(nil, nil), coverage(nil)}}); w.State != Up || len(w.Reasons) > 0 {
			t.Errorf("not well again: %+v", w)
		}
	}
}

// A cause that comes and goes faster than it can be told is not told; one that stands is, within a second.
func TestWordsDoNotFlap(t *testing.T) {
	j, now := New(DefaultConfig()), origin
	good, bad := Snapshot{Databases: []DatabaseSnapshot{captions(nil, nil)}}, Snapshot{Databases: []DatabaseSnapshot{captions([]int{1}, nil)}}
	say(j, &now, time.Second, good)
	changes, last := 0, Up
	for range 100 {
		for _, f := range []Snapshot{bad, good} {
			now = now.Add(pace)
			if w := j.Evaluate(now, f); w.State != last {
				changes, last = changes+1, w.State
			}
		}
	}
	if changes > 0 {
		t.Errorf("%d changes of the word", changes)
	}
	begin := now
	for j.Evaluate(now, bad).State != Down {
		now = now.Add(pace)
	}
	if d := now.Sub(begin); d > 300*time.Millisecond {
		t.Errorf("down is told after %v", d)
	}
	begin = now
	for j.Evaluate(now, good).State != Up {
		now = now.Add(pace)
	}
	if d := now.Sub(begin); d > 600*time.Millisecond || d < 250*time.Millisecond {
		t.Errorf("up is told after %v", d)
	}
}

func TestWeightFollowsHeadroom(t *testing.T) {
	for name, c := range map[string]struct {
		f        Snapshot
		from, to int
	}{
		"idle":     {Snapshot{MaxInFlight: 100, MemoryLimit: 100 << 20, MemoryUsed: 10 << 20}, 100, 100},
		"half":     {Snapshot{MaxInFlight: 100, InFlight: 50}, 100, 100},
		"fuller":   {Snapshot{MaxInFlight: 100, InFlight: 75}, 50, 50},
		"full":     {Snapshot{MaxInFlight: 100, InFlight: 100}, 1, 1},
		"late":     {Snapshot{LoopLag: 300 * time.Millisecond}, 25, 25},
		"memory":   {Snapshot{MemoryLimit: 100 << 20, MemoryUsed: 95 << 20}, 15, 25},
		"draining": {Snapshot{Draining: true}, 100, 100},
	} {
		j, now := New(DefaultConfig()), origin
		w := say(j, &now, time.Second, c.f)
		if w.Weight < c.from || w.Weight > c.to || (w.Weight < 95) != (len(w.Reasons) > 0 && !c.f.Draining) || w.Draining != c.f.Draining {
			t.Errorf("%s: %+v", name, w)
		}
	}
	j, now := New(DefaultConfig()), origin
	f := Snapshot{}
	var w Report
	for range 20 {
		f.Received, f.Rejected = f.Received+10, f.Rejected+9
		w = say(j, &now, pace, f)
	}
	if w.Weight > 15 {
		t.Errorf("nine in ten refused: %+v", w)
	}
	// It rises slowly, and no further than the facts allow.
	if w = say(j, &now, 1200*time.Millisecond, f); w.Weight < 20 || w.Weight > 80 {
		t.Errorf("just after: %+v", w)
	}
	if w = say(j, &now, 3*time.Second, f); w.Weight != 100 {
		t.Errorf("long after: %+v", w)
	}
}

// Whatever the facts: the word is never worse or better than anything seen within its waits, and stays in bounds.
func FuzzJudge(f *testing.F) {
	f.Add(uint64(3), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 5))
		j, now := New(DefaultConfig()), origin
		var facts Snapshot
		type seen struct {
			at time.Time
			s  State
		}
		var history []seen
		for range steps % 1000 {
			now = now.Add(time.Duration(1+rng.IntN(100)) * time.Millisecond)
			if rng.IntN(5) == 0 {
				facts.Databases = []DatabaseSnapshot{captions([]int{0, 1, 2, 3}[:rng.IntN(3)], nil), coverage([]int{0, 1, 2, 3}[:rng.IntN(5)])}
			}
			facts.InFlight, facts.MaxInFlight, facts.LoopLag = rng.IntN(200), 100, time.Duration(rng.IntN(2000))*time.Millisecond
			facts.Received += uint64(rng.IntN(10))
			facts.Rejected = min(facts.Received, facts.Rejected+uint64(rng.IntN(10)))
			w := j.Evaluate(now, facts)
			if w.Weight < 1 || w.Weight > 100 || len(w.Databases) != len(facts.Databases) {
				t.Fatalf("%+v", w)
			}
			if len(facts.Databases) == 0 {
				continue
			}
			s, _ := judgeBase(facts.Databases[0])
			history = append(history, seen{now, s})
			for len(history) > 1 && now.Sub(history[1].at) > time.Second {
				history = history[1:]
			}
			ok := false
			for _, h := range history {
				ok = ok || h.s == w.Databases[0].State
			}
			if !ok {
				t.Fatalf("%v is said, and was not seen within a second: %v", w.Databases[0], history)
			}
		}
	})
}
