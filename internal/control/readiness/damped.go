package readiness

import "time"

// dampedState is a state that follows the observed one with a delay, so that it does not flap.
type dampedState struct {
	current State
	reason  string    // of current
	pending State     // observed last
	since   time.Time // when pending was observed first, if it differs from current
	started bool      // an observation has been made; the first is taken over at once
}

// update takes what is observed at a moment and sets current and reason.
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
