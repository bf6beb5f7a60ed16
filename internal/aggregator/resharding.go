package aggregator

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Resharding is what a core has to do with maps of blocks that change. It is nil where holders are fixed.
type Resharding struct {
	Views *shardmap.Views
	// RequestMap has the source asked for a newer map. It is called on the loop and must not block.
	RequestMap func()
	// RequestMapSoon has it asked in a moment: it may be late.
	RequestMapSoon func()
	// Adopted is told of each map that is adopted, and what was before (nil at first); Refused of each that is not.
	Adopted  func(old, now *shardmap.Map)
	Rejected func(source string, err error)
}

// pin makes a query's parts from the present view.
func (c *Core) pin(q *query) []PartSpec {
	q.view = c.Resharding.Views.Pin()
	if q.view == nil {
		return nil
	}
	specs := q.req.Layout(q.view)
	q.flight = &shardmap.QueryPlacement{View: q.view, Idempotent: c.safe(q.req.Class), Restarts: q.restarts}
	return specs
}

func (c *Core) safe(class int) bool {
	return class >= 0 && class < len(c.lim.NonIdempotent) && !c.lim.NonIdempotent[class]
}

// unpin lets the view go.
func (c *Core) unpin(q *query) {
	if q.view != nil {
		c.Resharding.Views.Release(q.view)
		q.view = nil
	}
}

// place notes a part in the flight and says who may be asked for it.
func (c *Core) place(now time.Time, q *query, p *part) (list []balance.Candidate) {
	if q.flight == nil {
		return nil
	}
	id := shardmap.ID(p.spec.Shard)
	entry := shardmap.Part{Shard: id}
	list = []balance.Candidate{}
	if b := q.view.Map.Shard(id); b != nil {
		for _, h := range b.ServingReplicas() {
			entry.Servers = append(entry.Servers, h.Server)
			list = append(list, balance.Candidate{Replica: balance.Replica(h.Server), TrafficFraction: c.Resharding.Views.TrafficFraction(now, h)})
		}
	}
	p.at = len(q.flight.Parts)
	q.flight.Parts = append(q.flight.Parts, entry)
	return list
}

// mapped takes word of a source of maps.
func (c *Core) mapped(now time.Time, e ShardMapOffered, told []balance.Event) []balance.Event {
	r := c.Resharding
	if r == nil {
		return told
	}
	switch {
	case e.Err != nil: // it may have a newer one all the same
		r.Rejected(e.Source, e.Err)
		return told
	case e.Map == nil:
		if r.Views.SourceUnchanged(now) {
			r.RequestMapSoon()
		}
	default:
		old := r.Views.Current()
		adopted, err := r.Views.Offer(now, e.Map)
		if err != nil {
			r.Rejected(e.Source, err)
		}
		if adopted {
			r.Adopted(old, e.Map)
		} else if err == nil && r.Views.SourceUnchanged(now) {
			r.RequestMapSoon()
		}
	}
	// Those that wait begin anew, or wait no longer.
	for _, q := range c.all() {
		if q.waits {
			told = c.stranded(now, q, told)
		}
	}
	return told
}

// leave makes queries leave views that are held too long.
func (c *Core) leave(now time.Time, told []balance.Event) []balance.Event {
	if c.Resharding == nil {
		return told
	}
	for _, v := range c.Resharding.Views.Expired(now) {
		for _, q := range c.all() {
			// What may be running and must not run twice stays until its answer, or its deadline.
			if q.view == v && !q.anew && (q.flight.Idempotent || q.out == 0) {
				told = c.stranded(now, q, told)
			}
		}
	}
	return told
}

// turnedAway takes a server's word that it does not hold the part's block, and never ran it.
func (c *Core) turnedAway(now time.Time, a *attempt, cause *AttemptError, told []balance.Event) (lie bool, _ []balance.Event) {
	p, q := a.part, a.part.q
	r := c.Resharding
	if r == nil || q.flight == nil || c.parts[p.id] != p {
		return false, told
	}
	ask := r.Views.ObserveEpoch(now, cause.Epoch)
	v := q.flight.Rejected(r.Views, p.at, string(a.server), cause.MapStatus, cause.Epoch, ask)
	if v.FalseRejection {
		r.Views.Stats.FalseRejections++
	}
	if v.RequestMap {
		r.RequestMap()
	}
	if v.Restart || v.AwaitMap {
		return v.FalseRejection, c.verdict(now, q, v, told)
	}
	left := []balance.Candidate{}
	if b := q.view.Map.Shard(shardmap.ID(p.spec.Shard)); b != nil {
		for _, h := range b.ServingReplicas() {
			if slices.Contains(q.flight.Parts[p.at].Servers, h.Server) {
				left = append(left, balance.Candidate{Replica: balance.Replica(h.Server), TrafficFraction: r.Views.TrafficFraction(now, h)})
			}
		}
	}
	return v.FalseRejection, append(told, balance.CandidatesChanged{Part: p.id, Candidates: left})
}

