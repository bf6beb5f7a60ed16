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
	rankPower   = 3    // b of the C3 rank
	smoothing   = 0.3  // weight of a new response or service time
	qSmoothing  = 0.7  // of a reported queue: reports are scarce, so each counts for more
	meanGuess   = 0.25 // of the shortest aim: a mean answer time until answers tell
	devGuess    = 0.25 // of that: a mean deviation
	fleetSmooth = 0.05 // of an answer time in the mean over all servers, and at most
	querySmooth = 0.5  // of those of a whole query: the last of many parts are its slowest
	staleAfter  = 3    // shortest aims in which a reported queue goes two thirds of the way to the mean
	recentTimes = 8    // answers of which the least is a server's service time
	nearTie     = 1.5  // ranks within this factor are a tie
	lotSpread   = 0.1  // chance in a rank, so that equal servers take turns and gatherers do not herd

	lateDevs     = 3.0   // an attempt is late beyond the mean answer time and so many mean deviations
	cancelLate   = 2.0   // late times after which a part is called off and sent anew; no copies
	lostLate     = 3.0   // and so many, though the server has answered others since
	lossWeight   = 0.1   // of an attempt in the share lost of a class; what loses more is called off sooner
	lossMost     = 0.4   // of them: what loses no more is of use while the sound are busy
	barelyAny    = 0.01  // a share so small that parts rather wait
	lossRank     = 27    // times worse it ranks then, as with two parts more in hand
	doubtMost    = 3.0   // failed attempts that count against a server: bounds how long recovery takes
	wayOut       = 2.0   // and against the way to a zone, if so many times what is still out there
	wayRise      = 0.01  // weight of answer times over a way's least: wide queries end with slow ones
	doubtKeep    = 0.6   // share of its doubt that a server keeps after an answer
	doubtClear   = 0.25  // below it a server is trusted again
	slowRatio    = 2.5   // least recent time over the fleet's median that counts as slow
	slowTimes    = 4     // of its last answers
	unsafeTrial  = 20    // late times that a trial by what may not run twice waits beyond that
	trialMost    = 8     // times longer it is at most, after failures with a class
	trialGap     = 1.2   // late times between two trials of a doubted server, times the root of n: all try
	probeRate    = 0.15  // probes earned by a part taken
	probeMost    = 2     // and the most kept for later, for each part of a query
	probeWait    = 0.02  // of the shortest aim: the longest that a query waits for probes
	probeGap     = 0.125 // of the shortest aim: least time between two probes of a server
	hedgeRate    = 0.02  // second copies a part sent earns, times root n: each finds a hung server anew
	hedgeMost    = 16    // and the most kept for later
	deathsMost   = 2     // servers that may die under a query before it ends
	suspectFor   = 4     // deadlines for which its class is suspected then
	workSpread   = 2.0   // a part's mean work over the least answer times, at most
	fullSpell    = 0.5   // mean answer times that a full server is kept off
	flowSpan     = 10    // shortest aims over which the own flow is taken, and
	coldFlow     = 1.8   // times its part that a cold server gets of it
	coldCrowd    = 2     // and by lot, times what its shards are usually asked
	seenSpan     = 100   // shortest aims over which what is usual is remembered
	rateSpan     = 2     // shortest aims over which the rate of answers is taken
	comeBack     = 2.0   // mean answer times after which a refused client may come back; half after a failure
	answerAhead  = 3     // ticks before the aim by which an answer leaves
	paceOf       = 0.01  // of the shortest aim: time between looks for late attempts
	admitBase    = 0.8   // share of the time left that a usual query may be expected to take
	admitSeen    = 0.5   // of the aim, what recent answers must have taken for a refusal
	ownMost      = 4     // gatherers that own parts may stand for: one of many knows little
	queueHigh    = 0.75  // quantile of the queues lately told that a wide query meets
	tellersLeast = 4     // servers whose queues tell of the others'
	atOnce       = 4     // parts that a server is taken to serve at once: many, as reports may be late
	askAgain     = 0.5   // of the time in which a list must be asked for: mean wait after a failed call
	jamParts     = 2     // own parts in hand from which a server's recent times count against new ones
	hopeless     = 0.25  // of the aim: only with less left than this may service times alone refuse
	admitLeast   = 0.5   // least that the worth per part makes of it
	admitMost    = 1.2   // and most
	worstDevs    = 1.2   // mean deviations by which the slowest part is late, times ln of the parts
	secondMost   = 0.5   // of the aim: the most time kept for a second step
	densitySm    = 0.02  // weight of a query in the mean worth per part
	sameTry      = 2     // ticks by which the time left of first tries may differ
	relax        = 0.3   // share of the excess in recent answer times that a refusal forgets
	sumSlack     = 5e-5  // weights of parts add up to 1 apart from this
)

