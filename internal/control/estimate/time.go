// Package estimate maintains running estimates of times and rates: moving averages, recent samples, quantiles and
// windows of past events. Times are in microseconds as floating-point numbers, so that averages of short times retain
// their fractions. It does no I/O and reads no clock, and none of its types is safe for concurrent use.
package estimate

import "time"

// Microseconds converts a duration to microseconds.
func Microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Duration converts microseconds to a duration.
func Duration(microseconds float64) time.Duration {
	return time.Duration(microseconds * float64(time.Microsecond))
}
