package aggregator

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/outlier"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/control/timers"
)

// clockMargin is how long before its start a core's clock begins, so that servers' starts lie after zero.
const clockMargin = 24 * time.Hour

// clockStep divides the clocks of all cores alike, so that words can say when they were sent.
const clockStep = 1 << 16 * time.Millisecond

type query struct {
	id    balance.ID
	req   *Request
	end   time.Time
	parts []*part // of the present step
	step  int
	first []*part // parts of the first step that were in
	whole bool    // the first step was

	out      int            // attempts out
	view     *shardmap.View // that it is pinned to; nil where holders are fixed
	flight   *shardmap.QueryPlacement
	restarts int
	anew     bool // it begins anew once nothing of it is out
	waits    bool // for a newer map
	place    int  // among the ends
}

// Deadline is the end of the client's time.
func (q *query) Deadline() (time.Time, uint64) { return q.end, uint64(q.id) }

// QueueIndex is where it stands among the ends.
func (q *query) QueueIndex() *int { return &q.place }

type part struct {
	id    balance.ID
	q     *query
	spec  PartSpec
	name  string
	tries int
	in    bool
	score float64
	value string
	at    int // in the query's flight

	maybe []time.Time // sending of its attempts that are out, or may have run
}

type attempt struct {
	part    *part
	server  balance.Replica
	sent    time.Time
	until   time.Time
	expired bool // its time is over; waiting for the server to be told
	asked   bool // withdrawal asked for
	id      AttemptID
	seq     uint64 // as sent
	place   int    // among the time-outs
}

// Deadline is when the attempt times out.
func (a *attempt) Deadline() (time.Time, uint64) { return a.until, a.seq }

// QueueIndex is where it stands among the time-outs.
func (a *attempt) QueueIndex() *int { return &a.place }

// Core holds the open queries and attempts of one mixer.
type Core struct {
	Counters   Counters
	Observer   AttemptObserver // if set, told of each attempt's end
	Resharding *Resharding     // nil: holders are fixed
	Gossip     GossipSender    // nil: no words are sent
	Outliers   *outlier.Table  // nil: servers are not weighed by what other mixers lose there; set with Peers
	decide     *balance.Balancer
	backend    Backend
	lim        Limits
	epoch      time.Time

	next     balance.ID
	queries  map[balance.ID]*query
	byReq    map[*Request]*query
	names    map[string]int // ids of open queries, and of those with attempts out: how many hold each
	parts    map[balance.ID]*part
	attempts map[AttemptID]*attempt
	sent     uint64                         // attempts so far
	ends     timers.DeadlineQueue[*query]   // of the open queries
	timeouts timers.DeadlineQueue[*attempt] // of the attempts out that are not over yet
	servers  map[balance.Replica]Server
	wakeAt   time.Time
	now      time.Time // of this turn

	calls []outCall // of this turn
}

type outCall struct {
	to    balance.Replica
	calls []Call
}

// Limits are what a core keeps to beside the decisions.
type Limits struct {
	FollowUpParts []int  // of each class: parts of its second step; 0: one step only
	NonIdempotent []bool // of each class, where maps of blocks change: no part may run twice
	// DedupWindows are how long after an attempt that may have run a part of each class may be sent again; 0: no such limit.
	DedupWindows   []time.Duration
	MaxOpen        int           // queries and parts held; 0: not limited
	MaxCallParts   int           // most parts that share one call; 0: one
	RetryAfter     time.Duration // advice to a client turned away because of it
	DeadlineMargin time.Duration // a query given up so long before its end has run out of time
}

// NewCore returns a core that decides by b.
func NewCore(b *balance.Balancer, backend Backend, lim Limits, start time.Time) *Core {
	return &Core{
		decide: b, backend: backend, lim: lim, epoch: start.Add(-clockMargin - start.Sub(start.Truncate(clockStep))),
		queries: map[balance.ID]*query{}, byReq: map[*Request]*query{}, names: map[string]int{},
		parts: map[balance.ID]*part{}, attempts: map[AttemptID]*attempt{}, servers: map[balance.Replica]Server{},
	}
}

