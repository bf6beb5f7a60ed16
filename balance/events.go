package balance

// This file decides nothing: it defines the events of a turn.

import "time"

// Event is an input of Turn. Only the types of this package implement it.
type Event interface{ event() }

// ID identifies a query or a part. An ID must not be reused while the Balancer tracks its query or part.
type ID uint64

// Replica identifies a server that stores shards.
type Replica string

// Query is a new query. Its parts follow as Part events of the same turn.
type Query struct {
	ID            ID
	Group         uint64        // shared by the query and its parts
	Class         int           // index into Settings.Classes
	Tenant        int           // index into Settings.Tenants
	Key           string        // resource that the query is about; empty: none
	WorkHint      time.Duration // estimate of the query's own work; 0: none
	RemainingTime time.Duration // until the client abandons this attempt
	IsRetry       bool          // the client marked this attempt as a retry
	Parts         int
}

// Candidate is a replica to which a part may be sent.
type Candidate struct {
	Replica         Replica
	TrafficFraction float64 // fraction of the parts that it would otherwise receive, below 1; 0: all
}

// Part is the share of a query that one shard answers.
type Part struct {
	ID         ID
	Group      uint64
	Shard      int
	Weight     float64 // the weights of the parts of one step add up to 1
	WorkHint   time.Duration
	Candidates []Candidate // where it may be sent; nil: the replicas of the shard's cells
}

// CandidatesChanged replaces the candidates for the further attempts of a part.
type CandidatesChanged struct {
	Part       ID
	Candidates []Candidate
}

// AttemptResult is how an attempt or a probe ended.
type AttemptResult int

// The results of attempts and probes. Those before Canceled, except OK and QueueFull, always raise the loss
// rate of the server; Canceled and NotSent do so only if the attempt was overdue.
const (
	OK            AttemptResult = iota
	Failed                      // the server returned an error; may have run
	QueueFull                   // rejected; did not run
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // no connection; did not run
	Reset                       // the connection broke; may have run
	Canceled                    // canceled; may have run
	NotSent                     // never sent
)

// LoadReport is the load that a replica reports. A negative value was not reported.
type LoadReport struct {
	Queue       float64 // parts waiting
	InFlight    float64 // parts waiting or running
	Utilization float64 // fraction of its cores that is busy
}

// AttemptEnded reports the end of one attempt.
type AttemptEnded struct {
	Part    ID
	Attempt int // 0 for the first of the part
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport // nil: none received
}

// ProbeEnded reports the end of one probe.
type ProbeEnded struct {
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport // nil: none received
}

// ListKind is what an EndpointList contains.
type ListKind int

// The kinds of endpoint lists.
const (
	ListFull   ListKind = iota // all replicas
	ListStale                  // all replicas as of an earlier time; may be out of date
	ListDelta                  // changes only
	ListFailed                 // nothing: the call failed, and the current list stays in use
)

// EndpointState is the state of a listed replica.
type EndpointState int

// The states of a replica. Only a replica that is InService receives new attempts.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// HealthLimits restrict the traffic to a replica because of its health as determined outside this Balancer.
// The zero value limits nothing.
type HealthLimits struct {
	TrafficFraction float64 // fraction of the parts that it would otherwise receive, below 1; 0: all
	MaxInFlight     int     // maximum number of requests in flight; 0: unlimited
	EjectedClasses  uint64  // bit c: receives a part of class c only if all replicas of the part are ejected
	HalfOpenClasses uint64  // bit c: may receive one part of ejected class c as a half-open request
}

// ejected reports whether the replica is ejected for a class, and allowsHalfOpen whether it may receive one
// part of the class as a half-open request.
func (l *HealthLimits) ejected(class int) bool        { return l.EjectedClasses>>class&1 == 1 }
func (l *HealthLimits) allowsHalfOpen(class int) bool { return l.HalfOpenClasses>>class&1 == 1 }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	HealthLimits
	Replica Replica
	Zone    int
	Cell    int
	Size    float64 // weight of the replica; not used
	State   EndpointState
	Started time.Duration // clock time of its last start; 0: long ago
}

// EndpointList is the endpoint list, or changes to it, from discovery.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// GossipReceived is a gossip message received from another balancer, whose payload is not validated.
type GossipReceived struct{ Payload []byte }

// TimerFired reports that the time of a StartTimer has elapsed.
type TimerFired struct{}

// ClientDisconnected reports that the client of a query has disconnected.
type ClientDisconnected struct{ Query ID }

func (Query) event()              {}
func (Part) event()               {}
func (CandidatesChanged) event()  {}
func (AttemptEnded) event()       {}
func (ProbeEnded) event()         {}
func (EndpointList) event()       {}
func (GossipReceived) event()     {}
func (TimerFired) event()         {}
func (ClientDisconnected) event() {}
