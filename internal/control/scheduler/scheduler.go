// Package scheduler decides when background tasks run, within a budget of starts per second and of concurrent runs, by
// priority, and at an interval that depends on the result of the task's last run. It does no I/O, reads no clock and
// starts no goroutine: its owner passes in the time and the ends of runs, and starts the runs that it returns.
package scheduler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rooktrestle/internal/control/timers"
)

// Budget limits what a Scheduler starts.
type Budget struct {
	StartsPerSecond float64 // on average; more than 0
	Burst           int     // maximum number of starts at once; at least 1
	MaxRunning      int     // maximum number of concurrent runs; at least 2
	Jitter          float64 // maximum random deviation, as a fraction of the interval, 0 to 0.5
}

// maxJitter is the largest Budget.Jitter.
const maxJitter = 0.5

func (b Budget) validate() error {
	switch {
	case !(b.StartsPerSecond > 0): // written so that NaN is rejected, too
		return fmt.Errorf("%v starts per second: must be more than 0", b.StartsPerSecond)
	case b.Burst < 1:
		return fmt.Errorf("burst of %d starts: must be at least 1", b.Burst)
	case b.MaxRunning < 2:
		return fmt.Errorf("%d concurrent runs: must be at least 2, as hung tasks may occupy half", b.MaxRunning)
	case !(b.Jitter >= 0 && b.Jitter <= maxJitter): // written so that NaN is rejected, too
		return fmt.Errorf("jitter %v: must be 0 to %v", b.Jitter, maxJitter)
	}
	return nil
}

// Stats are counters and delays of a Scheduler.
type Stats struct {
	Starts    uint64
	Delayed   uint64        // calls of Advance after which a ready task waits for the budget of starts
	LastDelay time.Duration // of the last start after its due time
	MaxDelay  time.Duration // of any start
}

// Scheduler schedules tasks. It is owned by one goroutine. The times passed to it must not decrease.
type Scheduler struct {
	// Stats is read by the owner only.
	Stats Stats

	budget      Budget
	random      *rand.Rand
	timers      timers.Timers // of the tasks in stateWaiting
	tasks       []task        // by id
	freeIDs     []TaskID
	ready       [priorityCount][laneCount]readyQueue
	consecutive [priorityCount]int // starts by priority since the last reset
	tokens      float64            // starts that the budget allows at now
	now         time.Time          // when tokens was last computed
	running     int
	runningHung int // number of these that are in hungLane
	starts      []TaskID
}

// New returns a Scheduler without tasks, which accepts ownership of the empty t. All random numbers are derived from
// seed. It returns an error if the budget is invalid.
func New(budget Budget, seed uint64, start time.Time, t timers.Timers) (*Scheduler, error) {
	if err := budget.validate(); err != nil {
		return nil, fmt.Errorf("scheduler: check budget: %w", err)
	}
	const streamSelector = 0x5851f42d4c957f2d // arbitrary, fixed: equal seeds give equal schedules
	return &Scheduler{
		budget: budget,
		random: rand.New(rand.NewPCG(seed, seed^streamSelector)),
		timers: t,
		tokens: float64(budget.Burst),
		now:    start,
	}, nil
}

// Add adds a task. Its first run is at a random time within firstWithin, so that the runs of tasks that are added
// together are spread.
func (s *Scheduler) Add(now time.Time, t Task, firstWithin time.Duration) TaskID {
	s.refill(now)
	id := s.newID()
	due := now.Add(time.Duration(s.random.Float64() * float64(firstWithin)))
	s.tasks[id] = task{Task: t, state: stateWaiting, due: due, generation: s.tasks[id].generation + 1}
	s.timers.Set(int(id), due)
	return id
}

// newID returns a free id.
func (s *Scheduler) newID() TaskID {
	if n := len(s.freeIDs); n > 0 {
		id := s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		return id
	}
	s.tasks = append(s.tasks, task{})
	return TaskID(len(s.tasks) - 1)
}

// Remove removes a task. A running task is removed when its run is Done.
func (s *Scheduler) Remove(id TaskID) {
	t := &s.tasks[id]
	switch t.state {
	case stateUnused:
		return
	case stateRunning:
		t.rerun = false
		t.Interval = removedAfterRun
		return
	case stateWaiting:
		s.timers.Cancel(int(id))
	}
	s.release(id)
}

// release frees the id of a removed task.
func (s *Scheduler) release(id TaskID) {
	s.tasks[id].state = stateUnused
	s.tasks[id].generation++
	s.freeIDs = append(s.freeIDs, id)
}

// RunNow makes a waiting task due now and urgent. A running task runs again when its run is Done.
func (s *Scheduler) RunNow(now time.Time, id TaskID) {
	s.refill(now)
	switch t := &s.tasks[id]; t.state {
	case stateRunning:
		t.rerun = true
	case stateWaiting:
		s.timers.Cancel(int(id))
		t.urgent = true
		t.due = now
		s.enqueue(id)
	}
}

// Done records the end of a run and its result. hung reports that the run used up its timeout: the task's next run is
// then restricted to a part of the capacity. Done does nothing if the task is not running.
func (s *Scheduler) Done(now time.Time, id TaskID, result Result, hung bool) {
	s.refill(now)
	t := &s.tasks[id]
	if t.state != stateRunning {
		return
	}
	s.running--
	if t.lane == hungLane {
		s.runningHung--
	}
	t.lane = regularLane
	if hung {
		t.lane = hungLane
	}
	if t.Interval < 0 {
		s.release(id)
		return
	}
	s.reschedule(now, id, t.nextInterval(result))
}

