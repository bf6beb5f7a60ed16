// Package backoff decides how long one of many clients waits before it calls a shared service again: exponential
// backoff with jitter. It reads no clock and draws no random numbers of its own.
package backoff

import "time"

// maxDoublings bounds the shift of Initial, which must not overflow.
const maxDoublings = 16

// Backoff grows the waits of one client: each is sampled evenly between half and one and a half times a span that
// starts at Initial and doubles with each failure, up to Max. Both are set before use; a client starts with no
// failures.
type Backoff struct {
	Initial, Max time.Duration
	failures     int // since the last success
}

// ForFleet returns the backoff of one of so many clients that may all fail at one moment, as when the service
// restarts: together they make about callsPerSecond calls at first, and a quarter as many in the end. A few
// clients, which could not make that many calls, wait minWait each time.
func ForFleet(clients int, minWait time.Duration, callsPerSecond float64) Backoff {
	initial := max(minWait, time.Duration(float64(clients)/callsPerSecond*float64(time.Second)))
	if initial == minWait {
		return Backoff{Initial: minWait, Max: minWait}
	}
	return Backoff{Initial: initial, Max: 4 * initial}
}

// Next returns the wait after one more failure; random is from 0 to 1.
func (b *Backoff) Next(random float64) time.Duration {
	span := min(b.Max, b.Initial<<min(b.failures, maxDoublings))
	b.failures++
	return time.Duration((0.5 + random) * float64(span))
}

// Reset notes a call that succeeded.
func (b *Backoff) Reset() { b.failures = 0 }
