package balance

// This file decides nothing: it looks up what a Balancer remembers, and adds and removes it.

import "slices"

// replicas are the servers in service that hold a shard.
func (b *Balancer) replicas(shard int) []*server {
	var all []*server
	for j := range min(b.settings.Reach, b.settings.Cells) {
		all = append(all, b.cells[(shard+j)%b.settings.Cells]...)
	}
	return all
}

// candidates are the servers in service that may be asked for a part.
func (b *Balancer) candidates(p *part) (all []*server) {
	if p.Candidates == nil {
		return b.replicas(p.Shard)
	}
	for _, c := range p.Candidates {
		if s := b.servers[c.Replica]; s != nil && s.Listed {
			all = append(all, s)
		}
	}
	return all
}

// indexEndpoints puts the listed servers where parts and gossip messages look for them.
func (b *Balancer) indexEndpoints() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	b.byGossipKey = map[uint32]*server{}
	b.fleet.Servers = b.fleet.Servers[:0]
	for _, s := range b.endpoints {
		b.fleet.Servers = append(b.fleet.Servers, &s.Server)
		if _, twice := b.byGossipKey[s.gossipKey]; twice || !s.Listed {
			b.byGossipKey[s.gossipKey] = nil
		} else {
			b.byGossipKey[s.gossipKey] = s
		}
		if s.Listed && s.cell >= 0 && s.cell < len(b.cells) {
			b.cells[s.cell] = append(b.cells[s.cell], s)
		}
	}
}

// removeAttempt takes an attempt that ended from all that are in flight; it returns nil if there is none.
func (b *Balancer) removeAttempt(key attemptKey) *attempt {
	a := b.attempts[key]
	if a == nil {
		return nil
	}
	delete(b.attempts, key)
	a.part.inFlight = slices.DeleteFunc(a.part.inFlight, func(other *attempt) bool { return other == a })
	a.server.RecordEnd(a.part.query.Class, a.sent)
	return a
}

// lastAttempt is the latest attempt in flight. There must be one.
func (p *part) lastAttempt() *attempt { return p.inFlight[len(p.inFlight)-1] }

func (p *part) mightHaveRun() bool { return p.mayHaveRun || p.answered || len(p.inFlight) > 0 }

// recordMayHaveRun notes that an attempt that ended may have run.
func (p *part) recordMayHaveRun(a *attempt) {
	if !p.mayHaveRun || a.sent < p.firstMayHaveRun {
		p.mayHaveRun, p.firstMayHaveRun = true, a.sent
	}
}

// prefer narrows servers down, in place, to those for which holds is true. If there are none it returns all.
func prefer(servers []*server, holds func(*server) bool) []*server {
	n := 0
	for i, s := range servers {
		if holds(s) {
			servers[i], servers[n] = servers[n], s
			n++
		}
	}
	if n == 0 {
		return servers
	}
	return servers[:n]
}

func (b *Balancer) addPart(e Part) {
	q := b.byGroup[e.Group]
	if q == nil || q.done {
		return
	}
	p := &part{Part: e, query: q}
	b.fleet.Demand.Offered++
	p.warmupTarget = b.sampleWarming(p)
	q.parts = append(q.parts, p)
	b.parts[e.ID] = p
	b.retryBudget.RecordRequest(b.now)
	b.outbox.Earn()
}

// endQuery forgets a query that is over and cancels what is still in flight.
func (b *Balancer) endQuery(q *query) {
	q.done = true
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

// resolveResets notes whether a server that lost connections crashed; it runs on if only answers were lost.
func (s *server) resolveResets(crashed bool) {
	for _, q := range s.resetQueries {
		if crashed {
			q.crashes++
		}
	}
	s.resetQueries = nil
}
