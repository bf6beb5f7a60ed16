package balance

import (
	"slices"
	"time"

	"rooktrestle/internal/control/suspicion"
)

// What the ends of attempts show of servers, and when half-open requests and retries follow.
const (
	halfOpenInterval = 1.2 // overdue times between half-open requests to a server, times root Instances
	queueFullBackoff = 0.5 // mean latencies for which a full server is avoided
)

// exhausted reports whether a part without an answer may not be sent again: it must not run twice (rule 2),
// has used up its attempts, or has no replica.
func (b *Balancer) exhausted(p *part) bool {
	if p.answered || len(p.inFlight) > 0 {
		return false
	}
	class := p.query.class
	expired := b.now > p.firstMayHaveRun+class.DedupWindow-b.settings.Tick
	unsafe := class.Idempotency == NonIdempotent || class.Idempotency == KeyedIdempotent && expired
	return p.attempts >= p.query.maxAttempts || len(b.candidates(p)) == 0 || p.mayHaveRun && unsafe
}

// advancePart sends a part that waits, or hedges one that is overdue.
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

// startAttempt counts a new attempt of a part at a server, and returns the action that sends it.
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

// delayHalfOpen puts off the next half-open request to a server or over its path, if that was one.
func (b *Balancer) delayHalfOpen(server *server, class int) {
	overdue := b.fleet.Overdue()
	if !server.Path.Usable() {
		server.Path.NextHalfOpen = b.now + duration(overdue)
	} else if !server.HealthyFor(class) {
		delay := duration(halfOpenInterval * b.sqrtInstances * max(overdue, server.Recent.Max()))
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
		b.succeed(attempt, class, took)
		return
	case Failed:
		part.recordMayHaveRun(attempt)
		server.RecordClassFailure(part.query.Class, b.now, b.now, b.halfOpenDelay())
		server.Path.RecordReachable()
	case Reset:
		part.recordMayHaveRun(attempt)
		server.RecordClassFailure(part.query.Class, b.now, b.now, b.halfOpenDelay())
		b.connectionLost(server, part.query)
	case ConnectFailed:
		b.recordDown(server)
	case QueueFull:
		// Avoid it until some of the queue is worked off; a fast rejection leaves few in flight and draws the
		// next part.
		server.avoidUntil = b.now + duration(queueFullBackoff*b.fleet.Mean)
	case TimedOut, Canceled:
		part.recordMayHaveRun(attempt)
		b.recordTimeout(attempt, ended.Result, took)
	}
	part.failedOn = append(part.failedOn, server)
	b.delayRetry(part)
}

// succeed takes a part's first answer and cancels its other attempts.
func (b *Balancer) succeed(attempt *attempt, class *suspicion.Record, took float64) {
	part := attempt.part
	class.LastSuccess = b.now
	class.RecordSuccess()
	b.fleet.RecordAnswer(&attempt.server.Server, b.now, took, len(part.query.parts))
	if b.parts[part.ID] != part || part.answered {
		return
	}
	part.answered = true
	if attempt.number > 0 && (len(part.inFlight) > 0 || took <= b.fleet.Overdue()) {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+1) // the hedged request paid
	}
	for _, other := range part.inFlight {
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
func (b *Balancer) recordTimeout(attempt *attempt, result AttemptResult, took float64) {
	part := attempt.part
	server := attempt.server
	overdue := b.fleet.Overdue()
	answeredSince := server.PerClass[part.query.Class].LastSuccess > attempt.sent
	lost := !answeredSince || took > suspicion.LostFactor*overdue
	if result == TimedOut || took > overdue && (part.answered || lost) {
		server.RecordClassFailure(part.query.Class, b.now, attempt.sent, b.halfOpenDelay())
	}
	// Where the server answered others since, the part was lost: its time says nothing of theirs.
	if server.LastSuccess <= attempt.sent {
		b.fleet.RecordUnanswered(&server.Server, took, len(part.query.parts))
	}
}

// delayRetry spreads the attempts of a part over the time left where no other replica is healthy: they meet
// queues worked off meanwhile.
func (b *Balancer) delayRetry(p *part) {
	untriedAndHealthy := func(s *server) bool {
		return !s.nearlyExcluded() && s.HealthyFor(p.query.Class) && !slices.Contains(p.failedOn, s)
	}
	if b.parts[p.ID] != p || slices.ContainsFunc(b.candidates(p), untriedAndHealthy) {
		return
	}
	left := max(0, p.query.objective-b.now)
	p.notBefore = b.now + left/time.Duration(1+p.query.maxAttempts-p.attempts)
}

// connectionLost notes that a query lost a server under one of its parts, and probes whether that server
// still runs. Guards against queries that crash whatever begins them: the servers are innocent, and a retry
// crashes the next. Also catches mass crashes, where the other parts of a wide query are hopeless.
func (b *Balancer) connectionLost(server *server, query *query) {
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

// halfOpenDelay is the least time between two half-open requests to a server or class, in microseconds.
func (b *Balancer) halfOpenDelay() float64 {
	return halfOpenInterval * b.sqrtInstances * b.fleet.Overdue()
}
