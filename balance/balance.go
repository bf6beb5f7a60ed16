// The decisions of rooktrestle. The types, events and actions are in api.go; docs/design.md names every
// departure from the ranking rule and says when it acts. state.go holds what it remembers.

package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rooktrestle/internal/control/gossip"
)

// The tuned values. Times are ratios of what the settings state or of what was observed.
const (
	rankExponent          = 3    // b of the C3 rank
	latencySmoothing      = 0.3  // weight of a new response or service time
	queueSmoothing        = 0.7  // of a reported queue: reports are scarce, so each counts for more
	initialMeanRatio      = 0.25 // of the shortest aim: a mean answer time until answers tell
	initialDeviationRatio = 0.25 // of that: a mean deviation
	maxFleetSmoothing     = 0.05 // of an answer time in the mean over all servers, and at most
	querySmoothing        = 0.5  // of those of a whole query: the last of many parts are its slowest
	reportLifetime        = 3    // shortest aims in which a reported queue goes two thirds of the way to the mean
	recentSize            = 8    // answers of which the least is a server's service time
	zoneTolerance         = 1.5  // ranks within this factor are a tie
	rankJitter            = 0.1  // chance in a rank, so that equal servers take turns and gatherers do not herd

	overdueDeviations       = 3.0   // an attempt is late beyond the mean answer time and so many mean deviations
	cancelOverdue           = 2.0   // late times after which a part is called off and sent anew; no copies
	lostOverdue             = 3.0   // and so many, though the server has answered others since
	lossSmoothing           = 0.1   // of an attempt in the share lost of a class; what loses more is called off sooner
	maxUsableLoss           = 0.4   // of them: what loses no more is of use while the sound are busy
	minTrafficFraction      = 0.01  // a share so small that parts rather wait
	unhealthyRankFactor     = 27    // times worse it ranks then, as with two parts more in hand
	maxPenalty              = 3.0   // failed attempts that count against a server: bounds how long recovery takes
	pathFailuresPerInFlight = 2.0   // and against the way to a zone, if so many times what is still out there
	minLatencyRise          = 0.01  // weight of answer times over a way's least: wide queries end with slow ones
	penaltyDecay            = 0.6   // share of its doubt that a server keeps after an answer
	minPenalty              = 0.25  // below it a server is trusted again
	slowFactor              = 2.5   // least recent time over the fleet's median that counts as slow
	slowSamples             = 4     // of its last answers
	unsafeHalfOpenDelay     = 20    // late times that a trial by what may not run twice waits beyond that
	maxBackoffFactor        = 8     // times longer it is at most, after failures with a class
	halfOpenInterval        = 1.2   // late times between two trials of a doubted server, times the root of n: all try
	probesPerPart           = 0.15  // probes earned by a part taken
	maxProbesPerPart        = 2     // and the most kept for later, for each part of a query
	maxProbeWait            = 0.02  // of the shortest aim: the longest that a query waits for probes
	minProbeInterval        = 0.125 // of the shortest aim: least time between two probes of a server
	hedgesPerPart           = 0.02  // second copies a part sent earns, times root n: each finds a hung server anew
	maxHedgeTokens          = 16    // and the most kept for later
	maxCrashes              = 2     // servers that may die under a query before it ends
	suspectDeadlines        = 4     // deadlines for which its class is suspected then
	maxWorkSpread           = 2.0   // a part's mean work over the least answer times, at most
	queueFullBackoff        = 0.5   // mean answer times that a full server is kept off
	demandPeriod            = 10    // shortest aims over which the own flow is taken, and
	warmupFlowFactor        = 1.8   // times its part that a cold server gets of it
	maxWarmupDemand         = 2     // and by lot, times what its shards are usually asked
	peakMemory              = 100   // shortest aims over which what is usual is remembered
	answerRatePeriod        = 2     // shortest aims over which the rate of answers is taken
	retryAfterFactor        = 2.0   // mean answer times after which a refused client may come back; half after a failure
	answerMarginTicks       = 3     // ticks before the aim by which an answer leaves
	timerInterval           = 0.01  // of the shortest aim: time between looks for late attempts
	admissionShare          = 0.8   // share of the time left that a usual query may be expected to take
	minObservedLatency      = 0.5   // of the aim, what recent answers must have taken for a refusal
	maxExtrapolated         = 4     // gatherers that own parts may stand for: one of many knows little
	longQueueQuantile       = 0.75  // quantile of the queues lately told that a wide query meets
	minReports              = 4     // servers whose queues tell of the others'
	assumedConcurrency      = 4     // parts that a server is taken to serve at once: many, as reports may be late
	listRetryInterval       = 0.5   // of the time in which a list must be asked for: mean wait after a failed call
	minInFlightToJudge      = 2     // own parts in hand from which a server's recent times count against new ones
	hopelessTimeLeft        = 0.25  // of the aim: only with less left than this may service times alone refuse
	minAdmissionFactor      = 0.5   // least that the worth per part makes of it
	maxAdmissionFactor      = 1.2   // and most
	tailDeviations          = 1.2   // mean deviations by which the slowest part is late, times ln of the parts
	maxFollowUpReserve      = 0.5   // of the aim: the most time kept for a second step
	weightSmoothing         = 0.02  // weight of a query in the mean worth per part
	timeLeftToleranceTicks  = 2     // ticks by which the time left of first tries may differ
	rejectionForgetting     = 0.3   // share of the excess in recent answer times that a refusal forgets
	weightTolerance         = 5e-5  // weights of parts add up to 1 apart from this
)

