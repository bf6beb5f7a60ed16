// Package balance makes the decisions of an aggregator that reads several shards for one query and picks a
// replica for each part: which server receives an attempt, what is retried or hedged, and what is rejected.
//
// A Balancer is a deterministic state machine. Turn processes the events of one turn at the given time and
// returns the actions to perform, in order. A Balancer starts no goroutines, reads no clock and draws its
// random numbers from a seeded generator, so equal events produce equal actions. It is not safe for
// concurrent use.
//
// Replicas are ranked by C3; docs/decisions-design.md lists every deviation from C3 and when it applies.
// settings.go, events.go and actions.go are the interface, state.go defines the state of a Balancer, and each
// other file implements one concern.
package balance
