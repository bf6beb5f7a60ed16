package app

import (
	"time"

	"rooktrestle/internal/aggregator"
)

// adapters chains several adapters of one loop.
type adapters []aggregator.Adapter

// Handle passes a message to the first adapter that accepts it.
func (as adapters) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	for _, adapter := range as {
		if events, handled := adapter.Handle(now, message); handled {
			return events, true
		}
	}
	return nil, false
}

// Sweep runs the timers of all adapters and returns the earliest next deadline; zero: none.
func (as adapters) Sweep(now time.Time) (events []aggregator.Event, next time.Time) {
	for _, adapter := range as {
		more, deadline := adapter.Sweep(now)
		events = append(events, more...)
		if !deadline.IsZero() && (next.IsZero() || deadline.Before(next)) {
			next = deadline
		}
	}
	return events, next
}
