package estimate

import (
	"slices"
	"time"
)

// Window contains the times of recent events, oldest first.
type Window []time.Duration

// Since drops the events at or before start and returns the number of those that remain.
func (w *Window) Since(start time.Duration) int {
	*w = slices.DeleteFunc(*w, func(at time.Duration) bool { return at <= start })
	return len(*w)
}

// Add drops the events at or before start and adds one at now.
func (w *Window) Add(now, start time.Duration) {
	w.Since(start)
	*w = append(*w, now)
}
