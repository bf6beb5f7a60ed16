// Package schedule decides when background work runs: which task next, within a budget of starts a second and at
// once, by priority, and at a pace that follows what the task last showed. It does no I/O, reads no clock and
// starts nothing: it is told the time and what has ended, and says what to start.
package scheduler

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"rooktrestle/internal/control/timers"
)

// Priority of a task. Lower comes first; none starves.
type Priority int

const (
	Urgent Priority = iota // whose answer somebody waits for
	Normal                 // health checks
	Idle                   // whatever has time
	priorities
)

// turns is how many starts in a row a priority may take while a lower one waits. Guards the lower ones against
// starving, however long the higher have work.
var turns = [priorities]int{8, 4, 1}

// Result is what a task last showed.
type Result int

const (
	Steady  Result = iota // as before: the usual interval
	Changed               // something changed: the fast one for a while
	Down                  // still down: the slow one
)

// Task is one piece of work that recurs.
type Task struct {
	Priority     Priority
	Interval     time.Duration // usual interval, from one start to the next
	FastInterval time.Duration // after a change; 0: Every
	SlowInterval time.Duration // while down; 0: Every
	FastRuns     int           // runs at the fast interval after a change
}

// Budget bounds what runs.
type Budget struct {
	StartsPerSecond float64 // starts a second, on the mean
	Burst           int     // starts at once after a lull
	MaxRunning      int     // runs at once
	Jitter          float64 // share of an interval by which a start may be early or late, 0 to 0.5
}

func (b Budget) check() error {
	switch {
	case !(b.StartsPerSecond > 0):
		return fmt.Errorf("%v starts a second: must be more than 0", b.StartsPerSecond)
	case b.Burst < 1:
		return errors.New("a burst must be at least 1")
	case b.MaxRunning < 2:
		return errors.New("at least 2 runs at once: work that hangs may take half of them")
	case !(b.Jitter >= 0 && b.Jitter <= 0.5):
		return fmt.Errorf("jitter %v: 0 to 0.5", b.Jitter)
	}
	return nil
}

// Part names a task.
type TaskID int

// Stats count what the schedule did.
type Stats struct {
	Starts, Delayed uint64        // Held: starts that had to wait for budget or room
	LastDelay       time.Duration // of the last start
	MaxDelay        time.Duration
}

type state int8

const (
	gone state = iota
	waiting
	ready
	running
)

type task struct {
	Task
	state  state
	slow   bool // its last run hung or failed: it may only take a share of the room
	due    time.Time
	begun  time.Time
	fast   int // runs left at the fast interval
	urgent bool
	again  bool // asked for while running
	gen    uint32
}

// Scheduler holds tasks. It is owned by one goroutine.
type Scheduler struct {
	budget Budget
	rng    *rand.Rand
	timers timers.Timers
	tasks  []task
	free   []TaskID
	queues [priorities][2]queue // of what is ready; [1]: slow ones
	taken  [priorities]int      // starts in a row
	tokens float64
	now    time.Time
	run    int // running
	hung   int // of these, slow
	starts []TaskID
	Stats  Stats
}

// queue is a FIFO of ids that keeps its memory.
type queue struct {
	ids  []entry
	head int
}

type entry struct {
	id  TaskID
	gen uint32
}

func (q *queue) push(e entry) { q.ids = append(q.ids, e) }
func (q *queue) empty() bool  { return q.head == len(q.ids) }
func (q *queue) pop() entry {
	e := q.ids[q.head]
	if q.head++; q.head == len(q.ids) {
		q.ids, q.head = q.ids[:0], 0
	} else if q.head > 1024 && q.head > len(q.ids)/2 {
		q.ids, q.head = append(q.ids[:0], q.ids[q.head:]...), 0
	}
	return e
}

// New returns an empty schedule. Its chance comes from seed alone. t must be empty.
func New(b Budget, seed uint64, start time.Time, t timers.Timers) (*Scheduler, error) {
	if err := b.check(); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return &Scheduler{
		budget: b, rng: rand.New(rand.NewPCG(seed, seed^0x5851f42d4c957f2d)), timers: t, tokens: float64(b.Burst), now: start,
	}, nil
}

// Add takes a task. Its first run lies anywhere within first, so that tasks added together do not run together.
func (s *Scheduler) Add(now time.Time, t Task, first time.Duration) TaskID {
	s.advance(now)
	var id TaskID
	if n := len(s.free); n > 0 {
		id, s.free = s.free[n-1], s.free[:n-1]
	} else {
		id = TaskID(len(s.tasks))
		s.tasks = append(s.tasks, task{})
	}
	k := &s.tasks[id]
	*k = task{Task: t, state: waiting, due: now.Add(time.Duration(s.rng.Float64() * float64(first))), gen: k.gen + 1}
	s.timers.Set(int(id), k.due)
	return id
}

// Remove forgets a task. One that runs is forgotten once it is done.
func (s *Scheduler) Remove(id TaskID) {
	k := &s.tasks[id]
	switch k.state {
	case gone:
		return
	case running:
		k.again, k.Interval = false, -1 // Done lets it go
		return
	case waiting:
		s.timers.Cancel(int(id))
	}
	s.forget(id)
}

