// Package listwatch decides when an aggregator calls service discovery for the endpoint list: when a watch that
// sends nothing counts as broken, and how long to wait before the next call. It does no I/O, reads no clock and
// generates no random numbers.
package listwatch

import (
	"time"

	"rooktrestle/internal/control/backoff"
)

// Config contains the timing of an aggregator's calls. The platform's protocol states that a working watch sends an
// event at least every 2 s, that changes which a client misses on an unresponsive watch count as delivered 6 s after
// its last event, and that changes known to an agent on the aggregator's own machine count as delivered immediately.
type Config struct {
	Clients           int           // aggregators that call the same discovery; less than two: an agent of its own
	RetryInterval     time.Duration // between the starts of two calls to an agent; minimum wait after a failed call
	CallsPerSecond    float64       // of all clients together, if all of them start to call at the same time
	MinIdleTimeout    time.Duration // a watch is broken after an idle time that is sampled between this minimum and
	MaxIdleTimeout    time.Duration // this maximum, so that clients do not all call again at the same time
	FirstEventTimeout time.Duration // of a call to an agent until the first event: agents answer immediately
}

// PlatformConfig returns the timing that the platform's protocol requires if so many clients share the discovery.
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
	opened       time.Time     // start of the current call
	lastReceived time.Time     // last event of the current call, or its start
	hasReceived  bool          // whether the current call has received an event
	idleTimeout  time.Duration // of the current call
}

// New returns the Reconnector of a client that has made no call.
func New(config Config) *Reconnector {
	return &Reconnector{
		config:  config,
		backoff: backoff.ForFleet(config.Clients, config.RetryInterval, config.CallsPerSecond),
	}
}

// Opened records the start of a call. random determines its idle timeout.
func (r *Reconnector) Opened(now time.Time, random float64) {
	r.opened = now
	r.lastReceived = now
	r.hasReceived = false
	span := r.config.MaxIdleTimeout - r.config.MinIdleTimeout
	r.idleTimeout = r.config.MinIdleTimeout + time.Duration(random*float64(span))
}

// Received records that an event of any kind was received.
func (r *Reconnector) Received(now time.Time) { r.lastReceived, r.hasReceived = now, true }

// IdleDeadline returns when the watch counts as broken if nothing is received until then. It must then be reopened
// immediately, without a backoff: the client has already waited for the idle timeout, and further changes that it
// misses count as delivered.
func (r *Reconnector) IdleDeadline() time.Time {
	if !r.hasReceived && r.config.hasOwnAgent() {
		return r.lastReceived.Add(min(r.idleTimeout, r.config.FirstEventTimeout))
	}
	return r.lastReceived.Add(r.idleTimeout)
}

// Succeeded records that the call has delivered the endpoint list or a change of it, and resets the backoff.
func (r *Reconnector) Succeeded() { r.backoff.Reset() }

// Ended records that the call failed or the watch ended, and returns when to call again. The wait protects a shared
// discovery with little capacity: calls are queued there and fail if they wait for too long, so clients that all called
// again immediately would keep it overloaded permanently. A client's own agent is called again about RetryInterval
// after the start of the previous call.
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