// Turn takes the events of one turn and returns the actions, in order. The clock never goes back.
func (b *Balancer) Turn(now time.Duration, events []Event) []Action {
	passed := now - b.now
	b.now, b.actions = now, nil
	b.credit(passed)
	for _, e := range events {
		switch e := e.(type) {
		case Query:
			b.take(e)
		case Part:
			b.takePart(e)
		case CandidatesChanged:
			if p := b.parts[e.Part]; p != nil {
				p.Candidates = e.Candidates
			}
		case AttemptEnded:
			b.outcome(e)
		case ProbeEnded:
			b.probeResult(e)
		case EndpointList:
			b.members(e)
		case GossipReceived:
			b.hear(e)
		case ClientDisconnected:
			if q := b.byID[e.Query]; q != nil {
				b.drop(q)
			}
		}
	}
	b.judge()
	for _, q := range b.queries {
		if !q.done {
			b.advance(q)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.done })
	b.tell()
	b.wake()
	return b.actions
}

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

// wake keeps one timer ahead while there is work, so that lateness is seen without an event.
func (b *Balancer) wake() {
	if b.askAt > 0 && b.now >= b.askAt {
		b.askAt = 0
		b.do(WatchEndpoints{})
	}
	if len(b.queries) == 0 && b.askAt == 0 || b.wakeAt > b.now {
		return
	}
	// Never longer than answers leave ahead of time, or a query could outlive its time between two looks.
	pace := max(b.set.Tick, min(time.Duration(float64(b.shortAim)*paceOf), answerAhead*b.set.Tick))
	b.wakeAt = b.now + pace
	b.do(StartTimer{After: pace})
}

// ---- the list of servers

func (b *Balancer) members(m EndpointList) {
	if m.Kind == ListFailed {
		// Paced, and by chance: all gatherers ask one discovery, which may be down or short of capacity.
		b.askAt = b.now + duration(askAgain*(0.5+b.rng.Float64())*us(b.set.Rules.MaxListAge))
		return
	}
	if len(b.order) == 0 && b.set.ListOnRequest {
		b.do(WatchEndpoints{})
	}
	if m.Kind != ListDelta {
		for _, s := range b.order {
			s.listed = false
		}
	}
	for _, e := range m.Endpoints {
		s := b.servers[e.Replica]
		if s == nil {
			s = &server{id: e.Replica, of: make([]health, len(b.set.Classes))}
			s.key = gossip.ServerKey(string(e.Replica))
			b.servers[e.Replica] = s
			b.order = append(b.order, s)
		}
		if b.ways[e.Zone] == nil {
			b.ways[e.Zone] = &way{}
		}
		s.zone, s.way, s.cell, s.listed = e.Zone, b.ways[e.Zone], e.Cell, e.State == InService
		s.take(e.HealthLimits)
		if e.Started > s.cold.Started {
			s.restarted(e.Started, b.rng.Float64())
		}
	}
	b.order = slices.DeleteFunc(b.order, func(s *server) bool {
		gone := !s.listed && len(s.out) == 0 && !s.probing
		if gone {
			delete(b.servers, s.id)
		}
		return gone
	})
	b.index()
}

// work is a high estimate of a part's work: at most the mean answer time, which grows with queues.
func (b *Balancer) work() float64 {
	return min(b.mean, workSpread*cmp.Or(b.median, b.mean))
}

// ---- queries and parts

func (b *Balancer) take(e Query) {
	if e.Class < 0 || e.Class >= len(b.set.Classes) {
		b.do(Reject{Query: e.ID})
		return
	}
	c := &b.set.Classes[e.Class]
	q := &query{Query: e, class: c, end: b.now + e.TimeLeft}
	stretch := time.Duration(c.ObjectiveStretch * float64(e.WorkHint))
	q.aim = b.now + min(c.Objective+stretch, c.Deadline) - b.waited(e)
	b.queries = append(b.queries, q)
	b.byID[e.ID], b.byGroup[e.Group] = q, q
	b.count(&b.took)
}

// waited is how long a client has waited in earlier tries; it counts against the aim.
func (b *Balancer) waited(e Query) time.Duration {
	if b.usual[e.Class].First(e.TimeLeft, b.set.ClientsMarkRetries, e.IsRetry, sameTry*b.set.Tick) {
		return 0
	}
	return max(0, b.set.Classes[e.Class].Deadline-e.TimeLeft)
}

func (b *Balancer) takePart(e Part) {
	q := b.byGroup[e.Group]
	if q == nil || q.done {
		return
	}
	p := &part{Part: e, q: q}
	b.asked++
	p.drawn = b.draw(p)
	q.parts = append(q.parts, p)
	b.parts[e.ID] = p
	b.count(&b.took)
	b.earnWord()
}

func (b *Balancer) answer(q *query, whole bool) {
	b.do(Answer{Query: q.ID, Complete: whole && (q.step == 0 || q.firstWhole)})
	if q.step == 0 && q.class.FollowUpParts > 0 {
		b.dropParts(q)
		q.step, q.firstWhole = 1, whole
		return
	}
	b.drop(q)
}

