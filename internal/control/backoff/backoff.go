// Package backoff decides how long one of many clients waits before it calls a shared service again: exponential
// backoff with jitter. It reads no clock and generates no random numbers.
package backoff

import "time"

// maxDoublings limits the shift of Initial, which must not overflow.
const maxDoublings = 16

// Backoff computes the waits of one client. Each is sampled uniformly between 0.5 and 1.5 times a mean, which starts at
// Initial and doubles with each failure, up to Max. Set both before use. The initial number of failures is zero.
type Backoff struct {
	Initial, Max time.Duration
	failures     int // since the last success
}

// ForFleet returns the backoff of one of so many clients that may all fail at the same time, such as when the service
// restarts: together they make about callsPerSecond calls initially, and a quarter as many after further failures. If
// there are so few clients that they make fewer calls than that, the mean wait is always minWait.
func ForFleet(clients int, minWait time.Duration, callsPerSecond float64) Backoff {
	initial := max(minWait, time.Duration(float64(clients)/callsPerSecond*float64(time.Second)))
	if initial == minWait {
		return Backoff{Initial: minWait, Max: minWait}
	}
	return Backoff{Initial: initial, Max: 4 * initial}
}

// Next returns the wait after one more failure; random is from 0 to 1.
func (b *Backoff) Next(random float64) time.Duration {
	mean := min(b.Max, b.Initial<<min(b.failures, maxDoublings))
	b.failures++
	return time.Duration((0.5 + random) * float64(mean))
}

// Reset records a call that succeeded.
func (b *Backoff) Reset() { b.failures = 0 }
