package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/control/timers"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(t testing.TB, budget Budget) *Scheduler {
	t.Helper()
	s, err := New(budget, 7, origin, timers.NewWheel(origin, time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// simulation runs a scheduler's tasks in virtual time.
type simulation struct {
	s          *Scheduler
	now        time.Time
	ends       []runEnd
	starts     map[TaskID][]time.Time
	maxRunning int
	run        func(TaskID) run // returns the behavior of the next run of a task
}

// run is the behavior of one run of a task.
type run struct {
	duration time.Duration
	result   Result
	hung     bool
}

type runEnd struct {
	at time.Time
	id TaskID
	run
}

func newSimulation(s *Scheduler) *simulation {
	return &simulation{
		s:      s,
		now:    origin,
		starts: map[TaskID][]time.Time{},
		run:    func(TaskID) run { return run{duration: time.Millisecond} },
	}
}

// advanceTo advances virtual time to end, and starts and ends the runs that are due until then.
func (m *simulation) advanceTo(end time.Time) {
	for {
		m.startRuns()
		next := m.nextEvent(end)
		if !next.After(m.now) {
			next = m.now.Add(time.Millisecond)
		}
		if !next.Before(end) {
			m.now = end
			return
		}
		m.now = next
		m.endRuns()
	}
}

func (m *simulation) startRuns() {
	for _, id := range m.s.Advance(m.now) {
		m.starts[id] = append(m.starts[id], m.now)
		r := m.run(id)
		m.ends = append(m.ends, runEnd{at: m.now.Add(r.duration), id: id, run: r})
	}
	m.maxRunning = max(m.maxRunning, m.s.Running())
}

// nextEvent returns the next time at which the scheduler is due or a run ends, at most end.
func (m *simulation) nextEvent(end time.Time) time.Time {
	next := end
	if t, ok := m.s.Next(); ok && t.Before(next) {
		next = t
	}
	for _, e := range m.ends {
		if e.at.Before(next) {
			next = e.at
		}
	}
	return next
}

func (m *simulation) endRuns() {
	m.ends = slices.DeleteFunc(m.ends, func(e runEnd) bool {
		if e.at.After(m.now) {
			return false
		}
		m.s.Done(m.now, e.id, e.result, e.hung)
		return true
	})
}

// startsWithin advances by a duration and returns how often a task started in it.
func (m *simulation) startsWithin(d time.Duration, id TaskID) int {
	before := len(m.starts[id])
	m.advanceTo(m.now.Add(d))
	return len(m.starts[id]) - before
}

// Tasks that are added together do not start together, and each runs at its interval.
func TestScheduler_StartsAreSpread(t *testing.T) {
	s := newScheduler(t, Budget{StartsPerSecond: 10000, Burst: 1000, MaxRunning: 1000, Jitter: 0.1})
	m := newSimulation(s)
	for range 1000 {
		s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
	}
	m.advanceTo(origin.Add(60 * time.Second))
	startsBySlot := map[int64]int{} // by slot of 10 ms
	for id, starts := range m.starts {
		if len(starts) < 28 || len(starts) > 33 {
			t.Errorf("task %d ran %d times in a minute", id, len(starts))
		}
		for i, at := range starts {
			startsBySlot[at.Sub(origin).Milliseconds()/10]++
			if i == 0 {
				continue
			}
			if interval := at.Sub(starts[i-1]); interval < 1790*time.Millisecond || interval > 2210*time.Millisecond {
				t.Fatalf("task %d: %v between two starts", id, interval)
			}
		}
	}
	for slot, n := range startsBySlot { // 5 on average; all of them if they start together
		if n > 25 {
			t.Errorf("%d starts in the 10 ms from %d on", n, slot*10)
		}
	}
}

// Hanging targets occupy at most half of the capacity: of 1,000 targets, the 100 that do not hang are run at their
// interval.
func TestScheduler_HangingTargetsDelayNoOthers(t *testing.T) {
	s := newScheduler(t, Budget{StartsPerSecond: 2000, Burst: 64, MaxRunning: 64, Jitter: 0.1})
	m := newSimulation(s)
	const hanging, all = 900, 1000
	m.run = func(id TaskID) run {
		if id < hanging {
			return run{duration: time.Second, result: Down, hung: true}
		}
		return run{duration: 2 * time.Millisecond, result: Steady, hung: false}
	}
	for range all {
		s.Add(origin, Task{Priority: Normal, Interval: 2 * time.Second}, 2*time.Second)
	}
	m.advanceTo(origin.Add(60 * time.Second))
	if m.maxRunning > 64 {
		t.Errorf("%d runs at once", m.maxRunning)
	}
	// All targets are in the regular lane until their first run has hung; the intervals are checked after that.
	settled := origin.Add(40 * time.Second)
	for id := TaskID(hanging); id < all; id++ {
		starts := m.starts[id]
		for i := 1; i < len(starts); i++ {
			if interval := starts[i].Sub(starts[i-1]); starts[i].After(settled) && interval > 2300*time.Millisecond {
				t.Fatalf("task %d, which does not hang, waited %v", id, interval)
			}
		}
	}
	for id := TaskID(0); id < hanging; id++ {
		if len(m.starts[id]) < 2 {
			t.Fatalf("hanging task %d ran %d times", id, len(m.starts[id]))
		}
	}
}

// With more work than the budget allows, the queues stay bounded, the budget is respected, higher priorities run more
// often, and none starves.
func TestScheduler_MoreWorkThanTheBudget(t *testing.T) {
	s := newScheduler(t, Budget{StartsPerSecond: 100, Burst: 10, MaxRunning: 50, Jitter: 0.1})
	m := newSimulation(s)
	priorities := map[TaskID]Priority{}
	for i := range 300 {
		p := Priority(i % 3)
		priorities[s.Add(origin, Task{Priority: p, Interval: time.Second}, time.Second)] = p
	}
	m.advanceTo(origin.Add(20 * time.Second))
	var startsBy [priorityCount]int
	total := 0
	for id, starts := range m.starts {
		startsBy[priorities[id]] += len(starts)
		total += len(starts)
	}
	if total > 100*20+10 || total < 1900 {
		t.Errorf("%d starts in 20 s at 100 per second", total)
	}
	if startsBy[Urgent] <= startsBy[Normal] || startsBy[Normal] <= startsBy[Idle] || startsBy[Idle] < 100 {
		t.Errorf("starts by priority: %v", startsBy)
	}
	if s.Stats.Delayed == 0 {
		t.Error("no task was counted as delayed")
	}
	for p := range priorityCount {
		for l := range laneCount {
			if n := len(s.ready[p][l].entries); n > 2500 {
				t.Errorf("a ready queue has %d entries for 300 tasks, want at most 2500", n)
			}
		}
	}
}

// A task runs at the fast interval after a change, at the slow one while down, at once after RunNow, and never after
// Remove.
func TestScheduler_IntervalsOfOneTask(t *testing.T) {
	s := newScheduler(t, Budget{StartsPerSecond: 1000, Burst: 10, MaxRunning: 4})
	m := newSimulation(s)
	result := Steady
	m.run = func(TaskID) run { return run{duration: time.Millisecond, result: result} }
	id := s.Add(origin, Task{
		Interval: time.Second, FastInterval: 100 * time.Millisecond, SlowInterval: 5 * time.Second, FastRuns: 3,
	}, 0)
	if n := m.startsWithin(5500*time.Millisecond, id); n != 6 {
		t.Errorf("%d runs while steady", n)
	}
	result = Changed
	m.startsWithin(600*time.Millisecond, id) // the run at 6 s has the changed result
	result = Steady
	if n := m.startsWithin(400*time.Millisecond, id); n < 3 {
		t.Errorf("%d runs after a change", n)
	}
	result = Down
	m.startsWithin(2*time.Second, id)
	if n := m.startsWithin(20*time.Second, id); n < 3 || n > 5 {
		t.Errorf("%d runs while down", n)
	}
	s.RunNow(m.now, id)
	if n := m.startsWithin(5*time.Millisecond, id); n != 1 {
		t.Errorf("%d runs after RunNow", n)
	}
	s.Remove(id)
	if n := m.startsWithin(time.Minute, id); n != 0 || s.Len() != 0 || s.Running() != 0 {
		t.Errorf("%d runs of a removed task; %d tasks left", n, s.Len())
	}
	if next, ok := s.Next(); ok {
		t.Errorf("without tasks, Next returns %v", next)
	}
}

// schedulerModel performs random operations on a Scheduler and tracks which tasks exist and which are running.
type schedulerModel struct {
	s       *Scheduler
	random  *rand.Rand
	now     time.Time
	live    map[TaskID]bool
	running map[TaskID]bool
}

func (m *schedulerModel) step(t *testing.T) {
	t.Helper()
	m.now = m.now.Add(time.Duration(m.random.IntN(200)) * time.Millisecond)
	switch m.random.IntN(4) {
	case 0:
		m.add(t)
	case 1:
		m.runNowOrRemove()
	case 2:
		m.endOne()
	}
	for _, id := range m.s.Advance(m.now) {
		if !m.live[id] || m.running[id] {
			t.Fatalf("%d was started: live %v, running %v", id, m.live[id], m.running[id])
		}
		m.running[id] = true
	}
	if len(m.running) != m.s.Running() || len(m.running) > 6 || m.s.runningHung > 3 {
		t.Fatalf("%d runs, %d counted, %d hung", len(m.running), m.s.Running(), m.s.runningHung)
	}
}

func (m *schedulerModel) add(t *testing.T) {
	t.Helper()
	if len(m.live) >= 40 {
		return
	}
	id := m.s.Add(m.now, Task{
		Priority: Priority(m.random.IntN(3)), Interval: time.Second, FastInterval: 50 * time.Millisecond, FastRuns: 2,
	}, time.Second)
	if m.live[id] || m.running[id] {
		t.Fatalf("id %d was assigned twice", id)
	}
	m.live[id] = true
}

func (m *schedulerModel) runNowOrRemove() {
	for id := range m.live {
		if m.random.IntN(2) == 0 {
			m.s.RunNow(m.now, id)
		} else {
			m.s.Remove(id)
			delete(m.live, id)
		}
		return
	}
}

func (m *schedulerModel) endOne() {
	for id := range m.running {
		m.s.Done(m.now, id, Result(m.random.IntN(3)), m.random.IntN(2) == 0)
		delete(m.running, id)
		return
	}
}

// FuzzScheduler checks after random operations that the limits of concurrent runs are respected, that only existing
// tasks that are not running are started, and that no two tasks have the same id.
func FuzzScheduler(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		m := &schedulerModel{
			s:       newScheduler(t, Budget{StartsPerSecond: 50, Burst: 5, MaxRunning: 6, Jitter: 0.3}),
			random:  rand.New(rand.NewPCG(seed, 9)),
			now:     origin,
			live:    map[TaskID]bool{},
			running: map[TaskID]bool{},
		}
		for range steps % 2000 {
			m.step(t)
		}
	})
}

func TestNew_RejectsInvalidBudgets(t *testing.T) {
	for name, budget := range map[string]Budget{
		"no starts per second":         {},
		"only one run at once":         {StartsPerSecond: 1, Burst: 1, MaxRunning: 1},
		"no burst":                     {StartsPerSecond: 1, MaxRunning: 2},
		"jitter over half an interval": {StartsPerSecond: 1, Burst: 1, MaxRunning: 2, Jitter: 2},
	} {
		t.Run(name, func(t *testing.T) {
			if s, err := New(budget, 1, origin, timers.NewHeap()); err == nil {
				t.Errorf("%+v was accepted: %v", budget, s)
			}
		})
	}
}
