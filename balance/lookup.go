package balance

// This file decides nothing: it looks up, adds and removes entries of a Balancer's state.

import (
	"slices"
	"time"
)

// replicas returns the servers in service that store a shard.
func (b *Balancer) replicas(shard int) []*server {
	var all []*server
	for j := range min(b.settings.Reach, b.settings.Cells) {
		all = append(all, b.cells[(shard+j)%b.settings.Cells]...)
	}
	return all
}

// candidates returns the servers in service to which a part may be sent.
func (b *Balancer) candidates(part *part) (all []*server) {
	if part.Candidates == nil {
		return b.replicas(part.Shard)
	}
	for _, c := range part.Candidates {
		if server := b.servers[c.Replica]; server != nil && server.Listed {
			all = append(all, server)
		}
	}
	return all
}

// indexEndpoints indexes the listed servers by cell and by gossip key.
func (b *Balancer) indexEndpoints() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	b.byGossipKey = map[uint32]*server{}
	b.fleet.Servers = b.fleet.Servers[:0]
	for _, server := range b.endpoints {
		b.fleet.Servers = append(b.fleet.Servers, &server.Server)
		if _, duplicate := b.byGossipKey[server.gossipKey]; duplicate || !server.Listed {
			b.byGossipKey[server.gossipKey] = nil
		} else {
			b.byGossipKey[server.gossipKey] = server
		}
		if server.Listed && server.cell >= 0 && server.cell < len(b.cells) {
			b.cells[server.cell] = append(b.cells[server.cell], server)
		}
	}
}

// addAttempt adds an attempt of a part, sent to a server now, to the attempts in flight.
func (b *Balancer) addAttempt(part *part, server *server) {
	added := &attempt{part: part, server: server, number: part.attempts, sent: b.now}
	part.attempts++
	part.inFlight = append(part.inFlight, added)
	b.attempts[attemptKey{part.ID, added.number}] = added
	b.fleet.RecordSend(&server.Server, part.query.Class, b.now)
}

// removeAttempt removes an ended attempt from the attempts in flight. It returns nil if there is none.
func (b *Balancer) removeAttempt(key attemptKey) *attempt {
	ended := b.attempts[key]
	if ended == nil {
		return nil
	}
	delete(b.attempts, key)
	isEnded := func(a *attempt) bool { return a == ended }
	ended.part.inFlight = slices.DeleteFunc(ended.part.inFlight, isEnded)
	ended.server.RecordEnd(ended.part.query.Class, ended.sent)
	return ended
}

// lastAttempt returns the latest attempt in flight, of which there must be one.
func (p *part) lastAttempt() *attempt { return p.inFlight[len(p.inFlight)-1] }

// mayHaveStarted reports whether the part may have run or may still run, in flight attempts included.
func (p *part) mayHaveStarted() bool { return p.mayHaveRun || p.answered || len(p.inFlight) > 0 }

// recordMayHaveRun records that an ended attempt may have run.
func (p *part) recordMayHaveRun(a *attempt) {
	if !p.mayHaveRun || a.sent < p.mayHaveRunSince {
		p.mayHaveRun = true
		p.mayHaveRunSince = a.sent
	}
}

// prefer narrows servers down, in place, to those that are preferred. If there are none, it returns all.
func prefer(servers []*server, preferred func(*server) bool) []*server {
	n := 0
	for i, server := range servers {
		if preferred(server) {
			servers[i], servers[n] = servers[n], server
			n++
		}
	}
	if n == 0 {
		return servers
	}
	return servers[:n]
}

// addQuery adds a new query under the current settings.
func (b *Balancer) addQuery(arrived Query) {
	class := &b.settings.Classes[arrived.Class]
	query := &query{
		Query:       arrived,
		class:       class,
		maxAttempts: b.settings.MaxAttempts,
		deadline:    b.now + arrived.RemainingTime,
	}
	stretch := time.Duration(class.ObjectiveStretch * float64(arrived.WorkHint))
	query.objective = b.now + min(class.Objective+stretch, class.Deadline) - b.timeSpent(arrived)
	b.queries = append(b.queries, query)
	b.byID[arrived.ID] = query
	b.byGroup[arrived.Group] = query
}

func (b *Balancer) addPart(arrived Part) {
	query := b.byGroup[arrived.Group]
	if query == nil || query.completed {
		return
	}
	part := &part{Part: arrived, query: query}
	b.fleet.Demand.Offered++
	part.warmupTarget = b.sampleWarmupTarget(part)
	query.parts = append(query.parts, part)
	b.parts[arrived.ID] = part
	b.retryBudget.RecordRequest(b.now)
	b.outbox.Budget.Accrue(1)
}

// endQuery removes a query that is completed or whose client disconnected, and cancels its attempts in
// flight.
func (b *Balancer) endQuery(q *query) {
	q.completed = true
	delete(b.byID, q.ID)
	if b.byGroup[q.Group] == q {
		delete(b.byGroup, q.Group)
	}
	b.dropParts(q)
}

func (b *Balancer) dropParts(q *query) {
	for _, p := range q.parts {
		delete(b.parts, p.ID)
		for _, a := range p.inFlight {
			b.cancel(a)
		}
	}
	q.parts = nil
}

func (b *Balancer) cancel(a *attempt) {
	if b.settings.CanCancel && !a.canceled {
		a.canceled = true
		b.emit(Cancel{Part: a.part.ID, Attempt: a.number})
	}
}

// mayHaveCrashed reports whether connections to the server were reset and its probe has not ended yet.
func (s *server) mayHaveCrashed() bool { return len(s.resetQueries) > 0 }

// ejectedAt and healthyAt report whether a server is ejected or healthy for the part's class.
func (p *part) ejectedAt(s *server) bool { return s.ejected(p.query.Class) }
func (p *part) healthyAt(s *server) bool { return s.HealthyFor(p.query.Class) }

// mayBeHalfOpen reports whether the part's next attempt may be a half-open request. A query sends at most
// one, and never as a retry.
func (p *part) mayBeHalfOpen() bool { return p.attempts == 0 && !p.query.halfOpenUsed }

// resolveResets records whether a server whose connections were reset crashed, or only lost answers.
func (s *server) resolveResets(crashed bool) {
	for _, q := range s.resetQueries {
		if crashed {
			q.crashes++
		}
	}
	s.resetQueries = nil
}

// Avoids reports whether a replica currently receives almost no parts because it is down or an outlier. It is
// false for one that is only suspected, or that receives nothing for a moment because it is full.
func (b *Balancer) Avoids(replica Replica) bool {
	server := b.servers[replica]
	return server != nil && (b.now < server.avoidUntil && server.Penalty > 0 || server.nearlyExcluded())
}
