// Package aggregator implements the scatter-gather core around the balancer: requests, their parts, attempts and
// answers. It does no I/O and reads no clock. A Core collects the events of one turn, passes them to the balancer
// together, and performs the resulting actions through its ports (Backend, Frontend, GossipSender). Loop drives a Core
// on one goroutine; other goroutines communicate with it by putting messages into a Mailbox.
package aggregator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/outlier"
	"rooktrestle/internal/control/recentset"
	"rooktrestle/internal/control/timers"
)

// clockMargin is how long before a core's creation its clock begins, at least, so that servers that started recently
// have start times after zero.
const clockMargin = 24 * time.Hour

// clockAlignment is the period by which the clocks of all cores agree: gossip messages state the time at which they
// were sent modulo this value.
const clockAlignment = 1 << 16 * time.Millisecond

const (
	// finishedIDWindow is how long a request id that may have run is rejected: far longer than clients wait for an answer.
	finishedIDWindow = time.Minute
	// maxFinishedIDs is how many ids are stored within that time, or fewer.
	maxFinishedIDs = 16 << 10
)

// Limits contains what a core enforces in addition to the balancer's decisions. In a slice that is indexed by
// class, a class beyond its end has the zero value; in NonIdempotent it counts as non-idempotent.
type Limits struct {
	ClassNames    []string // names under which answers are counted
	FollowUpParts []int    // per class: number of parts of its second step; 0: one step only
	// NonIdempotent states per class whether its parts must not run twice. It is used only where shard maps change.
	NonIdempotent []bool
	// DedupWindows is per class how long a part may be sent again, from its first attempt that may have run; 0: no
	// limit.
	DedupWindows   []time.Duration
	MaxOpen        int           // queries and parts that may be open at once; 0: no limit
	MaxCallParts   int           // parts that may share one call; 0 and 1: one part per call
	RetryAfter     time.Duration // Retry-After of requests that the core itself rejects, such as because of MaxOpen
	DeadlineMargin time.Duration // a query that fails or is rejected this close to its deadline counts as expired
}

// Core manages the open queries and attempts of one aggregator. It is not safe for concurrent use: all its methods, and
// those of the values in its exported fields, are called on the goroutine of its Loop. The exported fields are set
// before the first turn.
type Core struct {
	Counters   Counters
	Observer   AttemptObserver // nil: ends of attempts are not reported
	Resharding *Resharding     // nil: the servers of a shard are fixed
	Gossip     GossipSender    // nil: no gossip is sent
	Outliers   *outlier.Table  // nil: outliers are not detected; set together with Gossip

	balancer  *balance.Balancer
	backend   Backend
	limits    Limits
	clockZero time.Time // zero of the balancer's clock

	lastID    balance.ID // of queries and parts, which share one sequence
	queries   map[balance.ID]*query
	byRequest map[*Request]*query
	parts     map[balance.ID]*part // of the current step of each open query
	attempts  map[AttemptID]*attempt
	// requestIDs counts the uses of each request id: by the open query, and by its attempts in flight.
	requestIDs map[string]int
	// finishedIDs contains the request ids of queries that may have run and are not in use any more.
	finishedIDs *recentset.Set
	servers     map[balance.Replica]Server
	starts      map[balance.Replica]serverStart // of the listed servers
	wallClock   wallClock

	maintenance maintenance
	trace       trace

	attemptsSent uint64
	deadlines    timers.DeadlineQueue[*query]   // of the open queries
	timeouts     timers.DeadlineQueue[*attempt] // of the attempts in flight that have not timed out yet
	timerAt      time.Time                      // when the balancer's timer fires; zero: not set

	// State of the current turn.
	now     time.Time
	pending []balance.Event // for the balancer, in the order of their occurrence
	calls   []pendingCall   // to be sent at the end of the turn
}

// NewCore returns a core without servers or queries. The balancer b makes its decisions, and is owned by it from then
// on. start is the current time.
func NewCore(b *balance.Balancer, backend Backend, limits Limits, start time.Time) *Core {
	return &Core{
		balancer:  b,
		backend:   backend,
		limits:    limits,
		clockZero: alignedClockZero(start),

		queries:    map[balance.ID]*query{},
		byRequest:  map[*Request]*query{},
		parts:      map[balance.ID]*part{},
		attempts:   map[AttemptID]*attempt{},
		requestIDs: map[string]int{},

		finishedIDs: recentset.New(finishedIDWindow, maxFinishedIDs),
		servers:     map[balance.Replica]Server{},
		starts:      map[balance.Replica]serverStart{},

		maintenance: newMaintenance(),
	}
}

