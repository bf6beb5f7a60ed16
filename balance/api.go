// Package balance makes the decisions of a gatherer: a client that reads
// several shards for one query and picks a replica for each part.
//
// A Balancer is a plain state machine. Feed it the events of one turn with
// the clock; it returns the actions to carry out, in order. It starts no
// goroutine, reads no clock and draws its random numbers from its own seed, so
// equal events give equal actions. A Balancer is not safe for concurrent use.
//
// This file is the interface; balance.go holds every decision.
package balance

import "time"

// Idempotency says what a repeat of a part does.
type Idempotency int

const (
	Idempotent      Idempotency = iota // may be repeated freely
	KeyedIdempotent                    // repeats are dropped for Class.Window
	NonIdempotent                      // must not run twice
)

// Class describes one class of query.
type Class struct {
	Objective        time.Duration // answers within it earn the full worth
	ObjectiveStretch float64       // the aim grows by this multiple of the query's own work
	Deadline         time.Duration // how long a client waits, over all its tries
	Weight           float64       // of a whole answer
	OverdueFraction  float64       // share of the worth left after the aim
	Idempotency      Idempotency
	DedupWindow      time.Duration // Keyed: how long repeats are dropped
	MinFraction      float64       // least share of parts for any answer
	CompleteFraction float64       // share of parts for a whole answer
	PartialFraction  float64       // worth of a partial answer: Partial x share / Need
	FollowUpParts    int           // parts of a second step; 0: one step only
}

// Tenant is a customer with an agreed rate.
type Tenant struct {
	Quota float64 // queries a second over all gatherers
}

// Settings are what a gatherer is told at its start.
type Settings struct {
	Seed      uint64
	Instances int // gatherers of this kind, this one included
	Tick      time.Duration
	Zone      int // this gatherer's zone

	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // worth of a query beyond its tenant's quota
	WeightByWork    bool    // worth is counted in proportion to work

	// Shard s is held by the replicas of cells (s+j) mod Cells, 0 <= j < Reach.
	Cells, Reach, Shards int

	CallWork     time.Duration // work of a call beside that of its parts
	MaxCallParts int           // most parts that share one call
	WarmKeys     bool          // a replica does a key it met lately with less work

	MaxAttempts        int // of one part
	CanHedge           bool
	CanCancel          bool
	CanProbe           bool
	ClientsMarkRetries bool          // clients flag their repeats
	MaxRetryAfter      time.Duration // the longest advice to come back that clients follow; 0: they get none
	LoadReportsOnProbe bool          // load reports come with probes only
	ListOnRequest      bool          // the list of replicas must be asked for
	PeerMessages       bool          // short messages between gatherers are allowed
	ProbeTimeout       time.Duration // the longest a probe takes to be answered or given up

	Rules Rules
}

// Rules are the stated figures of the rules.
type Rules struct {
	MaxListAge        time.Duration // ListOnRequest: an old list counts as told after it
	WarmupPeriod      time.Duration // a started replica is warm after it
	WarmupMinCapacity float64       // least share of its capacity at the start
	OverloadMultiple  float64       // more than this multiple of its capacity
	OverloadPeriod    time.Duration // for so long: a cold replica falls over
	RetryBudgetWindow time.Duration // further attempts are counted over it; 0: no budget
	RetryBudgetBase   float64
	RetryBudgetRatio  float64
}

// Part names a query or a part. Replica names a server that holds shards.
type (
	ID      uint64
	Replica string
)

// Event is something that happened: Query, Part, Placed, Outcome, Probed,
// Members, Word, Tick or Gone.
type Event interface{ event() }

// Query is a new query. Its parts follow as Part events of the same turn.
type Query struct {
	ID       ID
	Group    uint64 // joins the query and its parts
	Class    int
	Tenant   int
	Key      string // what it is about; empty: no keys
	WorkHint time.Duration
	TimeLeft time.Duration // until the client gives this try up
	IsRetry  bool
	Parts    int
}

// Candidate is a replica that may be asked for a part.
type Candidate struct {
	Replica         Replica
	TrafficFraction float64 // of the parts it would get, under 1; 0: all of them
}

// Part is one part of a query: its share that one shard answers.
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

const (
	OK            AttemptResult = iota
	Failed                      // an error came back; it may have run
	QueueFull                   // turned away; did not run
	TimedOut                    // no answer in time; may have run
	ConnectFailed               // no connection; did not run
	Reset                       // the connection broke; may have run
	Canceled                    // called off; may have run
	NotSent                     // never sent
)

// LoadReport is a replica's word on its load. Fields absent are negative.
type LoadReport struct {
	Queue       float64 // parts waiting
	InFlight    float64 // parts in hand
	Utilization float64 // share of its cores busy
}

// AttemptEnded ends one attempt.
type AttemptEnded struct {
	Part    ID
	Attempt int
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport
}

// ProbeEnded ends one probe.
type ProbeEnded struct {
	Replica Replica
	Result  AttemptResult
	Elapsed time.Duration
	Report  *LoadReport
}

// ListKind says how a list of replicas is to be taken.
type ListKind int

const (
	ListFull   ListKind = iota // all there are
	ListStale                  // all there were; may be old
	ListDelta                  // changes only
	ListFailed                 // a call failed; the old list holds
)

// EndpointState of a listed replica.
type EndpointState int

const (
	InService EndpointState = iota
	Draining
	Removed
)

// HealthLimits is what others found out about a replica, beside what its answers show here. The zero value tells
// nothing.
type HealthLimits struct {
	TrafficFraction float64 // of the parts it would get, under 1; 0: all of them
	MaxInFlight     int     // parts out there at once; 0: not limited
	EjectedClasses  uint64  // bit c: parts of class c go there only where no other replica of theirs is listed
	HalfOpenClasses uint64  // bit c: but for one part of class c, once
}

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

// EndpointList is word from discovery.
type EndpointList struct {
	Kind      ListKind
	Endpoints []Endpoint
}

// GossipReceived is a message of another gatherer: what its Tell held, or anything else, as it came.
type GossipReceived struct{ Payload []byte }

// TimerFired is a Wake come due.
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

// Action is something for the gatherer to do: Send, Hedge, Cancel, Answer,
// Refuse, Fail, Probe, Tell, Wake or Watch.
type Action interface{ action() }

// Send starts an attempt of a part that has none out.
type Send struct {
	Part    ID
	Replica Replica
	Timeout time.Duration // 0: until the client gives up
}

// Hedge starts a second copy of a part beside the one that is out.
type Hedge Send

// Cancel calls one attempt off.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer ends a query's step with the parts that are in.
type Answer struct {
	Query    ID
	Complete bool
}

// Reject turns a query away; asking again is harmless.
type Reject struct {
	Query      ID
	RetryAfter time.Duration // 0: no advice
}

// Fail gives a query up without a promise.
type Fail struct{ Query ID }

// Probe asks a replica for a load report.
type Probe struct{ Replica Replica }

// SendGossip sends a message of at most MaxGossipBytes bytes to all other gatherers. It may be lost.
type SendGossip struct{ Payload []byte }

// StartTimer asks for a Tick after so long.
type StartTimer struct{ After time.Duration }

// WatchEndpoints asks discovery for the list and its changes.
type WatchEndpoints struct{}

func (Send) action()           {}
func (Hedge) action()          {}
func (Cancel) action()         {}
func (Answer) action()         {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Probe) action()          {}
func (SendGossip) action()     {}
func (StartTimer) action()     {}
func (WatchEndpoints) action() {}