// Available says whether a server takes new work by the list as last told.
func (c *Core) Available(id balance.Replica) bool {
	s, ok := c.servers[id]
	return ok && s.State == balance.InService
}

// Server is what is listed of a server; one that is gone has no address.
func (c *Core) Server(id balance.Replica) Server {
	s := c.servers[id]
	s.ID = id
	return s
}

// OpenQueries is the number of open queries.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Load is the number of queries and parts held, as Limits.MaxOpen counts them.
func (c *Core) Load() int { return len(c.queries) + len(c.parts) }

// InService is the number of servers in service.
func (c *Core) InService() int {
	n := 0
	for id := range c.servers {
		if c.Available(id) {
			n++
		}
	}
	return n
}

func (c *Core) clock(t time.Time) time.Duration { return t.Sub(c.epoch) }

// Turn takes events, lets the decisions act on them, and returns when the next turn is due at the latest;
// zero if nothing is.
func (c *Core) Turn(now time.Time, events []Event) (next time.Time) {
	c.now = now
	var told []balance.Event
	for _, e := range events {
		told = c.event(now, e, told)
	}
	told = c.leave(now, told)
	expired := c.timeouts.Pop(now)
	slices.SortFunc(expired, func(a, b *attempt) int { return cmp.Compare(a.seq, b.seq) }) // as they were sent
	for _, a := range expired {
		a.expired = true
		c.withdraw(now, a.id, a)
	}
	// One final answer while the client's time lasts, whatever the decisions do. Guards against a query left
	// open by a turn that came too late for them.
	overdue := c.ends.Pop(now)
	slices.SortFunc(overdue, func(q, o *query) int { return cmp.Compare(q.id, o.id) })
	for _, q := range overdue {
		told = append(told, balance.ClientDisconnected{Query: q.id})
		c.close(q, FinalAnswer{Status: StatusFailed, DeadlineExceeded: true})
	}
	if !c.wakeAt.IsZero() && !now.Before(c.wakeAt) {
		c.wakeAt = time.Time{}
		told = append(told, balance.TimerFired{})
	}
	c.act(now, c.decide.Turn(c.clock(now), c.weigh(now, told)))
	c.tellLosses(now)
	return c.due()
}

// weigh tells the decisions which servers' shares have changed by what the mixers lose there: before what came in
// this turn, so that its queries go by it.
func (c *Core) weigh(now time.Time, told []balance.Event) []balance.Event {
	if c.Outliers == nil {
		return told
	}
	m := balance.EndpointList{Kind: balance.ListDelta}
	for _, id := range c.Outliers.Update(c.clock(now)) {
		if s, ok := c.servers[balance.Replica(id)]; ok {
			m.Endpoints = append(m.Endpoints, c.member(s))
		}
	}
	if len(m.Endpoints) == 0 {
		return told
	}
	return append([]balance.Event{m}, told...)
}

// tellLosses sends the other mixers what was lost here.
func (c *Core) tellLosses(now time.Time) {
	if c.Outliers == nil || c.Gossip == nil {
		return
	}
	if text := c.Outliers.NextMessage(c.clock(now)); text != nil {
		c.Counters.GossipSent++
		c.Gossip.Broadcast(text)
	}
}

// all are the open queries in the order of their arrival.
func (c *Core) all() (open []*query) {
	for _, q := range c.queries {
		open = append(open, q)
	}
	slices.SortFunc(open, func(q, o *query) int { return cmp.Compare(q.id, o.id) })
	return open
}