// stranded decides on a query whose view is of no more use to it.
func (c *Core) stranded(now time.Time, q *query, told []balance.Event) []balance.Event {
	return c.verdict(now, q, q.flight.ViewUnusable(c.Resharding.Views), told)
}

// verdict carries out what was decided on a query: it begins anew, waits for a newer map, or ends.
func (c *Core) verdict(now time.Time, q *query, v shardmap.Decision, told []balance.Event) []balance.Event {
	if !q.anew && !q.waits { // the decisions on it begin anew, too
		told = append(told, balance.ClientDisconnected{Query: q.id})
		for _, p := range q.parts {
			delete(c.parts, p.id)
		}
	}
	switch {
	case v.Restart:
		q.anew, q.waits = true, false
		q.restarts++
		c.Counters.Restarts++
		c.Resharding.Views.Stats.Restarts++
		// Nothing of it may be out any more: a part's next attempt would be a second copy.
		for _, a := range c.out(func(a *attempt) bool { return a.part.q == q }) {
			c.withdraw(now, a.id, a)
		}
		if q.out == 0 {
			told = c.again(now, q, told)
		}
	case v.AwaitMap:
		if !q.waits {
			c.Counters.MapWaits++
			c.Resharding.Views.Stats.Waits++
		}
		q.waits = true
	default:
		q.waits = false
		if q.flight.Idempotent || !q.flight.MayHaveRun() {
			c.close(q, FinalAnswer{Status: StatusRejected, RetryAfter: c.lim.RetryAfter})
		} else {
			c.close(q, FinalAnswer{Status: StatusFailed})
		}
	}
	return told
}

// again begins a query anew on the present view.
func (c *Core) again(now time.Time, q *query, told []balance.Event) []balance.Event {
	q.anew = false
	c.unpin(q)
	delete(c.queries, q.id)
	c.ends.Remove(q) // it stands there by its id
	c.next++
	q.id = c.next
	c.queries[q.id] = q
	c.ends.Push(q)
	specs := c.pin(q)
	if !now.Before(q.end) || len(specs) == 0 {
		c.close(q, FinalAnswer{Status: StatusRejected, RetryAfter: c.lim.RetryAfter})
		return told
	}
	return c.tellQuery(now, q, specs, told)
}

// tellQuery tells the decisions of a query and its parts.
func (c *Core) tellQuery(now time.Time, q *query, specs []PartSpec, told []balance.Event) []balance.Event {
	r := q.req
	told = append(told, balance.Query{
		ID: q.id, Group: uint64(q.id), Class: r.Class, Tenant: r.Tenant, Key: r.Key,
		TimeLeft: q.end.Sub(now), IsRetry: r.IsRetry, Parts: len(specs),
	})
	return c.addParts(now, q, specs, "", told)
}

// orphaned says whether a query that the decisions gave up has a part that nobody in service may be asked for.
func (c *Core) orphaned(q *query) bool {
	if q.flight == nil || q.step > 0 {
		return false
	}
	for _, p := range q.parts {
		f := &q.flight.Parts[p.at]
		if !f.Answered && !slices.ContainsFunc(f.Servers, func(s string) bool { return c.Available(balance.Replica(s)) }) {
			return true
		}
	}
	return false
}

// gaveUp ends a query that the decisions have given up, or begins it anew where its view was the reason.
func (c *Core) gaveUp(now time.Time, q *query, f FinalAnswer, told []balance.Event) []balance.Event {
	if c.Resharding != nil && !q.anew && !q.waits && q.out == 0 && now.Before(q.end.Add(-c.lim.DeadlineMargin)) && c.orphaned(q) {
		if v := q.flight.ViewUnusable(c.Resharding.Views); v.Restart || v.AwaitMap {
			return c.verdict(now, q, v, told)
		}
	}
	c.close(q, f)
	return told
}
