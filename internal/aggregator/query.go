package aggregator

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// query is an open request. It is removed with its one final answer, or when its client has disconnected.
type query struct {
	id       balance.ID
	request  *Request
	deadline time.Time
	parts    []*part // of the current step
	inFlight int     // attempts of all its steps
	// mayHaveRun: a server may have executed one of its attempts.
	mayHaveRun bool
	index      int // in Core.deadlines

	followUp          bool    // it is in its second step
	firstStep         []*part // answered parts of the first step, once the second has begun
	firstStepComplete bool

	// Used only where shard maps change.
	view        *shardmap.View           // that it is pinned to; nil where the servers of a shard are fixed
	placement   *shardmap.QueryPlacement // its parts on that view; decides whether it may be restarted
	restarts    int
	restarting  bool // it restarts once none of its attempts is in flight
	awaitingMap bool // it waits for a newer map
}

// Deadline returns when the client stops waiting; queries with the same deadline are ordered by id.
func (q *query) Deadline() (time.Time, uint64) { return q.deadline, uint64(q.id) }

// QueueIndex returns where the deadline queue stores the query's position.
func (q *query) QueueIndex() *int { return &q.index }

// part is the share of one shard in a step of a query.
type part struct {
	id             balance.ID
	query          *query
	spec           PartSpec
	name           string // on the wire
	attempts       int    // sent so far
	placementIndex int    // in the query's placement

	closed   atomic.Bool // it is answered, or its step is completed: no attempt of it may start
	answered bool
	score    float64
	value    string

	// possibleRuns contains the send times of its attempts that are in flight or may have run.
	possibleRuns []time.Time
}

// requestArrived opens a query for a request, or rejects it immediately.
func (c *Core) requestArrived(request *Request) {
	c.Counters.Received++
	if request.disconnected(c.now) { // its ClientDisconnected event will find no query
		request.completed = true
		c.Counters.countFinal(FinalAnswer{Status: StatusDisconnected})
		c.traceQuery(request, StatusDisconnected, reasonDisconnected)
		return
	}
	deadline := request.Arrived.Add(request.Timeout)
	if reason := c.rejectReason(request, deadline); reason != "" {
		c.Counters.Rejected++
		c.Counters.RejectedAtCapacity++
		c.traceQuery(request, StatusRejected, reason)
		c.deliver(request, c.rejection())
		return
	}
	q := c.open(request, deadline)
	specs := request.Parts
	if c.Outliers != nil {
		c.Outliers.AccrueBudget(1 + len(specs))
	}
	if request.Layout != nil {
		specs = c.pinView(q)
		if len(specs) == 0 { // there is no shard map yet
			c.close(q, c.rejection())
			return
		}
	}
	c.submit(q, specs)
}

// rejectReason returns why a request is rejected on arrival; empty if it is not.
func (c *Core) rejectReason(request *Request, deadline time.Time) string {
	switch {
	case c.atCapacity():
		return reasonCapacity
	case c.requestIDs[request.ID] > 0:
		return reasonIDInUse
	case c.finishedIDs.Contains(request.ID, c.now):
		return reasonIDHasRun
	case !c.now.Before(deadline):
		return reasonExpiredOnArrival
	}
	return ""
}

// atCapacity reports whether no more queries may be opened. This bounds the memory of the process.
func (c *Core) atCapacity() bool { return c.limits.MaxOpen > 0 && c.Load() >= c.limits.MaxOpen }

// rejection returns the answer to a request that the core itself rejects.
func (c *Core) rejection() FinalAnswer {
	return FinalAnswer{Status: StatusRejected, RetryAfter: c.limits.RetryAfter}
}

// open registers a query for a request, and marks its request id as in use.
func (c *Core) open(request *Request, deadline time.Time) *query {
	q := &query{id: c.nextID(), request: request, deadline: deadline}
	c.queries[q.id] = q
	c.byRequest[request] = q
	c.deadlines.Push(q)
	c.requestIDs[request.ID]++
	return q
}

func (c *Core) nextID() balance.ID {
	c.lastID++
	return c.lastID
}

// submit passes a query and its parts to the balancer.
func (c *Core) submit(query *query, specs []PartSpec) {
	c.notify(balance.Query{
		ID:            query.id,
		Group:         uint64(query.id),
		Class:         query.request.Class,
		Tenant:        query.request.Tenant,
		Key:           query.request.Key,
		RemainingTime: query.deadline.Sub(c.now),
		IsRetry:       query.request.IsRetry,
		Parts:         len(specs),
	})
	c.submitParts(query, specs, "")
}

// submitParts creates the parts of a query's current step and passes them to the balancer. Their names end with suffix.
func (c *Core) submitParts(query *query, specs []PartSpec, suffix string) {
	query.parts = nil
	if query.placement != nil {
		query.placement.Parts = nil
		query.placement.SecondStep = query.followUp
	}
	for _, spec := range specs {
		newPart := &part{
			id:    c.nextID(),
			query: query,
			spec:  spec,
			name:  fmt.Sprintf("%s.%d%s", query.request.ID, spec.Shard, suffix),
		}
		c.parts[newPart.id] = newPart
		query.parts = append(query.parts, newPart)
		c.notify(balance.Part{
			ID:         newPart.id,
			Group:      uint64(query.id),
			Shard:      spec.Shard,
			Weight:     spec.Weight,
			WorkHint:   spec.WorkHint,
			Candidates: c.addToPlacement(query, newPart),
		})
	}
}

// dropParts removes the parts of the current step: their attempts no longer contribute to the answer.
func (c *Core) dropParts(q *query) {
	for _, p := range q.parts {
		delete(c.parts, p.id)
		p.closed.Store(true)
	}
}

// isOpen reports whether a part belongs to the current step of an open query.
func (c *Core) isOpen(p *part) bool { return c.parts[p.id] == p }

// releaseRequestID releases one use of a query's request id. While any use remains, no other query may have the id: its
// parts would have the names of parts that are in flight, and servers would treat them as duplicates. Once it may have
// run, no query may have it for finishedIDWindow: its client sends it again after it has disconnected, and it would run
// twice.
func (c *Core) releaseRequestID(q *query) {
	id := q.request.ID
	c.requestIDs[id]--
	if c.requestIDs[id] > 0 {
		return
	}
	delete(c.requestIDs, id)
	if q.mayHaveRun {
		c.finishedIDs.Add(id, c.now)
	}
}

// clientDisconnected closes the query of a request, if it is still open. No answer is delivered.
func (c *Core) clientDisconnected(request *Request) {
	if q := c.byRequest[request]; q != nil {
		c.notify(balance.ClientDisconnected{Query: q.id})
		c.close(q, FinalAnswer{Status: StatusDisconnected})
	}
}

// openQueries returns the open queries ordered by id: behavior must not depend on the iteration order of a map.
func (c *Core) openQueries() (open []*query) {
	for _, q := range c.queries {
		open = append(open, q)
	}
	slices.SortFunc(open, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	return open
}