// Turn takes the events of one turn and returns the actions, in order. The clock never goes back.
func (b *Balancer) Turn(now time.Duration, events []Event) []Action {
	passed := now - b.now
	b.now, b.actions = now, nil
	b.earnSlowStart(passed)
	for _, e := range events {
		switch e := e.(type) {
		case Query:
			b.startQuery(e)
		case Part:
			b.addPart(e)
		case CandidatesChanged:
			if p := b.parts[e.Part]; p != nil {
				p.Candidates = e.Candidates
			}
		case AttemptEnded:
			b.endAttempt(e)
		case ProbeEnded:
			b.endProbe(e)
		case EndpointList:
			b.updateEndpoints(e)
		case GossipReceived:
			b.receiveGossip(e)
		case ClientDisconnected:
			if q := b.byID[e.Query]; q != nil {
				b.endQuery(q)
			}
		}
	}
	b.assessServers()
	for _, q := range b.queries {
		if !q.done {
			b.advance(q)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.done })
	b.sendGossip()
	b.scheduleTimer()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// scheduleTimer keeps one timer ahead while there is work, so that lateness is seen without an event.
func (b *Balancer) scheduleTimer() {
	if b.pollAt > 0 && b.now >= b.pollAt {
		b.pollAt = 0
		b.emit(WatchEndpoints{})
	}
	if len(b.queries) == 0 && b.pollAt == 0 || b.timerAt > b.now {
		return
	}
	// Never longer than answers leave ahead of time, or a query could outlive its time between two looks.
	pace := max(b.settings.Tick, min(time.Duration(float64(b.minObjective)*timerInterval), answerMarginTicks*b.settings.Tick))
	b.timerAt = b.now + pace
	b.emit(StartTimer{After: pace})
}

// ---- the list of servers

func (b *Balancer) updateEndpoints(m EndpointList) {
	if m.Kind == ListFailed {
		// Paced, and by chance: all gatherers ask one discovery, which may be down or short of capacity.
		b.pollAt = b.now + duration(listRetryInterval*(0.5+b.rng.Float64())*micros(b.settings.Rules.MaxListAge))
		return
	}
	if len(b.endpoints) == 0 && b.settings.ListOnRequest {
		b.emit(WatchEndpoints{})
	}
	if m.Kind != ListDelta {
		for _, s := range b.endpoints {
			s.listed = false
		}
	}
	for _, e := range m.Endpoints {
		s := b.servers[e.Replica]
		if s == nil {
			s = &server{id: e.Replica, perClass: make([]record, len(b.settings.Classes))}
			s.gossipKey = gossip.ServerKey(string(e.Replica))
			b.servers[e.Replica] = s
			b.endpoints = append(b.endpoints, s)
		}
		if b.paths[e.Zone] == nil {
			b.paths[e.Zone] = &networkPath{}
		}
		s.zone, s.path, s.cell, s.listed = e.Zone, b.paths[e.Zone], e.Cell, e.State == InService
		s.applyLimits(e.HealthLimits)
		if e.Started > s.slowStart.Started {
			s.reset(e.Started, b.rng.Float64())
		}
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *server) bool {
		gone := !s.listed && len(s.InFlight) == 0 && !s.probing
		if gone {
			delete(b.servers, s.id)
		}
		return gone
	})
	b.indexEndpoints()
}

// partWork is a high estimate of a part's work: at most the mean answer time, which grows with queues.
func (b *Balancer) partWork() float64 {
	return min(b.latencyMean, maxWorkSpread*cmp.Or(b.medianServiceTime, b.latencyMean))
}

// ---- queries and parts

func (b *Balancer) startQuery(e Query) {
	if e.Class < 0 || e.Class >= len(b.settings.Classes) {
		b.emit(Reject{Query: e.ID})
		return
	}
	c := &b.settings.Classes[e.Class]
	q := &query{Query: e, class: c, deadline: b.now + e.TimeLeft}
	stretch := time.Duration(c.ObjectiveStretch * float64(e.WorkHint))
	q.objective = b.now + min(c.Objective+stretch, c.Deadline) - b.timeSpent(e)
	b.queries = append(b.queries, q)
	b.byID[e.ID], b.byGroup[e.Group] = q, q
	b.count(&b.requests)
}

// timeSpent is how long a client has waited in earlier tries; it counts against the aim.
func (b *Balancer) timeSpent(e Query) time.Duration {
	if b.firstAttempts[e.Class].IsFirstAttempt(e.TimeLeft, b.settings.ClientsMarkRetries, e.IsRetry, timeLeftToleranceTicks*b.settings.Tick) {
		return 0
	}
	return max(0, b.settings.Classes[e.Class].Deadline-e.TimeLeft)
}

func (b *Balancer) addPart(e Part) {
	q := b.byGroup[e.Group]
	if q == nil || q.done {
		return
	}
	p := &part{Part: e, query: q}
	b.demandOffered++
	p.warmupTarget = b.sampleWarming(p)
	q.parts = append(q.parts, p)
	b.parts[e.ID] = p
	b.count(&b.requests)
	b.earnGossip()
}

func (b *Balancer) answer(q *query, whole bool) {
	b.emit(Answer{Query: q.ID, Complete: whole && (q.step == 0 || q.firstStepComplete)})
	if q.step == 0 && q.class.FollowUpParts > 0 {
		b.dropParts(q)
		q.step, q.firstStepComplete = 1, whole
		return
	}
	b.endQuery(q)
}

