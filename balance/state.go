package balance

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rooktrestle/internal/control/retrydetect"
	"rooktrestle/internal/control/slowstart"
)

// New returns a Balancer for the settings, or an error that names what is wrong with them.
func New(set Settings) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, rng: rand.New(rand.NewPCG(set.Seed, set.Seed^0x9e3779b97f4a7c15)),
		servers: map[Replica]*server{}, cells: make([][]*server, set.Cells), paths: map[int]*networkPath{},
		byID: map[ID]*query{}, byGroup: map[uint64]*query{}, parts: map[ID]*part{},
		attempts: map[attemptKey]*attempt{}, firstAttempts: make([]retrydetect.Detector, len(set.Classes)),
		sqrtInstances: math.Sqrt(float64(set.Instances)), crashingKeys: map[string]time.Duration{},
		tenantTokens: make([]float64, len(set.Tenants)), suspectUntil: make([]time.Duration, len(set.Classes)),
	}
	b.slowStart = slowstart.Limits{
		WarmupPeriod: set.Rules.WarmupPeriod, MinCapacity: set.Rules.WarmupMinCapacity, OverloadMultiple: set.Rules.OverloadMultiple,
		OverloadPeriod: set.Rules.OverloadPeriod, Senders: set.Instances,
	}
	b.minObjective = slices.MinFunc(set.Classes, func(c, d Class) int { return cmp.Compare(c.Objective, d.Objective) }).Objective
	b.latencyMean, b.latencyDeviation = micros(b.minObjective)*initialMeanRatio, micros(b.minObjective)*initialMeanRatio*initialDeviationRatio // until answers tell
	return b, nil
}

// record is how a server does, or how it does with one class of queries, or the way to a zone.
type record struct {
	LastSuccess        time.Duration
	InFlight           []*attempt
	Penalty            float64
	Failures           float64 // since the last answer
	LossRate           float64 // share of the attempts that came to nothing
	Unresponsive, Slow bool
	NextTrial          time.Duration // earliest next trial
}

// networkPath is the way to a zone.
type networkPath struct {
	record
	MinLatency float64 // answer time, rising slowly; 0: none yet
}

// averages are C3's moving averages of answer and service times, microseconds, and of the reported queue.
type averages struct{ latency, serviceTime, queue float64 }

// server is what this gatherer knows of one replica.
type server struct {
	record
	perClass []record // with each class: one may be lost there while others are served
	HealthLimits
	id         Replica
	gossipKey  uint32       // that words name it by
	path       *networkPath // to its zone
	zone, cell int
	listed     bool
	averages
	measured             bool
	recent               []float64     // recent answer times, as measured; never pulled
	reportedInFlight     float64       // parts in hand as last told; never pulled
	probedQueue          float64       // parts that wait there by the last probe that showed it
	probedQueueAt        time.Duration // when that was
	reportedAt           time.Duration // when that was; 0: never
	avoidUntil           time.Duration // full, or down: keep off until then
	slowStart            slowstart.Server
	stalled              int      // parts out that are lost there, as of this turn
	resetQueries         []*query // that lost a connection to it; it is being asked whether it lives
	probedAt             time.Duration
	probing, probeFailed bool // probeFailed: the last probe was not answered, or with an error
	queueWasLong         bool // it was told of as having a long queue
	probeUnanswered      bool // the last probe, this gatherer's or another's, brought nothing
}

type attempt struct {
	part     *part
	server   *server
	number   int
	sent     time.Duration
	canceled bool // called off
}

type part struct {
	Part
	query               *query
	answered, abandoned bool
	mayHaveRun          bool
	firstMayHaveRun     time.Duration // sending of the first attempt that may have run
	attempts            int
	notBefore           time.Duration // earliest next attempt
	warmupTarget        *server       // may be sent it though cold
	inFlight            []*attempt
	failedOn            []*server // that failed this part
}

type query struct {
	Query
	class               *Class
	deadline, objective time.Duration // of its time, and of its full worth
	parts               []*part
	step                int
	admitted, done      bool
	firstStepComplete   bool
	halfOpenUsed        bool          // a part tries a doubted server or way
	crashes             int           // servers that died under it
	probedAt            time.Duration // when its replicas were probed; 0: not yet
}

