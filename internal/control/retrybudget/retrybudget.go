// Package retrybudget limits retries to a base and a ratio of the requests within a sliding window, so that retries
// cannot multiply an overload. It does no I/O and reads no clock.
package retrybudget

import (
	"time"

	"rooktrestle/internal/control/estimate"
)

// Limits state how many retries may be sent within every window.
type Limits struct {
	Window time.Duration // if it is not positive, retries are not limited
	Base   float64       // retries allowed regardless of the number of requests
	Ratio  float64       // additional retries allowed per request
}

// Budget is a sliding window of requests and retries. Make it with New; it is not safe for concurrent use.
type Budget struct {
	limits   Limits
	requests estimate.Window
	retries  estimate.Window
}

// New returns a budget with those limits, before any request.
func New(limits Limits) Budget { return Budget{limits: limits} }

// RecordRequest counts a request, which allows Limits.Ratio further retries.
func (b *Budget) RecordRequest(now time.Duration) { b.requests.Add(now, now-b.limits.Window-1) }

// RecordRetry counts a retry that was sent.
func (b *Budget) RecordRetry(now time.Duration) { b.retries.Add(now, now-b.limits.Window-1) }

// Allows reports whether one more retry may be sent at now.
func (b *Budget) Allows(now time.Duration) bool {
	if b.limits.Window <= 0 {
		return true
	}
	// Retries are counted a nanosecond longer than requests, so that the limit holds in windows closed at both ends.
	retries := b.retries.Since(now - b.limits.Window - 1)
	requests := b.requests.Since(now - b.limits.Window)
	return float64(retries+1) <= b.limits.Base+b.limits.Ratio*float64(requests)
}
