// Package suspicion keeps a record of how requests to a server, to one class of requests there or over a network path
// end, and derives from it how far it is to be trusted: a penalty that grows with failures and decays with successes,
// the share of requests lost, and how many in flight must be taken for lost. It does no I/O and reads no clock. Time
// thresholds are in microseconds.
package suspicion

import (
	"slices"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	// MaxPenalty is the most failures that count against a server; it bounds how long recovery takes.
	MaxPenalty = 3.0
	// LostFactor is how many overdue times an attempt may take, though others were answered since, until it counts
	// as lost.
	LostFactor = 3.0
	// LossSmoothing is the weight of one attempt in the share lost.
	LossSmoothing = 0.1

	penaltyDecay     = 0.6  // share of its penalty that is kept after a success
	minPenalty       = 0.25 // a penalty below it counts as none
	maxBackoffFactor = 8    // how many times longer the next half-open request waits, at most, after failures in a row
)

// Record is how requests to one target end.
type Record struct {
	LastSuccess  time.Duration   // clock time; 0: none yet
	InFlight     []time.Duration // when each request in flight was sent
	Penalty      float64         // decaying number of failures; 0: trusted
	Failures     float64         // since the last success
	LossRate     float64         // moving share of the attempts that got no usable answer, 0 to 1
	Unresponsive bool            // too many in flight are stalled
	Slow         bool            // responses are late by far, though they come
	NextHalfOpen time.Duration   // earliest next half-open request
}

// Sent adds a request sent at now to those in flight.
func (r *Record) Sent(now time.Duration) { r.InFlight = append(r.InFlight, now) }

// Ended takes the request sent at sent from those in flight.
func (r *Record) Ended(sent time.Duration) {
	if i := slices.Index(r.InFlight, sent); i >= 0 {
		r.InFlight = slices.Delete(r.InFlight, i, i+1)
	}
}

// RecordLoss takes the end of an attempt into the share lost.
func (r *Record) RecordLoss(lost bool) {
	r.LossRate -= LossSmoothing * r.LossRate
	if lost {
		r.LossRate += LossSmoothing
	}
}

// RecordSuccess takes some of the penalty away after a success.
func (r *Record) RecordSuccess() {
	r.Failures = 0
	r.Penalty *= penaltyDecay
	if r.Penalty < minPenalty {
		r.Penalty = 0
	}
}

// RecordFailure counts a failure. The next half-open request may go out after interval microseconds times the number of
// failures in a row, up to a limit.
func (r *Record) RecordFailure(now time.Duration, interval float64) {
	r.Failures++
	r.Penalize(now, interval*min(maxBackoffFactor, r.Failures))
}

// Penalize adds one failure to the penalty and puts the next half-open request off for interval microseconds.
func (r *Record) Penalize(now time.Duration, interval float64) {
	r.Penalty = min(MaxPenalty, r.Penalty+1)
	r.NextHalfOpen = now + estimate.Duration(interval)
}

// Stalled counts the requests in flight that are older than overdue microseconds and since which nothing was answered,
// or so old that they must be lost.
func (r *Record) Stalled(now time.Duration, overdue float64) (n int) {
	for _, sent := range r.InFlight {
		age := estimate.Microseconds(now - sent)
		if age > overdue && r.LastSuccess <= sent || age > LostFactor*overdue {
			n++
		}
	}
	return n
}

// Forget drops what is held against a target that began anew. Requests in flight and the last success stay.
func (r *Record) Forget() { r.Penalty, r.Failures, r.LossRate = 0, 0, 0 }