// A Balancer decides for one gatherer. Make it with New.
type Balancer struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	servers   map[Replica]*server
	endpoints []*server // as first listed
	cells     [][]*server
	paths     map[int]*networkPath // to each zone
	queries   []*query
	byID      map[ID]*query
	byGroup   map[uint64]*query
	parts     map[ID]*part
	attempts  map[attemptKey]*attempt
	actions   []Action

	sqrtInstances                 float64                  // of the number of gatherers
	latencyMean, latencyDeviation float64                  // of answer times over all servers, microseconds
	medianServiceTime             float64                  // of the servers' least recent times, as of this turn
	firstAttempts                 []retrydetect.Detector   // of each class
	suspectUntil                  []time.Duration          // of each class: queries of it may bring servers down until then
	crashingKeys                  map[string]time.Duration // keys of queries under which servers died: not begun until then
	fleetAverages                 averages                 // means over the heard servers, as of this turn
	meanWeight                    float64                  // mean worth of a query offered
	meanParts                     float64                  // and its mean number of parts
	probeTokens                   float64
	byGossipKey                   map[uint32]*server // listed servers as words name them; nil where two share a key
	pendingGossip                 []observation      // for the next word
	nextGossip                    time.Duration      // earliest next word
	gossipBytes                   float64            // owed to words
	hedgeTokens                   float64
	tenantTokens                  []float64
	tenantTokensAt                time.Duration
	requests                      []time.Duration // queries and parts taken within the budget's window
	retries                       []time.Duration // further attempts within it
	recentAnswers                 []time.Duration // recent answers
	slowStart                     slowstart.Limits
	demandAnswered                float64 // their number, falling with age
	demandOffered                 float64 // parts asked for, likewise
	demandPeak                    float64 // the most that flow was, falling slowly
	timerAt                       time.Duration
	pollAt                        time.Duration // for the list, after a failed call; 0: not due
	minObjective                  time.Duration
}

type attemptKey struct {
	part   ID
	number int
}

