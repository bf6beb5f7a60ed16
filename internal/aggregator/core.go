// Package aggregator is the scatter-gather core round the balancer: requests, their parts, attempts and answers. It
// does no I/O and reads no clock. A Core takes the events of one turn, hands them to the balancer together, and
// carries out the actions that come back through its ports (Backend, Frontend, GossipSender). Loop drives a Core on
// one goroutine; other goroutines reach it by putting messages into a Mailbox.
package aggregator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/outlier"
	"rooktrestle/internal/control/timers"
)

// clockMargin is how long before its start a core's clock begins, so that servers' start times lie after zero.
const clockMargin = 24 * time.Hour

// clockStep aligns the clocks of all cores, so that gossip messages can state when they were sent.
const clockStep = 1 << 16 * time.Millisecond

// Limits are what a core keeps to beside the balancer's decisions. A class that a slice does not reach has its zero
// value; in NonIdempotent it counts as not idempotent.
type Limits struct {
	ClassNames    []string // under which answers are counted
	FollowUpParts []int    // of each class: number of parts of its second step; 0: one step only
	// NonIdempotent says of each class, where shard maps change, that no part of it may run twice.
	NonIdempotent []bool
	// DedupWindows are how long after an attempt that may have run a part of each class may be sent again; 0: no limit.
	DedupWindows   []time.Duration
	MaxOpen        int           // queries and parts held at once; 0: not limited
	MaxCallParts   int           // parts that may share one call; 0 and 1: each part has its own
	RetryAfter     time.Duration // Retry-After of requests that are rejected because of MaxOpen
	DeadlineMargin time.Duration // a query given up so long before its deadline counts as out of time
}

// Core holds the open queries and attempts of one aggregator. It is not safe for concurrent use: all its methods, and
// those of the values in its exported fields, are called on the goroutine of its Loop. The exported fields are set
// before the first turn.
type Core struct {
	Counters   Counters
	Observer   AttemptObserver // nil: nobody observes the ends of attempts
	Resharding *Resharding     // nil: the servers of a shard are fixed
	Gossip     GossipSender    // nil: no gossip is sent
	Outliers   *outlier.Table  // nil: losses that other aggregators report are not weighed; set together with Gossip

	balancer *balance.Balancer
	backend  Backend
	limits   Limits
	epoch    time.Time // zero of the balancer's clock

	lastID    balance.ID // of queries and parts, which share a sequence
	queries   map[balance.ID]*query
	byRequest map[*Request]*query
	parts     map[balance.ID]*part // of the present step of each open query
	attempts  map[AttemptID]*attempt
	// requestIDs counts the users of each request id: the open query, and its attempts that are in flight.
	requestIDs map[string]int
	servers    map[balance.Replica]Server
	starts     map[balance.Replica]serverStart // of the listed servers
	wallClock  wallClock

	maintenance maintenance
	trace       trace

	attemptsSent uint64
	deadlines    timers.DeadlineQueue[*query]   // of the open queries
	timeouts     timers.DeadlineQueue[*attempt] // of the attempts in flight that have not timed out yet
	timerAt      time.Time                      // when the balancer's timer fires; zero: not set

	// The state of one turn.
	now     time.Time
	pending []balance.Event // for the balancer, in the order of their occurrence
	calls   []pendingCall   // to be sent at the end of the turn
}

// NewCore returns a core whose decisions b makes, without servers or queries. The core owns b from now on. start is the
// present time.
func NewCore(b *balance.Balancer, backend Backend, limits Limits, start time.Time) *Core {
	return &Core{
		balancer: b,
		backend:  backend,
		limits:   limits,
		epoch:    clockEpoch(start),

		queries:    map[balance.ID]*query{},
		byRequest:  map[*Request]*query{},
		parts:      map[balance.ID]*part{},
		attempts:   map[AttemptID]*attempt{},
		requestIDs: map[string]int{},
		servers:    map[balance.Replica]Server{},
		starts:     map[balance.Replica]serverStart{},

		maintenance: newMaintenance(),
	}
}

// clockEpoch is the zero of the balancer's clock for a core that is made at start: a multiple of clockStep, less
// clockMargin.
func clockEpoch(start time.Time) time.Time {
	sinceStep := start.Sub(start.Truncate(clockStep))
	return start.Add(-clockMargin - sinceStep)
}

// OpenQueries is the number of queries that have no final answer yet.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Load is the number of queries and parts held, as Limits.MaxOpen counts them.
func (c *Core) Load() int { return len(c.queries) + len(c.parts) }

// clock is a time as the balancer and the other aggregators know it.
func (c *Core) clock(t time.Time) time.Duration { return t.Sub(c.epoch) }

// Turn takes events, lets the balancer act on them, and returns when the next turn is due at the latest; zero if
// nothing is.
func (c *Core) Turn(now time.Time, events []Event) (next time.Time) {
	c.now = now
	c.wallClock.observe(c.clock(now), now, c.epoch)
	for _, event := range events {
		c.handle(event)
	}
	c.leaveExpiredViews()
	c.cancelTimedOutAttempts()
	c.failOverdueQueries()
	c.fireTimer()
	c.prependOutlierChanges()
	c.perform(c.decide())
	c.sendLosses()
	return c.nextTurn()
}

// handle takes one event.
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

// notify adds an event for the balancer.
func (c *Core) notify(event balance.Event) { c.pending = append(c.pending, event) }

// decide hands the pending events to the balancer and returns its actions.
func (c *Core) decide() []balance.Action {
	events := c.pending
	c.pending = nil
	return c.balancer.Turn(c.clock(c.now), events)
}

// failOverdueQueries ends the queries whose clients wait no longer, whatever the balancer does. It guards against a
// query left open by a turn that came too late for the balancer.
func (c *Core) failOverdueQueries() {
	overdue := c.deadlines.Pop(c.now)
	slices.SortFunc(overdue, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	for _, q := range overdue {
		c.notify(balance.ClientDisconnected{Query: q.id})
		c.close(q, FinalAnswer{Status: StatusFailed, DeadlineExceeded: true})
	}
}

// fireTimer lets the balancer know that the time it waited for has come.
func (c *Core) fireTimer() {
	if !c.timerAt.IsZero() && !c.now.Before(c.timerAt) {
		c.timerAt = time.Time{}
		c.notify(balance.TimerFired{})
	}
}

// nextTurn is the earliest time at which something is due; zero if nothing is.
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

// earliest is the earlier of two times, of which zero ones do not count.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// classValue is the value of a class in a slice that is indexed by class; zero where the slice does not reach it.
func classValue[T any](values []T, class int) (value T) {
	if class >= 0 && class < len(values) {
		value = values[class]
	}
	return value
}