// abandon ends a query at once. It is refused where asking again is harmless and failed elsewhere.
func (b *Balancer) abandon(q *query, wait time.Duration) {
	harmless := q.class.Idempotency == Idempotent ||
		q.step == 0 && !slices.ContainsFunc(q.parts, (*part).mightHaveRun)
	if harmless {
		b.emit(Reject{Query: q.ID, RetryAfter: min(wait, b.settings.MaxRetryAfter)})
	} else {
		b.emit(Fail{Query: q.ID})
	}
	b.endQuery(q)
}

// advance takes a query one step on: end it, or send what should be sent.
func (b *Balancer) advance(q *query) {
	ahead := answerMarginTicks * b.settings.Tick
	if q.step > 0 && len(q.parts) == 0 {
		if b.now >= q.deadline-ahead {
			b.abandon(q, 0)
		}
		return
	}
	for _, p := range q.parts {
		p.abandoned = p.abandoned || b.exhausted(p)
	}
	in, reach, answered := q.weights()
	reach = b.shedOptionalParts(q, reach)
	whole := in >= q.neededWeight()-weightTolerance && (q.step == 0 || answered == len(q.parts))
	if whole {
		b.answer(q, true)
		return
	}
	partial := in > 0 && in >= q.minWeight()-weightTolerance && q.minWeight() < q.neededWeight()
	switch {
	case b.now >= q.deadline-ahead, q.class.OverdueFraction <= 0 && b.now >= q.objective-ahead,
		reach < q.neededWeight()-weightTolerance && (reach < q.minWeight()-weightTolerance || q.minWeight() >= q.neededWeight()):
		if partial {
			b.answer(q, false)
		} else {
			b.abandon(q, duration(retryAfterFactor*b.latencyMean/2))
		}
		return
	case partial && (reach < q.neededWeight()-weightTolerance && in >= reach-weightTolerance ||
		b.now >= b.stepDue(q)-ahead && b.now < q.objective &&
			q.class.PartialFraction*in/q.neededWeight() > q.class.OverdueFraction):
		b.answer(q, false)
		return
	}
	if !q.admitted {
		if b.now < b.crashingKeys[q.Key] {
			b.abandon(q, b.settings.MaxRetryAfter)
			return
		}
		if b.probeReplicas(q) {
			return
		}
		if !b.admit(q) {
			b.abandon(q, duration(retryAfterFactor*b.latencyMean))
			return
		}
		q.admitted = true
	}
	// A query under which servers die ends, and for some time its class sends one part ahead of the others,
	// as repeats will come. Innocent queries pay with the time of that part.
	suspect := b.now < b.suspectUntil[q.Class]
	if q.crashes > answered && (q.crashes >= maxCrashes || suspect) {
		b.suspectUntil[q.Class] = b.now + suspectDeadlines*q.class.Deadline
		if q.Key != "" { // a repeat comes with the same key
			b.crashingKeys[q.Key] = b.suspectUntil[q.Class]
		}
		b.abandon(q, b.settings.MaxRetryAfter)
		return
	}
	// Where part of the parts makes a whole answer the rest is held in reserve: parts not needed cost work,
	// and further tries of them the budget of those that are. A late part brings on another.
	hope := in
	for _, p := range q.parts {
		if len(p.inFlight) > 0 && !p.answered && micros(b.now-p.inFlight[len(p.inFlight)-1].sent) <= b.latencyMean+b.latencyDeviation {
			hope += p.Weight
		}
	}
	want := q.neededWeight() - weightTolerance
	for pass := range 3 { // unsent parts with a sound replica, other unsent ones, further attempts
		for _, p := range q.parts {
			if p.answered || p.abandoned || hope >= want && q.neededWeight() < 1 || (p.attempts > 0) != (pass == 2) ||
				pass == 0 && !slices.ContainsFunc(b.candidates(p), p.healthyAt) {
				continue
			}
			if b.advancePart(p); len(p.inFlight) > 0 {
				hope += p.Weight
			}
			if suspect && answered == 0 {
				return
			}
		}
	}
}

// shedOptionalParts leaves out parts that a query can spare where half of a shard's holders are out and the others are
// crowded. What these can do is for queries that need each of their parts: one lost there wastes all others.
func (b *Balancer) shedOptionalParts(q *query, reach float64) float64 {
	if q.minWeight() >= q.neededWeight() {
		return reach
	}
	for _, p := range q.parts {
		if p.attempts == 0 && !p.abandoned && reach-p.Weight >= q.minWeight() && b.mostlyExcluded(p) {
			p.abandoned = true
			reach -= p.Weight
		}
	}
	return reach
}