func micros(d time.Duration) float64    { return float64(d) / float64(time.Microsecond) }
func duration(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

// within drops the times up to since and returns the others.
func within(times *[]time.Duration, since time.Duration) []time.Duration {
	*times = slices.DeleteFunc(*times, func(t time.Duration) bool { return t <= since })
	return *times
}

// weights: in is the weight of the parts that are in, answered their number; reach, what they may still come to.
func (q *query) weights() (in, reach float64, answered int) {
	for _, p := range q.parts {
		if p.answered {
			in += p.Weight
			answered++
		}
		if !p.abandoned {
			reach += p.Weight
		}
	}
	return in, reach, answered
}

// check says what is wrong with settings.
func (set *Settings) check() error {
	switch {
	case len(set.Classes) == 0:
		return errors.New("balance: no classes")
	case set.Cells < 1 || set.Reach < 1 || set.Shards < 1:
		return fmt.Errorf("balance: %d cells, reach %d, %d shards: each must be at least 1",
			set.Cells, set.Reach, set.Shards)
	case set.Instances < 1:
		return fmt.Errorf("balance: %d instances: must be at least 1", set.Instances)
	case set.MaxAttempts < 1:
		return fmt.Errorf("balance: %d attempts a part: must be at least 1", set.MaxAttempts)
	case set.Rules.RetryBudgetWindow < 0 || set.Rules.RetryBudgetBase < 0 || set.Rules.RetryBudgetRatio < 0:
		return fmt.Errorf("balance: budget of %v and %v within %v: must not be negative",
			set.Rules.RetryBudgetBase, set.Rules.RetryBudgetRatio, set.Rules.RetryBudgetWindow)
	case set.Rules.MaxListAge < 0:
		return fmt.Errorf("balance: list to be asked for within %v: must not be negative", set.Rules.MaxListAge)
	case set.Tick <= 0:
		return fmt.Errorf("balance: tick %v: must be positive", set.Tick)
	}
	for i, c := range set.Classes {
		if c.Objective <= 0 || c.Deadline < c.Objective {
			return fmt.Errorf("balance: class %d: aim %v, deadline %v", i, c.Objective, c.Deadline)
		}
		if c.CompleteFraction <= 0 || c.CompleteFraction > 1 || c.MinFraction < 0 || c.MinFraction > 1 {
			return fmt.Errorf("balance: class %d: needs %v of its parts, floor %v", i, c.CompleteFraction, c.MinFraction)
		}
	}
	return nil
}

// prefer returns the servers for which is holds, or all where it holds for none.
func prefer(servers []*server, is func(*server) bool) (some []*server) {
	for _, s := range servers {
		if is(s) {
			some = append(some, s)
		}
	}
	if len(some) == 0 {
		return servers
	}
	return some
}

// Usable says whether the way to a zone serves. Failures come back before answers: what is out may still come.
func (w *networkPath) Usable() bool {
	return w.Penalty < max(maxPenalty, pathFailuresPerInFlight*float64(len(w.InFlight))) && !w.Unresponsive && !w.Slow
}

// healthy says whether a server may be trusted, and sound, whether it may with a class of queries.
func (s *server) healthy() bool {
	return s.Penalty == 0 && !s.Unresponsive && !s.Slow && s.path.Usable()
}

func (s *server) healthyFor(class int) bool {
	return s.healthy() && s.perClass[class].Penalty == 0 && !s.perClass[class].Unresponsive
}

func (p *part) ejectedAt(s *server) bool { return s.ejectedFor(p.query.Class) }

func (p *part) healthyAt(s *server) bool { return s.healthyFor(p.query.Class) }

// penaltyOf are those of a server, and of how it does with the part's class.
func (p *part) penaltyOf(s *server) float64 { return s.Penalty + s.perClass[p.query.Class].Penalty }

// fault is what is not sound about a server for a class; nil if it is.
func (s *server) fault(class int) *record {
	switch {
	case !s.healthy():
		return &s.record
	case !s.healthyFor(class):
		return &s.perClass[class]
	}
	return nil
}

// RecordOutcome takes the end of an attempt into the share that is lost.
func (h *record) RecordOutcome(lost bool) {
	h.LossRate -= lossSmoothing * h.LossRate
	if lost {
		h.LossRate += lossSmoothing
	}
}

// usableFor says whether a server that is not sound does most of what a part of this class asks of it. What may not
// run twice does not go where some is lost.
func (s *server) usableFor(p *part) bool {
	return p.query.class.Idempotency != NonIdempotent && !slices.Contains(p.failedOn, s) && !s.Unresponsive && !s.Slow && !s.probeFailed &&
		s.path.Usable() && s.perClass[p.query.Class].LossRate < maxUsableLoss && s.LastSuccess > 0
}

// RecordSuccess takes some of the doubt away after an answer.
func (h *record) RecordSuccess() {
	h.Failures = 0
	if h.Penalty *= penaltyDecay; h.Penalty < minPenalty {
		h.Penalty = 0
	}
}

// meanRecent is the mean of a server's last n answer times.
func (s *server) meanRecent(n int) (mean float64) {
	last := s.recent[max(0, len(s.recent)-n):]
	for _, t := range last {
		mean += t / float64(len(last))
	}
	return mean
}

func (s *server) note(took float64) {
	if s.recent = append(s.recent, took); len(s.recent) > recentSize {
		s.recent = s.recent[1:]
	}
}

// applyLimits takes evidence of others. A trial once granted stays until it is used, or its class is no longer shunned.
func (s *server) applyLimits(e HealthLimits) {
	trial := s.HalfOpenClasses | e.HalfOpenClasses
	s.HealthLimits = e
	s.HalfOpenClasses = trial & e.EjectedClasses
}

// nearlyExcluded says whether a server is to get next to nothing.
func (s *server) nearlyExcluded() bool {
	return s.TrafficFraction > 0 && s.TrafficFraction <= minTrafficFraction
}

// ejectedFor says whether evidence keeps parts of a class away, and trial whether one of them may go all the same.
func (s *server) ejectedFor(class int) bool  { return s.EjectedClasses>>class&1 == 1 }
func (s *server) halfOpenFor(class int) bool { return s.HalfOpenClasses>>class&1 == 1 }

// reset forgets what a server's earlier process showed. The new one held nothing when it began: taken for as
// busy as the mean of the others, it would be left alone while these are full.
func (s *server) reset(at time.Duration, lot float64) {
	s.slowStart.Restart(at, lot)
	s.measured, s.recent, s.Penalty = false, nil, 0
	s.queue, s.reportedInFlight, s.reportedAt = 0, -1, at
	for i := range s.perClass {
		s.perClass[i].Penalty, s.perClass[i].Failures, s.perClass[i].LossRate = 0, 0, 0
	}
}

// recordMayHaveRun notes that an attempt may have run.
func (p *part) recordMayHaveRun(a *attempt) {
	if !p.mayHaveRun || a.sent < p.firstMayHaveRun {
		p.mayHaveRun, p.firstMayHaveRun = true, a.sent
	}
}

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
	for _, h := range p.Candidates {
		if s := b.servers[h.Replica]; s != nil && s.listed {
			all = append(all, s)
		}
	}
	return all
}

