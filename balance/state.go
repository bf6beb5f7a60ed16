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
		set: set, rng: rand.New(rand.NewPCG(set.Seed, set.Seed^0x9e3779b97f4a7c15)),
		servers: map[Replica]*server{}, cells: make([][]*server, set.Cells), ways: map[int]*way{},
		byID: map[ID]*query{}, byGroup: map[uint64]*query{}, parts: map[ID]*part{},
		attempts: map[attemptKey]*attempt{}, usual: make([]retrydetect.Usual, len(set.Classes)),
		rootN: math.Sqrt(float64(set.Instances)), deadly: map[string]time.Duration{},
		quota: make([]float64, len(set.Tenants)), suspect: make([]time.Duration, len(set.Classes)),
	}
	b.cold = slowstart.Rules{
		For: set.Rules.WarmupPeriod, From: set.Rules.WarmupMinCapacity, TipMultiple: set.Rules.OverloadMultiple,
		TipFor: set.Rules.OverloadPeriod, Mixers: set.Instances,
	}
	b.shortAim = slices.MinFunc(set.Classes, func(c, d Class) int { return cmp.Compare(c.Objective, d.Objective) }).Objective
	b.mean, b.dev = us(b.shortAim)*meanGuess, us(b.shortAim)*meanGuess*devGuess // until answers tell
	return b, nil
}

// health is how a server does, or how it does with one class of queries, or the way to a zone.
type health struct {
	lastOK       time.Duration
	out          []*attempt
	doubt        float64
	fails        float64 // since the last answer
	loss         float64 // share of the attempts that came to nothing
	silent, slow bool
	trialAt      time.Duration // earliest next trial
}

// way is the way to a zone.
type way struct {
	health
	least float64 // answer time, rising slowly; 0: none yet
}

// averages are C3's moving averages of answer and service times, microseconds, and of the reported queue.
type averages struct{ r, s, q float64 }

// server is what this gatherer knows of one replica.
type server struct {
	health
	of []health // with each class: one may be lost there while others are served
	HealthLimits
	id         Replica
	key        uint32 // that words name it by
	way        *way   // to its zone
	zone, cell int
	listed     bool
	averages
	heard            bool
	times            []float64     // recent answer times, as measured; never pulled
	told             float64       // parts in hand as last told; never pulled
	waiting          float64       // parts that wait there by the last probe that showed it
	askedAt          time.Duration // when that was
	reported         time.Duration // when that was; 0: never
	full             time.Duration // full, or down: keep off until then
	cold             slowstart.Server
	stuck            int      // parts out that are lost there, as of this turn
	lost             []*query // that lost a connection to it; it is being asked whether it lives
	probed           time.Duration
	probing, noReply bool // noReply: the last probe was not answered, or with an error
	long             bool // it was told of as having a long queue
	dark             bool // the last probe, this gatherer's or another's, brought nothing
}

type attempt struct {
	part   *part
	srv    *server
	n      int
	sent   time.Duration
	called bool // called off
}

type part struct {
	Part
	q         *query
	in, dead  bool
	mayRun    bool
	firstRun  time.Duration // sending of the first attempt that may have run
	tries     int
	notBefore time.Duration // earliest next attempt
	drawn     *server       // may be sent it though cold
	out       []*attempt
	failed    []*server // that failed this part
}

type query struct {
	Query
	class          *Class
	end, aim       time.Duration // of its time, and of its full worth
	parts          []*part
	step           int
	admitted, done bool
	firstWhole     bool
	trial          bool          // a part tries a doubted server or way
	deaths         int           // servers that died under it
	askedAt        time.Duration // when its replicas were probed; 0: not yet
}

