package shardmapsource

import (
	"testing"
	"time"

	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// testTimeout is how long a test waits for a report or a connection before it fails. It is no bound on the code under
// test.
const testTimeout = 30 * time.Second

// next returns the next report.
func next(t *testing.T, updates <-chan Update) Update {
	t.Helper()
	select {
	case update := <-updates:
		return update
	case <-time.After(testTimeout):
		t.Fatalf("nothing is reported within %v", testTimeout)
		return Update{}
	}
}

// start runs a source and returns a function that stops it and waits for its end. It is also stopped at the test's end.
func start(t *testing.T, run func(stop <-chan struct{})) (stopAndWait func()) {
	t.Helper()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		run(stop)
		close(done)
	}()
	stopped := false
	stopAndWait = func() {
		if !stopped {
			stopped = true
			close(stop)
			<-done
		}
	}
	t.Cleanup(stopAndWait)
	return stopAndWait
}
