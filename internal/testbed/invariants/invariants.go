// Package rules checks what stand-in nodes saw against the rules that hold whatever is built: no correction runs
// twice, nothing new goes to a node that drains.
package invariants

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/testbed/replica"
)

// DuplicateCorrections lists the corrections that began more than once.
func DuplicateCorrections(a *replica.Archive) (ids []string) {
	for id, n := range a.CorrectionCounts() {
		if n > 1 {
			ids = append(ids, fmt.Sprintf("%s (%d times)", id, n))
		}
	}
	slices.Sort(ids)
	return ids
}

// PartsAfter lists the parts whose first byte reached a node later than so long after a moment, and the latest of all
// parts there after it.
func PartsAfter(a *replica.Archive, name string, moment time.Time, limit time.Duration) (late []replica.Event, last time.Duration) {
	for _, e := range a.Events(moment) {
		if e.Replica != name {
			continue
		}
		d := e.At.Sub(moment)
		last = max(last, d)
		if d > limit {
			late = append(late, e)
		}
	}
	return late, last
}

// TrafficShare is the share of the parts begun between two moments that one node got, and how many there were.
func TrafficShare(a *replica.Archive, name string, from, to time.Time) (share float64, all int) {
	mine := 0
	for _, e := range a.Events(from) {
		if e.At.Before(to) {
			all++
			if e.Replica == name {
				mine++
			}
		}
	}
	if all == 0 {
		return 0, 0
	}
	return float64(mine) / float64(all), all
}
