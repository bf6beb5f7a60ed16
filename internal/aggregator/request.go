package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// PartSpec is one part of a request.
type PartSpec struct {
	Shard    int     // its number, or its shardmap.ID where shard maps change
	Weight   float64 // fraction of the answer that the part contributes
	WorkHint time.Duration
}

// Request is one query as a frontend received it. The core owns it from its RequestArrived event on.
type Request struct {
	ID       string // names the parts on the wire; one that is in use already is rejected
	Class    int
	Tenant   int
	Key      string
	Arrived  time.Time
	Timeout  time.Duration // the client waits so long from Arrived on
	IsRetry  bool
	Payload  string
	Parts    []PartSpec
	Frontend Frontend
	// Layout, if set, makes the parts from the view of the shard map that the query is pinned to; each is a shard.
	// It is called again if the query is restarted on another view.
	Layout func(*shardmap.View) []PartSpec

	// Disconnected, if set, asks whether the client has gone away, also where no ClientDisconnected has come yet. Any
	// goroutine may call it; it does not block.
	Disconnected func(now time.Time) bool

	done bool // it has its final answer, or its client has disconnected
}

// disconnected reports whether the client is known to have gone away.
func (r *Request) disconnected(now time.Time) bool {
	return r.Disconnected != nil && r.Disconnected(now)
}

// FinalStatus is how a query ended.
type FinalStatus int

// The ends of a query.
const (
	StatusServed       FinalStatus = iota // with an answer, complete or partial
	StatusRejected                        // nothing that must not run twice has run; the client may come back
	StatusFailed                          // it may have run
	StatusDisconnected                    // the client left: no Frontend gets this status
)

// FinalAnswer is the one final answer of a query.
type FinalAnswer struct {
	Status           FinalStatus
	Complete         bool          // served: with all parts that a complete answer needs
	Items            []Item        // served
	RetryAfter       time.Duration // rejected: when the client may come back; 0: not stated
	DeadlineExceeded bool          // not served: its time was over
	MissingShards    []int         // served: shards that have not answered
	AnsweredWeight   float64       // served: sum of the weights of the answered parts
	TotalParts       int           // served: number of parts of the last step
}

// Item is the value of one part, as a server gave it.
type Item struct {
	Shard int
	Value string
}

// AttemptID identifies an attempt: its part, and its number among the part's attempts, from 0.
type AttemptID struct {
	Part   balance.ID
	Number int
}

// OutgoingAttempt is one attempt of a part as the backend sends it.
type OutgoingAttempt struct {
	Attempt  AttemptID
	Name     string // of the part, on the wire
	Class    int
	Shard    int
	Deadline time.Time // the aggregator waits no longer
	WriteBy  time.Time // it is written by then or not at all; zero: no such time
	Payload  string

	FollowUp          bool  // its part is of a second step
	FirstStepShards   []int // second step: shards that answered the first
	FirstStepComplete bool  // second step: the first one was complete

	Epoch shardmap.Epoch // of the query's view; 0: the servers of a shard are fixed

	// Abandoned reports that the attempt must not begin any more: it was canceled, its part is over, or its client has
	// gone away. nil: it may. Any goroutine may call it, right before the call is written; it does not block.
	Abandoned func(now time.Time) bool
}

// Expired reports whether it is too late for a call that is not written yet.
func (call OutgoingAttempt) Expired(now time.Time) bool {
	missedWindow := !call.WriteBy.IsZero() && !now.Before(call.WriteBy)
	return !now.Before(call.Deadline) || missedWindow
}