// alignedClockZero returns the zero of the balancer's clock for a core that is created at start: a multiple of
// clockAlignment, less clockMargin.
func alignedClockZero(start time.Time) time.Time {
	sinceAligned := start.Sub(start.Truncate(clockAlignment))
	return start.Add(-clockMargin - sinceAligned)
}

// OpenQueries returns the number of queries that have no final answer yet.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Load returns the number of open queries and parts, which Limits.MaxOpen limits.
func (c *Core) Load() int { return len(c.queries) + len(c.parts) }

// clock converts a time to the balancer's clock, which gossip messages use, too.
func (c *Core) clock(t time.Time) time.Duration { return t.Sub(c.clockZero) }

// Turn handles events, performs the actions that the balancer decides on, and returns the time by which the next turn
// must run; zero if none has to run before there are new events.
func (c *Core) Turn(now time.Time, events []Event) (next time.Time) {
	c.now = now
	c.wallClock.observe(c.clock(now), now, c.clockZero)
	for _, event := range events {
		c.handle(event)
	}
	c.rerouteExpiredViews()
	c.cancelTimedOutAttempts()
	c.failExpiredQueries()
	c.fireTimer()
	c.prependOutlierChanges()
	c.perform(c.runBalancer())
	c.sendOutlierGossip()
	return c.nextTurn()
}

// handle handles one event.
func (c *Core) handle(event Event) {
	switch e := event.(type) {
	case RequestArrived:
		c.requestArrived(e.Request)
	case ClientDisconnected:
		c.clientDisconnected(e.Request)
	case AttemptEnded:
		c.attemptEnded(e)
	case ProbeEnded:
		c.notify(balance.ProbeEnded{
			Replica: e.Server,
			Result:  attemptResult(e.Err),
			Elapsed: e.Elapsed,
			Report:  e.Report,
		})
	case LateAnswer:
		c.lateAnswer(e.Server)
	case EndpointsChanged:
		c.notify(c.updateServers(e))
	case MaintenanceChanged:
		c.maintenanceChanged(e)
	case GossipReceived:
		c.gossipReceived(e.Payload)
	case ShardMapOffered:
		c.shardMapOffered(e)
	default:
		panic(fmt.Sprintf("aggregator: no handler for event %T", e))
	}
}

// notify adds an event to those that the balancer receives next.
func (c *Core) notify(event balance.Event) { c.pending = append(c.pending, event) }

// runBalancer passes the pending events to the balancer and returns its actions.
func (c *Core) runBalancer() []balance.Action {
	events := c.pending
	c.pending = nil
	return c.balancer.Turn(c.clock(c.now), events)
}

// failExpiredQueries closes the queries whose deadline has expired, whatever the balancer decides. It covers queries
// that are still open because the turn ran too late for the balancer to answer them.
func (c *Core) failExpiredQueries() {
	expired := c.deadlines.Pop(c.now)
	slices.SortFunc(expired, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	for _, q := range expired {
		c.notify(balance.ClientDisconnected{Query: q.id})
		c.close(q, FinalAnswer{Status: StatusFailed, DeadlineExceeded: true})
	}
}

// fireTimer notifies the balancer if its timer is due.
func (c *Core) fireTimer() {
	if !c.timerAt.IsZero() && !c.now.Before(c.timerAt) {
		c.timerAt = time.Time{}
		c.notify(balance.TimerFired{})
	}
}

// nextTurn returns the earliest time at which something is due; zero if nothing is.
func (c *Core) nextTurn() time.Time {
	next := c.timerAt
	if timeout, ok := c.timeouts.Next(); ok {
		next = earliest(next, timeout)
	}
	if deadline, ok := c.deadlines.Next(); ok {
		next = earliest(next, deadline)
	}
	if c.Resharding != nil {
		next = earliest(next, c.Resharding.Views.NextExpiry())
	}
	return next
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// classValue returns the value of a class in a slice that is indexed by class; zero beyond the slice's end.
func classValue[T any](values []T, class int) (value T) {
	if class >= 0 && class < len(values) {
		value = values[class]
	}
	return value
}
