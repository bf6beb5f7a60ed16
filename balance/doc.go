// Package balance makes the decisions of an aggregator that reads several shards for one query and picks a
// replica for each part: which server gets an attempt, what is retried or hedged, and what is rejected.
//
// A Balancer is a plain state machine. Feed it the events of one turn with the clock; it returns the actions
// to carry out, in order. It starts no goroutine, reads no clock and draws its random numbers from its own
// seed, so equal events give equal actions. A Balancer is not safe for concurrent use.
//
// Replicas are ranked by C3; docs/decisions-design.md names every departure from the rule and says when it acts.
// settings.go, events.go and actions.go are the interface, state.go is what a Balancer remembers, and each
// other file holds the decisions of one concern.
package balance