// resolveResets says whether a server that lost connections is dead; it lives if only answers were lost.
func (s *server) resolveResets(dead bool) {
	for _, q := range s.resetQueries {
		if dead {
			q.crashes++
		}
	}
	s.resetQueries = nil
}

// endQuery forgets a query that is over and calls off what is still out.
func (b *Balancer) endQuery(q *query) {
	q.done = true
	delete(b.byID, q.ID)
	if b.byGroup[q.Group] == q {
		delete(b.byGroup, q.Group)
	}
	b.dropParts(q)
}

func (p *part) mightHaveRun() bool { return p.mayHaveRun || p.answered || len(p.inFlight) > 0 }

// median is the upper median of values, which it sorts; 0 of none.
func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile is that of values, which it sorts; 0 of none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)))]
}

// serviceTimeMedian is the median of the servers' service times: no answer comes sooner.
func (b *Balancer) serviceTimeMedian() float64 {
	var all []float64
	for _, s := range b.endpoints {
		if s.listed && len(s.recent) > 0 && s.path.Usable() {
			all = append(all, slices.Min(s.recent))
		}
	}
	return median(all)
}

// countStalled counts the attempts that are older than that and since which nothing came, or that must be lost.
func (b *Balancer) countStalled(h *record, than float64) (n int) {
	for _, a := range h.InFlight {
		if age := micros(b.now - a.sent); age > than && h.LastSuccess <= a.sent || age > lostOverdue*than {
			n++
		}
	}
	return n
}

func (q *query) minWeight() float64 {
	if q.step > 0 && q.class.MinFraction >= q.class.CompleteFraction {
		return 1
	}
	return min(q.class.MinFraction, q.neededWeight())
}

func (q *query) neededWeight() float64 {
	if q.step > 0 {
		return 1
	}
	return q.class.CompleteFraction
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

func (b *Balancer) count(times *[]time.Duration) {
	*times = append(within(times, b.now-b.settings.Rules.RetryBudgetWindow-1), b.now)
}

// indexEndpoints puts the listed servers where parts and words look for them.
func (b *Balancer) indexEndpoints() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	b.byGossipKey = map[uint32]*server{}
	for _, s := range b.endpoints {
		if _, twice := b.byGossipKey[s.gossipKey]; twice || !s.listed {
			b.byGossipKey[s.gossipKey] = nil
		} else {
			b.byGossipKey[s.gossipKey] = s
		}
		if s.listed && s.cell >= 0 && s.cell < len(b.cells) {
			b.cells[s.cell] = append(b.cells[s.cell], s)
		}
	}
}

// capacity is the least share of its capacity that a server has by now.
func (b *Balancer) capacity(s *server) float64 { return b.slowStart.Capacity(&s.slowStart, b.now) }

// slowStartAllows says whether a server that may be cold may be sent a part.
func (b *Balancer) slowStartAllows(p *part, s *server) bool {
	return p.warmupTarget == s || b.slowStart.Allows(&s.slowStart, b.now, duration(b.partWork()))
}

