package aggregator

import "time"

// serverStart is a server's start as the list states it, by the wall clock, and as the balancer knows it.
type serverStart struct {
	listed time.Time
	clock  time.Duration
}

const (
	// minWallStep is the least difference between the progress of the two clocks that counts as a step of the wall clock.
	minWallStep = 500 * time.Millisecond
	// stepMemory is for how long after a step the list may bring starts that were stated before it, and for how long such a
	// start may matter.
	stepMemory = time.Minute
)

// wallClock follows the machine's wall clock, which all machines share and which may be set at any time, beside the time that
// passes. Only servers' starts are stated by it.
type wallClock struct {
	offset    time.Duration // of the wall clock from the time that has passed, since the core's epoch
	step      time.Duration // by how much it was last set
	steppedAt time.Duration // when, by the balancer's clock
}

// observe compares the two clocks. passed is the time since epoch as the balancer's clock has it.
func (w *wallClock) observe(passed time.Duration, now, epoch time.Time) {
	offset := now.Round(0).Sub(epoch.Round(0)) - passed
	if step := offset - w.offset; step.Abs() >= minWallStep {
		w.step = step
		w.steppedAt = passed
	}
	w.offset = offset
}

// spanClock converts a time that was stated by the wall clock to the balancer's clock, where clock and now are the present
// time on either; 0: long ago. It goes by the time's age, so that steps before it was stated do not matter. One that lies in
// the future was stated before the clock was set back, and counts as now.
func (w *wallClock) spanClock(clock time.Duration, now, stated time.Time) time.Duration {
	if stated.IsZero() {
		return 0
	}
	age := now.Round(0).Sub(stated)
	// Stated before the clock was set forward: a part of its age has not passed. Guards against a server that has just
	// started counting as warm.
	sinceStep := clock - w.steppedAt
	before := age > sinceStep && age >= w.step && age-w.step <= stepMemory
	if w.step > 0 && sinceStep <= stepMemory && before {
		age -= w.step
	}
	return max(0, clock-max(0, age))
}