// giveUp ends a query at once. It is refused where asking again is harmless and failed elsewhere.
func (b *Balancer) giveUp(q *query, wait time.Duration) {
	harmless := q.class.Idempotency == Idempotent ||
		q.step == 0 && !slices.ContainsFunc(q.parts, (*part).maybeRan)
	if harmless {
		b.do(Reject{Query: q.ID, RetryAfter: min(wait, b.set.MaxRetryAfter)})
	} else {
		b.do(Fail{Query: q.ID})
	}
	b.drop(q)
}

// advance takes a query one step on: end it, or send what should be sent.
func (b *Balancer) advance(q *query) {
	ahead := answerAhead * b.set.Tick
	if q.step > 0 && len(q.parts) == 0 {
		if b.now >= q.end-ahead {
			b.giveUp(q, 0)
		}
		return
	}
	for _, p := range q.parts {
		p.dead = p.dead || b.spent(p)
	}
	in, reach, answered := q.weights()
	reach = b.yield(q, reach)
	whole := in >= q.need()-sumSlack && (q.step == 0 || answered == len(q.parts))
	if whole {
		b.answer(q, true)
		return
	}
	partial := in > 0 && in >= q.floor()-sumSlack && q.floor() < q.need()
	switch {
	case b.now >= q.end-ahead, q.class.OverdueFraction <= 0 && b.now >= q.aim-ahead,
		reach < q.need()-sumSlack && (reach < q.floor()-sumSlack || q.floor() >= q.need()):
		if partial {
			b.answer(q, false)
		} else {
			b.giveUp(q, duration(comeBack*b.mean/2))
		}
		return
	case partial && (reach < q.need()-sumSlack && in >= reach-sumSlack ||
		b.now >= b.due(q)-ahead && b.now < q.aim &&
			q.class.PartialFraction*in/q.need() > q.class.OverdueFraction):
		b.answer(q, false)
		return
	}
	if !q.admitted {
		if b.now < b.deadly[q.Key] {
			b.giveUp(q, b.set.MaxRetryAfter)
			return
		}
		if b.ask(q) {
			return
		}
		if !b.admit(q) {
			b.giveUp(q, duration(comeBack*b.mean))
			return
		}
		q.admitted = true
	}
	// A query under which servers die ends, and for some time its class sends one part ahead of the others,
	// as repeats will come. Innocent queries pay with the time of that part.
	suspect := b.now < b.suspect[q.Class]
	if q.deaths > answered && (q.deaths >= deathsMost || suspect) {
		b.suspect[q.Class] = b.now + suspectFor*q.class.Deadline
		if q.Key != "" { // a repeat comes with the same key
			b.deadly[q.Key] = b.suspect[q.Class]
		}
		b.giveUp(q, b.set.MaxRetryAfter)
		return
	}
	// Where part of the parts makes a whole answer the rest is held in reserve: parts not needed cost work,
	// and further tries of them the budget of those that are. A late part brings on another.
	hope := in
	for _, p := range q.parts {
		if len(p.out) > 0 && !p.in && us(b.now-p.out[len(p.out)-1].sent) <= b.mean+b.dev {
			hope += p.Weight
		}
	}
	want := q.need() - sumSlack
	for pass := range 3 { // unsent parts with a sound replica, other unsent ones, further attempts
		for _, p := range q.parts {
			if p.in || p.dead || hope >= want && q.need() < 1 || (p.tries > 0) != (pass == 2) ||
				pass == 0 && !slices.ContainsFunc(b.holders(p), p.soundAt) {
				continue
			}
			if b.advancePart(p); len(p.out) > 0 {
				hope += p.Weight
			}
			if suspect && answered == 0 {
				return
			}
		}
	}
}

// yield leaves out parts that a query can spare where half of a shard's holders are out and the others are
// crowded. What these can do is for queries that need each of their parts: one lost there wastes all others.
func (b *Balancer) yield(q *query, reach float64) float64 {
	if q.floor() >= q.need() {
		return reach
	}
	for _, p := range q.parts {
		if p.tries == 0 && !p.dead && reach-p.Weight >= q.floor() && b.crowded(p) {
			p.dead = true
			reach -= p.Weight
		}
	}
	return reach
}

