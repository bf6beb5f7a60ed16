// Package tries tells a client's first try of a query from its later ones, where clients do not say which it is. It
// does no I/O and reads no clock.
package retrydetect

import "time"

// maxVotes is by how many queries one length of first tries may lead over others: bounds unlearning.
const maxVotes = 20

// Detector is the time left that first tries of a class have, with its lead over other lengths. First tries of a class
// all have the same time left, later ones what remains of the deadline, which may be more; so what most queries have
// is that of first tries.
type Detector struct {
	timeLeft time.Duration
	votes    int
}

// IsFirstAttempt says whether a query with so much time left is a first try. marked: clients flag their repeats, and retry is
// the flag. Times that differ by no more than same count as equal.
func (u *Detector) IsFirstAttempt(left time.Duration, marked, retry bool, same time.Duration) bool {
	switch {
	case marked && !retry:
		u.timeLeft = left
		return true
	case max(left-u.timeLeft, u.timeLeft-left) <= same:
		u.votes = min(u.votes+1, maxVotes)
		return true
	case !marked:
		if u.votes--; u.votes < 0 {
			u.timeLeft, u.votes = left, 0
			return true
		}
	}
	return false
}
