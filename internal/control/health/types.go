// Package health keeps the evidence on servers and decides from it which of them get requests: all, only what no
// other replica can take, or nothing, and which fraction of their traffic. Evidence comes from the endpoint list
// (called the roster in texts for operators), from health checks of several kinds, and from the outcomes of real
// parts of queries, by class. The package does no I/O, reads no clock and starts no goroutine; equal events lead to
// equal decisions.
//
// docs/health.md describes how facts merge; decision.go is that table.
package health

// ID names a server.
type ID string

// AdminState is what an operator wants done with a server, whatever its condition.
type AdminState int8

// The administrative states. The stronger of two has the larger value.
const (
	AdminUnset  AdminState = iota // not given: stays as it was
	Ready                         // gets requests
	Drain                         // finishes what is in flight and gets nothing new
	Maintenance                   // the same, and the server is taken off the list
)

// String returns the state as agents send it.
func (a AdminState) String() string { return [...]string{"", "ready", "drain", "maint"}[a] }

// OperState is the operational state of a server by a check.
type OperState int8

// The operational states.
const (
	OperUnset OperState = iota // not given
	Up
	Down
)

// String returns the state as agents send it.
func (o OperState) String() string { return [...]string{"", "up", "down"}[o] }

// CheckResult is the result of one health check.
type CheckResult struct {
	Failed    bool       // no connection, no answer in time, or not the expected answer
	Immediate bool       // counts at once, regardless of CheckConfig.Fall
	Admin     AdminState // AdminUnset if not given
	Oper      OperState  // OperUnset if not given
	Weight    float64    // fraction of the full weight, 0 to 2.56; negative if not given
	MaxConn   int        // parts that the server accepts from us at once; negative if not given
	Degraded  bool       // the server serves, but prefers that others do
	Reason    string     // for people
}

// Outcome is how an attempt of a real part ended, as far as it says something about its server.
type Outcome int8

// The outcomes.
const (
	Success        Outcome = iota // it was answered
	Failure                       // an error, a reset or a time-out: it may have run
	ConnectFailure                // no connection: it never ran
	Neutral                       // cancelled or rejected: says nothing about the server's health
)

// Server is a server as the endpoint list has it.
type Server struct {
	ID       ID
	Shards   []int // indices of the shards that it holds
	Removed  bool  // the list has it no longer
	Draining bool  // the list drains it
}

// State says whether a server gets requests.
type State int8

// The states.
const (
	InService    State = iota
	Draining           // gets nothing new; what is in flight finishes
	OutOfService       // gets nothing new, and is taken off the list
)

// String returns the state as logs and status pages print it.
func (s State) String() string { return [...]string{"in service", "draining", "out"}[s] }

// AllClasses as Decision.EjectedClasses makes a server a last resort: for every class only if no other replica is left.
const AllClasses = ^uint64(0)

// Decision is what is to be done with a server.
type Decision struct {
	State           State
	EjectedClasses  uint64  // bit c: parts of class c go there only if no other replica can take them
	TrafficFraction float64 // of the traffic that it would get, over 0 to 1
	MaxInFlight     int     // parts in flight at once; 0: no limit
	Cause           string  // for people
	Usable          bool    // a part that is sent there can be expected to be answered
	Contradictory   bool    // pieces of evidence contradict each other
}

// Change is a decision that has changed, or a half-open request that is granted.
type Change struct {
	ID ID
	Decision
	HalfOpenClasses uint64 // bit c: one part of class c may be sent there although the class is ejected
	Notable         bool   // more than the traffic fraction or a grant changed: worth a line in the log
	PreviousState   State
}
