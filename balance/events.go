package balance

// This file decides nothing: it holds the events of a turn.

import "time"

// Event is something that happened. It is sealed: see the types below that implement it.
type Event interface{ event() }

// ID names a query or a part. Ids are not used again while what they name is known to the Balancer.
type ID uint64

// Replica names a server that holds shards.
type Replica string

// Query is a new query. Its parts follow as Part events of the same turn.
type Query struct {
	ID       ID
	Group    uint64        // joins the query and its parts
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants
	Key      string        // what it is about; empty: no keys
	WorkHint time.Duration // estimate of its own work; 0: none
	TimeLeft time.Duration // until the client gives this attempt up
	IsRetry  bool          // as the client marked it
	Parts    int
}

// Candidate is a replica that may be asked for a part.
type Candidate struct {
	Replica         Replica
	TrafficFraction float64 // of the parts it would get, under 1; 0: all of them
}

// Part is one part of a query: what one shard answers of it.
type Part struct {
	ID         ID
	Group      uint64
	Shard      int
	Weight     float64 // the weights of a step add up to 1
	WorkHint   time.Duration
	Candidates []Candidate // who may be asked; nil: the replicas of the shard's cells
}

// CandidatesChanged changes who may be asked for a part from now on.
type CandidatesChanged struct {
	Part       ID
	Candidates []Candidate
}

// AttemptResult says how an attempt or a probe ended.
type AttemptResult int

// The results. Those before Canceled, other than OK and QueueFull, always count as losses.
const (
	OK            AttemptResult = iota
	Failed                      // an error came back; it may have run
	QueueFull                   // rejected; did not run
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // no connection; did not run
	Reset                       // the connection broke; may have run
	Canceled                    // canceled; may have run
	NotSent                     // never sent
)

// LoadReport is what a replica reports of its load. Fields absent are negative.
type LoadReport struct {
	Queue       float64 // parts waiting
	InFlight    float64 // parts waiting or running
	Utilization float64 // fraction of its cores that are busy
}

// AttemptEnded ends one attempt.
type AttemptEnded struct {
	Part    ID
	Attempt int // 0 for the first of the part
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport // nil: none came
}

// ProbeEnded ends one probe.
type ProbeEnded struct {
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport // nil: none came
}

// ListKind says what an EndpointList holds.
type ListKind int

// The kinds of lists.
const (
	ListFull   ListKind = iota // all replicas
	ListStale                  // all replicas, as they were; may be old
	ListDelta                  // changes only
	ListFailed                 // nothing: a call failed, and the old list holds
)

// EndpointState is the state of a listed replica.
type EndpointState int

// The states of a replica. Only one that is InService gets new attempts.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// HealthLimits is what others found out about a replica, beside what its answers show here. The zero value
// limits nothing.
type HealthLimits struct {
	TrafficFraction float64 // of the parts it would get, under 1; 0: all of them
	MaxInFlight     int     // requests in flight there at once; 0: not limited
	EjectedClasses  uint64  // bit c: parts of class c go there only where no other replica of theirs is listed
	HalfOpenClasses uint64  // bit c: but for one part of class c, once
}

// ejected reports whether parts of a class are kept away, and halfOpen whether one of them may go all the
// same.
func (l *HealthLimits) ejected(class int) bool  { return l.EjectedClasses>>class&1 == 1 }
func (l *HealthLimits) halfOpen(class int) bool { return l.HalfOpenClasses>>class&1 == 1 }

// Endpoint is an entry of the list of replicas.
type Endpoint struct {
	HealthLimits
	Replica Replica
	Zone    int
	Cell    int
	Size    float64
	State   EndpointState
	Started time.Duration // clock time of its last start; 0: long ago
}

// EndpointList is a list of replicas, or changes to it, from discovery.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// GossipReceived is a message of another balancer: the payload of its SendGossip, or anything else, as it
// came.
type GossipReceived struct{ Payload []byte }

// TimerFired says that the time of a StartTimer is over.
type TimerFired struct{}

// ClientDisconnected says that a query's client has left.
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
