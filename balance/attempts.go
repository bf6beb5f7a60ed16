package balance

import (
	"slices"
	"time"

	"rooktrestle/internal/control/suspicion"
)

// What the ends of attempts say of servers, and when half-open requests and retries follow.
const (
	halfOpenInterval = 1.2 // overdue times between half-open requests to a server, times root Instances
	queueFullBackoff = 0.5 // mean latencies for which a full server is avoided
)

// exhausted reports whether a part without an answer may not be sent again: rule 2, the cap, no replica.
func (b *Balancer) exhausted(p *part) bool {
	if p.answered || len(p.inFlight) > 0 {
		return false
	}
	class := p.query.class
	expired := b.now > p.firstMayHaveRun+class.DedupWindow-b.settings.Tick
	unsafe := class.Idempotency == NonIdempotent || class.Idempotency == KeyedIdempotent && expired
	return p.attempts >= b.settings.MaxAttempts || len(b.candidates(p)) == 0 || p.mayHaveRun && unsafe
}

// advancePart sends a part that waits, or hedges one that is overdue.
func (b *Balancer) advancePart(p *part) {
	if len(p.inFlight) > 0 {
		b.hedge(p)
		return
	}
	if b.now < p.notBefore {
		return
	}
	crashPending := slices.ContainsFunc(p.failedOn, func(s *server) bool { return len(s.resetQueries) > 0 })
	if p.attempts == 0 || b.retryBudget.Allows(b.now) && !crashPending {
		if s := b.choose(p); s != nil {
			b.send(p, s, false)
		}
	}
}

func (b *Balancer) send(p *part, s *server, hedged bool) {
	a := &attempt{part: p, server: s, number: p.attempts, sent: b.now}
	if p.attempts > 0 {
		b.retryBudget.RecordRetry(b.now)
	} else {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+hedgesPerPart*b.sqrtInstances)
	}
	p.attempts++
	p.inFlight = append(p.inFlight, a)
	class := &s.PerClass[p.query.Class]
	b.fleet.RecordSend(&s.Server, p.query.Class, b.now)
	b.attempts[attemptKey{p.ID, a.number}] = a
	overdue := b.fleet.Overdue()
	if !s.Path.Usable() {
		s.Path.NextHalfOpen = b.now + duration(overdue)
	} else if !s.HealthyFor(p.query.Class) {
		class.NextHalfOpen = b.now + duration(halfOpenInterval*b.sqrtInstances*max(overdue, s.Recent.Max()))
		s.NextHalfOpen = max(s.NextHalfOpen, class.NextHalfOpen)
	}
	action := Send{Part: p.ID, Replica: s.id}
	if !b.settings.CanCancel && !b.settings.CanHedge && p.query.class.Idempotency != NonIdempotent {
		action.Timeout = duration(overdue)
	}
	if hedged {
		b.emit(Hedge(action))
	} else {
		b.emit(action)
	}
}

func (b *Balancer) endAttempt(e AttemptEnded) {
	a := b.removeAttempt(attemptKey{e.Part, e.Attempt})
	if a == nil {
		return
	}
	p, s := a.part, a.server
	class := &s.PerClass[p.query.Class]
	b.recordLoad(s, e.Report)
	took := micros(b.now - a.sent)
	unusable := e.Result < Canceled || took > b.fleet.Overdue()
	class.RecordLoss(e.Result != OK && e.Result != QueueFull && unusable)
	switch e.Result {
	case OK:
		b.succeed(a, class, took)
		return
	case Failed:
		p.recordMayHaveRun(a)
		s.RecordClassFailure(p.query.Class, b.now, b.now, b.halfOpenDelay())
		s.Path.RecordReachable()
	case Reset:
		p.recordMayHaveRun(a)
		s.RecordClassFailure(p.query.Class, b.now, b.now, b.halfOpenDelay())
		b.connectionLost(s, p.query)
	case ConnectFailed:
		b.recordDown(s)
	case QueueFull:
		// Avoid it until some of the queue is worked off; a fast rejection leaves few in flight and draws the
		// next part.
		s.avoidUntil = b.now + duration(queueFullBackoff*b.fleet.Mean)
	case TimedOut, Canceled:
		p.recordMayHaveRun(a)
		b.recordTimeout(a, class, e.Result, took)
	}
	p.failedOn = append(p.failedOn, s)
	b.delayRetry(p)
}