// admit says whether a query's answer may be expected in time. Guards against overload, whatever brings
// it: work that will be late is refused before it costs, queries of little worth per part first.
func (b *Balancer) admit(q *query) bool {
	worth := q.class.Weight
	if b.set.WeightByWork {
		worth *= float64(max(1, q.Parts))
	}
	if q.Tenant < len(b.quota) && b.overQuota(q.Tenant) {
		worth *= b.set.OverQuotaFactor
	}
	parts := float64(max(1, q.Parts))
	b.worth += densitySm * (worth - b.worth)
	b.width += densitySm * (parts - b.width)
	left := us(b.due(q) - b.now)
	limit := left * admitBase * min(admitMost, max(admitLeast, math.Cbrt(worth/parts*b.width/b.worth)))
	// A query that lacks a shard is not begun. A replica is open unless it is full, cold without room, has
	// parts in hand and took too long lately, or is too slow and no trial is due.
	open, guess := 0.0, us(b.shortAim)*meanGuess
	for _, p := range q.parts {
		holders := prefer(b.holders(p), func(s *server) bool { return !s.barely() })
		if slices.ContainsFunc(holders, func(s *server) bool {
			trial := len(s.out) == 0 && b.now >= s.trialAt
			quick := s.meanTime(slowTimes) <= limit || !s.slow && len(s.out) < jamParts
			return b.now >= s.full && b.coldRoom(p, s) && (quick || trial) && b.wait(s) <= max(0, limit-guess)
		}) {
			open += p.Weight
		}
	}
	if left <= min(b.median, hopeless*us(q.class.Objective)) || open < min(q.floor(), q.need())-sumSlack {
		return false
	}
	// Both must say so: what answers lately took, which lags, and the count in hand, high in a lull.
	devs := worst(len(q.parts), 1-(min(q.floor(), q.need())+q.need())/2)
	if wait, told := b.queued(); told {
		wait *= max(1, devs/worstDevs/-math.Log(1-queueHigh)) // of the slowest part, with the same tail
		// Own answers count while they are as fresh; a few stuck parts say nothing of the others.
		mean := b.mean
		if len(b.answers) < tellersLeast {
			mean = min(mean, guess)
		}
		quiet := mean + devs*min(b.dev, mean*devGuess)
		return quiet+wait <= limit
	}
	slowest := b.mean + devs*b.dev
	if slowest <= us(q.class.Objective)*admitSeen {
		return true
	}
	expected, told := b.expected(q, slowest)
	if expected > limit && !told {
		// Refusing brings no answers, so each refusal forgets some of what made it, until a query goes.
		b.mean += relax * (min(b.median, guess) - b.mean)
		b.dev -= relax * b.dev
	}
	return expected <= limit
}

// worst is by how many deviations the slowest of a query's parts is beyond the mean, but for a share to
// spare: of m times with an exponential tail the one with k beyond it lies about ln m/(k+1) of them out.
func worst(parts int, spare float64) float64 {
	m := float64(max(1, parts))
	return worstDevs * math.Log(m/(1+math.Floor(m*spare)))
}

// due is when a query's step has to end for its answer to be in time: a first step leaves time for the next.
func (b *Balancer) due(q *query) time.Duration {
	if q.step > 0 || q.class.FollowUpParts == 0 {
		return q.aim
	}
	second := b.mean + b.dev*worst(q.class.FollowUpParts, 0)
	return q.aim - duration(min(second, secondMost*us(q.class.Objective)))
}

// expected is how long a new query may take by Little's law: parts held at sound servers over the rate at
// which these answer. What is held falls as soon as less is sent, so refusing cannot feed on itself. Fresh
// reports (their median: a few servers may hold most) and the parts sent since tell it, or own parts where
// gatherers are few; else recent answer times must do. Each sound server is worth one core at least.
func (b *Balancer) expected(q *query, slowest float64) (took float64, told bool) {
	n := float64(b.set.Instances)
	own, sound, tellers := 0.0, 0.0, []float64(nil)
	for _, s := range b.order {
		if !s.listed || !s.sound(q.Class) {
			continue
		}
		sound += b.coldShare(s)
		own += float64(len(s.out) - s.stuck)
		if s.told >= 0 && s.reported > 0 && b.now-s.reported < rateSpan*b.shortAim {
			parts := s.told
			for _, a := range s.out {
				if a.sent > s.reported {
					parts++
				}
			}
			tellers = append(tellers, parts)
		}
	}
	sound = max(sound, 1)
	rate := n * float64(len(b.answers)) / us(rateSpan*b.shortAim) / sound
	if rate = max(rate, 1/cmp.Or(b.median, b.mean)); tellers == nil && n > ownMost {
		return slowest, false
	}
	held := max(min(n, ownMost)*own/sound, median(tellers))
	return (held + float64(len(q.parts))/sound) / rate * slowest / b.mean, true
}

// spent says whether a part that has no answer may not be sent again: rule 2, the cap, no replica.
func (b *Balancer) spent(p *part) bool {
	c := p.q.class
	return !p.in && len(p.out) == 0 && (p.tries >= b.set.MaxAttempts || len(b.holders(p)) == 0 ||
		p.mayRun &&
			(c.Idempotency == NonIdempotent ||
				c.Idempotency == KeyedIdempotent && b.now > p.firstRun+c.DedupWindow-b.set.Tick))
}

