// Package backoff decides how long one of many callers waits before it calls a shared service again. It has no
// clock and no chance of its own.
package backoff

import "time"

// Of grows the waits of one caller: each is drawn evenly between half and one and a half times a span that starts
// at First and doubles with each failure, up to Most. The zero value of the rest is a caller that has not failed.
type Of struct {
	First, Most time.Duration
	fails       int
}

// Fleet returns the back-off of one of n callers that may all fail at one moment, as when the service restarts:
// together they call about share times a second at first, and a quarter as often in the end. A few callers wait
// least each time.
func Fleet(n int, least time.Duration, share float64) Of {
	first := max(least, time.Duration(float64(n)/share*float64(time.Second)))
	if first == least {
		return Of{First: least, Most: least}
	}
	return Of{First: first, Most: 4 * first}
}

// Next is the wait after one more failure; chance is from 0 to 1.
func (b *Of) Next(chance float64) time.Duration {
	span := min(b.Most, b.First<<min(b.fails, 16))
	b.fails++
	return time.Duration((0.5 + chance) * float64(span))
}

// Reset notes a call that succeeded.
func (b *Of) Reset() { b.fails = 0 }
