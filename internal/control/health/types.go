// Package health collects evidence on the health of servers and decides from it whether a server receives all requests,
// only those that no other replica can accept, or none, and which fraction of its traffic. Evidence comes from the
// endpoint list (called the roster in texts for operators), from health checks of several kinds, and from the outcomes
// of parts of queries, by class. The package does no I/O, reads no clock and starts no goroutine; equal events lead to
// equal decisions.
//
// docs/health.md describes how the evidence is merged; decision.go implements that table.
package health

import (
	"fmt"
	"slices"
)

// ID identifies a server.
type ID string

// AdminState is the administrative state that an operator sets for a server, independent of its health.
type AdminState int8

// The administrative states. The stronger of two has the larger value.
const (
	AdminUnset  AdminState = iota // not given: the state is unchanged
	Ready                         // receives requests
	Drain                         // receives no new requests; those in flight complete
	Maintenance                   // like Drain, and the server is removed from the balancer's list
)

// adminStateNames are the states as agents send them, by AdminState.
var adminStateNames = [...]string{"", "ready", "drain", "maint"}

// String returns the state as agents send it.
func (a AdminState) String() string { return adminStateNames[a] }

// MarshalText returns the state as agents send it.
func (a AdminState) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses a state as agents send it.
func (a *AdminState) UnmarshalText(text []byte) error {
	state := slices.Index(adminStateNames[:], string(text))
	if state < 0 {
		return fmt.Errorf("administrative state %q is unknown", text)
	}
	*a = AdminState(state)
	return nil
}

// OperState is the operational state of a server as a check reports it.
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
	Immediate bool       // a failure takes the server down at once, regardless of CheckConfig.Fall
	Admin     AdminState // AdminUnset if not given
	Oper      OperState  // OperUnset if not given
	Weight    float64    // fraction of the full weight, 0 to 2.56; negative if not given
	MaxConn   int        // maximum number of parts in flight from this aggregator; negative if not given
	Degraded  bool       // the server works, but asks that others be preferred
	Reason    string     // human-readable
}

// Outcome is the result of an attempt of a part, as evidence on its server.
type Outcome int8

// The outcomes.
const (
	Success        Outcome = iota // the part was answered
	Failure                       // an error, a reset or a timeout: the server may have executed the part
	ConnectFailure                // no connection: the server has not executed the part
	Neutral                       // canceled or rejected: no evidence on the server's health
)

// Server is an entry of the endpoint list.
type Server struct {
	ID       ID
	Shards   []int // indices of the shards of which it has a replica
	Removed  bool  // no longer in the list
	Draining bool  // marked as draining in the list
}

// State is whether a server receives requests.
type State int8

// The states.
const (
	InService    State = iota
	Draining           // receives no new requests; those in flight complete
	OutOfService       // receives no new requests, and is removed from the balancer's list
)

// String returns the state as logs and status pages print it.
func (s State) String() string { return [...]string{"in service", "draining", "out"}[s] }

// AllClasses as Decision.EjectedClasses makes a server a last resort: it receives parts, of whatever class, only if no
// other replica is available.
const AllClasses = ^uint64(0)

// Decision is how the balancer has to treat a server.
type Decision struct {
	State           State
	EjectedClasses  uint64  // bit c: the server receives parts of class c only as a last resort
	TrafficFraction float64 // fraction of its normal share of the traffic, over 0 to 1
	MaxInFlight     int     // maximum number of parts in flight; 0: no limit
	Cause           string  // human-readable
	Usable          bool    // the server is expected to answer parts
	Contradictory   bool    // pieces of evidence contradict each other
}

// Change reports a changed decision or newly granted half-open requests.
type Change struct {
	ID ID
	Decision
	HalfOpenClasses uint64 // bit c: one part of class c may be sent although the server is ejected from it
	Notable         bool   // more than the traffic fraction, Usable or a grant changed: to be logged
	PreviousState   State
}
