// Package tokenbucket limits rates with token buckets, one per tenant. It does no I/O and reads no clock.
package tokenbucket

import "time"

// burstSeconds is the capacity of a bucket, in seconds of its rate.
const burstSeconds = 2

// Buckets are token buckets that are refilled together. Make them with New; they are not safe for concurrent use.
type Buckets struct {
	rates    []float64 // tokens per second
	tokens   []float64
	refilled time.Duration // clock time of the last refill
}

// New returns empty buckets with the given rates in tokens per second. A rate of 0 stands for no limit.
func New(rates []float64) Buckets {
	return Buckets{rates: rates, tokens: make([]float64, len(rates))}
}

// Take removes one token from bucket i at now and reports whether there was one. It always returns true for an index
// beyond the last bucket and for a bucket without a limit. now must not be before that of the previous call.
func (b *Buckets) Take(i int, now time.Duration) bool {
	if i >= len(b.rates) {
		return true
	}
	elapsed := (now - b.refilled).Seconds()
	b.refilled = now
	for j, rate := range b.rates {
		b.tokens[j] = min(burstSeconds*rate, b.tokens[j]+rate*elapsed)
	}
	b.tokens[i]--
	empty := b.tokens[i] < 0
	b.tokens[i] = max(0, b.tokens[i])
	return !empty || b.rates[i] <= 0
}