// out are the attempts out for which is holds, as they were sent: nothing must depend on a map's order.
func (c *Core) out(is func(*attempt) bool) (list []*attempt) {
	for _, a := range c.attempts {
		if is(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

func (c *Core) due() (next time.Time) {
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	sooner(c.wakeAt)
	if t, ok := c.timeouts.Next(); ok {
		sooner(t)
	}
	if t, ok := c.ends.Next(); ok {
		sooner(t)
	}
	if c.Resharding != nil {
		sooner(c.Resharding.Views.NextExpiry())
	}
	return next
}

func (c *Core) event(now time.Time, e Event, told []balance.Event) []balance.Event {
	switch e := e.(type) {
	case RequestArrived:
		return c.arrive(now, e.Request, told)
	case ClientDisconnected:
		if q := c.byReq[e.Request]; q != nil {
			told = append(told, balance.ClientDisconnected{Query: q.id})
			c.close(q, FinalAnswer{Status: StatusDisconnected})
		}
	case AttemptEnded:
		return c.ended(now, e, told)
	case ProbeEnded:
		told = append(told, balance.ProbeEnded{
			Replica: e.Server, Result: result(e.Err), Elapsed: e.Elapsed, Report: e.Report,
		})
	case LateAnswer:
		if c.Outliers != nil {
			c.Outliers.AttemptEnded(c.clock(now), string(e.Server), c.clock(now), outlier.Answered)
		}
	case EndpointsChanged:
		told = append(told, c.members(e))
	case GossipReceived:
		c.Counters.GossipReceived++
		if c.Outliers != nil && outlier.IsMessage(e.Payload) {
			c.Outliers.Receive(c.clock(now), e.Payload)
			return told
		}
		if !balance.IsGossip(e.Payload) {
			c.Counters.GossipInvalid++
			return told
		}
		told = append(told, balance.GossipReceived{Payload: e.Payload})
	case ShardMapOffered:
		return c.mapped(now, e, told)
	default:
		panic(fmt.Sprintf("mixer: no such event: %T", e))
	}
	return told
}

func (c *Core) members(e EndpointsChanged) balance.Event {
	if e.Kind != balance.ListDelta && e.Kind != balance.ListFailed {
		clear(c.servers)
	}
	m := balance.EndpointList{Kind: e.Kind}
	for _, s := range e.Servers {
		if s.State == balance.Removed {
			delete(c.servers, s.ID)
		} else {
			c.servers[s.ID] = s
			if c.Outliers != nil {
				c.Outliers.Add(string(s.ID), c.started(s))
			}
		}
		m.Endpoints = append(m.Endpoints, c.member(s))
	}
	if c.Outliers != nil {
		c.Outliers.Retain(func(id string) bool { _, ok := c.servers[balance.Replica(id)]; return ok })
	}
	return m
}

// started is when a server's process began; 0: long ago.
func (c *Core) started(s Server) time.Duration {
	if s.Started.IsZero() {
		return 0
	}
	return max(0, c.clock(s.Started))
}

// member is a server as the decisions are told of it.
func (c *Core) member(s Server) balance.Endpoint {
	entry := balance.Endpoint{
		HealthLimits: s.HealthLimits, Replica: s.ID, Zone: s.Zone, Cell: s.Cell, Size: s.Weight, State: s.State, Started: c.started(s),
	}
	if c.Outliers != nil {
		if share := c.Outliers.TrafficShare(string(s.ID)); share < 1 {
			entry.TrafficFraction = min(share, cmp.Or(entry.TrafficFraction, 1))
		}
	}
	return entry
}

func (c *Core) arrive(now time.Time, r *Request, told []balance.Event) []balance.Event {
	c.Counters.Received++
	end := r.Arrived.Add(r.Timeout)
	// A mixer holds only so many queries and parts. Guards its memory, as the simulator's entrance does.
	if c.lim.MaxOpen > 0 && len(c.queries)+len(c.parts) >= c.lim.MaxOpen || c.names[r.ID] > 0 || !now.Before(end) {
		c.Counters.Rejected++
		c.Counters.RejectedAtCapacity++
		c.tell(r, FinalAnswer{Status: StatusRejected, RetryAfter: c.lim.RetryAfter})
		return told
	}
	c.next++
	q := &query{id: c.next, req: r, end: end}
	c.queries[q.id], c.byReq[r] = q, q
	c.ends.Push(q)
	c.names[r.ID]++
	specs := r.Parts
	if c.Outliers != nil {
		c.Outliers.AccrueBudget(1 + len(specs))
	}
	if r.Layout != nil {
		if specs = c.pin(q); len(specs) == 0 { // no map yet
			c.close(q, FinalAnswer{Status: StatusRejected, RetryAfter: c.lim.RetryAfter})
			return told
		}
	}
	return c.tellQuery(now, q, specs, told)
}

func (c *Core) addParts(now time.Time, q *query, specs []PartSpec, suffix string, told []balance.Event) []balance.Event {
	q.parts = nil
	if q.flight != nil {
		q.flight.Parts, q.flight.SecondStep = nil, q.step > 0
	}
	for _, s := range specs {
		c.next++
		p := &part{id: c.next, q: q, spec: s, name: fmt.Sprintf("%s.%d%s", q.req.ID, s.Shard, suffix)}
		c.parts[p.id] = p
		q.parts = append(q.parts, p)
		told = append(told, balance.Part{
			ID: p.id, Group: uint64(q.id), Shard: s.Shard, Weight: s.Weight, WorkHint: s.WorkHint, Candidates: c.place(now, q, p),
		})
	}
	return told
}

func (c *Core) ended(now time.Time, e AttemptEnded, told []balance.Event) []balance.Event {
	a := c.attempts[e.Attempt]
	if a == nil {
		return told // ended before: late word is dropped by attempt, not by part
	}
	delete(c.attempts, e.Attempt)
	c.timeouts.Remove(a)
	p, q := a.part, a.part.q
	q.out--
	c.release(q)
	r := result(e.Err)
	if a.expired && (r == balance.Canceled || r == balance.NotSent) {
		r = balance.TimedOut
	}
	c.Counters.Results[r]++
	if r == balance.QueueFull || r == balance.ConnectFailed || r == balance.NotSent { // it never ran
		if i := slices.Index(p.maybe, a.sent); i >= 0 {
			p.maybe = slices.Delete(p.maybe, i, i+1)
		}
	}
	if r == balance.OK && !p.in && c.parts[p.id] == p {
		p.in, p.score, p.value = true, e.Score, e.Value
	}
	var cause *AttemptError
	errors.As(e.Err, &cause)
	lie := false
	if q.flight != nil && c.parts[p.id] == p {
		f := &q.flight.Parts[p.at]
		f.InFlight = false // one attempt of a part is out at a time
		f.Answered = f.Answered || p.in
		f.MayHaveRun = f.MayHaveRun || r == balance.Failed || r == balance.TimedOut || r == balance.Reset || r == balance.Canceled
		if cause != nil && cause.MapStatus != shardmap.NoMismatch {
			lie, told = c.turnedAway(now, a, cause, told)
		}
	}
	seen := AttemptSummary{Server: a.server, Class: q.req.Class, Result: r, Sent: a.sent, LocalCause: cause != nil && cause.LocalCause, FalseRejection: lie}
	if c.Outliers != nil {
		c.Outliers.AttemptEnded(c.clock(now), string(a.server), c.clock(a.sent), seen.end())
	}
	if c.Observer != nil {
		c.Observer.AttemptEnded(now, seen)
	}
	told = append(told, balance.AttemptEnded{
		Part: e.Attempt.Part, Attempt: e.Attempt.Number, Replica: a.server, Result: r,
		Elapsed: now.Sub(a.sent), Report: e.Report,
	})
	if q.anew && q.out == 0 && c.queries[q.id] == q {
		told = c.again(now, q, told)
	}
	return told
}

func (c *Core) withdraw(now time.Time, id AttemptID, a *attempt) {
	if !a.asked {
		a.asked = true
		c.Counters.Canceled++
		c.backend.Cancel(now, id, c.parts[a.part.id] == a.part && !a.part.in)
	}
}

// act carries out actions in order. Sends of one turn to one server share calls. The parts of a second step
// are told to the decisions at once, as they are known at once.
func (c *Core) act(now time.Time, actions []balance.Action) {
	for len(actions) > 0 {
		var told []balance.Event
		for _, a := range actions {
			switch a := a.(type) {
			case balance.Send:
				c.send(now, a)
			case balance.Hedge:
				c.send(now, balance.Send(a))
			case balance.Cancel:
				id := AttemptID{a.Part, a.Attempt}
				if out := c.attempts[id]; out != nil {
					c.withdraw(now, id, out)
				}
			case balance.Answer:
				told = c.answer(now, a, told)
			case balance.Reject:
				if q := c.queries[a.Query]; q != nil {
					told = c.gaveUp(now, q, FinalAnswer{Status: StatusRejected, RetryAfter: a.RetryAfter}, told)
				}
			case balance.Fail:
				if q := c.queries[a.Query]; q != nil {
					told = c.gaveUp(now, q, FinalAnswer{Status: StatusFailed}, told)
				}
			case balance.Probe:
				c.Counters.Probes++
				c.backend.Probe(now, c.Server(a.Replica))
			case balance.SendGossip:
				if c.Gossip != nil {
					c.Counters.GossipSent++
					c.Gossip.Broadcast(a.Payload)
				}
			case balance.StartTimer:
				c.wakeAt = now.Add(a.After)
			case balance.WatchEndpoints: // the directory watches all the time
			}
		}
		actions = nil
		if len(told) > 0 {
			actions = c.decide.Turn(c.clock(now), told)
		}
	}
	for _, o := range c.calls {
		c.backend.Send(now, c.Server(o.to), o.calls)
	}
	c.calls = nil
}

func (c *Core) send(now time.Time, a balance.Send) {
	p := c.parts[a.Part]
	if p == nil {
		return
	}
	q := p.q
	until := q.end
	if a.Timeout > 0 && now.Add(a.Timeout).Before(until) {
		until = now.Add(a.Timeout)
	}
	id := AttemptID{p.id, p.tries}
	p.tries++
	c.sent++
	out := &attempt{part: p, server: a.Replica, sent: now, until: until, id: id, seq: c.sent}
	c.attempts[id] = out
	c.timeouts.Push(out)
	q.out++
	if q.flight != nil {
		q.flight.Parts[p.at].InFlight = true
	}
	c.names[q.req.ID]++
	c.Counters.Sent++
	call := Call{
		Attempt: id, Name: p.name, Class: q.req.Class, Shard: p.spec.Shard, Deadline: until, Payload: q.req.Payload,
		FollowUp: q.step > 0, FirstStepComplete: q.whole,
	}
	if q.view != nil {
		call.Epoch = q.view.Map.Epoch
	}
	// The decisions keep to the window when they choose; a connection that comes up late, or is slow, may not.
	if w := c.window(q.req.Class); w > 0 && len(p.maybe) > 0 {
		call.WriteBy = slices.MinFunc(p.maybe, time.Time.Compare).Add(w)
	}
	p.maybe = append(p.maybe, now)
	for _, f := range q.first {
		call.FirstStepShards = append(call.FirstStepShards, f.spec.Shard)
	}
	for i := range c.calls {
		// Guards the parts of a call that is too long: leaf servers turn all of them away.
		if c.calls[i].to == a.Replica && len(c.calls[i].calls) < c.lim.MaxCallParts {
			c.calls[i].calls = append(c.calls[i].calls, call)
			return
		}
	}
	c.calls = append(c.calls, outCall{a.Replica, []Call{call}})
}

// answer ends a query's step with the parts that are in. A class with a second step goes on with parts at
// the highest-scoring of the shards that are in.
func (c *Core) answer(now time.Time, a balance.Answer, told []balance.Event) []balance.Event {
	q := c.queries[a.Query]
	if q == nil {
		return told
	}
	var in []*part
	final := FinalAnswer{Status: StatusServed, Complete: a.Complete, TotalParts: len(q.parts)}
	for _, p := range q.parts {
		if p.in {
			final.AnsweredWeight += p.spec.Weight
			in = append(in, p)
			final.Items = append(final.Items, Item{p.spec.Shard, p.value})
		} else {
			final.MissingShards = append(final.MissingShards, p.spec.Shard)
		}
	}
	if n := c.secondStep(q.req.Class); q.step == 0 && n > 0 && len(in) > 0 {
		c.Counters.FollowUps++
		q.step, q.first, q.whole = 1, in, a.Complete
		best := slices.Clone(in)
		slices.SortStableFunc(best, func(p, o *part) int { return cmp.Compare(o.score, p.score) })
		best = best[:min(n, len(best))]
		var specs []PartSpec
		for _, p := range best {
			specs = append(specs, PartSpec{Shard: p.spec.Shard, Weight: 1 / float64(len(best))})
		}
		for _, p := range q.parts {
			delete(c.parts, p.id)
		}
		return c.addParts(now, q, specs, ".phase2", told)
	}
	c.close(q, final)
	return told
}

// release lets go of a query's id once. Guards against a second copy of a part at a server: under an id that is
// still out, another query's part would be taken for it.
func (c *Core) release(q *query) {
	if c.names[q.req.ID]--; c.names[q.req.ID] <= 0 {
		delete(c.names, q.req.ID)
	}
}

func (c *Core) window(class int) time.Duration {
	if class < 0 || class >= len(c.lim.DedupWindows) {
		return 0
	}
	return c.lim.DedupWindows[class]
}

func (c *Core) secondStep(class int) int {
	if class < 0 || class >= len(c.lim.FollowUpParts) {
		return 0
	}
	return c.lim.FollowUpParts[class]
}

// close gives a query its one final answer.
func (c *Core) close(q *query, f FinalAnswer) {
	delete(c.queries, q.id)
	delete(c.byReq, q.req)
	c.ends.Remove(q)
	c.release(q)
	c.unpin(q)
	for _, p := range q.parts {
		delete(c.parts, p.id)
	}
	f.DeadlineExceeded = f.DeadlineExceeded || f.Status != StatusServed && !c.now.Before(q.end.Add(-c.lim.DeadlineMargin))
	if f.DeadlineExceeded && f.Status != StatusDisconnected {
		c.Counters.DeadlineExceeded++
	}
	switch f.Status {
	case StatusServed:
		c.Counters.Served++
		if !f.Complete {
			c.Counters.Partial++
		}
	case StatusRejected:
		c.Counters.Rejected++
	case StatusFailed:
		c.Counters.Failed++
	case StatusDisconnected:
		c.Counters.Disconnected++
		q.req.done = true
		return
	}
	c.tell(q.req, f)
}

// tell passes a final answer to its front. A panic there stops at that request.
func (c *Core) tell(r *Request, f FinalAnswer) {
	r.done = true
	defer func() {
		if p := recover(); p != nil {
			c.Counters.Panics++
			fmt.Fprintf(os.Stderr, "request %s: panic at its answer: %v\n", r.ID, p)
		}
	}()
	r.Frontend.Answer(f)
}

// Restart gives every open query its final answer and goes on with new decisions. Guards the process, and the
// queries it holds, against a panic in a turn: nothing of them is sent again.
func (c *Core) Restart(now time.Time, fresh *balance.Balancer, events []Event) {
	c.now = now
	c.Counters.Panics++
	for _, q := range c.all() {
		c.close(q, FinalAnswer{Status: StatusFailed})
	}
	for _, e := range events { // of the turn that failed, which may not have come to them
		switch e := e.(type) {
		case RequestArrived:
			if !e.Request.done {
				c.Counters.Failed++
				c.tell(e.Request, FinalAnswer{Status: StatusFailed})
			}
		case EndpointsChanged:
			c.members(e)
		}
	}
	c.calls, c.wakeAt, c.decide = nil, time.Time{}, fresh
	for _, a := range c.out(func(*attempt) bool { return true }) {
		delete(c.attempts, a.id)
		c.timeouts.Remove(a)
		c.release(a.part.q)
		if !a.asked {
			c.backend.Cancel(now, a.id, false)
		}
	}
	var list []Server
	for _, s := range c.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	fresh.Turn(c.clock(now), []balance.Event{c.members(EndpointsChanged{Kind: balance.ListFull, Servers: list})})
}