// advancePart sends a part that waits, or backs up one that is late.
func (b *Balancer) advancePart(p *part) {
	if len(p.out) == 0 {
		if b.now < p.notBefore {
			return
		}
		asked := slices.ContainsFunc(p.failed, func(s *server) bool { return len(s.lost) > 0 })
		if p.tries == 0 || b.budget() && !asked {
			if s := b.choose(p); s != nil {
				b.send(p, s, false)
			}
		}
		return
	}
	a := p.out[len(p.out)-1]
	c := p.q.class
	if len(p.out) > 1 || p.tries >= b.set.MaxAttempts || c.Idempotency == NonIdempotent || a.called ||
		c.Idempotency == KeyedIdempotent && b.now+duration(b.mean) > p.out[0].sent+c.DedupWindow {
		return
	}
	age, late := us(b.now-a.sent), b.late()
	if !b.set.CanHedge {
		// Starting over loses the time waited and adds work, and the late parts of a sound server are heavy
		// ones, late again elsewhere: where the server shows nothing, or so late that the part is lost there.
		if late *= cancelLate; !a.srv.way.fit() {
			late = b.mean + b.dev
		}
		if of := a.srv.of[p.q.Class]; a.srv.listed && of.lastOK > a.sent && of.loss < lossWeight {
			late = lostLate * b.late()
		}
	} else if !a.srv.sound(p.q.Class) || !a.srv.listed {
		late = b.mean + b.dev
	}
	if age <= late || b.hedgeTokens < 1 || !b.budget() {
		return
	}
	s := b.choose(p)
	// Nor from one that is behind, which says why it is late, to another: it is done there all the same.
	held := b.behind(a.srv) && a.srv.way.fit() && !a.srv.barely() && s != nil && b.behind(s)
	if s == nil || p.doubts(s) > 0 || s.silent || s.barely() || held {
		return
	}
	if b.hedgeTokens--; b.set.CanHedge {
		b.send(p, s, true)
	} else {
		b.callOff(a)
	}
}

func (b *Balancer) late() float64 { return b.mean + lateDevs*b.dev } // beyond it an attempt is late

// budget says whether rule 6 lets one more further attempt go out.
func (b *Balancer) budget() bool {
	rule := b.set.Rules
	if rule.RetryBudgetWindow <= 0 {
		return true
	}
	retries := float64(len(within(&b.further, b.now-rule.RetryBudgetWindow-1)) + 1)
	taken := float64(len(within(&b.took, b.now-rule.RetryBudgetWindow)))
	return retries <= rule.RetryBudgetBase+rule.RetryBudgetRatio*taken
}

func (b *Balancer) send(p *part, s *server, hedge bool) {
	a := &attempt{part: p, srv: s, n: p.tries, sent: b.now}
	if p.tries > 0 {
		b.count(&b.further)
	} else {
		b.hedgeTokens = min(hedgeMost, b.hedgeTokens+hedgeRate*b.rootN)
	}
	p.tries++
	p.out = append(p.out, a)
	of := &s.of[p.q.Class]
	s.out, s.way.out, of.out = append(s.out, a), append(s.way.out, a), append(of.out, a)
	b.attempts[attemptKey{p.ID, a.n}] = a
	b.cold.Sent(&s.cold, b.now)
	if !s.way.fit() {
		s.way.trialAt = b.now + duration(b.late())
	} else if !s.sound(p.q.Class) {
		of.trialAt = b.now + duration(trialGap*b.rootN*max(b.late(), slices.Max(append(s.times, 0))))
		s.trialAt = max(s.trialAt, of.trialAt)
	}
	act := Send{Part: p.ID, Replica: s.id}
	if !b.set.CanCancel && !b.set.CanHedge && p.q.class.Idempotency != NonIdempotent {
		act.Timeout = duration(b.late())
	}
	if hedge {
		b.do(Hedge(act))
	} else {
		b.do(act)
	}
}

// ---- the choice of a replica

// rank is C3's: R - S + (1 + os n + q)^b S. A cold server's S is stretched by the share of its capacity
// that it has, so that it ranks by what it can do now.
func (b *Balancer) rank(s *server) float64 {
	r, sv, q := b.averages(s)
	share := b.coldShare(s)
	qHat := 1 + float64(len(s.out)-s.stuck)*min(ownMost, float64(b.set.Instances)) + q
	return r - sv + math.Pow(qHat, rankPower)*sv/share
}

// averages are a server's R, S and q: its own, or while it is unheard the mean of the known ones. A reported
// queue goes toward that mean with its age: one gatherer of many may have heard it many queues ago.
func (b *Balancer) averages(s *server) (r, sv, q float64) {
	r, sv, q = b.known.r, b.known.s, b.known.q
	if s.heard {
		r, sv = s.r, s.s
	}
	if s.reported > 0 {
		q += (s.q - q) * math.Exp(-us(b.now-s.reported)/(staleAfter*us(b.shortAim)))
	}
	return r, sv, q
}