// admit says whether a query's answer may be expected in time. Guards against overload, whatever brings
// it: work that will be late is refused before it costs, queries of little worth per part first.
func (b *Balancer) admit(q *query) bool {
	worth := q.class.Weight
	if b.settings.WeightByWork {
		worth *= float64(max(1, q.Parts))
	}
	if q.Tenant < len(b.tenantTokens) && b.overQuota(q.Tenant) {
		worth *= b.settings.OverQuotaFactor
	}
	parts := float64(max(1, q.Parts))
	b.meanWeight += weightSmoothing * (worth - b.meanWeight)
	b.meanParts += weightSmoothing * (parts - b.meanParts)
	left := micros(b.stepDue(q) - b.now)
	limit := left * admissionShare * min(maxAdmissionFactor, max(minAdmissionFactor, math.Cbrt(worth/parts*b.meanParts/b.meanWeight)))
	// A query that lacks a shard is not begun. A replica is open unless it is full, cold without room, has
	// parts in hand and took too long lately, or is too slow and no trial is due.
	open, guess := 0.0, micros(b.minObjective)*initialMeanRatio
	for _, p := range q.parts {
		holders := prefer(b.candidates(p), func(s *server) bool { return !s.nearlyExcluded() })
		if slices.ContainsFunc(holders, func(s *server) bool {
			trial := len(s.InFlight) == 0 && b.now >= s.NextTrial
			quick := s.meanRecent(slowSamples) <= limit || !s.Slow && len(s.InFlight) < minInFlightToJudge
			return b.now >= s.avoidUntil && b.slowStartAllows(p, s) && (quick || trial) && b.queueDelay(s) <= max(0, limit-guess)
		}) {
			open += p.Weight
		}
	}
	if left <= min(b.medianServiceTime, hopelessTimeLeft*micros(q.class.Objective)) || open < min(q.minWeight(), q.neededWeight())-weightTolerance {
		return false
	}
	// Both must say so: what answers lately took, which lags, and the count in hand, high in a lull.
	devs := slowestDeviations(len(q.parts), 1-(min(q.minWeight(), q.neededWeight())+q.neededWeight())/2)
	if wait, told := b.observedQueueDelay(); told {
		wait *= max(1, devs/tailDeviations/-math.Log(1-longQueueQuantile)) // of the slowest part, with the same tail
		// Own answers count while they are as fresh; a few stuck parts say nothing of the others.
		mean := b.latencyMean
		if len(b.recentAnswers) < minReports {
			mean = min(mean, guess)
		}
		quiet := mean + devs*min(b.latencyDeviation, mean*initialDeviationRatio)
		return quiet+wait <= limit
	}
	slowest := b.latencyMean + devs*b.latencyDeviation
	if slowest <= micros(q.class.Objective)*minObservedLatency {
		return true
	}
	expected, told := b.expectedLatency(q, slowest)
	if expected > limit && !told {
		// Refusing brings no answers, so each refusal forgets some of what made it, until a query goes.
		b.latencyMean += rejectionForgetting * (min(b.medianServiceTime, guess) - b.latencyMean)
		b.latencyDeviation -= rejectionForgetting * b.latencyDeviation
	}
	return expected <= limit
}

// slowestDeviations is by how many deviations the slowest of a query's parts is beyond the mean, but for a share to
// spare: of m times with an exponential tail the one with k beyond it lies about ln m/(k+1) of them out.
func slowestDeviations(parts int, spare float64) float64 {
	m := float64(max(1, parts))
	return tailDeviations * math.Log(m/(1+math.Floor(m*spare)))
}

// stepDue is when a query's step has to end for its answer to be in time: a first step leaves time for the next.
func (b *Balancer) stepDue(q *query) time.Duration {
	if q.step > 0 || q.class.FollowUpParts == 0 {
		return q.objective
	}
	second := b.latencyMean + b.latencyDeviation*slowestDeviations(q.class.FollowUpParts, 0)
	return q.objective - duration(min(second, maxFollowUpReserve*micros(q.class.Objective)))
}

// expectedLatency is how long a new query may take by Little's law: parts held at sound servers over the rate at
// which these answer. What is held falls as soon as less is sent, so refusing cannot feed on itself. Fresh
// reports (their median: a few servers may hold most) and the parts sent since tell it, or own parts where
// gatherers are few; else recent answer times must do. Each sound server is worth one core at least.
func (b *Balancer) expectedLatency(q *query, slowest float64) (took float64, told bool) {
	n := float64(b.settings.Instances)
	own, sound, tellers := 0.0, 0.0, []float64(nil)
	for _, s := range b.endpoints {
		if !s.listed || !s.healthyFor(q.Class) {
			continue
		}
		sound += b.capacity(s)
		own += float64(len(s.InFlight) - s.stalled)
		if s.reportedInFlight >= 0 && s.reportedAt > 0 && b.now-s.reportedAt < answerRatePeriod*b.minObjective {
			parts := s.reportedInFlight
			for _, a := range s.InFlight {
				if a.sent > s.reportedAt {
					parts++
				}
			}
			tellers = append(tellers, parts)
		}
	}
	sound = max(sound, 1)
	rate := n * float64(len(b.recentAnswers)) / micros(answerRatePeriod*b.minObjective) / sound
	if rate = max(rate, 1/cmp.Or(b.medianServiceTime, b.latencyMean)); tellers == nil && n > maxExtrapolated {
		return slowest, false
	}
	held := max(min(n, maxExtrapolated)*own/sound, median(tellers))
	return (held + float64(len(q.parts))/sound) / rate * slowest / b.latencyMean, true
}

// exhausted says whether a part that has no answer may not be sent again: rule 2, the cap, no replica.
func (b *Balancer) exhausted(p *part) bool {
	c := p.query.class
	return !p.answered && len(p.inFlight) == 0 && (p.attempts >= b.settings.MaxAttempts || len(b.candidates(p)) == 0 ||
		p.mayHaveRun &&
			(c.Idempotency == NonIdempotent ||
				c.Idempotency == KeyedIdempotent && b.now > p.firstMayHaveRun+c.DedupWindow-b.settings.Tick))
}

