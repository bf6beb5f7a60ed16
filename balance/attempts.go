package balance

import (
	"slices"
	"time"

	"rooktrestle/internal/control/suspicion"
)

// Delays after failed attempts.
const (
	halfOpenIntervalFactor = 1.2 // between half-open requests, in overdue times x square root of Instances
	queueFullBackoff       = 0.5 // mean latencies for which a full server is avoided
)

// exhausted reports whether an unanswered part may not be sent again: it must not run twice (rule 2), has
// used up its attempts, or has no replica.
func (b *Balancer) exhausted(p *part) bool {
	if p.answered || len(p.inFlight) > 0 {
		return false
	}
	class := p.query.class
	expired := b.now > p.mayHaveRunSince+class.DedupWindow-b.settings.Tick
	mustNotRepeat := class.Idempotency == NonIdempotent || class.Idempotency == KeyedIdempotent && expired
	return p.attempts >= p.query.maxAttempts || len(b.candidates(p)) == 0 || p.mayHaveRun && mustNotRepeat
}

// advancePart sends a waiting part, or hedges an overdue one.
func (b *Balancer) advancePart(part *part) {
	if len(part.inFlight) > 0 {
		b.hedge(part)
		return
	}
	if b.now < part.notBefore {
		return
	}
	crashPending := slices.ContainsFunc(part.failedOn, (*server).mayHaveCrashed)
	if part.attempts == 0 || b.retryBudget.Allows(b.now) && !crashPending {
		if server := b.choose(part); server != nil {
			b.emit(b.startAttempt(part, server))
		}
	}
}

// startAttempt records a new attempt of a part at a server, and returns the action that sends it.
func (b *Balancer) startAttempt(part *part, server *server) Send {
	if part.attempts > 0 {
		b.retryBudget.RecordRetry(b.now)
	} else {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+hedgesPerPart*b.sqrtInstances)
	}
	b.addAttempt(part, server)
	b.delayHalfOpen(server, part.query.Class)
	action := Send{Part: part.ID, Replica: server.id}
	if !b.settings.CanCancel && !b.settings.CanHedge && part.query.class.Idempotency != NonIdempotent {
		action.Timeout = duration(b.fleet.Overdue())
	}
	return action
}

// delayHalfOpen delays the next half-open request to a server or over its path if the new attempt is one.
func (b *Balancer) delayHalfOpen(server *server, class int) {
	overdue := b.fleet.Overdue()
	if !server.Path.Usable() {
		server.Path.NextHalfOpen = b.now + duration(overdue)
	} else if !server.HealthyFor(class) {
		delay := duration(halfOpenIntervalFactor * b.sqrtInstances * max(overdue, server.Recent.Max()))
		server.PerClass[class].NextHalfOpen = b.now + delay
		server.NextHalfOpen = max(server.NextHalfOpen, b.now+delay)
	}
}

func (b *Balancer) endAttempt(ended AttemptEnded) {
	attempt := b.removeAttempt(attemptKey{ended.Part, ended.Attempt})
	if attempt == nil {
		return
	}
	part := attempt.part
	server := attempt.server
	class := &server.PerClass[part.query.Class]
	b.recordLoad(server, ended.Report)
	took := micros(b.now - attempt.sent)
	unusable := ended.Result < Canceled || took > b.fleet.Overdue()
	class.RecordLoss(ended.Result != OK && ended.Result != QueueFull && unusable)
	switch ended.Result {
	case OK:
		b.recordSuccess(attempt, class, took)
		return
	case Failed:
		part.recordMayHaveRun(attempt)
		server.RecordClassFailure(part.query.Class, b.now, b.now, b.halfOpenInterval())
		server.Path.RecordReachable()
	case Reset:
		part.recordMayHaveRun(attempt)
		server.RecordClassFailure(part.query.Class, b.now, b.now, b.halfOpenInterval())
		b.recordReset(server, part.query)
	case ConnectFailed:
		b.recordDown(server)
	case QueueFull:
		// Avoid the server until its queue has drained a little: fast rejections leave few requests in
		// flight, which would attract the next part.
		server.avoidUntil = b.now + duration(queueFullBackoff*b.fleet.Mean)
	case TimedOut, Canceled:
		part.recordMayHaveRun(attempt)
		b.recordTimeout(attempt, ended.Result, took)
	}
	part.failedOn = append(part.failedOn, server)
	b.delayRetry(part)
}

