// Package tokenbucket counts the use of agreed rates, one bucket a customer. It does no I/O and reads no clock.
package tokenbucket

import "time"

// burstSeconds is how many seconds of its rate a bucket holds.
const burstSeconds = 2

// Buckets are token buckets that are refilled together. Make them with New; they are not safe for concurrent use.
type Buckets struct {
	rates    []float64 // tokens a second
	tokens   []float64
	refilled time.Duration // clock time
}

// New returns empty buckets with the given rates in tokens a second. A rate of 0 states no limit.
func New(rates []float64) Buckets {
	return Buckets{rates: rates, tokens: make([]float64, len(rates))}
}

// Take takes one token from bucket i at now and reports whether it was there. An index out of range and a bucket
// without a limit always have one. The clock must not go back.
func (b *Buckets) Take(i int, now time.Duration) bool {
	if i >= len(b.rates) {
		return true
	}
	passed := (now - b.refilled).Seconds()
	b.refilled = now
	for j, rate := range b.rates {
		b.tokens[j] = min(burstSeconds*rate, b.tokens[j]+rate*passed)
	}
	b.tokens[i]--
	empty := b.tokens[i] < 0
	b.tokens[i] = max(0, b.tokens[i])
	return !empty || b.rates[i] <= 0
}