// A Balancer decides for one gatherer. Make it with New.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	servers  map[Replica]*server
	order    []*server // as first listed
	cells    [][]*server
	ways     map[int]*way // to each zone
	queries  []*query
	byID     map[ID]*query
	byGroup  map[uint64]*query
	parts    map[ID]*part
	attempts map[attemptKey]*attempt
	actions  []Action

	rootN       float64                  // of the number of gatherers
	mean, dev   float64                  // of answer times over all servers, microseconds
	median      float64                  // of the servers' least recent times, as of this turn
	usual       []retrydetect.Usual      // of each class
	suspect     []time.Duration          // of each class: queries of it may bring servers down until then
	deadly      map[string]time.Duration // keys of queries under which servers died: not begun until then
	known       averages                 // means over the heard servers, as of this turn
	worth       float64                  // mean worth of a query offered
	width       float64                  // and its mean number of parts
	probeTokens float64
	byKey       map[uint32]*server // listed servers as words name them; nil where two share a key
	remarks     []remark           // for the next word
	tellAt      time.Duration      // earliest next word
	tellBytes   float64            // owed to words
	hedgeTokens float64
	quota       []float64
	quotaAt     time.Duration
	took        []time.Duration // queries and parts taken within the budget's window
	further     []time.Duration // further attempts within it
	answers     []time.Duration // recent answers
	cold        slowstart.Rules
	flow        float64 // their number, falling with age
	asked       float64 // parts asked for, likewise
	seen        float64 // the most that flow was, falling slowly
	wakeAt      time.Duration
	askAt       time.Duration // for the list, after a failed call; 0: not due
	shortAim    time.Duration
}

type attemptKey struct {
	part ID
	n    int
}

