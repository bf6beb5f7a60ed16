// Package invariants evaluates the events that stand-in replicas recorded: corrections that ran twice, parts that
// reached a replica after it began to drain, and the fraction of the traffic that each replica received.
package invariants

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/testbed/replica"
)

// DuplicateCorrections lists the corrections that were begun more than once.
func DuplicateCorrections(a *replica.Archive) []string { return Duplicates(a.CorrectionCounts()) }

// Duplicates lists the corrections with more than one run, sorted by identifier. runs is the number of runs by
// identifier.
func Duplicates(runs map[string]int) (list []string) {
	for id, count := range runs {
		if count > 1 {
			list = append(list, fmt.Sprintf("%s (%d times)", id, count))
		}
	}
	slices.Sort(list)
	return list
}

// PartsAfter returns the parts whose first byte reached a replica more than limit after a moment, and the time from the
// moment to the last part, overdue or not.
func PartsAfter(
	a *replica.Archive, name string, moment time.Time, limit time.Duration,
) (overdue []replica.Event, last time.Duration) {
	for _, event := range a.Events(moment) {
		if event.Replica != name {
			continue
		}
		elapsed := event.At.Sub(moment)
		last = max(last, elapsed)
		if elapsed > limit {
			overdue = append(overdue, event)
		}
	}
	return overdue, last
}

// TrafficFraction returns the fraction of the parts between two moments that one replica received, and the number of
// parts that all replicas received.
func TrafficFraction(a *replica.Archive, name string, from, to time.Time) (fraction float64, total int) {
	ofReplica := 0
	for _, event := range a.Events(from) {
		if !event.At.Before(to) {
			continue
		}
		total++
		if event.Replica == name {
			ofReplica++
		}
	}
	if total == 0 {
		return 0, 0
	}
	return float64(ofReplica) / float64(total), total
}
