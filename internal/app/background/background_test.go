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

// manualClock is a clock that advances only by calls of advance.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[chan time.Time]time.Time // due time of each timer
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

// fire fires the timers that are due. The caller holds c.mu.
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

// startRunner runs a runner. The returned function stops the runner and waits for it; the test's cleanup calls it, too.
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

// countingJob returns a job that sends to runs each time it runs.
func countingJob() (job Job, runs chan struct{}) {
	runs = make(chan struct{}, 100)
	return func() (scheduler.Result, bool) {
		runs <- struct{}{}
		return scheduler.Steady, false
	}, runs
}

// awaitIdle waits until the runner has recorded the end of every started run.
func awaitIdle(runner *Runner) {
	for runner.Stats().Running > 0 {
		runtime.Gosched()
	}
}

func TestNew_InvalidBudget(t *testing.T) {
	if _, err := New(scheduler.Budget{}, 1, newManualClock()); err == nil {
		t.Error("a budget of 0 starts per second was accepted")
	}
}

// The clock advances only by the interval, so that each further run shows that the interval has elapsed.
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
	awaitIdle(runner) // the next run is due one interval after the end of this one is recorded
	clock.advance(2 * interval)
	<-otherRuns // the removed task would have run before this one
	stop()
	if len(removedRuns) > 0 {
		t.Error("a removed task has run")
	}
	if tasks := runner.Stats().Tasks; tasks != 1 {
		t.Errorf("%d tasks, want 1", tasks)
	}
}

// A task that becomes due while it runs is not started a second time.
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
	<-otherRuns // by now the runner has evaluated all tasks
	if starts := runner.Stats().Starts; starts != 2 || len(began) > 0 {
		t.Errorf("%d runs have started, want one of each task", starts)
	}
	close(release)
	stop()
}

// After a job has panicked, its task runs again at its interval, and other tasks still run.
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

// Run returns only after all started runs have ended.
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
		t.Error("Run returned while a job was running")
	default:
	}
	close(release)
	<-done
	if !ended {
		t.Error("Run returned before the job ended")
	}
}
