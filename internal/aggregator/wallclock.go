package aggregator

import "time"

// serverStart is when a server started: on the wall clock, as the endpoint list states it, and on the balancer's clock.
type serverStart struct {
	listed time.Time
	clock  time.Duration
}

const (
	// minWallStep is the smallest difference between the progress of the two clocks that counts as a step of the wall
	// clock.
	minWallStep = 500 * time.Millisecond
	// stepRetention is how long after a step the list may still contain start times that were stated before it, and the
	// greatest age of a start time for which the step is considered.
	stepRetention = time.Minute
)

// wallClock detects steps of the machine's wall clock by comparing it with the elapsed time. Only the start times of
// servers are stated on the wall clock: it is the only clock that all machines share, but it may be set at any time.
type wallClock struct {
	offset    time.Duration // of the wall clock from the balancer's clock, counted from the same zero
	step      time.Duration // by how much it was last set
	steppedAt time.Duration // when, on the balancer's clock
}

// observe compares the two clocks. elapsed is the current time on the balancer's clock, and clockZero that clock's
// zero.
func (w *wallClock) observe(elapsed time.Duration, now, clockZero time.Time) {
	offset := now.Round(0).Sub(clockZero.Round(0)) - elapsed
	if step := offset - w.offset; step.Abs() >= minWallStep {
		w.step = step
		w.steppedAt = elapsed
	}
	w.offset = offset
}

// toBalancerClock converts a time that was stated on the wall clock to the balancer's clock; 0: long ago. clock and now
// are the current time on the balancer's clock and on the wall clock. The conversion uses the age of the time, so that
// steps before it was stated have no effect. A time in the future was stated before the clock was set back, and counts
// as now.
func (w *wallClock) toBalancerClock(clock time.Duration, now, stated time.Time) time.Duration {
	if stated.IsZero() {
		return 0
	}
	age := now.Round(0).Sub(stated)
	// If the time was stated before the clock was set forward, its age contains the step. Subtracting the step prevents
	// a server that has just started from counting as warm.
	sinceStep := clock - w.steppedAt
	statedBeforeStep := age > sinceStep && age >= w.step && age-w.step <= stepRetention
	if w.step > 0 && sinceStep <= stepRetention && statedBeforeStep {
		age -= w.step
	}
	return max(0, clock-max(0, age))
}
