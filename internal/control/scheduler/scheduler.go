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

// Pace is what a task last showed.
type Pace int

const (
	Steady  Pace = iota // as before: the usual interval
	Changed             // something changed: the fast one for a while
	Down                // still down: the slow one
)

// Task is one piece of work that recurs.
type Task struct {
	Priority Priority
	Every    time.Duration // usual interval, from one start to the next
	Fast     time.Duration // after a change; 0: Every
	Slow     time.Duration // while down; 0: Every
	FastFor  int           // runs at the fast interval after a change
}

// Budget bounds what runs.
type Budget struct {
	PerSecond float64 // starts a second, on the mean
	Burst     int     // starts at once after a lull
	AtOnce    int     // runs at once
	Jitter    float64 // share of an interval by which a start may be early or late, 0 to 0.5
}

func (b Budget) check() error {
	switch {
	case !(b.PerSecond > 0):
		return fmt.Errorf("%v starts a second: must be more than 0", b.PerSecond)
	case b.Burst < 1:
		return errors.New("a burst must be at least 1")
	case b.AtOnce < 2:
		return errors.New("at least 2 runs at once: work that hangs may take half of them")
	case !(b.Jitter >= 0 && b.Jitter <= 0.5):
		return fmt.Errorf("jitter %v: 0 to 0.5", b.Jitter)
	}
	return nil
}

// Part names a task.
type ID int

// Stats count what the schedule did.
type Stats struct {
	Starts, Held uint64        // Held: starts that had to wait for budget or room
	Late         time.Duration // of the last start
	LateMost     time.Duration
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

// Schedule holds tasks. It is owned by one goroutine.
type Schedule struct {
	budget Budget
	rng    *rand.Rand
	timers timers.Timers
	tasks  []task
	free   []ID
	queues [priorities][2]queue // of what is ready; [1]: slow ones
	taken  [priorities]int      // starts in a row
	tokens float64
	now    time.Time
	run    int // running
	hung   int // of these, slow
	starts []ID
	Stats  Stats
}

// queue is a FIFO of ids that keeps its memory.
type queue struct {
	ids  []entry
	head int
}

type entry struct {
	id  ID
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
func New(b Budget, seed uint64, start time.Time, t timers.Timers) (*Schedule, error) {
	if err := b.check(); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return &Schedule{
		budget: b, rng: rand.New(rand.NewPCG(seed, seed^0x5851f42d4c957f2d)), timers: t, tokens: float64(b.Burst), now: start,
	}, nil
}

// Add takes a task. Its first run lies anywhere within first, so that tasks added together do not run together.
func (s *Schedule) Add(now time.Time, t Task, first time.Duration) ID {
	s.advance(now)
	var id ID
	if n := len(s.free); n > 0 {
		id, s.free = s.free[n-1], s.free[:n-1]
	} else {
		id = ID(len(s.tasks))
		s.tasks = append(s.tasks, task{})
	}
	k := &s.tasks[id]
	*k = task{Task: t, state: waiting, due: now.Add(time.Duration(s.rng.Float64() * float64(first))), gen: k.gen + 1}
	s.timers.Set(int(id), k.due)
	return id
}

// Remove forgets a task. One that runs is forgotten once it is done.
func (s *Schedule) Remove(id ID) {
	k := &s.tasks[id]
	switch k.state {
	case gone:
		return
	case running:
		k.again, k.Every = false, -1 // Done lets it go
		return
	case waiting:
		s.timers.Cancel(int(id))
	}
	s.forget(id)
}

func (s *Schedule) forget(id ID) {
	s.tasks[id].state = gone
	s.tasks[id].gen++
	s.free = append(s.free, id)
}

// Hurry makes a task due now, before others of its priority if it is urgent. One that runs runs once more.
func (s *Schedule) Hurry(now time.Time, id ID) {
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
func (s *Schedule) Done(now time.Time, id ID, pace Pace, hung bool) {
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
	if k.Every < 0 {
		s.forget(id)
		return
	}
	if pace == Changed {
		k.fast = k.FastFor
	}
	every := k.Every
	switch {
	case k.fast > 0 && k.Fast > 0:
		k.fast--
		every = k.Fast
	case pace == Down && k.Slow > 0:
		every = k.Slow
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

func (s *Schedule) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + s.budget.Jitter*(2*s.rng.Float64()-1)))
}

func (s *Schedule) advance(now time.Time) {
	if d := now.Sub(s.now); d > 0 {
		s.tokens = min(float64(s.budget.Burst), s.tokens+s.budget.PerSecond*d.Seconds())
		s.now = now
	}
}

func (s *Schedule) enqueue(id ID) {
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
func (s *Schedule) room(lane int) bool {
	return s.run < s.budget.AtOnce && (lane == 0 || s.hung < s.budget.AtOnce/2)
}

// Advance returns what is to be started now, in order. The slice is good until the next call.
func (s *Schedule) Advance(now time.Time) []ID {
	s.advance(now)
	s.timers.Pop(now, func(id int) { s.enqueue(ID(id)) })
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
		s.Stats.Late, s.Stats.LateMost = late, max(s.Stats.LateMost, late)
		s.starts = append(s.starts, id)
	}
	if s.waits() {
		s.Stats.Held++
	}
	return s.starts
}

// pick takes the next ready task that has room: the highest priority, but for those whose turns are used up.
func (s *Schedule) pick() (ID, bool) {
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
func (s *Schedule) waits() bool {
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
func (s *Schedule) Next() (time.Time, bool) {
	t, ok := s.timers.Next()
	if s.waits() { // for a token
		at := s.now.Add(time.Duration((1 - s.tokens) / s.budget.PerSecond * float64(time.Second)))
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
func (s *Schedule) Due(id ID) time.Time { return s.tasks[id].due }

// Running is the number of runs in hand.
func (s *Schedule) Running() int { return s.run }

// Held is the number of tasks.
func (s *Schedule) Held() int { return len(s.tasks) - len(s.free) }
