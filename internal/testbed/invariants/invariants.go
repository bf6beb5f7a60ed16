// Package invariants evaluates what stand-in replicas recorded: corrections that ran twice, parts that were sent to a
// replica after it began to drain, and which fraction of the traffic each replica got.
package invariants

import (
	"fmt"
	"slices"
	"time"

	"rooktrestle/internal/testbed/replica"
)

// DuplicateCorrections lists the corrections that began more than once.
func DuplicateCorrections(a *replica.Archive) []string { return Duplicates(a.CorrectionCounts()) }

// Duplicates lists the corrections that ran more than once, by how often each ran, sorted by identifier.
func Duplicates(runs map[string]int) (list []string) {
	for id, count := range runs {
		if count > 1 {
			list = append(list, fmt.Sprintf("%s (%d times)", id, count))
		}
	}
	slices.Sort(list)
	return list
}

// PartsAfter lists the parts whose first byte reached a replica later than limit after a moment, and how long after the
// moment the last part of all did.
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

// TrafficFraction is the fraction of the parts between two moments that one replica got, and how many parts there were.
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
