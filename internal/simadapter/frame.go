// Package simadapter decodes and encodes the simulator's line protocol: frames of events in, actions out. It makes no
// decisions. The names on the wire are the simulator's, which calls an aggregator a gatherer.
package simadapter

import (
	"time"

	"rooktrestle/balance"
)

// Frame is a batch of events that occurred at the same time.
type Frame struct {
	Now    time.Duration // simulated time, from the start of the simulation
	Events []Event
}

// Event is one event of a frame, for one aggregator instance.
type Event struct {
	Instance string
	Input    Input
}

// Input is the content of an Event: a Start, a Stop or a BalancerEvent.
type Input interface{ input() }

// Start starts an instance with an empty state. It replaces an instance of that name that is running.
type Start struct{ Settings balance.Settings }

// Stop reports that an instance was killed.
type Stop struct{}

// BalancerEvent is an event for an instance's balancer.
type BalancerEvent struct{ balance.Event }

func (Start) input()         {}
func (Stop) input()          {}
func (BalancerEvent) input() {}