// advancePart sends a part that waits, or backs up one that is late.
func (b *Balancer) advancePart(p *part) {
	if len(p.inFlight) == 0 {
		if b.now < p.notBefore {
			return
		}
		asked := slices.ContainsFunc(p.failedOn, func(s *server) bool { return len(s.resetQueries) > 0 })
		if p.attempts == 0 || b.retryAllowed() && !asked {
			if s := b.choose(p); s != nil {
				b.send(p, s, false)
			}
		}
		return
	}
	a := p.inFlight[len(p.inFlight)-1]
	c := p.query.class
	if len(p.inFlight) > 1 || p.attempts >= b.settings.MaxAttempts || c.Idempotency == NonIdempotent || a.canceled ||
		c.Idempotency == KeyedIdempotent && b.now+duration(b.latencyMean) > p.inFlight[0].sent+c.DedupWindow {
		return
	}
	age, late := micros(b.now-a.sent), b.overdueAfter()
	if !b.settings.CanHedge {
		// Starting over loses the time waited and adds work, and the late parts of a sound server are heavy
		// ones, late again elsewhere: where the server shows nothing, or so late that the part is lost there.
		if late *= cancelOverdue; !a.server.path.Usable() {
			late = b.latencyMean + b.latencyDeviation
		}
		if of := a.server.perClass[p.query.Class]; a.server.listed && of.LastSuccess > a.sent && of.LossRate < lossSmoothing {
			late = lostOverdue * b.overdueAfter()
		}
	} else if !a.server.healthyFor(p.query.Class) || !a.server.listed {
		late = b.latencyMean + b.latencyDeviation
	}
	if age <= late || b.hedgeTokens < 1 || !b.retryAllowed() {
		return
	}
	s := b.choose(p)
	// Nor from one that is behind, which says why it is late, to another: it is done there all the same.
	held := b.backlogged(a.server) && a.server.path.Usable() && !a.server.nearlyExcluded() && s != nil && b.backlogged(s)
	if s == nil || p.penaltyOf(s) > 0 || s.Unresponsive || s.nearlyExcluded() || held {
		return
	}
	if b.hedgeTokens--; b.settings.CanHedge {
		b.send(p, s, true)
	} else {
		b.cancel(a)
	}
}

func (b *Balancer) overdueAfter() float64 {
	return b.latencyMean + overdueDeviations*b.latencyDeviation
} // beyond it an attempt is late

// retryAllowed says whether rule 6 lets one more further attempt go out.
func (b *Balancer) retryAllowed() bool {
	rule := b.settings.Rules
	if rule.RetryBudgetWindow <= 0 {
		return true
	}
	retries := float64(len(within(&b.retries, b.now-rule.RetryBudgetWindow-1)) + 1)
	taken := float64(len(within(&b.requests, b.now-rule.RetryBudgetWindow)))
	return retries <= rule.RetryBudgetBase+rule.RetryBudgetRatio*taken
}

func (b *Balancer) send(p *part, s *server, hedge bool) {
	a := &attempt{part: p, server: s, number: p.attempts, sent: b.now}
	if p.attempts > 0 {
		b.count(&b.retries)
	} else {
		b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+hedgesPerPart*b.sqrtInstances)
	}
	p.attempts++
	p.inFlight = append(p.inFlight, a)
	of := &s.perClass[p.query.Class]
	s.InFlight, s.path.InFlight, of.InFlight = append(s.InFlight, a), append(s.path.InFlight, a), append(of.InFlight, a)
	b.attempts[attemptKey{p.ID, a.number}] = a
	b.slowStart.RecordSend(&s.slowStart, b.now)
	if !s.path.Usable() {
		s.path.NextTrial = b.now + duration(b.overdueAfter())
	} else if !s.healthyFor(p.query.Class) {
		of.NextTrial = b.now + duration(halfOpenInterval*b.sqrtInstances*max(b.overdueAfter(), slices.Max(append(s.recent, 0))))
		s.NextTrial = max(s.NextTrial, of.NextTrial)
	}
	act := Send{Part: p.ID, Replica: s.id}
	if !b.settings.CanCancel && !b.settings.CanHedge && p.query.class.Idempotency != NonIdempotent {
		act.Timeout = duration(b.overdueAfter())
	}
	if hedge {
		b.emit(Hedge(act))
	} else {
		b.emit(act)
	}
}

// ---- the choice of a replica

// rank is C3's: R - S + (1 + os n + q)^b S. A cold server's S is stretched by the share of its capacity
// that it has, so that it ranks by what it can do now.
func (b *Balancer) rank(s *server) float64 {
	r, sv, q := b.averagesOf(s)
	share := b.capacity(s)
	qHat := 1 + float64(len(s.InFlight)-s.stalled)*min(maxExtrapolated, float64(b.settings.Instances)) + q
	return r - sv + math.Pow(qHat, rankExponent)*sv/share
}

// averagesOf are a server's R, S and q: its own, or while it is unheard the mean of the known ones. A reported
// queue goes toward that mean with its age: one gatherer of many may have heard it many queues ago.
func (b *Balancer) averagesOf(s *server) (r, sv, q float64) {
	r, sv, q = b.fleetAverages.latency, b.fleetAverages.serviceTime, b.fleetAverages.queue
	if s.measured {
		r, sv = s.latency, s.serviceTime
	}
	if s.reportedAt > 0 {
		q += (s.queue - q) * math.Exp(-micros(b.now-s.reportedAt)/(reportLifetime*micros(b.minObjective)))
	}
	return r, sv, q
}

