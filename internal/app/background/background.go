// Package background runs recurring tasks off the loop at the times that a scheduler determines. Each run has a
// goroutine of its own; the scheduler has one for all tasks.
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

const (
	timerResolution = 5 * time.Millisecond
	// maxStartDelay is the longest start delay that the histogram records, in microseconds to two significant digits.
	maxStartDelay    = time.Minute
	startDelayDigits = 2
)

// Job runs a task once. It may block, and must limit its own run time. It returns the result from which the scheduler
// derives the next interval, and whether the run timed out.
type Job func() (result scheduler.Result, timedOut bool)

// Runner runs tasks. Its methods may be called from any goroutine.
type Runner struct {
	clock      aggregator.Clock
	mu         sync.Mutex // guards schedule, jobs and startDelay
	schedule   *scheduler.Scheduler
	jobs       map[scheduler.TaskID]Job
	startDelay *hdrhistogram.Histogram // microseconds
	wake       chan struct{}           // signals that the schedule has changed
	running    sync.WaitGroup
}

// New returns a Runner without tasks. No task runs before Run is called.
func New(budget scheduler.Budget, seed uint64, clock aggregator.Clock) (*Runner, error) {
	start := clock.Now()
	schedule, err := scheduler.New(budget, seed, start, timers.NewWheel(start, timerResolution))
	if err != nil {
		return nil, err
	}
	return &Runner{
		clock:      clock,
		schedule:   schedule,
		jobs:       map[scheduler.TaskID]Job{},
		startDelay: hdrhistogram.New(1, int64(maxStartDelay/time.Microsecond), startDelayDigits),
		wake:       make(chan struct{}, 1),
	}, nil
}

// Add adds a task whose first run starts after a delay of at most first. A task has at most one run at a time.
func (r *Runner) Add(task scheduler.Task, first time.Duration, job Job) scheduler.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.schedule.Add(r.clock.Now(), task, first)
	r.jobs[id] = job
	r.wakeUp()
	return id
}

// Remove removes a task. A run that has started is not interrupted.
func (r *Runner) Remove(id scheduler.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule.Remove(id)
	delete(r.jobs, id)
}

// RunNow makes a task due at once.
func (r *Runner) RunNow(id scheduler.TaskID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule.RunNow(r.clock.Now(), id)
	r.wakeUp()
}

func (r *Runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run runs tasks until stop is closed, and then waits for the runs in progress.
func (r *Runner) Run(stop <-chan struct{}) {
	defer r.running.Wait()
	for {
		next, scheduled := r.startDue()
		var due <-chan time.Time
		cancel := func() {}
		if scheduled {
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

// startDue starts the runs that are due, and returns the time of the next one; false: none is scheduled.
func (r *Runner) startDue() (next time.Time, scheduled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, id := range r.schedule.Advance(now) {
		delay := max(0, now.Sub(r.schedule.Due(id)))
		_ = r.startDelay.RecordValue(int64(delay / time.Microsecond)) // delays over maxStartDelay are not recorded
		job := r.jobs[id]
		r.running.Add(1)
		go r.runJob(id, job)
	}
	return r.schedule.Next()
}

// runJob runs a task once. It recovers a panic of the job, and the task is scheduled again at its interval.
func (r *Runner) runJob(id scheduler.TaskID, job Job) {
	result, timedOut := scheduler.Steady, false
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "background: panic: %v\n", p)
		}
		r.mu.Lock()
		r.schedule.Done(r.clock.Now(), id, result, timedOut)
		r.wakeUp()
		r.mu.Unlock()
		r.running.Done()
	}()
	if job != nil {
		result, timedOut = job()
	}
}

// Stats are the schedule's counters, the current numbers of tasks and runs, and quantiles of the delay between a run's
// due time and its start.
type Stats struct {
	scheduler.Stats
	Tasks, Running               int
	StartDelayP50, StartDelayP99 time.Duration
}

// Stats returns the counters so far.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{
		Stats:         r.schedule.Stats,
		Tasks:         r.schedule.Len(),
		Running:       r.schedule.Running(),
		StartDelayP50: r.quantile(50),
		StartDelayP99: r.quantile(99),
	}
}

// quantile returns a percentile of the start delays. The caller holds r.mu.
func (r *Runner) quantile(percent float64) time.Duration {
	return time.Duration(r.startDelay.ValueAtQuantile(percent)) * time.Microsecond
}