// earnSlowStart gives cold servers their parts of this gatherer's flow: what a warm one gets, by capacity.
func (b *Balancer) earnSlowStart(passed time.Duration) {
	fade := math.Exp(-micros(passed) / micros(demandPeriod*b.minObjective))
	b.demandAnswered, b.demandOffered = b.demandAnswered*fade, b.demandOffered*fade
	b.demandPeak = max(b.demandAnswered, b.demandPeak*math.Exp(-micros(passed)/micros(peakMemory*b.minObjective)))
	isCold := func(s *server) bool { return b.capacity(s) < 1 }
	if b.settings.Instances <= maxExtrapolated || !slices.ContainsFunc(b.endpoints, isCold) {
		return
	}
	warm := 0.0
	for _, s := range b.endpoints {
		if s.listed && s.healthy() {
			warm += b.capacity(s)
		}
	}
	parts := warmupFlowFactor * b.demandAnswered / micros(demandPeriod*b.minObjective) / max(1, warm) * micros(passed)
	for _, s := range b.endpoints {
		b.slowStart.AddCredit(&s.slowStart, b.now, parts)
	}
}

// sampleWarming gives a part one of its holders by lot, by capacity, to which it may go though that is cold; or none. Where
// gatherers are many, what each owes a cold server lets it go seldom, and a query of sixty parts whose shards have
// cold holders only never. By lot all gatherers together send each holder its part of what its shards are asked. That
// is within rule 4 as long as it is no more than maxWarmupDemand times what warm ones were seen to answer, by capacity.
func (b *Balancer) sampleWarming(p *part) *server {
	if b.settings.Instances <= maxExtrapolated {
		return nil
	}
	all, sum := b.candidates(p), 0.0
	for _, s := range all {
		sum += b.capacity(s)
	}
	if sum == float64(len(all)) || b.demandOffered*float64(b.settings.Reach) > maxWarmupDemand*sum*b.demandPeak {
		return nil
	}
	lot := b.rng.Float64() * sum
	for _, s := range all {
		if lot -= b.capacity(s); lot < 0 {
			return s
		}
	}
	return nil
}

// drainTime is how long a server takes to work off a queue.
func (b *Balancer) drainTime(queue float64) float64 { return queue * b.partWork() / assumedConcurrency }

// observedQueueDelay is how long a part waits at the servers with long queues, by what probes showed lately; told is false
// where too few did. It is fresh where answers are old: one of many gatherers has few, and after a jam none.
func (b *Balancer) observedQueueDelay() (wait float64, told bool) {
	var queues []float64
	for _, s := range b.endpoints {
		if s.listed && b.now-s.probedQueueAt < answerRatePeriod*b.minObjective {
			queues = append(queues, s.probedQueue)
		}
	}
	return b.drainTime(quantile(queues, longQueueQuantile)), len(queues) >= minReports && b.settings.Instances > maxExtrapolated
}

// backlogged says whether a server has a long queue, by what is known of it, or with time of the others. The last word of
// a long one counts only for so long: where no words come it would for good.
func (b *Balancer) backlogged(s *server) bool {
	_, _, q := b.averagesOf(s)
	return s.queueWasLong && b.now-s.reportedAt < reportLifetime*b.minObjective || b.isLongQueue(q)
}

// queueDelay is how long a part waits at a server before it is begun, where gatherers tell each other of queues.
func (b *Balancer) queueDelay(s *server) float64 {
	if !b.settings.GossipEnabled() {
		return 0
	}
	_, _, q := b.averagesOf(s)
	return b.drainTime(q)
}

// mostlyExcluded says whether half of a part's holders are out, and all others have long queues.
func (b *Balancer) mostlyExcluded(p *part) bool {
	out, all := 0, b.candidates(p)
	for _, s := range all {
		if s.nearlyExcluded() {
			out++
		} else if !b.backlogged(s) {
			return false
		}
	}
	return 2*out >= len(all)
}

func (b *Balancer) overQuota(tenant int) bool {
	passed := (b.now - b.tenantTokensAt).Seconds()
	b.tenantTokensAt = b.now
	for i, t := range b.settings.Tenants {
		rate := t.Quota / float64(b.settings.Instances)
		b.tenantTokens[i] = min(2*rate, b.tenantTokens[i]+rate*passed)
	}
	b.tenantTokens[tenant]--
	over := b.tenantTokens[tenant] < 0
	b.tenantTokens[tenant] = max(0, b.tenantTokens[tenant])
	return over && b.settings.Tenants[tenant].Quota > 0
}