// choose picks the replica for a part's next attempt: the lowest C3 rank among the candidates; or nil.
func (b *Balancer) choose(p *part) *server {
	var can, sound, some []*server
	all := b.candidates(p)
	// Evidence keeps a class off a server: but for a trial where one is granted, it gets only those parts
	// whose replicas are all like that.
	if slices.ContainsFunc(all, p.ejectedAt) {
		kept := slices.DeleteFunc(slices.Clone(all), p.ejectedAt)
		for _, s := range all {
			if len(kept) > 0 && s.halfOpenFor(p.query.Class) && p.attempts == 0 && !p.query.halfOpenUsed && b.now >= s.avoidUntil {
				s.HalfOpenClasses &^= 1 << p.query.Class
				p.query.halfOpenUsed = true
				return s
			}
		}
		if len(kept) > 0 {
			all = kept
		}
	}
	// One with next to no share is not to get what only waits for another holder to be free.
	all = prefer(all, func(s *server) bool { return !s.nearlyExcluded() || !b.skipsByFraction(p, s) })
	for _, s := range all {
		busy := slices.ContainsFunc(p.inFlight, func(a *attempt) bool { return a.server == s })
		if busy || b.now < s.avoidUntil || !b.slowStartAllows(p, s) || s.MaxInFlight > 0 && len(s.InFlight) >= s.MaxInFlight {
			continue
		}
		can = append(can, s)
		if s.healthyFor(p.query.Class) && !slices.Contains(p.failedOn, s) {
			sound = append(sound, s)
		} else if s.usableFor(p) {
			some = append(some, s)
		}
	}
	if len(can) == 0 {
		return nil
	}
	// A doubted server comes back by one trial at a time, and a query carries one: with many gatherers a wide
	// query finds a trial due at every doubted server. What may not run twice is the last to try one.
	if p.attempts == 0 && len(sound) > 0 && !p.query.halfOpenUsed {
		for _, s := range can {
			h, wait := s.fault(p.query.Class), duration(0)
			if p.query.class.Idempotency == NonIdempotent {
				wait = duration(unsafeHalfOpenDelay * b.overdueAfter())
			}
			if h != nil && !s.probeFailed && len(h.InFlight) == 0 && !b.skipsByFraction(p, s) && b.now >= h.NextTrial+wait &&
				(s.path.Usable() || len(s.path.InFlight) == 0 && b.now >= s.path.NextTrial) {
				p.query.halfOpenUsed = true
				return s
			}
		}
	}
	// What loses some answers does the rest: it takes what would wait long at the sound.
	from := append(slices.Clone(sound), some...)
	if len(sound) == 0 {
		// None is sound: a good way, then no failure of this part, then none of its class, then the quick,
		// then the least doubted.
		from = prefer(can, func(s *server) bool { return s.path.Usable() })
		from = prefer(from, func(s *server) bool { return !slices.Contains(p.failedOn, s) })
		from = prefer(from, func(s *server) bool { return s.perClass[p.query.Class].Penalty == 0 })
		from = prefer(from, func(s *server) bool { return !s.Slow })
		least := slices.MinFunc(from, func(s, o *server) int { return cmp.Compare(p.penaltyOf(s), p.penaltyOf(o)) })
		from = prefer(from, func(s *server) bool { return p.penaltyOf(s) == p.penaltyOf(least) })
	}
	// Near ties go to the own zone.
	ranks, best := make([]float64, len(from)), math.Inf(1)
	for i, s := range from {
		ranks[i] = b.rank(s) * (1 + b.rng.Float64()*rankJitter)
		if len(sound) > 0 && i >= len(sound) || b.skipsByFraction(p, s) {
			ranks[i] *= unhealthyRankFactor
		}
		best = min(best, ranks[i])
	}
	win, winHome, winRank := (*server)(nil), false, 0.0
	for i, s := range from {
		home := s.zone == b.settings.Zone
		if ranks[i] > best && (!home || ranks[i] > best*zoneTolerance) {
			continue
		}
		if win == nil || home && !winHome || home == winHome && ranks[i] < winRank {
			win, winHome, winRank = s, home, ranks[i]
		}
	}
	if p.attempts == 0 {
		b.pullBack(win, from[:cmp.Or(len(sound), len(from))])
	}
	return win
}

// skipsByFraction says whether a server with a share gives this part to others: between two of which one has share
// w, it gets w parts for each of the other's.
func (b *Balancer) skipsByFraction(p *part, s *server) bool {
	w := cmp.Or(s.TrafficFraction, 1)
	for _, h := range p.Candidates {
		if h.Replica == s.id {
			w = min(w, cmp.Or(h.TrafficFraction, 1)) // it is cold for the part's block
		}
	}
	return w < 1 && b.rng.Float64() > 2*w/(1+w)
}

// pullBack moves the losers' averages half way to the winner's. Only candidates: a server that answers nothing
// must not come to look like one that does.
func (b *Balancer) pullBack(win *server, from []*server) {
	r, sv, q := b.averagesOf(win)
	for _, s := range from {
		if s != win && s.measured {
			s.latency, s.serviceTime, s.queue = (s.latency+r)/2, (s.serviceTime+sv)/2, (s.queue+q)/2
		}
	}
}

// ---- what servers show

