package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/timers"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fresh(t testing.TB, b Budget) *Scheduler {
	t.Helper()
	s, err := New(b, 7, origin, timers.NewWheel(origin, time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// rig runs tasks in virtual time: each run takes what takes says, and ends as it says.
type rig struct {
	s     *Scheduler
	now   time.Time
	ends  []ending
	log   map[TaskID][]time.Time
	most  int // runs at once
	takes func(TaskID) (time.Duration, Result, bool)
}

type ending struct {
	at   time.Time
	id   TaskID
	pace Result
	hung bool
}

func (r *rig) until(end time.Time) {
	for {
		for _, id := range r.s.Advance(r.now) {
			r.log[id] = append(r.log[id], r.now)
			d, p, hung := r.takes(id)
			r.ends = append(r.ends, ending{r.now.Add(d), id, p, hung})
		}
		r.most = max(r.most, r.s.Running())
		next := end
		if t, ok := r.s.Next(); ok && t.Before(next) {
			next = t
		}
		for _, e := range r.ends {
			if e.at.Before(next) {
				next = e.at
			}
		}
		if !next.After(r.now) {
			next = r.now.Add(time.Millisecond)
		}
		if !next.Before(end) {
			r.now = end
			return
		}
		r.now = next
		r.ends = slices.DeleteFunc(r.ends, func(e ending) bool {
			if e.at.After(r.now) {
				return false
			}
			r.s.Done(r.now, e.id, e.pace, e.hung)
			return true
		})
	}
}

func quick(TaskID) (time.Duration, Result, bool) { return time.Millisecond, Steady, false }

func newRig(s *Scheduler) *rig {
	return &rig{s: s, now: origin, log: map[TaskID][]time.Time{}, takes: quick}
}

// Tasks that were added together do not beat together, and each keeps its interval.
func TestStartsAreSpread(t *testing.T) {
	s := fresh(t, Budget{StartsPerSecond: 10000, Burst: 1000, MaxRunning: 1000, Jitter: 0.1})
	r := newRig(s)
	for range 1000 {
		s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
	}
	r.until(origin.Add(60 * time.Second))
	at := map[int64]int{}
	for id, runs := range r.log {
		if len(runs) < 28 || len(runs) > 33 {
			t.Errorf("task %d ran %d times in a minute", id, len(runs))
		}
		for i, when := range runs {
			if at[when.Sub(origin).Milliseconds()/10]++; i > 0 {
				if gap := when.Sub(runs[i-1]); gap < 1790*time.Millisecond || gap > 2210*time.Millisecond {
					t.Fatalf("task %d: %v between two runs", id, gap)
				}
			}
		}
	}
	for slot, n := range at { // 5 on the mean in 10 ms; all of them if they beat together
		if n > 25 {
			t.Errorf("%d starts in the 10 ms from %d on", n, slot*10)
		}
	}
}

// Targets that hang take half of the room at most: the sound ones among 1,000 keep their interval.
func TestTargetsThatHangDelayNoOther(t *testing.T) {
	s := fresh(t, Budget{StartsPerSecond: 2000, Burst: 64, MaxRunning: 64, Jitter: 0.1})
	r := newRig(s)
	r.takes = func(id TaskID) (time.Duration, Result, bool) {
		if id < 900 {
			return time.Second, Down, true
		}
		return 2 * time.Millisecond, Steady, false
	}
	for range 1000 {
		s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
	}
	r.until(origin.Add(60 * time.Second))
	if r.most > 64 {
		t.Errorf("%d runs at once", r.most)
	}
	for id := TaskID(900); id < 1000; id++ {
		// All are taken for sound until their first run has hung: from then on the interval holds.
		for i := 1; i < len(r.log[id]); i++ {
			if gap := r.log[id][i].Sub(r.log[id][i-1]); r.log[id][i].Sub(origin) > 40*time.Second && gap > 2300*time.Millisecond {
				t.Fatalf("sound task %d waited %v", id, gap)
			}
		}
	}
	for id := TaskID(0); id < 900; id++ { // and none of those that hang is forgotten
		if len(r.log[id]) < 2 {
			t.Fatalf("task %d ran %d times", id, len(r.log[id]))
		}
	}
}

// More work than the budget: no pile-up, the budget holds, priorities count and none starves.
func TestBackPressure(t *testing.T) {
	s := fresh(t, Budget{StartsPerSecond: 100, Burst: 10, MaxRunning: 50, Jitter: 0.1})
	r := newRig(s)
	kinds := map[TaskID]Priority{}
	for i := range 300 {
		p := Priority(i % 3)
		kinds[s.Add(origin, Task{Priority: p, Interval: time.Second}, time.Second)] = p
	}
	r.until(origin.Add(20 * time.Second))
	var runs [priorities]int
	all := 0
	for id, l := range r.log {
		runs[kinds[id]] += len(l)
		all += len(l)
	}
	if all > 100*20+10 || all < 1900 {
		t.Errorf("%d starts in 20 s at 100 a second", all)
	}
	if !(runs[Urgent] > runs[Normal] && runs[Normal] > runs[Idle] && runs[Idle] >= 100) {
		t.Errorf("runs by priority: %v", runs)
	}
	if s.Stats.Delayed == 0 {
		t.Error("nothing was held back")
	}
	for p := range priorities {
		for lane := range 2 {
			if n := len(s.queues[p][lane].ids); n > 2500 {
				t.Errorf("a queue of %d for 300 tasks", n)
			}
		}
	}
}

// Fast after a change, slow while down, at once when hurried, gone when removed.
func TestPaces(t *testing.T) {
	s := fresh(t, Budget{StartsPerSecond: 1000, Burst: 10, MaxRunning: 4})
	r := newRig(s)
	pace := Steady
	r.takes = func(TaskID) (time.Duration, Result, bool) { p := pace; return time.Millisecond, p, false }
	id := s.Add(origin, Task{Interval: time.Second, FastInterval: 100 * time.Millisecond, SlowInterval: 5 * time.Second, FastRuns: 3}, 0)
	count := func(d time.Duration) int {
		before := len(r.log[id])
		r.until(r.now.Add(d))
		return len(r.log[id]) - before
	}
	if n := count(5500 * time.Millisecond); n != 6 {
		t.Errorf("%d steady runs", n)
	}
	pace = Changed
	count(600 * time.Millisecond) // the run at 6 s shows the change
	pace = Steady
	if n := count(400 * time.Millisecond); n < 3 {
		t.Errorf("%d fast runs", n)
	}
	pace = Down
	count(2 * time.Second)
	if n := count(20 * time.Second); n < 3 || n > 5 {
		t.Errorf("%d slow runs", n)
	}
	before := len(r.log[id])
	s.RunNow(r.now, id)
	if r.until(r.now.Add(5 * time.Millisecond)); len(r.log[id]) != before+1 {
		t.Error("a hurried task did not run")
	}
	s.Remove(id)
	if n := count(time.Minute); n != 0 || s.Len() != 0 || s.Running() != 0 {
		t.Errorf("%d runs of a removed task; %d held", n, s.Len())
	}
	if _, ok := s.Next(); ok {
		t.Error("something is to come of nothing")
	}
}

// Random steps: the budget at once holds, every task that is there runs again, ids are not mixed up.
func FuzzSchedule(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 9))
		s := fresh(t, Budget{StartsPerSecond: 50, Burst: 5, MaxRunning: 6, Jitter: 0.3})
		now, live, runs := origin, map[TaskID]bool{}, map[TaskID]bool{}
		for range steps % 2000 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0:
				if len(live) < 40 {
					id := s.Add(now, Task{Priority: Priority(rng.IntN(3)), Interval: time.Second, FastInterval: 50 * time.Millisecond, FastRuns: 2}, time.Second)
					if live[id] || runs[id] {
						t.Fatalf("id %d is given twice", id)
					}
					live[id] = true
				}
			case 1:
				for id := range live {
					if rng.IntN(2) == 0 {
						s.RunNow(now, id)
					} else {
						s.Remove(id)
						delete(live, id)
					}
					break
				}
			case 2:
				for id := range runs {
					s.Done(now, id, Result(rng.IntN(3)), rng.IntN(2) == 0)
					delete(runs, id)
					break
				}
			}
			for _, id := range s.Advance(now) {
				if !live[id] || runs[id] {
					t.Fatalf("%d was started: live %v, running %v", id, live[id], runs[id])
				}
				runs[id] = true
			}
			if len(runs) != s.Running() || len(runs) > 6 || s.hung > 3 {
				t.Fatalf("%d runs, %d counted, %d hung", len(runs), s.Running(), s.hung)
			}
		}
	})
}