// choose picks the replica for a part's next attempt: the lowest C3 rank among the candidates; or nil.
func (b *Balancer) choose(p *part) *server {
	var can, sound, some []*server
	all := b.holders(p)
	// Evidence keeps a class off a server: but for a trial where one is granted, it gets only those parts
	// whose replicas are all like that.
	if slices.ContainsFunc(all, p.shunnedBy) {
		kept := slices.DeleteFunc(slices.Clone(all), p.shunnedBy)
		for _, s := range all {
			if len(kept) > 0 && s.trial(p.q.Class) && p.tries == 0 && !p.q.trial && b.now >= s.full {
				s.HalfOpenClasses &^= 1 << p.q.Class
				p.q.trial = true
				return s
			}
		}
		if len(kept) > 0 {
			all = kept
		}
	}
	// One with next to no share is not to get what only waits for another holder to be free.
	all = prefer(all, func(s *server) bool { return !s.barely() || !b.thinned(p, s) })
	for _, s := range all {
		busy := slices.ContainsFunc(p.out, func(a *attempt) bool { return a.srv == s })
		if busy || b.now < s.full || !b.coldRoom(p, s) || s.MaxInFlight > 0 && len(s.out) >= s.MaxInFlight {
			continue
		}
		can = append(can, s)
		if s.sound(p.q.Class) && !slices.Contains(p.failed, s) {
			sound = append(sound, s)
		} else if s.useful(p) {
			some = append(some, s)
		}
	}
	if len(can) == 0 {
		return nil
	}
	// A doubted server comes back by one trial at a time, and a query carries one: with many gatherers a wide
	// query finds a trial due at every doubted server. What may not run twice is the last to try one.
	if p.tries == 0 && len(sound) > 0 && !p.q.trial {
		for _, s := range can {
			h, wait := s.doubted(p.q.Class), duration(0)
			if p.q.class.Idempotency == NonIdempotent {
				wait = duration(unsafeTrial * b.late())
			}
			if h != nil && !s.noReply && len(h.out) == 0 && !b.thinned(p, s) && b.now >= h.trialAt+wait &&
				(s.way.fit() || len(s.way.out) == 0 && b.now >= s.way.trialAt) {
				p.q.trial = true
				return s
			}
		}
	}
	// What loses some answers does the rest: it takes what would wait long at the sound.
	from := append(slices.Clone(sound), some...)
	if len(sound) == 0 {
		// None is sound: a good way, then no failure of this part, then none of its class, then the quick,
		// then the least doubted.
		from = prefer(can, func(s *server) bool { return s.way.fit() })
		from = prefer(from, func(s *server) bool { return !slices.Contains(p.failed, s) })
		from = prefer(from, func(s *server) bool { return s.of[p.q.Class].doubt == 0 })
		from = prefer(from, func(s *server) bool { return !s.slow })
		least := slices.MinFunc(from, func(s, o *server) int { return cmp.Compare(p.doubts(s), p.doubts(o)) })
		from = prefer(from, func(s *server) bool { return p.doubts(s) == p.doubts(least) })
	}
	// Near ties go to the own zone.
	ranks, best := make([]float64, len(from)), math.Inf(1)
	for i, s := range from {
		ranks[i] = b.rank(s) * (1 + b.rng.Float64()*lotSpread)
		if len(sound) > 0 && i >= len(sound) || b.thinned(p, s) {
			ranks[i] *= lossRank
		}
		best = min(best, ranks[i])
	}
	win, winHome, winRank := (*server)(nil), false, 0.0
	for i, s := range from {
		home := s.zone == b.set.Zone
		if ranks[i] > best && (!home || ranks[i] > best*nearTie) {
			continue
		}
		if win == nil || home && !winHome || home == winHome && ranks[i] < winRank {
			win, winHome, winRank = s, home, ranks[i]
		}
	}
	if p.tries == 0 {
		b.pull(win, from[:cmp.Or(len(sound), len(from))])
	}
	return win
}

// thinned says whether a server with a share gives this part to others: between two of which one has share
// w, it gets w parts for each of the other's.
func (b *Balancer) thinned(p *part, s *server) bool {
	w := cmp.Or(s.TrafficFraction, 1)
	for _, h := range p.Candidates {
		if h.Replica == s.id {
			w = min(w, cmp.Or(h.TrafficFraction, 1)) // it is cold for the part's block
		}
	}
	return w < 1 && b.rng.Float64() > 2*w/(1+w)
}

// pull moves the losers' averages half way to the winner's. Only candidates: a server that answers nothing
// must not come to look like one that does.
func (b *Balancer) pull(win *server, from []*server) {
	r, sv, q := b.averages(win)
	for _, s := range from {
		if s != win && s.heard {
			s.r, s.s, s.q = (s.r+r)/2, (s.s+sv)/2, (s.q+q)/2
		}
	}
}

// ---- what servers show

