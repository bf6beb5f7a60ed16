// Package suspicion records how requests to a server, requests of one class to a server and requests over a network
// path end. From this it derives a penalty that grows with failures and decays with successes, the rate of lost
// requests, and the number of requests in flight that are presumed lost. It does no I/O and reads no clock. Time
// thresholds are in microseconds.
package suspicion

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	// MaxPenalty is the upper limit of a server's penalty; it bounds how long recovery takes. It is also the least
	// number of failures, or of stalled requests, that makes a path unusable.
	MaxPenalty = 3.0
	// LostFactor is the multiple of the overdue time after which an attempt counts as lost even if others were
	// answered since it was sent.
	LostFactor = 3.0
	// LossSmoothing is the weight of one attempt in the loss rate.
	LossSmoothing = 0.1

	penaltyDecay     = 0.6  // fraction of the penalty that remains after a success
	minPenalty       = 0.25 // lower penalties are set to 0
	maxBackoffFactor = 8    // maximum multiple of the interval to the next half-open request after failures in a row
)

// Record stores how requests to one target ended.
type Record struct {
	LastSuccess  time.Duration   // clock time; 0: none yet
	InFlight     []time.Duration // when each request in flight was sent
	Penalty      float64         // decaying number of failures; 0: trusted
	Failures     float64         // since the last success
	LossRate     float64         // moving average of the fraction of attempts without a usable answer, 0 to 1
	Unresponsive bool            // too many requests in flight are stalled
	Slow         bool            // responses arrive, but take far longer than those of other targets
	NextHalfOpen time.Duration   // clock time of the earliest next half-open request
}

// Sent adds a request sent at now to those in flight.
func (r *Record) Sent(now time.Duration) { r.InFlight = append(r.InFlight, now) }

// Ended removes the request sent at sent from those in flight.
func (r *Record) Ended(sent time.Duration) {
	if i := slices.Index(r.InFlight, sent); i >= 0 {
		r.InFlight = slices.Delete(r.InFlight, i, i+1)
	}
}

// RecordLoss updates the loss rate with one attempt that ended.
func (r *Record) RecordLoss(lost bool) {
	r.LossRate -= LossSmoothing * r.LossRate
	if lost {
		r.LossRate += LossSmoothing
	}
}

// RecordSuccess reduces the penalty after a success.
func (r *Record) RecordSuccess() {
	r.Failures = 0
	r.Penalty *= penaltyDecay
	if r.Penalty < minPenalty {
		r.Penalty = 0
	}
}

// RecordFailure counts a failure. The next half-open request may be sent after interval microseconds times the number
// of failures in a row, of which at most maxBackoffFactor count.
func (r *Record) RecordFailure(now time.Duration, interval float64) {
	r.Failures++
	r.Penalize(now, interval*min(maxBackoffFactor, r.Failures))
}

// Penalize adds one failure to the penalty and delays the next half-open request by interval microseconds.
func (r *Record) Penalize(now time.Duration, interval float64) {
	r.Penalty = min(MaxPenalty, r.Penalty+1)
	r.NextHalfOpen = now + estimate.Duration(interval)
}

// Stalled counts the requests in flight that are presumed lost: those older than overdue microseconds without
// an answer to any request since they were sent, and those older than LostFactor times overdue.
func (r *Record) Stalled(now time.Duration, overdue float64) (n int) {
	for _, sent := range r.InFlight {
		age := estimate.Microseconds(now - sent)
		if age > overdue && r.LastSuccess <= sent || age > LostFactor*overdue {
			n++
		}
	}
	return n
}

// Forget resets the penalty, the failures and the loss rate of a target that has restarted. The requests in flight and
// the last success are preserved.
func (r *Record) Forget() { r.Penalty, r.Failures, r.LossRate = 0, 0, 0 }
