package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// PartSpec is one part of a request.
type PartSpec struct {
	Shard    int           // shard number, or shardmap.ID where shard maps change
	Weight   float64       // fraction of the answer that the part contributes
	WorkHint time.Duration // estimate of the part's work; 0: none
}

// Request is one query as a frontend received it. The core owns it from its RequestArrived event on.
type Request struct {
	ID       string // prefix of the part names on the wire; a request is rejected while its id is in use
	Class    int
	Tenant   int
	Key      string // resource that the query is about; empty: none
	Arrived  time.Time
	Timeout  time.Duration // how long the client waits, counted from Arrived
	IsRetry  bool
	Payload  string
	Parts    []PartSpec
	Frontend Frontend
	// IdempotencyKey is the client's key of a query in a keyed class, the same in all of its retries; empty: none.
	IdempotencyKey string
	// Layout, if set, returns the parts for the view of the shard map that the query is pinned to, each for one shard.
	// It is called again if the query is restarted on another view.
	Layout func(*shardmap.View) []PartSpec

	// Disconnected, if set, reports whether the client has disconnected, possibly before the ClientDisconnected event
	// arrives. Any goroutine may call it; it does not block.
	Disconnected func(now time.Time) bool

	completed bool // it has its final answer, or its client has disconnected
}

// disconnected reports whether the client is known to have disconnected.
func (r *Request) disconnected(now time.Time) bool {
	return r.Disconnected != nil && r.Disconnected(now)
}

// FinalStatus is the outcome of a query.
type FinalStatus int

// Outcomes of a query.
const (
	StatusServed       FinalStatus = iota // answered, completely or partially
	StatusRejected                        // no part has run, or its parts may run again: the client may retry
	StatusFailed                          // a part may have run
	StatusDisconnected                    // the client disconnected; not passed to a Frontend
)

// FinalAnswer is the one final answer of a query.
type FinalAnswer struct {
	Status           FinalStatus
	Complete         bool          // served: all parts that a complete answer requires are answered
	Items            []Item        // served
	RetryAfter       time.Duration // rejected: how long the client should wait before a retry; 0: not stated
	DeadlineExceeded bool          // not served: the deadline had expired
	MissingShards    []int         // served: shards whose parts are not answered
	AnsweredWeight   float64       // served: sum of the weights of the answered parts
	TotalParts       int           // served: number of parts of the last step
}

// Item is the value of one part, as a server returned it.
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
	Deadline time.Time // when the aggregator stops waiting
	WriteBy  time.Time // when it may no longer be written; zero: no limit
	Payload  string
	// IdempotencyKey is that of its query: servers recognize a repeat of a part by it, whichever aggregator sends it.
	IdempotencyKey string

	FollowUp          bool  // its part belongs to a second step
	FirstStepShards   []int // second step: shards answered in the first step
	FirstStepComplete bool  // second step: the first step was complete

	Epoch shardmap.Epoch // of the query's view; 0 where the servers of a shard are fixed

	// Abandoned reports that the attempt must not start: it was canceled, its part is answered or belongs to a
	// completed step, or its client has disconnected. If nil, the attempt may start. Any goroutine may call it,
	// immediately before the call is written; it does not block.
	Abandoned func(now time.Time) bool
}

// Expired reports whether it is too late to write an attempt that is not written yet.
func (attempt OutgoingAttempt) Expired(now time.Time) bool {
	missedWindow := !attempt.WriteBy.IsZero() && !now.Before(attempt.WriteBy)
	return !now.Before(attempt.Deadline) || missedWindow
}
