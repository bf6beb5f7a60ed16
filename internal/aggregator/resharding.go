package aggregator

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Resharding contains what a core needs where the shard map changes. All fields are set; the functions are called on
// the loop and must not block.
type Resharding struct {
	Views *shardmap.Views
	// RequestMap requests a newer map from the map source.
	RequestMap func()
	// RequestMapSoon does so after a short delay, for a source that may be behind.
	RequestMapSoon func()
	// Adopted is called with each map that is adopted, and the previous one (nil at first).
	Adopted func(previous, adopted *shardmap.Map)
	// Rejected is called for each offer that is not adopted because of an error.
	Rejected func(source string, err error)
}

// pinView pins a query to the current view and returns its parts; none if there is no view yet.
func (c *Core) pinView(query *query) []PartSpec {
	query.view = c.Resharding.Views.Pin()
	if query.view == nil {
		return nil
	}
	specs := query.request.Layout(query.view)
	query.placement = &shardmap.QueryPlacement{
		View:       query.view,
		Idempotent: c.isIdempotent(query.request.Class),
		Restarts:   query.restarts,
	}
	return specs
}

// unpinView releases the view that a query is pinned to, if any.
func (c *Core) unpinView(q *query) {
	if q.view != nil {
		c.Resharding.Views.Release(q.view)
		q.view = nil
	}
}

func (c *Core) isIdempotent(class int) bool {
	return class >= 0 && class < len(c.limits.NonIdempotent) && !c.limits.NonIdempotent[class]
}

// addToPlacement adds a part to its query's placement and returns the servers that it may be sent to; nil where the
// servers of a shard are fixed.
func (c *Core) addToPlacement(query *query, part *part) []balance.Candidate {
	if query.placement == nil {
		return nil
	}
	entry := shardmap.Part{Shard: shardmap.ID(part.spec.Shard)}
	candidates := []balance.Candidate{}
	for _, replica := range query.servingReplicas(part) {
		entry.Servers = append(entry.Servers, replica.Server)
		candidates = append(candidates, c.candidate(replica))
	}
	part.placementIndex = len(query.placement.Parts)
	query.placement.Parts = append(query.placement.Parts, entry)
	return candidates
}

// servingReplicas returns the replicas that serve a part's shard by the query's view.
func (q *query) servingReplicas(p *part) []shardmap.Replica {
	shard := q.view.Map.Shard(shardmap.ID(p.spec.Shard))
	if shard == nil {
		return nil
	}
	return shard.ServingReplicas()
}

func (c *Core) candidate(replica shardmap.Replica) balance.Candidate {
	return balance.Candidate{
		Replica:         balance.Replica(replica.Server),
		TrafficFraction: c.Resharding.Views.TrafficFraction(c.now, replica),
	}
}

// shardMapOffered handles the response of a map source: a map, an error, or neither if the source has nothing newer.
func (c *Core) shardMapOffered(offered ShardMapOffered) {
	resharding := c.Resharding
	if resharding == nil {
		return
	}
	switch {
	case offered.Err != nil: // the source may still have a newer map
		resharding.Rejected(offered.Source, offered.Err)
		return
	case offered.Map == nil:
		resharding.noNewerMap(c.now)
	default:
		resharding.offer(c.now, offered)
	}
	for _, q := range c.openQueries() {
		if q.awaitingMap {
			c.reroute(q)
		}
	}
}

// offer adopts an offered map, if it may follow the current one.
func (r *Resharding) offer(now time.Time, offered ShardMapOffered) {
	previous := r.Views.Current()
	adopted, err := r.Views.Offer(now, offered.Map)
	switch {
	case err != nil:
		r.Rejected(offered.Source, err)
	case adopted:
		r.Adopted(previous, offered.Map)
	default:
		r.noNewerMap(now)
	}
}

// noNewerMap records that the source has nothing newer, and requests a map again soon if the source may be behind.
func (r *Resharding) noNewerMap(now time.Time) {
	if r.Views.HandleSourceUnchanged(now) {
		r.RequestMapSoon()
	}
}

// rerouteExpiredViews reroutes the queries that are pinned to expired views. A query with a part that may be running
// and must not run twice stays on its view until its answer or its deadline.
func (c *Core) rerouteExpiredViews() {
	if c.Resharding == nil {
		return
	}
	for _, view := range c.Resharding.Views.Expired(c.now) {
		for _, q := range c.openQueries() {
			if q.view == view && q.mayLeaveView() {
				c.reroute(q)
			}
		}
	}
}

// mayLeaveView reports whether the query is not restarting already, and none of its parts that must not run twice may
// be running.
func (q *query) mayLeaveView() bool {
	return !q.restarting && (q.placement.Idempotent || q.inFlight == 0)
}

