// Package backoff decides how long one of many callers waits before it calls a shared service again. It has no
// clock and no chance of its own.
package backoff

import "time"

// Backoff grows the waits of one caller: each is drawn evenly between half and one and a half times a span that starts
// at First and doubles with each failure, up to Most. The zero value of the rest is a caller that has not failed.
type Backoff struct {
	Initial, Max time.Duration
	fails        int
}

// ForFleet returns the back-off of one of n callers that may all fail at one moment, as when the service restarts:
// together they call about share times a second at first, and a quarter as often in the end. A few callers wait
// least each time.
func ForFleet(n int, least time.Duration, share float64) Backoff {
	first := max(least, time.Duration(float64(n)/share*float64(time.Second)))
	if first == least {
		return Backoff{Initial: least, Max: least}
	}
	return Backoff{Initial: first, Max: 4 * first}
}

// Next is the wait after one more failure; chance is from 0 to 1.
func (b *Backoff) Next(chance float64) time.Duration {
	span := min(b.Max, b.Initial<<min(b.fails, 16))
	b.fails++
	return time.Duration((0.5 + chance) * float64(span))
}

// Reset notes a call that succeeded.
func (b *Backoff) Reset() { b.fails = 0 }
