// Package retrydetect distinguishes a client's first attempt of a query from its retries, even if clients do not mark
// these. It does no I/O and reads no clock.
package retrydetect

import "time"

// maxVotes limits the lead of one remaining time over others, in queries; it bounds how long it takes to learn a
// change.
const maxVotes = 20

// Detector learns the remaining time to the deadline that first attempts of one class of queries have, by a majority
// vote. All first attempts of a class have the same remaining time. Retries have what remains of the query's deadline,
// which varies and may even be longer than that. So the most frequent remaining time is that of first attempts. The
// zero value has learned nothing; it is not safe for concurrent use.
type Detector struct {
	remaining time.Duration // of first attempts
	votes     int           // lead of remaining over other values
}

// Attempt describes an attempt of a query.
type Attempt struct {
	RemainingTime time.Duration // remaining time until the client abandons the attempt
	Tolerance     time.Duration // maximum difference of remaining times that count as equal
	ClientsMark   bool          // clients mark their retries
	MarkedAsRetry bool          // the client marked this attempt as a retry; only if ClientsMark is set
}

// IsFirstAttempt reports whether an attempt is the first of its query, and learns from it.
func (d *Detector) IsFirstAttempt(attempt Attempt) bool {
	remaining := attempt.RemainingTime
	switch {
	case attempt.ClientsMark && !attempt.MarkedAsRetry:
		d.remaining = remaining
		return true
	case (remaining - d.remaining).Abs() <= attempt.Tolerance:
		d.votes = min(d.votes+1, maxVotes)
		return true
	case !attempt.ClientsMark:
		d.votes--
		if d.votes < 0 {
			d.remaining = remaining
			d.votes = 0
			return true
		}
	}
	return false
}
