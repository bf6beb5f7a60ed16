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

// query is an open request: it is held until its one final answer, or until its client has disconnected.
type query struct {
	id       balance.ID
	request  *Request
	deadline time.Time
	parts    []*part // of the present step
	inFlight int     // attempts, of all its steps
	index    int     // in Core.deadlines

	followUp           bool    // it is in its second step
	firstStep          []*part // answered parts of the first step, once the second has begun
	firstStepCompleted bool

	// Where shard maps change.
	view       *shardmap.View           // that it is pinned to; nil where the servers of a shard are fixed
	placement  *shardmap.QueryPlacement // its parts as the resharding rules see them
	restarts   int
	restarting bool // it is restarted once none of its attempts is in flight
	waiting    bool // for a newer map
}

// Deadline is when the client stops waiting; queries of one deadline come in the order of their ids.
func (q *query) Deadline() (time.Time, uint64) { return q.deadline, uint64(q.id) }

// QueueIndex is where the deadline queue keeps the query's index.
func (q *query) QueueIndex() *int { return &q.index }

// part is what one shard contributes to a step of a query.
type part struct {
	id             balance.ID
	query          *query
	spec           PartSpec
	name           string // on the wire
	attempts       int    // sent so far
	placementIndex int    // in the query's placement

	over     atomic.Bool // it is answered, or of no open step any more: no attempt of it begins
	answered bool
	score    float64
	value    string

	// mayHaveRun are the send times of its attempts that are in flight or may have run.
	mayHaveRun []time.Time
}

// requestArrived opens a query for a request, or rejects it at once.
func (c *Core) requestArrived(request *Request) {
	c.Counters.Received++
	if request.disconnected(c.now) { // its disconnect is still to come, and finds nothing
		request.done = true
		c.Counters.countFinal(FinalAnswer{Status: StatusDisconnected})
		c.traceQuery(request, StatusDisconnected, reasonDisconnected)
		return
	}
	deadline := request.Arrived.Add(request.Timeout)
	if reason := c.reasonToReject(request, deadline); reason != "" {
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
		if len(specs) == 0 { // there is no map yet
			c.close(q, c.rejection())
			return
		}
	}
	c.submit(q, specs)
}

// reasonToReject is why a request is rejected on arrival; empty: it is not.
func (c *Core) reasonToReject(request *Request, deadline time.Time) string {
	switch {
	case c.atCapacity():
		return reasonCapacity
	case c.requestIDs[request.ID] > 0:
		return reasonIDInUse
	case !c.now.Before(deadline):
		return reasonOverdue
	}
	return ""
}

// atCapacity says that no more queries may be held. It guards the process's memory.
func (c *Core) atCapacity() bool { return c.limits.MaxOpen > 0 && c.Load() >= c.limits.MaxOpen }

// rejection is the answer to a request that the core rejects by itself.
func (c *Core) rejection() FinalAnswer {
	return FinalAnswer{Status: StatusRejected, RetryAfter: c.limits.RetryAfter}
}

// open starts to hold a query for a request, and uses its request id.
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

// submit hands a query and its parts to the balancer.
func (c *Core) submit(query *query, specs []PartSpec) {
	c.notify(balance.Query{
		ID:       query.id,
		Group:    uint64(query.id),
		Class:    query.request.Class,
		Tenant:   query.request.Tenant,
		Key:      query.request.Key,
		TimeLeft: query.deadline.Sub(c.now),
		IsRetry:  query.request.IsRetry,
		Parts:    len(specs),
	})
	c.submitParts(query, specs, "")
}

// submitParts makes the parts of a query's step and hands them to the balancer. The suffix ends their names.
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

// dropParts forgets the parts of the present step: ends of their attempts count no longer.
func (c *Core) dropParts(q *query) {
	for _, p := range q.parts {
		delete(c.parts, p.id)
		p.over.Store(true)
	}
}

// isOpen says that a part belongs to the present step of an open query.
func (c *Core) isOpen(p *part) bool { return c.parts[p.id] == p }

// releaseRequestID gives up one use of a query's request id. While one is left no other query may have the id: its
// parts would have the names of parts that are in flight, and servers would take them for repetitions.
func (c *Core) releaseRequestID(q *query) {
	id := q.request.ID
	c.requestIDs[id]--
	if c.requestIDs[id] <= 0 {
		delete(c.requestIDs, id)
	}
}

// clientDisconnected ends the query of a request, if it is open still. Nobody is left to answer.
func (c *Core) clientDisconnected(request *Request) {
	if q := c.byRequest[request]; q != nil {
		c.notify(balance.ClientDisconnected{Query: q.id})
		c.close(q, FinalAnswer{Status: StatusDisconnected})
	}
}

// openQueries are the open queries in the order of their ids: nothing may depend on the order of a map.
func (c *Core) openQueries() (open []*query) {
	for _, q := range c.queries {
		open = append(open, q)
	}
	slices.SortFunc(open, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	return open
}
