// Package simadapter decodes and encodes the simulator's line protocol: frames of events in, actions out. It decides
// nothing. The words of the protocol are the simulator's: it calls an aggregator a gatherer.
package simadapter

import (
	"time"

	"rooktrestle/balance"
)

// Frame is a batch of events that happened at one time.
type Frame struct {
	Now    time.Duration // simulated time, from the start of the simulation
	Events []Event
}

// Event is one event of a frame, for one aggregator instance.
type Event struct {
	Instance string
	Input    Input
}

// Input is what an Event brings: a Start, a Stop or a BalancerEvent.
type Input interface{ input() }

// Start starts an instance, which knows nothing yet. One that is running already is replaced.
type Start struct{ Settings balance.Settings }

// Stop says that an instance was killed.
type Stop struct{}

// BalancerEvent is an event for an instance's balancer.
type BalancerEvent struct{ balance.Event }

func (Start) input()         {}
func (Stop) input()          {}
func (BalancerEvent) input() {}