// reschedule sets the due time of a task whose run has ended.
func (s *Scheduler) reschedule(now time.Time, id TaskID, interval time.Duration) {
	t := &s.tasks[id]
	// The interval counts from the start of the last run, but at least half of it must elapse after the end, so that a
	// task whose run lasts as long as its interval does not run all the time.
	due := t.started.Add(s.jitter(interval))
	if earliest := now.Add(interval / 2); due.Before(earliest) {
		due = earliest
	}
	t.urgent = t.rerun
	if t.rerun {
		t.rerun = false
		due = now
	}
	t.due = due
	t.state = stateWaiting
	s.timers.Set(int(id), due)
}

func (s *Scheduler) jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 + s.budget.Jitter*(2*s.random.Float64()-1)))
}

// refill adds the tokens for the time since the last call.
func (s *Scheduler) refill(now time.Time) {
	if elapsed := now.Sub(s.now); elapsed > 0 {
		s.tokens = min(float64(s.budget.Burst), s.tokens+s.budget.StartsPerSecond*elapsed.Seconds())
		s.now = now
	}
}

// enqueue adds a due task to its ready queue.
func (s *Scheduler) enqueue(id TaskID) {
	t := &s.tasks[id]
	t.state = stateReady
	priority := t.Priority
	if t.urgent {
		priority = Urgent
	}
	s.ready[priority][t.lane].push(readyEntry{id, t.generation})
}

// hasCapacity reports whether one more task of a lane may run. Hung tasks may occupy at most half of the concurrent
// runs, so that they do not delay the others.
func (s *Scheduler) hasCapacity(l lane) bool {
	if s.running >= s.budget.MaxRunning {
		return false
	}
	return l == regularLane || s.runningHung < s.budget.MaxRunning/2
}

// Advance returns the tasks that the owner has to start now, in order. Each counts as running until it is Done. The
// slice is valid until the next call.
func (s *Scheduler) Advance(now time.Time) []TaskID {
	s.refill(now)
	s.timers.Pop(now, func(id int) { s.enqueue(TaskID(id)) })
	s.starts = s.starts[:0]
	for s.tokens >= 1 {
		id, ok := s.popReady()
		if !ok {
			break
		}
		s.start(now, id)
	}
	if s.waitsForToken() {
		s.Stats.Delayed++
	}
	return s.starts
}

func (s *Scheduler) start(now time.Time, id TaskID) {
	t := &s.tasks[id]
	s.tokens--
	s.running++
	if t.lane == hungLane {
		s.runningHung++
	}
	t.state = stateRunning
	t.started = now
	delay := max(0, now.Sub(t.due))
	s.Stats.Starts++
	s.Stats.LastDelay = delay
	s.Stats.MaxDelay = max(s.Stats.MaxDelay, delay)
	s.starts = append(s.starts, id)
}

// popReady removes the next ready task for which there is capacity: of the highest priority that has not reached its
// maxConsecutive, or if there is none, of the highest priority.
func (s *Scheduler) popReady() (TaskID, bool) {
	for _, limitConsecutive := range []bool{true, false} {
		for priority := range priorityCount {
			if limitConsecutive && s.consecutive[priority] >= maxConsecutive[priority] {
				continue
			}
			if id, ok := s.popPriority(priority); ok {
				s.consecutive[priority]++
				return id, true
			}
		}
		clear(s.consecutive[:])
	}
	return 0, false
}

// popPriority removes the next ready task of a priority for which there is capacity.
func (s *Scheduler) popPriority(priority Priority) (TaskID, bool) {
	for l := range laneCount {
		queue := &s.ready[priority][l]
		for !queue.isEmpty() && s.hasCapacity(l) {
			entry := queue.pop()
			if t := &s.tasks[entry.id]; t.generation == entry.generation && t.state == stateReady {
				return entry.id, true
			}
		}
	}
	return 0, false
}

// waitsForToken reports whether a ready task could start if the budget of starts allowed it.
func (s *Scheduler) waitsForToken() bool {
	for priority := range priorityCount {
		for l := range laneCount {
			if !s.ready[priority][l].isEmpty() && s.hasCapacity(l) {
				return true
			}
		}
	}
	return false
}

// Next returns when Advance has to be called next if no other method is called before; ok is false if nothing is due.
func (s *Scheduler) Next() (t time.Time, ok bool) {
	t, ok = s.timers.Next()
	if !s.waitsForToken() {
		return t, ok
	}
	tokenAt := s.now.Add(time.Duration((1 - s.tokens) / s.budget.StartsPerSecond * float64(time.Second)))
	if tokenAt.Before(s.now) {
		tokenAt = s.now
	}
	if !ok || tokenAt.Before(t) {
		return tokenAt, true
	}
	return t, ok
}

// Due returns the due time of a task's next run, or of its current one.
func (s *Scheduler) Due(id TaskID) time.Time { return s.tasks[id].due }

// Running returns the number of tasks that are running.
func (s *Scheduler) Running() int { return s.running }

// Len returns the number of tasks, including running ones that are removed.
func (s *Scheduler) Len() int { return len(s.tasks) - len(s.freeIDs) }
