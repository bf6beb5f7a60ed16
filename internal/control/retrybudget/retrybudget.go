// Package retrybudget limits retries to a base and a ratio of the requests within a sliding window, so that retries
// cannot multiply an overload. It does no I/O and reads no clock.
package retrybudget

import (
	"time"

	"rooktrestle/internal/control/estimate"
)

// Budget is a sliding window of requests and retries. Make it with New; it is not safe for concurrent use.
type Budget struct {
	window   time.Duration
	base     float64
	ratio    float64
	requests estimate.Window
	retries  estimate.Window
}

// New returns a budget that allows base retries and ratio more for each request, within every window. A window that is
// not positive allows all.
func New(window time.Duration, base, ratio float64) Budget {
	return Budget{window: window, base: base, ratio: ratio}
}

// RecordRequest counts a request that earns retries.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.Add(now, now-b.window-1) }

// RecordRetry counts a retry that was sent.
func (b *Budget) RecordRetry(now time.Duration) { b.retries.Add(now, now-b.window-1) }

// Allows reports whether one more retry may be sent at now.
func (b *Budget) Allows(now time.Duration) bool {
	if b.window <= 0 {
		return true
	}
	// Retries are counted a nanosecond longer than requests, so that the limit holds in windows closed at both ends.
	retries, requests := b.retries.Since(now-b.window-1), b.requests.Since(now-b.window)
	return float64(retries+1) <= b.base+b.ratio*float64(requests)
}