// recordSuccess accepts a part's first answer and cancels its other attempts.
func (b *Balancer) recordSuccess(attempt *attempt, class *suspicion.Record, took float64) {
	part := attempt.part
	class.LastSuccess = b.now
	class.RecordSuccess()
	b.fleet.RecordAnswer(&attempt.server.Server, b.now, took, len(part.query.parts))
	if b.parts[part.ID] != part || part.answered {
		return
	}
	part.answered = true
	if attempt.number > 0 && (len(part.inFlight) > 0 || took <= b.fleet.Overdue()) {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+1) // the hedged request was useful
	}
	for _, other := range part.inFlight {
		b.cancel(other)
	}
}

// recordDown records that a server refuses connections. The server is avoided for a time that grows with each
// failure, as an immediate attempt would fail too.
func (b *Balancer) recordDown(s *server) {
	s.RecordServerFailure(b.now, b.halfOpenInterval())
	s.avoidUntil = b.now + duration(s.Penalty*b.fleet.Overdue())
	s.resolveResets(true)
	if b.now-s.SlowStart.Started > b.settings.Rules.WarmupPeriod {
		s.Recent = nil
	}
}

// recordTimeout counts an attempt as a failure of its server if it timed out, or if it is overdue and either
// lost or slower than another attempt. If canceled attempts never counted, a server that does not answer or
// loses parts would count as healthy again once its requests are canceled.
func (b *Balancer) recordTimeout(attempt *attempt, result AttemptResult, took float64) {
	part := attempt.part
	server := attempt.server
	overdue := b.fleet.Overdue()
	answeredSince := server.PerClass[part.query.Class].LastSuccess > attempt.sent
	lost := !answeredSince || took > suspicion.LostFactor*overdue
	if result == TimedOut || took > overdue && (part.answered || lost) {
		server.RecordClassFailure(part.query.Class, b.now, attempt.sent, b.halfOpenInterval())
	}
	// If the server answered others since, the part was lost, and its time is no measure of their latency.
	if server.LastSuccess <= attempt.sent {
		b.fleet.RecordUnanswered(&server.Server, took, len(part.query.parts))
	}
}

// delayRetry spreads the attempts of a part over its remaining time if no other replica is healthy, so that
// queues drain in between.
func (b *Balancer) delayRetry(p *part) {
	untriedAndHealthy := func(s *server) bool {
		return !s.nearlyExcluded() && s.HealthyFor(p.query.Class) && !slices.Contains(p.failedOn, s)
	}
	if b.parts[p.ID] != p || slices.ContainsFunc(b.candidates(p), untriedAndHealthy) {
		return
	}
	remaining := max(0, p.query.objective-b.now)
	p.notBefore = b.now + remaining/time.Duration(1+p.query.maxAttempts-p.attempts)
}

// recordReset records that the connection for one of a query's parts was reset, and probes whether the server
// still runs. Guards against queries that crash each server that runs them: the servers are not at fault, and
// a retry crashes the next one. Also detects mass crashes, after which a wide query cannot be answered.
func (b *Balancer) recordReset(server *server, query *query) {
	if !slices.Contains(server.resetQueries, query) {
		server.resetQueries = append(server.resetQueries, query)
	}
	switch {
	case !b.settings.CanProbe:
		server.resolveResets(true)
	case !server.probing:
		server.probing = true
		b.emit(Probe{Replica: server.id})
	}
}

// halfOpenInterval returns the minimum time between half-open requests to a server, in microseconds.
func (b *Balancer) halfOpenInterval() float64 {
	return halfOpenIntervalFactor * b.sqrtInstances * b.fleet.Overdue()
}
