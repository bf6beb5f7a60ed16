package readiness

import "time"

// dampedState follows an observed state with a delay, so that it does not flap.
type dampedState struct {
	current State
	reason  string    // of current
	pending State     // last observed state
	since   time.Time // when pending was first observed, if it differs from current
	started bool      // there was an observation; the first is adopted at once
}

// update handles an observation and updates current and reason.
func (d *dampedState) update(now time.Time, observed State, reason string, config Config) {
	if !d.started {
		d.started = true
		d.current = observed
		d.reason = reason
	}
	if observed == d.current {
		d.pending = observed
		d.reason = reason
		return
	}
	if observed != d.pending {
		d.pending = observed
		d.since = now
	}
	delay := config.RecoverDelay
	if observed > d.current {
		delay = config.DegradeDelay
	}
	if now.Sub(d.since) >= delay {
		d.current = observed
		d.reason = reason
	}
}
