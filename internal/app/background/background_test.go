package background

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rooktrestle/internal/control/scheduler"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// manualClock is a clock that stands still until a test advances it.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[chan time.Time]time.Time // when each is due
}

func newManualClock() *manualClock {
	return &manualClock{
		now:    time.Unix(1000, 0),
		timers: map[chan time.Time]time.Time{},
	}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) At(due time.Time) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := make(chan time.Time, 1)
	c.timers[timer] = due
	c.fire()
	return timer, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, timer)
	}
}

// advance moves the time and fires the timers that are due then.
func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.fire()
}

// fire fires the timers that are due. c.mu is held.
func (c *manualClock) fire() {
	for timer, due := range c.timers {
		if !due.After(c.now) {
			timer <- c.now
			delete(c.timers, timer)
		}
	}
}

const interval = time.Hour

var (
	hourly = scheduler.Task{Priority: scheduler.Normal, Interval: interval, FastInterval: interval, SlowInterval: interval}
	budget = scheduler.Budget{StartsPerSecond: 100, Burst: 10, MaxRunning: 4}
)

func newRunner(t *testing.T) (*Runner, *manualClock) {
	t.Helper()
	clock := newManualClock()
	runner, err := New(budget, 1, clock)
	if err != nil {
		t.Fatal(err)
	}
	return runner, clock
}

// startRunner runs a runner. The function that it returns stops the runner, and waits for it; so does the test's end.
func startRunner(t *testing.T, runner *Runner) (stop func()) {
	t.Helper()
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		runner.Run(stopped)
	}()
	stop = sync.OnceFunc(func() {
		close(stopped)
		<-done
	})
	t.Cleanup(stop)
	return stop
}

// countingJob returns a job that reports each run.
func countingJob() (job Job, runs chan struct{}) {
	runs = make(chan struct{}, 100)
	return func() (scheduler.Result, bool) {
		runs <- struct{}{}
		return scheduler.Steady, false
	}, runs
}

// awaitIdle waits until no run goes on: the ends of all that were seen have been recorded.
func awaitIdle(runner *Runner) {
	for runner.Stats().Running > 0 {
		runtime.Gosched()
	}
}

func TestNew_InvalidBudget(t *testing.T) {
	if _, err := New(scheduler.Budget{}, 1, newManualClock()); err == nil {
		t.Error("a budget without starts is accepted")
	}
}

// The time stands still between the advances, so that a run shows that its interval is over.
func TestRunner_RunsATaskAtItsInterval(t *testing.T) {
	runner, clock := newRunner(t)
	startRunner(t, runner)
	job, runs := countingJob()
	runner.Add(hourly, 0, job)
	for i := range 3 {
		<-runs
		awaitIdle(runner)
		if stats := runner.Stats(); stats.Starts != uint64(i+1) || stats.Tasks != 1 {
			t.Errorf("after run %d: %+v", i+1, stats)
		}
		clock.advance(interval + timerResolution)
	}
	<-runs
}

func TestRunner_RunNow_DoesNotWaitForTheInterval(t *testing.T) {
	runner, _ := newRunner(t)
	startRunner(t, runner)
	job, runs := countingJob()
	id := runner.Add(hourly, 0, job)
	<-runs
	awaitIdle(runner)
	runner.RunNow(id)
	<-runs
}

func TestRunner_Remove_TaskRunsNoMore(t *testing.T) {
	runner, clock := newRunner(t)
	stop := startRunner(t, runner)
	removed, removedRuns := countingJob()
	id := runner.Add(hourly, 0, removed)
	<-removedRuns
	awaitIdle(runner)
	runner.Remove(id)
	other, otherRuns := countingJob()
	runner.Add(hourly, 0, other)
	<-otherRuns
	clock.advance(2 * interval)
	<-otherRuns // the removed task would have been due before
	stop()
	if len(removedRuns) > 0 {
		t.Error("a removed task has run")
	}
	if tasks := runner.Stats().Tasks; tasks != 1 {
		t.Errorf("%d tasks, want 1", tasks)
	}
}

// A task that is due again while it runs is not started a second time.
func TestRunner_OneRunAtATime(t *testing.T) {
	runner, clock := newRunner(t)
	stop := startRunner(t, runner)
	began := make(chan struct{}, 10)
	release := make(chan struct{})
	id := runner.Add(hourly, 0, func() (scheduler.Result, bool) {
		began <- struct{}{}
		<-release
		return scheduler.Steady, false
	})
	<-began
	runner.RunNow(id)
	clock.advance(2 * interval)
	other, otherRuns := countingJob()
	runner.Add(hourly, 0, other)
	<-otherRuns // the runner has looked at all tasks since
	if starts := runner.Stats().Starts; starts != 2 || len(began) > 0 {
		t.Errorf("%d runs have started, want one of each task", starts)
	}
	close(release)
	stop()
}

// A job that panics ends its own run only: the task runs again, and so do others.
func TestRunner_PanicInAJob(t *testing.T) {
	runner, clock := newRunner(t)
	startRunner(t, runner)
	runs := make(chan struct{}, 10)
	runner.Add(hourly, 0, func() (scheduler.Result, bool) {
		runs <- struct{}{}
		panic("of the test")
	})
	<-runs
	awaitIdle(runner)
	clock.advance(interval + timerResolution)
	<-runs
	other, otherRuns := countingJob()
	runner.Add(hourly, 0, other)
	<-otherRuns
}

// Run returns only after the runs that have started.
func TestRunner_Stop_WaitsForRuns(t *testing.T) {
	runner, _ := newRunner(t)
	began := make(chan struct{})
	release := make(chan struct{})
	ended := false // written by the run, read after Run has returned: the race detector checks the order
	runner.Add(hourly, 0, func() (scheduler.Result, bool) {
		close(began)
		<-release
		ended = true
		return scheduler.Steady, false
	})
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		runner.Run(stopped)
	}()
	<-began
	close(stopped)
	select {
	case <-done:
		t.Error("Run has returned while a job runs")
	default:
	}
	close(release)
	<-done
	if !ended {
		t.Error("Run has returned before the job")
	}
}