func us(d time.Duration) float64        { return float64(d) / float64(time.Microsecond) }
func duration(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

// within drops the times up to since and returns the others.
func within(times *[]time.Duration, since time.Duration) []time.Duration {
	*times = slices.DeleteFunc(*times, func(t time.Duration) bool { return t <= since })
	return *times
}

// weights: in is the weight of the parts that are in, answered their number; reach, what they may still come to.
func (q *query) weights() (in, reach float64, answered int) {
	for _, p := range q.parts {
		if p.in {
			in += p.Weight
			answered++
		}
		if !p.dead {
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

// fit says whether the way to a zone serves. Failures come back before answers: what is out may still come.
func (w *way) fit() bool {
	return w.doubt < max(doubtMost, wayOut*float64(len(w.out))) && !w.silent && !w.slow
}

// well says whether a server may be trusted, and sound, whether it may with a class of queries.
func (s *server) well() bool { return s.doubt == 0 && !s.silent && !s.slow && s.way.fit() }

func (s *server) sound(class int) bool {
	return s.well() && s.of[class].doubt == 0 && !s.of[class].silent
}

func (p *part) shunnedBy(s *server) bool { return s.shunned(p.q.Class) }

func (p *part) soundAt(s *server) bool { return s.sound(p.q.Class) }

// doubts are those of a server, and of how it does with the part's class.
func (p *part) doubts(s *server) float64 { return s.doubt + s.of[p.q.Class].doubt }

// doubted is what is not sound about a server for a class; nil if it is.
func (s *server) doubted(class int) *health {
	switch {
	case !s.well():
		return &s.health
	case !s.sound(class):
		return &s.of[class]
	}
	return nil
}

// lose takes the end of an attempt into the share that is lost.
func (h *health) lose(lost bool) {
	h.loss -= lossWeight * h.loss
	if lost {
		h.loss += lossWeight
	}
}

// useful says whether a server that is not sound does most of what a part of this class asks of it. What may not
// run twice does not go where some is lost.
func (s *server) useful(p *part) bool {
	return p.q.class.Idempotency != NonIdempotent && !slices.Contains(p.failed, s) && !s.silent && !s.slow && !s.noReply &&
		s.way.fit() && s.of[p.q.Class].loss < lossMost && s.lastOK > 0
}

// clear takes some of the doubt away after an answer.
func (h *health) clear() {
	h.fails = 0
	if h.doubt *= doubtKeep; h.doubt < doubtClear {
		h.doubt = 0
	}
}

// meanTime is the mean of a server's last n answer times.
func (s *server) meanTime(n int) (mean float64) {
	last := s.times[max(0, len(s.times)-n):]
	for _, t := range last {
		mean += t / float64(len(last))
	}
	return mean
}

func (s *server) note(took float64) {
	if s.times = append(s.times, took); len(s.times) > recentTimes {
		s.times = s.times[1:]
	}
}

// take takes evidence of others. A trial once granted stays until it is used, or its class is no longer shunned.
func (s *server) take(e HealthLimits) {
	trial := s.HalfOpenClasses | e.HalfOpenClasses
	s.HealthLimits = e
	s.HalfOpenClasses = trial & e.EjectedClasses
}

// barely says whether a server is to get next to nothing.
func (s *server) barely() bool { return s.TrafficFraction > 0 && s.TrafficFraction <= barelyAny }

// shunned says whether evidence keeps parts of a class away, and trial whether one of them may go all the same.
func (s *server) shunned(class int) bool { return s.EjectedClasses>>class&1 == 1 }
func (s *server) trial(class int) bool   { return s.HalfOpenClasses>>class&1 == 1 }

// restarted forgets what a server's earlier process showed. The new one held nothing when it began: taken for as
// busy as the mean of the others, it would be left alone while these are full.
func (s *server) restarted(at time.Duration, lot float64) {
	s.cold.Restart(at, lot)
	s.heard, s.times, s.doubt = false, nil, 0
	s.q, s.told, s.reported = 0, -1, at
	for i := range s.of {
		s.of[i].doubt, s.of[i].fails, s.of[i].loss = 0, 0, 0
	}
}

// ran notes that an attempt may have run.
func (p *part) ran(a *attempt) {
	if !p.mayRun || a.sent < p.firstRun {
		p.mayRun, p.firstRun = true, a.sent
	}
}

// replicas are the servers in service that hold a shard.
func (b *Balancer) replicas(shard int) []*server {
	var all []*server
	for j := range min(b.set.Reach, b.set.Cells) {
		all = append(all, b.cells[(shard+j)%b.set.Cells]...)
	}
	return all
}

// holders are the servers in service that may be asked for a part.
func (b *Balancer) holders(p *part) (all []*server) {
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

// verdict says whether a server that lost connections is dead; it lives if only answers were lost.
func (s *server) verdict(dead bool) {
	for _, q := range s.lost {
		if dead {
			q.deaths++
		}
	}
	s.lost = nil
}

// drop forgets a query that is over and calls off what is still out.
func (b *Balancer) drop(q *query) {
	q.done = true
	delete(b.byID, q.ID)
	if b.byGroup[q.Group] == q {
		delete(b.byGroup, q.Group)
	}
	b.dropParts(q)
}

func (p *part) maybeRan() bool { return p.mayRun || p.in || len(p.out) > 0 }

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

// least is the median of the servers' service times: no answer comes sooner.
func (b *Balancer) least() float64 {
	var all []float64
	for _, s := range b.order {
		if s.listed && len(s.times) > 0 && s.way.fit() {
			all = append(all, slices.Min(s.times))
		}
	}
	return median(all)
}

// mute counts the attempts that are older than that and since which nothing came, or that must be lost.
func (b *Balancer) mute(h *health, than float64) (n int) {
	for _, a := range h.out {
		if age := us(b.now - a.sent); age > than && h.lastOK <= a.sent || age > lostLate*than {
			n++
		}
	}
	return n
}

func (q *query) floor() float64 {
	if q.step > 0 && q.class.MinFraction >= q.class.CompleteFraction {
		return 1
	}
	return min(q.class.MinFraction, q.need())
}

func (q *query) need() float64 {
	if q.step > 0 {
		return 1
	}
	return q.class.CompleteFraction
}

func (b *Balancer) dropParts(q *query) {
	for _, p := range q.parts {
		delete(b.parts, p.ID)
		for _, a := range p.out {
			b.callOff(a)
		}
	}
	q.parts = nil
}

func (b *Balancer) callOff(a *attempt) {
	if b.set.CanCancel && !a.called {
		a.called = true
		b.do(Cancel{Part: a.part.ID, Attempt: a.n})
	}
}

func (b *Balancer) count(times *[]time.Duration) {
	*times = append(within(times, b.now-b.set.Rules.RetryBudgetWindow-1), b.now)
}

// index puts the listed servers where parts and words look for them.
func (b *Balancer) index() {
	for i := range b.cells {
		b.cells[i] = b.cells[i][:0]
	}
	b.byKey = map[uint32]*server{}
	for _, s := range b.order {
		if _, twice := b.byKey[s.key]; twice || !s.listed {
			b.byKey[s.key] = nil
		} else {
			b.byKey[s.key] = s
		}
		if s.listed && s.cell >= 0 && s.cell < len(b.cells) {
			b.cells[s.cell] = append(b.cells[s.cell], s)
		}
	}
}

// coldShare is the least share of its capacity that a server has by now.
func (b *Balancer) coldShare(s *server) float64 { return b.cold.Share(&s.cold, b.now) }

// coldRoom says whether a server that may be cold may be sent a part.
func (b *Balancer) coldRoom(p *part, s *server) bool {
	return p.drawn == s || b.cold.Room(&s.cold, b.now, duration(b.work()))
}

// credit gives cold servers their parts of this gatherer's flow: what a warm one gets, by capacity.
func (b *Balancer) credit(passed time.Duration) {
	fade := math.Exp(-us(passed) / us(flowSpan*b.shortAim))
	b.flow, b.asked = b.flow*fade, b.asked*fade
	b.seen = max(b.flow, b.seen*math.Exp(-us(passed)/us(seenSpan*b.shortAim)))
	isCold := func(s *server) bool { return b.coldShare(s) < 1 }
	if b.set.Instances <= ownMost || !slices.ContainsFunc(b.order, isCold) {
		return
	}
	warm := 0.0
	for _, s := range b.order {
		if s.listed && s.well() {
			warm += b.coldShare(s)
		}
	}
	parts := coldFlow * b.flow / us(flowSpan*b.shortAim) / max(1, warm) * us(passed)
	for _, s := range b.order {
		b.cold.Earn(&s.cold, b.now, parts)
	}
}

// draw gives a part one of its holders by lot, by capacity, to which it may go though that is cold; or none. Where
// gatherers are many, what each owes a cold server lets it go seldom, and a query of sixty parts whose shards have
// cold holders only never. By lot all gatherers together send each holder its part of what its shards are asked. That
// is within rule 4 as long as it is no more than coldCrowd times what warm ones were seen to answer, by capacity.
func (b *Balancer) draw(p *part) *server {
	if b.set.Instances <= ownMost {
		return nil
	}
	all, sum := b.holders(p), 0.0
	for _, s := range all {
		sum += b.coldShare(s)
	}
	if sum == float64(len(all)) || b.asked*float64(b.set.Reach) > coldCrowd*sum*b.seen {
		return nil
	}
	lot := b.rng.Float64() * sum
	for _, s := range all {
		if lot -= b.coldShare(s); lot < 0 {
			return s
		}
	}
	return nil
}

// workOff is how long a server takes to work off a queue.
func (b *Balancer) workOff(queue float64) float64 { return queue * b.work() / atOnce }

// queued is how long a part waits at the servers with long queues, by what probes showed lately; told is false
// where too few did. It is fresh where answers are old: one of many gatherers has few, and after a jam none.
func (b *Balancer) queued() (wait float64, told bool) {
	var queues []float64
	for _, s := range b.order {
		if s.listed && b.now-s.askedAt < rateSpan*b.shortAim {
			queues = append(queues, s.waiting)
		}
	}
	return b.workOff(quantile(queues, queueHigh)), len(queues) >= tellersLeast && b.set.Instances > ownMost
}

// behind says whether a server has a long queue, by what is known of it, or with time of the others. The last word of
// a long one counts only for so long: where no words come it would for good.
func (b *Balancer) behind(s *server) bool {
	_, _, q := b.averages(s)
	return s.long && b.now-s.reported < staleAfter*b.shortAim || b.long(q)
}

// wait is how long a part waits at a server before it is begun, where gatherers tell each other of queues.
func (b *Balancer) wait(s *server) float64 {
	if !b.set.GossipEnabled() {
		return 0
	}
	_, _, q := b.averages(s)
	return b.workOff(q)
}

// crowded says whether half of a part's holders are out, and all others have long queues.
func (b *Balancer) crowded(p *part) bool {
	out, all := 0, b.holders(p)
	for _, s := range all {
		if s.barely() {
			out++
		} else if !b.behind(s) {
			return false
		}
	}
	return 2*out >= len(all)
}

func (b *Balancer) overQuota(tenant int) bool {
	passed := (b.now - b.quotaAt).Seconds()
	b.quotaAt = b.now
	for i, t := range b.set.Tenants {
		rate := t.Quota / float64(b.set.Instances)
		b.quota[i] = min(2*rate, b.quota[i]+rate*passed)
	}
	b.quota[tenant]--
	over := b.quota[tenant] < 0
	b.quota[tenant] = max(0, b.quota[tenant])
	return over && b.set.Tenants[tenant].Quota > 0
}