// succeed takes a part's first answer and cancels its other attempts.
func (b *Balancer) succeed(a *attempt, class *suspicion.Record, took float64) {
	p := a.part
	class.LastSuccess = b.now
	class.RecordSuccess()
	b.fleet.RecordAnswer(&a.server.Server, b.now, took, len(p.query.parts))
	if b.parts[p.ID] != p || p.answered {
		return
	}
	p.answered = true
	if a.number > 0 && (len(p.inFlight) > 0 || took <= b.fleet.Overdue()) {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+1) // the hedged request paid
	}
	for _, other := range p.inFlight {
		b.cancel(other)
	}
}

// recordDown notes that a server refuses connections: nothing is gained by another attempt at once, and less
// each time.
func (b *Balancer) recordDown(s *server) {
	s.RecordServerFailure(b.now, b.halfOpenDelay())
	s.avoidUntil = b.now + duration(s.Penalty*b.fleet.Overdue())
	s.resolveResets(true)
	if b.now-s.SlowStart.Started > b.settings.Rules.WarmupPeriod {
		s.Recent = nil
	}
}

// recordTimeout holds an overdue attempt against its server where nothing came from there since, or another
// attempt was quicker: it is as good as a failure. Else a server that answers nothing, or not everything,
// would be as new once its requests are canceled.
func (b *Balancer) recordTimeout(a *attempt, class *suspicion.Record, result AttemptResult, took float64) {
	p, s, overdue := a.part, a.server, b.fleet.Overdue()
	lost := class.LastSuccess <= a.sent || took > suspicion.LostFactor*overdue
	if result == TimedOut || took > overdue && (p.answered || lost) {
		s.RecordClassFailure(p.query.Class, b.now, a.sent, b.halfOpenDelay())
	}
	if s.LastSuccess <= a.sent { // else the part was lost, and its time says nothing of the others'
		b.fleet.RecordUnanswered(&s.Server, took, len(p.query.parts))
	}
}

// delayRetry spreads the attempts of a part over the time left where no other replica is healthy: they meet
// queues worked off meanwhile.
func (b *Balancer) delayRetry(p *part) {
	if b.parts[p.ID] != p || slices.ContainsFunc(b.candidates(p), func(s *server) bool {
		return !s.nearlyExcluded() && s.HealthyFor(p.query.Class) && !slices.Contains(p.failedOn, s)
	}) {
		return
	}
	left := max(0, p.query.objective-b.now)
	p.notBefore = b.now + left/time.Duration(1+b.settings.MaxAttempts-p.attempts)
}

// connectionLost notes that a query lost a server under one of its parts, and probes whether that server
// still runs. Guards against queries that crash whatever begins them: the servers are innocent, and a retry
// crashes the next. Also catches mass crashes, where the other parts of a wide query are hopeless.
func (b *Balancer) connectionLost(s *server, q *query) {
	if !slices.Contains(s.resetQueries, q) {
		s.resetQueries = append(s.resetQueries, q)
	}
	switch {
	case !b.settings.CanProbe:
		s.resolveResets(true)
	case !s.probing:
		s.probing = true
		b.emit(Probe{Replica: s.id})
	}
}

// halfOpenDelay is the least time between two half-open requests to a server or class, in microseconds.
func (b *Balancer) halfOpenDelay() float64 {
	return halfOpenInterval * b.sqrtInstances * b.fleet.Overdue()
}