func (b *Balancer) endAttempt(e AttemptEnded) {
	key := attemptKey{e.Part, e.Attempt}
	a := b.attempts[key]
	if a == nil {
		return
	}
	delete(b.attempts, key)
	p, s := a.part, a.server
	same := func(o *attempt) bool { return o == a }
	p.inFlight = slices.DeleteFunc(p.inFlight, same)
	s.InFlight, s.path.InFlight = slices.DeleteFunc(s.InFlight, same), slices.DeleteFunc(s.path.InFlight, same)
	of := &s.perClass[p.query.Class]
	of.InFlight = slices.DeleteFunc(of.InFlight, same)
	b.recordLoad(s, e.Report)
	took := micros(b.now - a.sent)
	of.RecordOutcome(e.Result != OK && e.Result != QueueFull && (e.Result < Canceled || took > b.overdueAfter()))
	switch e.Result {
	case OK:
		of.LastSuccess = b.now
		of.RecordSuccess()
		b.recordAnswer(s, took, len(p.query.parts))
		if b.parts[p.ID] == p && !p.answered {
			p.answered = true
			if a.number > 0 && (len(p.inFlight) > 0 || took <= b.overdueAfter()) {
				b.hedgeTokens = min(maxHedgeTokens, b.hedgeTokens+1) // it paid
			}
			for _, o := range p.inFlight {
				b.cancel(o)
			}
		}
		return
	case Failed, Reset:
		p.recordMayHaveRun(a)
		if b.recordFailure(s, of, b.now); e.Result == Reset {
			b.connectionLost(s, p.query)
		} else {
			s.path.Penalty = 0 // its word came through
		}
	case ConnectFailed:
		// It is down: nothing is gained by asking again at once. Longer each time.
		b.recordFailure(s, &record{}, b.now)
		s.avoidUntil = b.now + duration(s.Penalty*b.overdueAfter())
		s.resolveResets(true)
		if b.now-s.slowStart.Started > b.settings.Rules.WarmupPeriod {
			s.recent = nil
		}
	case QueueFull:
		// Keep off until some of the queue is worked off; a fast refusal empties os and draws the next part.
		s.avoidUntil = b.now + duration(queueFullBackoff*b.latencyMean)
	case TimedOut, Canceled:
		p.recordMayHaveRun(a)
		// Late, and nothing came from there since or another attempt was quicker: as good as a failure. Else
		// a server that answers nothing, or not everything, would be as new once its parts are called off.
		lost := of.LastSuccess <= a.sent || took > lostOverdue*b.overdueAfter()
		if e.Result == TimedOut || took > b.overdueAfter() && (p.answered || lost) {
			b.recordFailure(s, of, a.sent)
		}
		if s.LastSuccess <= a.sent { // else the part was lost, and its time says nothing of the others'
			b.recordUnanswered(s, took, len(p.query.parts))
		}
	}
	p.failedOn = append(p.failedOn, s)
	// No other is sound: attempts spread over the time left meet queues worked off meanwhile.
	if b.parts[p.ID] == p && !slices.ContainsFunc(b.candidates(p), func(o *server) bool {
		return !o.nearlyExcluded() && o.healthyFor(p.query.Class) && !slices.Contains(p.failedOn, o)
	}) {
		p.notBefore = b.now + max(0, p.query.objective-b.now)/time.Duration(1+b.settings.MaxAttempts-p.attempts)
	}
}

// connectionLost notes that a query lost a server under one of its parts, and asks that server whether it still runs.
// Guards against queries that bring down whatever begins them: the servers are innocent, and a part sent
// again brings down the next. Also catches mass crashes, where the rest of a wide query is hopeless.
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

// recordFailure holds a failure against how a server does with a class of queries, and unless it has answered others
// since then, against the server.
func (b *Balancer) recordFailure(s *server, of *record, since time.Duration) {
	// Longer each time: a server may lose most of a class, and each trial costs a query its late time.
	of.Failures++
	trial := b.now + duration(halfOpenInterval*b.sqrtInstances*b.overdueAfter()*min(maxBackoffFactor, of.Failures))
	of.Penalty, of.NextTrial = min(maxPenalty, of.Penalty+1), trial
	if s.LastSuccess > since {
		return
	}
	if s.zone != b.settings.Zone {
		s.path.Penalty++
	}
	s.Penalty, s.NextTrial = min(maxPenalty, s.Penalty+1), b.now+duration(halfOpenInterval*b.sqrtInstances*b.overdueAfter())
}

// recordAnswer takes an answer time into the averages.
func (b *Balancer) recordAnswer(s *server, took float64, parts int) {
	s.path.Penalty, s.path.LastSuccess = 0, b.now
	s.path.MinLatency = min(took, (1-minLatencyRise)*cmp.Or(s.path.MinLatency, took)+minLatencyRise*took)
	s.note(took)
	least := slices.Min(s.recent)
	if !s.measured {
		_, _, q := b.averagesOf(s)
		s.latency, s.serviceTime, s.queue, s.measured = took, least, q, true
	} else {
		s.latency += latencySmoothing * (took - s.latency)
		s.serviceTime += latencySmoothing * (least - s.serviceTime)
	}
	s.LastSuccess, s.probeFailed, s.probeUnanswered = b.now, false, false
	b.demandAnswered++
	b.recentAnswers = append(within(&b.recentAnswers, b.now-answerRatePeriod*b.minObjective), b.now)
	s.RecordSuccess()
	b.learnLatency(took, parts)
}

// learnLatency takes the answer time of one of so many parts into the mean over all servers. Each query counts about
// the same: its parts come in by their times, and the last of a wide one, its slowest, would stand for all.
func (b *Balancer) learnLatency(took float64, parts int) {
	weight := min(maxFleetSmoothing, querySmoothing/float64(max(1, parts)))
	b.latencyDeviation += weight * (math.Abs(took-b.latencyMean) - b.latencyDeviation)
	b.latencyMean += weight * (took - b.latencyMean)
}