func (s *Scheduler) forget(id TaskID) {
	s.tasks[id].state = gone
	s.tasks[id].gen++
	s.free = append(s.free, id)
}

// RunNow makes a task due now, before others of its priority if it is urgent. One that runs runs once more.
func (s *Scheduler) RunNow(now time.Time, id TaskID) {
	s.advance(now)
	switch k := &s.tasks[id]; k.state {
	case running:
		k.again = true
	case waiting:
		s.timers.Cancel(int(id))
		k.urgent, k.due = true, now
		s.enqueue(id)
	}
}

// Done says that a run has ended, and what the task showed. hung: it took up its whole time, so that the next run
// of it may only take a share of the room.
func (s *Scheduler) Done(now time.Time, id TaskID, pace Result, hung bool) {
	s.advance(now)
	k := &s.tasks[id]
	if k.state != running {
		return
	}
	s.run--
	if k.slow {
		s.hung--
	}
	k.slow = hung
	if k.Interval < 0 {
		s.forget(id)
		return
	}
	if pace == Changed {
		k.fast = k.FastRuns
	}
	every := k.Interval
	switch {
	case k.fast > 0 && k.FastInterval > 0:
		k.fast--
		every = k.FastInterval
	case pace == Down && k.SlowInterval > 0:
		every = k.SlowInterval
	}
	// From the start of this run, but never less than half an interval from its end. Guards against work that
	// takes as long as its interval and would run all the time.
	next := k.begun.Add(s.spread(every))
	if rest := now.Add(every / 2); next.Before(rest) {
		next = rest
	}
	k.urgent = false
	if k.again {
		k.again, k.urgent, next = false, true, now
	}
	k.due, k.state = next, waiting
	s.timers.Set(int(id), next)
}

func (s *Scheduler) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.budget.Jitter*(2*s.rng.Float64()-1)))
}

func (s *Scheduler) advance(now time.Time) {
	if d := now.Sub(s.now); d > 0 {
		s.tokens = min(float64(s.budget.Burst), s.tokens+s.budget.StartsPerSecond*d.Seconds())
		s.now = now
	}
}

func (s *Scheduler) enqueue(id TaskID) {
	k := &s.tasks[id]
	k.state = ready
	p, lane := k.Priority, 0
	if k.urgent {
		p = Urgent
	}
	if k.slow {
		lane = 1
	}
	s.queues[p][lane].push(entry{id, k.gen})
}

// room says whether a lane may start one more. Guards sound targets against those that hang: these may take half
// of the room at most.
func (s *Scheduler) room(lane int) bool {
	return s.run < s.budget.MaxRunning && (lane == 0 || s.hung < s.budget.MaxRunning/2)
}

// Advance returns what is to be started now, in order. The slice is good until the next call.
func (s *Scheduler) Advance(now time.Time) []TaskID {
	s.advance(now)
	s.timers.Pop(now, func(id int) { s.enqueue(TaskID(id)) })
	s.starts = s.starts[:0]
	for s.tokens >= 1 {
		id, ok := s.pick()
		if !ok {
			break
		}
		k := &s.tasks[id]
		s.tokens--
		s.run++
		if k.slow {
			s.hung++
		}
		k.state, k.begun = running, now
		late := max(0, now.Sub(k.due))
		s.Stats.Starts++
		s.Stats.LastDelay, s.Stats.MaxDelay = late, max(s.Stats.MaxDelay, late)
		s.starts = append(s.starts, id)
	}
	if s.waits() {
		s.Stats.Delayed++
	}
	return s.starts
}

// pick takes the next ready task that has room: the highest priority, but for those whose turns are used up.
func (s *Scheduler) pick() (TaskID, bool) {
	for pass := range 2 {
		for p := range priorities {
			if pass == 0 && s.taken[p] >= turns[p] {
				continue
			}
			for lane := range 2 {
				q := &s.queues[p][lane]
				for !q.empty() && s.room(lane) {
					e := q.pop()
					if k := &s.tasks[e.id]; k.gen != e.gen || k.state != ready {
						continue
					}
					s.taken[p]++
					return e.id, true
				}
			}
		}
		clear(s.taken[:])
	}
	return 0, false
}

// waits says whether something ready could start but for tokens.
func (s *Scheduler) waits() bool {
	for p := range priorities {
		for lane := range 2 {
			if !s.queues[p][lane].empty() && s.room(lane) {
				return true
			}
		}
	}
	return false
}

// Next is when Advance should be called next if nothing else happens; ok is false if nothing is to come.
func (s *Scheduler) Next() (time.Time, bool) {
	t, ok := s.timers.Next()
	if s.waits() { // for a token
		at := s.now.Add(time.Duration((1 - s.tokens) / s.budget.StartsPerSecond * float64(time.Second)))
		if at.Before(s.now) {
			at = s.now
		}
		if !ok || at.Before(t) {
			return at, true
		}
	}
	return t, ok
}

// Due is when a task was due to run last, or is due next.
func (s *Scheduler) Due(id TaskID) time.Time { return s.tasks[id].due }

// Running is the number of runs in hand.
func (s *Scheduler) Running() int { return s.run }

// Len is the number of tasks.
func (s *Scheduler) Len() int { return len(s.tasks) - len(s.free) }
