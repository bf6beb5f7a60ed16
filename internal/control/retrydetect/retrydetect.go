// Package retrydetect tells a client's first attempt of a query from its retries, also where clients do not mark them.
// It does no I/O and reads no clock.
package retrydetect

import "time"

// maxVotes is by how many queries one time left may lead over others; it bounds how long a change takes to be learned.
const maxVotes = 20

// Detector learns the time left that first attempts of one class of queries have, by a majority vote. First attempts
// of a class all have the same time left and retries what remains of the deadline, which may be more; so the time left
// that most queries have is that of first attempts. The zero value has learned nothing; it is not safe for concurrent
// use.
type Detector struct {
	timeLeft time.Duration
	votes    int
}

// Attempt is what is known of an attempt of a query.
type Attempt struct {
	TimeLeft     time.Duration // until the client gives it up
	Tolerance    time.Duration // times that differ by no more count as equal
	ClientsMark  bool          // clients mark their retries
	MarkedARetry bool          // the client marked this one; only where ClientsMark is set
}

// IsFirstAttempt reports whether an attempt is the first of its query, and learns from it.
func (d *Detector) IsFirstAttempt(attempt Attempt) bool {
	timeLeft := attempt.TimeLeft
	switch {
	case attempt.ClientsMark && !attempt.MarkedARetry:
		d.timeLeft = timeLeft
		return true
	case (timeLeft - d.timeLeft).Abs() <= attempt.Tolerance:
		d.votes = min(d.votes+1, maxVotes)
		return true
	case !attempt.ClientsMark:
		d.votes--
		if d.votes < 0 {
			d.timeLeft = timeLeft
			d.votes = 0
			return true
		}
	}
	return false
}
