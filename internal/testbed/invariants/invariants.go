// Package invariants checks what stand-in replicas saw: that no correction runs twice, that nothing new goes to a replica
// that drains, and which fraction of the traffic each got.
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

// PartsAfter lists the parts whose first byte reached a replica later than limit after a moment, and how long after the
// moment the last part of all did.
func PartsAfter(a *replica.Archive, name string, moment time.Time, limit time.Duration) (overdue []replica.Event, last time.Duration) {
	for _, e := range a.Events(moment) {
		if e.Replica != name {
			continue
		}
		d := e.At.Sub(moment)
		last = max(last, d)
		if d > limit {
			overdue = append(overdue, e)
		}
	}
	return overdue, last
}

// TrafficFraction is the fraction of the parts between two moments that one replica got, and how many parts there were.
func TrafficFraction(a *replica.Archive, name string, from, to time.Time) (fraction float64, total int) {
	mine := 0
	for _, e := range a.Events(from) {
		if e.At.Before(to) {
			total++
			if e.Replica == name {
				mine++
			}
		}
	}
	if total == 0 {
		return 0, 0
	}
	return float64(mine) / float64(total), total
}