func (b *Balancer) outcome(e AttemptEnded) {
	key := attemptKey{e.Part, e.Attempt}
	a := b.attempts[key]
	if a == nil {
		return
	}
	delete(b.attempts, key)
	p, s := a.part, a.srv
	same := func(o *attempt) bool { return o == a }
	p.out = slices.DeleteFunc(p.out, same)
	s.out, s.way.out = slices.DeleteFunc(s.out, same), slices.DeleteFunc(s.way.out, same)
	of := &s.of[p.q.Class]
	of.out = slices.DeleteFunc(of.out, same)
	b.report(s, e.Report)
	took := us(b.now - a.sent)
	of.lose(e.Result != OK && e.Result != QueueFull && (e.Result < Canceled || took > b.late()))
	switch e.Result {
	case OK:
		of.lastOK = b.now
		of.clear()
		b.answered(s, took, len(p.q.parts))
		if b.parts[p.ID] == p && !p.in {
			p.in = true
			if a.n > 0 && (len(p.out) > 0 || took <= b.late()) {
				b.hedgeTokens = min(hedgeMost, b.hedgeTokens+1) // it paid
			}
			for _, o := range p.out {
				b.callOff(o)
			}
		}
		return
	case Failed, Reset:
		p.ran(a)
		if b.blame(s, of, b.now); e.Result == Reset {
			b.lost(s, p.q)
		} else {
			s.way.doubt = 0 // its word came through
		}
	case ConnectFailed:
		// It is down: nothing is gained by asking again at once. Longer each time.
		b.blame(s, &health{}, b.now)
		s.full = b.now + duration(s.doubt*b.late())
		s.verdict(true)
		if b.now-s.cold.Started > b.set.Rules.WarmupPeriod {
			s.times = nil
		}
	case QueueFull:
		// Keep off until some of the queue is worked off; a fast refusal empties os and draws the next part.
		s.full = b.now + duration(fullSpell*b.mean)
	case TimedOut, Canceled:
		p.ran(a)
		// Late, and nothing came from there since or another attempt was quicker: as good as a failure. Else
		// a server that answers nothing, or not everything, would be as new once its parts are called off.
		lost := of.lastOK <= a.sent || took > lostLate*b.late()
		if e.Result == TimedOut || took > b.late() && (p.in || lost) {
			b.blame(s, of, a.sent)
		}
		if s.lastOK <= a.sent { // else the part was lost, and its time says nothing of the others'
			b.censored(s, took, len(p.q.parts))
		}
	}
	p.failed = append(p.failed, s)
	// No other is sound: attempts spread over the time left meet queues worked off meanwhile.
	if b.parts[p.ID] == p && !slices.ContainsFunc(b.holders(p), func(o *server) bool {
		return !o.barely() && o.sound(p.q.Class) && !slices.Contains(p.failed, o)
	}) {
		p.notBefore = b.now + max(0, p.q.aim-b.now)/time.Duration(1+b.set.MaxAttempts-p.tries)
	}
}

// lost notes that a query lost a server under one of its parts, and asks that server whether it still runs.
// Guards against queries that bring down whatever begins them: the servers are innocent, and a part sent
// again brings down the next. Also catches mass crashes, where the rest of a wide query is hopeless.
func (b *Balancer) lost(s *server, q *query) {
	if !slices.Contains(s.lost, q) {
		s.lost = append(s.lost, q)
	}
	switch {
	case !b.set.CanProbe:
		s.verdict(true)
	case !s.probing:
		s.probing = true
		b.do(Probe{Replica: s.id})
	}
}

// blame holds a failure against how a server does with a class of queries, and unless it has answered others
// since then, against the server.
func (b *Balancer) blame(s *server, of *health, since time.Duration) {
	// Longer each time: a server may lose most of a class, and each trial costs a query its late time.
	of.fails++
	trial := b.now + duration(trialGap*b.rootN*b.late()*min(trialMost, of.fails))
	of.doubt, of.trialAt = min(doubtMost, of.doubt+1), trial
	if s.lastOK > since {
		return
	}
	if s.zone != b.set.Zone {
		s.way.doubt++
	}
	s.doubt, s.trialAt = min(doubtMost, s.doubt+1), b.now+duration(trialGap*b.rootN*b.late())
}

// answered takes an answer time into the averages.
func (b *Balancer) answered(s *server, took float64, parts int) {
	s.way.doubt, s.way.lastOK = 0, b.now
	s.way.least = min(took, (1-wayRise)*cmp.Or(s.way.least, took)+wayRise*took)
	s.note(took)
	least := slices.Min(s.times)
	if !s.heard {
		_, _, q := b.averages(s)
		s.r, s.s, s.q, s.heard = took, least, q, true
	} else {
		s.r += smoothing * (took - s.r)
		s.s += smoothing * (least - s.s)
	}
	s.lastOK, s.noReply, s.dark = b.now, false, false
	b.flow++
	b.answers = append(within(&b.answers, b.now-rateSpan*b.shortAim), b.now)
	s.clear()
	b.learn(took, parts)
}

