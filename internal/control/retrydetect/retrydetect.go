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

// IsFirstAttempt reports whether a query with so much time left is a first attempt. If clientsMark is set, clients flag
// their retries, and isRetry is the flag. Times that differ by no more than tolerance count as equal.
func (d *Detector) IsFirstAttempt(timeLeft time.Duration, clientsMark, isRetry bool, tolerance time.Duration) bool {
	switch {
	case clientsMark && !isRetry:
		d.timeLeft = timeLeft
		return true
	case max(timeLeft-d.timeLeft, d.timeLeft-timeLeft) <= tolerance:
		d.votes = min(d.votes+1, maxVotes)
		return true
	case !clientsMark:
		if d.votes--; d.votes < 0 {
			d.timeLeft, d.votes = timeLeft, 0
			return true
		}
	}
	return false
}