// rejectedByShardMap handles the rejection of an open part by a server that does not serve its shard. It reports
// whether the shard map contradicts the server.
func (c *Core) rejectedByShardMap(attempt *attempt, failure *AttemptError) (falseRejection bool) {
	part := attempt.part
	query := part.query
	views := c.Resharding.Views
	decision := query.placement.Rejected(views, shardmap.Rejection{
		Part:       part.placementIndex,
		Server:     string(attempt.server),
		Mismatch:   failure.MapStatus,
		Epoch:      failure.Epoch,
		RequestMap: views.ObserveEpoch(c.now, failure.Epoch),
	})
	if decision.FalseRejection {
		views.Stats.FalseRejections++
	}
	if decision.RequestMap {
		c.Resharding.RequestMap()
	}
	if decision.QueryContinues() {
		c.applyDecision(query, decision)
	} else {
		c.notify(balance.CandidatesChanged{Part: part.id, Candidates: c.remainingCandidates(query, part)})
	}
	return decision.FalseRejection
}

// remainingCandidates returns the servers that a part may still be sent to.
func (c *Core) remainingCandidates(q *query, p *part) []balance.Candidate {
	candidates := []balance.Candidate{}
	for _, replica := range q.servingReplicas(p) {
		if slices.Contains(q.placement.Parts[p.placementIndex].Servers, replica.Server) {
			candidates = append(candidates, c.candidate(replica))
		}
	}
	return candidates
}

// reroute restarts, suspends or closes a query that cannot continue on its view.
func (c *Core) reroute(q *query) {
	c.applyDecision(q, q.placement.DecideUnusableView(c.Resharding.Views))
}

// applyDecision restarts a query, lets it wait for a newer map, or closes it.
func (c *Core) applyDecision(query *query, decision shardmap.Decision) {
	if !query.restarting && !query.awaitingMap { // it is still open at the balancer
		c.notify(balance.ClientDisconnected{Query: query.id})
		c.dropParts(query)
	}
	switch {
	case decision.Restart:
		c.prepareRestart(query)
	case decision.AwaitMap:
		c.waitForMap(query)
	default:
		query.awaitingMap = false
		c.closeUnroutable(query)
	}
}

// prepareRestart cancels the attempts of a query and restarts it once none is in flight: a part's next attempt must not
// run concurrently with the previous one.
func (c *Core) prepareRestart(query *query) {
	query.restarting = true
	query.awaitingMap = false
	query.restarts++
	c.Counters.Restarts++
	c.Resharding.Views.Stats.Restarts++
	for _, a := range c.attemptsInFlight(func(a *attempt) bool { return a.part.query == query }) {
		c.cancel(a)
	}
	if query.inFlight == 0 {
		c.restartQuery(query)
	}
}

// waitForMap lets a query wait until a newer map is offered, or its deadline expires.
func (c *Core) waitForMap(q *query) {
	if !q.awaitingMap {
		c.Counters.MapWaits++
		c.Resharding.Views.Stats.Waits++
	}
	q.awaitingMap = true
}

// closeUnroutable closes a query that no view can be used for.
func (c *Core) closeUnroutable(q *query) {
	if q.placement.Idempotent || !q.placement.MayHaveRun() {
		c.close(q, c.rejection())
	} else {
		c.close(q, FinalAnswer{Status: StatusFailed})
	}
}

// restartQuery submits a query to the balancer again, on the current view and under a new id.
func (c *Core) restartQuery(query *query) {
	query.restarting = false
	c.unpinView(query)
	c.changeID(query)
	specs := c.pinView(query)
	if !c.now.Before(query.deadline) || len(specs) == 0 {
		c.close(query, c.rejection())
		return
	}
	c.submit(query, specs)
}

// changeID assigns a new id to a query. The deadline queue orders by id, so the query is removed and pushed again.
func (c *Core) changeID(q *query) {
	delete(c.queries, q.id)
	c.deadlines.Remove(q)
	q.id = c.nextID()
	c.queries[q.id] = q
	c.deadlines.Push(q)
}

// mayReroute reports whether the balancer may have rejected or failed a query because of its outdated view.
func (c *Core) mayReroute(q *query) bool {
	if c.Resharding == nil || c.deadlineReached(q) {
		return false
	}
	return !q.restarting && !q.awaitingMap && q.inFlight == 0 && c.hasUnservablePart(q)
}

// hasUnservablePart reports whether a part of a query's first step is unanswered and has no server in service.
func (c *Core) hasUnservablePart(query *query) bool {
	if query.placement == nil || query.followUp {
		return false
	}
	available := func(server string) bool { return c.Available(balance.Replica(server)) }
	for _, p := range query.parts {
		placed := &query.placement.Parts[p.placementIndex]
		if !placed.Answered && !slices.ContainsFunc(placed.Servers, available) {
			return true
		}
	}
	return false
}