// learn takes the answer time of one of so many parts into the mean over all servers. Each query counts about
// the same: its parts come in by their times, and the last of a wide one, its slowest, would stand for all.
func (b *Balancer) learn(took float64, parts int) {
	weight := min(fleetSmooth, querySmooth/float64(max(1, parts)))
	b.dev += weight * (math.Abs(took-b.mean) - b.dev)
	b.mean += weight * (took - b.mean)
}

// censored takes the time of an attempt that was not answered: its answer would have taken longer, so
// the average may only rise.
func (b *Balancer) censored(s *server, took float64, parts int) {
	if s.heard && took > s.r {
		s.r += smoothing * (took - s.r)
	}
	if took > b.mean && s.well() {
		b.learn(took, parts)
	}
	if took > slowRatio*b.least() {
		s.note(took) // or a server so slow that none of its answers is waited for never shows it
	}
}

func (b *Balancer) report(s *server, r *LoadReport) {
	if r == nil {
		return
	}
	q := max(0, r.Queue)
	if r.Queue < 0 {
		q = max(0, r.InFlight)
	}
	if s.reported == 0 {
		s.q = q
	}
	s.q += qSmoothing * (q - s.q)
	// Keep off while more than an aim's worth of parts waits. Guards a shard whose replicas are all crowded,
	// which the fleet's state does not show. May hurt where servers have many cores.
	s.full = max(s.full, b.now+duration(b.workOff(q)-us(b.shortAim)*admitBase))
	s.reported, s.told = b.now, r.InFlight
}

func (b *Balancer) probeResult(e ProbeEnded) {
	s := b.servers[e.Replica]
	if s == nil {
		return
	}
	s.probing = false
	silent := s.dark
	s.noReply, s.dark = e.Result != OK, e.Result != OK && e.Result != Failed
	s.verdict(s.noReply)
	switch {
	case e.Result == OK:
		b.remarkQueue(s, e.Report, silent)
		b.report(s, e.Report)
		if e.Report != nil && e.Report.Queue >= 0 {
			s.waiting, s.askedAt = e.Report.Queue, b.now
		}
	case s.dark && b.now-s.lastOK > b.set.ProbeTimeout:
		b.remark(s, noAnswer)
	}
}

// ask asks the replicas of a new query's parts for their load, as far as parts taken have earned it, and says
// whether to wait for their word. One of many meets a server so rarely that what it last heard is old.
func (b *Balancer) ask(q *query) bool {
	if !b.set.CanProbe || !b.set.LoadReportsOnProbe {
		return false
	}
	var holders []*server
	for _, p := range q.parts {
		holders = append(holders, b.holders(p)...)
	}
	if q.askedAt == 0 {
		q.askedAt = b.now
		b.probeTokens = min(probeMost*float64(len(q.parts)), b.probeTokens) + probeRate*float64(len(q.parts))
		oldest := slices.Clone(holders)
		slices.SortStableFunc(oldest, func(s, o *server) int { return cmp.Compare(s.probed, o.probed) })
		for _, s := range oldest {
			if b.probeTokens >= 1 && !s.probing && us(b.now-s.probed) >= us(b.shortAim)*probeGap {
				b.probeTokens--
				s.probing, s.probed = true, b.now
				b.do(Probe{Replica: s.id})
			}
		}
	}
	return us(b.now-q.askedAt) < us(b.shortAim)*probeWait &&
		slices.ContainsFunc(holders, func(s *server) bool { return s.probing })
}

// judge looks for servers that are silent or slow, whatever makes them so.
func (b *Balancer) judge() {
	within(&b.answers, b.now-rateSpan*b.shortAim)
	n, known := 0.0, averages{r: us(b.shortAim), s: us(b.shortAim)}
	for _, s := range b.order {
		if s.heard && s.listed {
			n++
			known = averages{known.r + (s.r-known.r)/n, known.s + (s.s-known.s)/n, known.q + (s.q-known.q)/n}
		}
	}
	b.known = known
	b.median = b.least() // for the rest of the turn: no answer comes in before the next
	for _, s := range b.order {
		s.silent = b.mute(&s.health, b.late()/b.coldShare(s)) > 0 || s.dark && b.set.GossipEnabled()
		s.stuck = 0
		for c := range s.of {
			stuck := b.mute(&s.of[c], b.late()/b.coldShare(s))
			s.of[c].silent, s.stuck = stuck > 0, s.stuck+stuck
		}
		s.slow = b.coldShare(s) == 1 && len(s.times) >= slowTimes-1 &&
			slices.Min(s.times[max(0, len(s.times)-slowTimes):]) > slowRatio*b.median
	}
	// What is bad with a whole other zone is bad with the way there, whatever it is: cut, slow, or all lost.
	// Its servers are left together and one part at a time tries the way. May hurt where they are the better.
	for zone, w := range b.ways {
		if zone != b.set.Zone {
			w.silent = b.mute(&w.health, b.late()) >= doubtMost ||
				b.mute(&w.health, b.mean+b.dev) >= recentTimes
			w.slow = b.median > 0 && w.least > slowRatio*b.median
		}
	}
}
