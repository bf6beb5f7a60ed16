// Package background runs recurring work off the loop as a schedule decides: each run on a goroutine of its own,
// the schedule on one.
package background

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/scheduler"
	"rooktrestle/internal/control/timers"
)

// Job is one run of a task. It blocks, and bounds its own time. It returns what the task showed, and whether the run
// took up all its time.
type Job func() (pace scheduler.Result, hung bool)

// Runner runs tasks.
type Runner struct {
	clock aggregator.Clock
	mu    sync.Mutex
	plan  *scheduler.Scheduler
	jobs  map[scheduler.TaskID]Job
	late  *hdrhistogram.Histogram // microseconds
	wake  chan struct{}
	runs  sync.WaitGroup
}

// New returns a Runner without tasks. It starts nothing before Run.
func New(b scheduler.Budget, seed uint64, clock aggregator.Clock) (*Runner, error) {
	start := clock.Now()
	plan, err := scheduler.New(b, seed, start, timers.NewWheel(start, 5*time.Millisecond))
	if err != nil {
		return nil, err
	}
	return &Runner{
		clock: clock, plan: plan, jobs: map[scheduler.TaskID]Job{}, late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2),
		wake: make(chan struct{}, 1),
	}, nil
}

// Add adds a task whose first run lies within first.
func (r *Runner) Add(t scheduler.Task, first time.Duration, job Job) scheduler.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.plan.Add(r.clock.Now(), t, first)
	r.jobs[id] = job
	r.nudge()
	return id
}

// Remove forgets a task; a run in hand ends by itself.
func (r *Runner) Remove(id scheduler.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.Remove(id)
	delete(r.jobs, id)
}

// RunNow makes a task run now.
func (r *Runner) RunNow(id scheduler.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.plan.RunNow(r.clock.Now(), id)
	r.nudge()
}

func (r *Runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run runs tasks until stop is closed, and waits for those in hand.
func (r *Runner) Run(stop <-chan struct{}) {
	defer r.runs.Wait()
	for {
		r.mu.Lock()
		now := r.clock.Now()
		for _, id := range r.plan.Advance(now) {
			r.late.RecordValue(int64(max(0, now.Sub(r.plan.Due(id))) / time.Microsecond))
			job := r.jobs[id]
			r.runs.Add(1)
			go r.one(id, job)
		}
		next, ok := r.plan.Next()
		r.mu.Unlock()
		var due <-chan time.Time
		cancel := func() {}
		if ok {
			due, cancel = r.clock.At(next)
		}
		select {
		case <-stop:
			cancel()
			return
		case <-due:
		case <-r.wake:
		}
		cancel()
	}
}

// one runs a task once. A panic stops at the run: the task goes on at its interval.
func (r *Runner) one(id scheduler.TaskID, job Job) {
	pace, hung := scheduler.Steady, false
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "background: panic: %v\n", p)
		}
		r.mu.Lock()
		r.plan.Done(r.clock.Now(), id, pace, hung)
		r.nudge()
		r.mu.Unlock()
		r.runs.Done()
	}()
	if job != nil {
		pace, hung = job()
	}
}

// Stats are the schedule's counts, and how late runs began: the median and the 99th percentile.
type Stats struct {
	scheduler.Stats
	Tasks, Running               int
	StartDelayP50, StartDelayP99 time.Duration
}

// Stats returns the counts so far.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := func(q float64) time.Duration { return time.Duration(r.late.ValueAtQuantile(q)) * time.Microsecond }
	return Stats{Stats: r.plan.Stats, Tasks: r.plan.Len(), Running: r.plan.Running(), StartDelayP50: at(50), StartDelayP99: at(99)}
}
