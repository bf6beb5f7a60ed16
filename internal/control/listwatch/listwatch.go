// Package watch decides when a mixer calls discovery for the list of servers: when a watch that says nothing counts as
// broken, and how long to wait before the next call. It does no I/O, reads no clock and draws no chance of its own.
package listwatch

import (
	"time"

	"rooktrestle/internal/control/backoff"
)

// Config are what a mixer's calls go by. The platform's protocol states that a live watch says something every 2 s, that
// what a silent one misses counts as told 6 s after it fell silent, and that what an agent of the mixer's own machine
// has counts as told at once.
type Config struct {
	Clients           int           // mixers that call the same discovery; under two: an agent that nobody else calls
	RetryInterval     time.Duration // between the begins of two calls to an agent, and the least wait after a failed one
	CallsPerSecond    float64       // calls of all mixers together, where all of them call at once
	MinSilence        time.Duration // a watch is broken after a silence drawn between this
	MaxSilence        time.Duration // and this: a fleet whose watches fall silent at one moment calls over a span of time
	FirstEventTimeout time.Duration // an agent answers at once: a call that said nothing for so long is broken
}

// PlatformConfig is the rules of the platform's protocol for a discovery that so many mixers share.
func PlatformConfig(shared int) Config {
	return Config{Clients: shared, RetryInterval: 200 * time.Millisecond, CallsPerSecond: 40, MinSilence: 3 * time.Second, MaxSilence: 4500 * time.Millisecond,
		FirstEventTimeout: time.Second}
}

// Reconnector are the calls of one mixer, one at a time. It belongs to who makes them and ends with it. Times never go back;
// chances are from 0 to 1.
type Reconnector struct {
	rules    Config
	wait     backoff.Backoff
	opened   time.Time     // begin of the present call
	heard    time.Time     // last word of it, or its begin
	answered bool          // it said something
	patience time.Duration // with it
}

// New returns the calls of a mixer that has made none.
func New(rules Config) *Reconnector {
	return &Reconnector{rules: rules, wait: backoff.ForFleet(rules.Clients, rules.RetryInterval, rules.CallsPerSecond)}
}

// Opened says that a call begins.
func (c *Reconnector) Opened(now time.Time, chance float64) {
	c.opened, c.heard, c.answered = now, now, false
	c.patience = c.rules.MinSilence + time.Duration(chance*float64(c.rules.MaxSilence-c.rules.MinSilence))
}

// Received says that the call brought something, whatever it is.
func (c *Reconnector) Received(now time.Time) { c.heard, c.answered = now, true }

// SilenceDeadline is when the watch counts as broken, if nothing is heard of it until then. It is to be opened anew at once: it
// has waited already, and what it goes on missing counts as told.
func (c *Reconnector) SilenceDeadline() time.Time {
	if !c.answered && c.rules.Clients <= 1 {
		return c.heard.Add(min(c.patience, c.rules.FirstEventTimeout))
	}
	return c.heard.Add(c.patience)
}

// Succeeded says that the call brought word of the list: the next that fails is the first again.
func (c *Reconnector) Succeeded() { c.wait.Reset() }

// Ended says that the call failed or the watch ended, and returns when to call again. Guards a discovery short of
// capacity: calls wait there in turn and fail when they have waited too long, so that mixers that all call again at
// once keep it overbooked for ever. An agent is called again as soon as its last call lies Again back or so.
func (c *Reconnector) Ended(now time.Time, chance float64) time.Time {
	wait := c.wait.Next(chance)
	if c.rules.Clients <= 1 {
		return later(now, c.opened.Add(wait))
	}
	return now.Add(wait)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