// recordUnanswered takes the time of an attempt that was not answered: its answer would have taken longer, so
// the average may only rise.
func (b *Balancer) recordUnanswered(s *server, took float64, parts int) {
	if s.measured && took > s.latency {
		s.latency += latencySmoothing * (took - s.latency)
	}
	if took > b.latencyMean && s.healthy() {
		b.learnLatency(took, parts)
	}
	if took > slowFactor*b.serviceTimeMedian() {
		s.note(took) // or a server so slow that none of its answers is waited for never shows it
	}
}

func (b *Balancer) recordLoad(s *server, r *LoadReport) {
	if r == nil {
		return
	}
	q := max(0, r.Queue)
	if r.Queue < 0 {
		q = max(0, r.InFlight)
	}
	if s.reportedAt == 0 {
		s.queue = q
	}
	s.queue += queueSmoothing * (q - s.queue)
	// Keep off while more than an aim's worth of parts waits. Guards a shard whose replicas are all crowded,
	// which the fleet's state does not show. May hurt where servers have many cores.
	s.avoidUntil = max(s.avoidUntil, b.now+duration(b.drainTime(q)-micros(b.minObjective)*admissionShare))
	s.reportedAt, s.reportedInFlight = b.now, r.InFlight
}

func (b *Balancer) endProbe(e ProbeEnded) {
	s := b.servers[e.Replica]
	if s == nil {
		return
	}
	s.probing = false
	silent := s.probeUnanswered
	s.probeFailed, s.probeUnanswered = e.Result != OK, e.Result != OK && e.Result != Failed
	s.resolveResets(s.probeFailed)
	switch {
	case e.Result == OK:
		b.observeQueue(s, e.Report, silent)
		b.recordLoad(s, e.Report)
		if e.Report != nil && e.Report.Queue >= 0 {
			s.probedQueue, s.probedQueueAt = e.Report.Queue, b.now
		}
	case s.probeUnanswered && b.now-s.LastSuccess > b.settings.ProbeTimeout:
		b.observe(s, unresponsiveValue)
	}
}

// probeReplicas asks the replicas of a new query's parts for their load, as far as parts taken have earned it, and says
// whether to wait for their word. One of many meets a server so rarely that what it last heard is old.
func (b *Balancer) probeReplicas(q *query) bool {
	if !b.settings.CanProbe || !b.settings.LoadReportsOnProbe {
		return false
	}
	var holders []*server
	for _, p := range q.parts {
		holders = append(holders, b.candidates(p)...)
	}
	if q.probedAt == 0 {
		q.probedAt = b.now
		b.probeTokens = min(maxProbesPerPart*float64(len(q.parts)), b.probeTokens) + probesPerPart*float64(len(q.parts))
		oldest := slices.Clone(holders)
		slices.SortStableFunc(oldest, func(s, o *server) int { return cmp.Compare(s.probedAt, o.probedAt) })
		for _, s := range oldest {
			if b.probeTokens >= 1 && !s.probing && micros(b.now-s.probedAt) >= micros(b.minObjective)*minProbeInterval {
				b.probeTokens--
				s.probing, s.probedAt = true, b.now
				b.emit(Probe{Replica: s.id})
			}
		}
	}
	return micros(b.now-q.probedAt) < micros(b.minObjective)*maxProbeWait &&
		slices.ContainsFunc(holders, func(s *server) bool { return s.probing })
}

// assessServers looks for servers that are silent or slow, whatever makes them so.
func (b *Balancer) assessServers() {
	within(&b.recentAnswers, b.now-answerRatePeriod*b.minObjective)
	n, known := 0.0, averages{latency: micros(b.minObjective), serviceTime: micros(b.minObjective)}
	for _, s := range b.endpoints {
		if s.measured && s.listed {
			n++
			known = averages{known.latency + (s.latency-known.latency)/n, known.serviceTime + (s.serviceTime-known.serviceTime)/n, known.queue + (s.queue-known.queue)/n}
		}
	}
	b.fleetAverages = known
	b.medianServiceTime = b.serviceTimeMedian() // for the rest of the turn: no answer comes in before the next
	for _, s := range b.endpoints {
		s.Unresponsive = b.countStalled(&s.record, b.overdueAfter()/b.capacity(s)) > 0 || s.probeUnanswered && b.settings.GossipEnabled()
		s.stalled = 0
		for c := range s.perClass {
			stuck := b.countStalled(&s.perClass[c], b.overdueAfter()/b.capacity(s))
			s.perClass[c].Unresponsive, s.stalled = stuck > 0, s.stalled+stuck
		}
		s.Slow = b.capacity(s) == 1 && len(s.recent) >= slowSamples-1 &&
			slices.Min(s.recent[max(0, len(s.recent)-slowSamples):]) > slowFactor*b.medianServiceTime
	}
	// What is bad with a whole other zone is bad with the way there, whatever it is: cut, slow, or all lost.
	// Its servers are left together and one part at a time tries the way. May hurt where they are the better.
	for zone, w := range b.paths {
		if zone != b.settings.Zone {
			w.Unresponsive = b.countStalled(&w.record, b.overdueAfter()) >= maxPenalty ||
				b.countStalled(&w.record, b.latencyMean+b.latencyDeviation) >= recentSize
			w.Slow = b.medianServiceTime > 0 && w.MinLatency > slowFactor*b.medianServiceTime
		}
	}
}