func TestBadBudgets(t *testing.T) {
	for _, b := range []Budget{{}, {StartsPerSecond: 1, Burst: 1, MaxRunning: 1}, {StartsPerSecond: 1, MaxRunning: 2}, {StartsPerSecond: 1, Burst: 1, MaxRunning: 2, Jitter: 2}} {
		if s, err := New(b, 1, origin, timers.NewHeap()); err == nil {
			t.Errorf("%+v was taken: %v", b, s)
		}
	}
}

// One check from due to done, at sizes. Lateness is counted in virtual time, at the 99th percentile, and memory by
// the allocations of setting up. Run with -bench Schedule -benchmem.
func BenchmarkSchedule(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		for _, kind := range []string{"wheel", "heap"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				var t timers.Timers = timers.NewHeap()
				if kind == "wheel" {
					t = timers.NewWheel(origin, 5*time.Millisecond)
				}
				s, err := New(Budget{StartsPerSecond: float64(n), Burst: max(10, n/20), MaxRunning: max(10, n/20), Jitter: 0.1}, 7, origin, t)
				if err != nil {
					b.Fatal(err)
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range n {
					s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				memory := float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
				now, late := origin, make([]time.Duration, 0, b.N)
				b.ReportAllocs()
				b.ResetTimer()
				for len(late) < b.N {
					next, _ := s.Next()
					if !next.After(now) {
						next = now.Add(time.Millisecond)
					}
					now = next
					for _, id := range s.Advance(now) {
						late = append(late, now.Sub(s.Due(id)))
						s.Done(now, id, Steady, false)
					}
				}
				b.StopTimer()
				slices.Sort(late)
				b.ReportMetric(float64(late[len(late)*99/100])/1e6, "p99-late-ms")
				b.ReportMetric(memory, "B/target")
			})
		}
	}
}
