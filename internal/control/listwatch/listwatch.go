// Package listwatch decides when an aggregator calls service discovery for the endpoint list: when a watch that
// sends nothing counts as broken, and how long to wait before the next call. It does no I/O, reads no clock and
// draws no random numbers of its own.
package listwatch

import (
	"time"

	"rooktrestle/internal/control/backoff"
)

// Config holds the timing of an aggregator's calls. The platform's protocol states that a live watch sends
// something every 2 s, that the changes a client misses through a silent watch count as delivered 6 s after it
// fell silent, and that changes known to an agent on the aggregator's own machine count as delivered at once.
type Config struct {
	Clients           int           // aggregators that call the same discovery; less than two: an agent of its own
	RetryInterval     time.Duration // between the starts of two calls to an agent; minimum wait after a failed one
	CallsPerSecond    float64       // of all clients together, where all of them call at once
	MinIdleTimeout    time.Duration // shortest silence after which a watch is broken; it is sampled between this
	MaxIdleTimeout    time.Duration // and the longest, so that clients do not all call again at one moment
	FirstEventTimeout time.Duration // an agent answers at once: a call without an event for that long is broken
}

// PlatformConfig returns the timing that the platform's protocol needs for a discovery that so many clients share.
func PlatformConfig(clients int) Config {
	return Config{
		Clients:           clients,
		RetryInterval:     200 * time.Millisecond,
		CallsPerSecond:    40,
		MinIdleTimeout:    3 * time.Second,
		MaxIdleTimeout:    4500 * time.Millisecond,
		FirstEventTimeout: time.Second,
	}
}

// hasOwnAgent reports whether discovery is an agent that no other client calls.
func (c Config) hasOwnAgent() bool { return c.Clients <= 1 }

// Reconnector times the calls of one client, which makes one call at a time: Opened, any number of Received and
// Succeeded, then Ended, or Opened again once IdleDeadline has passed. It belongs to that client and is not safe
// for concurrent use. Times must not go back; random numbers are from 0 to 1.
type Reconnector struct {
	config       Config
	backoff      backoff.Backoff
	opened       time.Time     // start of the present call
	lastReceived time.Time     // last event of the present call, or its start
	hasReceived  bool          // an event of the present call
	maxSilence   time.Duration // of the present call, after which it is broken
}

// New returns the Reconnector of a client that has made no call.
func New(config Config) *Reconnector {
	return &Reconnector{
		config:  config,
		backoff: backoff.ForFleet(config.Clients, config.RetryInterval, config.CallsPerSecond),
	}
}

// Opened notes that a call starts. random decides how long a silence it is allowed.
func (r *Reconnector) Opened(now time.Time, random float64) {
	r.opened = now
	r.lastReceived = now
	r.hasReceived = false
	span := r.config.MaxIdleTimeout - r.config.MinIdleTimeout
	r.maxSilence = r.config.MinIdleTimeout + time.Duration(random*float64(span))
}

// Received notes that an event came, whatever it is.
func (r *Reconnector) Received(now time.Time) { r.lastReceived, r.hasReceived = now, true }

// IdleDeadline returns when the watch counts as broken if nothing is received until then. It is to be opened again at
// once, without a backoff: it has waited already, and what it goes on missing counts as delivered.
func (r *Reconnector) IdleDeadline() time.Time {
	if !r.hasReceived && r.config.hasOwnAgent() {
		return r.lastReceived.Add(min(r.maxSilence, r.config.FirstEventTimeout))
	}
	return r.lastReceived.Add(r.maxSilence)
}

// Succeeded notes that the call brought the endpoint list or a change of it: the backoff starts over.
func (r *Reconnector) Succeeded() { r.backoff.Reset() }

// Ended notes that the call failed or the watch ended, and returns when to call again. This protects a shared
// discovery that is short of capacity: calls queue there and fail if they wait for too long, so clients that all
// called again at once would keep it overloaded for ever. A client's own agent is called again as soon as the last
// call started about RetryInterval ago.
func (r *Reconnector) Ended(now time.Time, random float64) time.Time {
	wait := r.backoff.Next(random)
	if r.config.hasOwnAgent() {
		return later(now, r.opened.Add(wait))
	}
	return now.Add(wait)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
