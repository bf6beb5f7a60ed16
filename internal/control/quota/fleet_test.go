package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet simulates a fleet in one process: clocks with different rates, messages that are delayed, lost and duplicated,
// processes that pause, crash and restart, and leaders that are replaced without noticing. It counts what all holders
// together spend, by real time.
type fleet struct {
	rng            *rand.Rand
	rules          *Rules // of the holders
	allocatorRules *Rules // the same, unless a bug is planted
	plantedBug     bug
	now            time.Duration // real time
	messages       []message
	log            []Entry // committed
	allocators     []*allocatorNode
	leader         int // index of the real leader; -1: none
	term           uint64
	holders        []*holderProcess
	crashed        []*holderProcess // whose slots may still be in use
	tokens         []float64        // of the complete fleet, for rates
	slotsInUse     []int            // by budget, including those of crashed processes
	spent          []int
	rejected       []int
	violations     []string
}

type message struct {
	deliverAt time.Duration
	deliver   func()
}

// bug is a fault that a test plants in the fleet, to check that the simulation detects it.
type bug string

const (
	noBug                 bug = ""
	unitsReturnedEarly    bug = "units returned early"
	leaseCountedFromGrant bug = "lease counted from the grant"
	leaseNeverExpires     bug = "lease never expires"
	leadershipUnconfirmed bug = "leadership not confirmed"
	baseAtOnce            bug = "base available at once"
)

// clock is the monotonic clock of one process.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(realTime time.Duration) time.Duration {
	return c.offset + time.Duration(float64(realTime)*c.rate)
}

// allocatorNode is a process that may be elected leader.
type allocatorNode struct {
	clock
	table         *Table
	applied       int        // entries of the log
	allocator     *Allocator // nil: it does not consider itself the leader
	pausedUntil   time.Duration
	isolatedUntil time.Duration // it does not receive committed entries until then
}

func (d *allocatorNode) applyLog(log []Entry) {
	for ; d.applied < len(log); d.applied++ {
		d.table.Apply(log[d.applied])
	}
}

// holderProcess is one process of an aggregator.
type holderProcess struct {
	clock
	onlyAllocator *allocatorNode // the only one it reaches while that is isolated; nil: it reaches all others
	holder        *LeaseHolder
	id            HolderID
	pausedUntil   time.Duration
	demand        float64 // units per second
	crashed       bool
}

func newFleet(t *testing.T, seed uint64, planted bug) *fleet {
	t.Helper()
	rules := &Rules{
		LeaseDuration:     2 * time.Second,
		MaxClockDrift:     0.05,
		MaxMembers:        fleetSize,
		TransferThreshold: 1,
		Budgets: []Budget{
			{Key: "parts/s", Kind: Rate, Units: 40, Refill: time.Second, Base: 1, Reserve: 2},
			{Key: "parts at once", Kind: Slots, Units: 30, MaxHold: 500 * time.Millisecond, Base: 1},
			{Key: "list calls/s", Kind: Rate, Units: 6, Refill: 3 * time.Second},
		},
	}
	if err := rules.Validate(); err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		rng:            rand.New(rand.NewPCG(seed, 0x5a)),
		rules:          rules,
		allocatorRules: rules,
		plantedBug:     planted,
		leader:         -1,
		slotsInUse:     make([]int, len(rules.Budgets)),
		spent:          make([]int, len(rules.Budgets)),
		rejected:       make([]int, len(rules.Budgets)),
	}
	if planted == unitsReturnedEarly {
		early := *rules
		early.LeaseDuration = rules.LeaseDuration / 2
		early.Budgets = slices.Clone(rules.Budgets)
		early.Budgets[1].MaxHold = time.Millisecond
		f.allocatorRules = &early
	}
	for _, b := range rules.Budgets {
		f.tokens = append(f.tokens, float64(b.Units))
	}
	for range 3 {
		node := &allocatorNode{clock: f.newClock(), table: NewTable(f.allocatorRules)}
		f.allocators = append(f.allocators, node)
	}
	for i := range fleetSize {
		f.startProcess(fmt.Sprintf("m%d", i))
	}
	return f
}

func (f *fleet) newClock() clock {
	offset := time.Duration(f.rng.Int64N(int64(time.Hour)))
	drift := f.rules.MaxClockDrift * (2*f.rng.Float64() - 1)
	return clock{offset: offset, rate: 1 + drift}
}

func (f *fleet) startProcess(aggregator string) {
	p := &holderProcess{
		clock:  f.newClock(),
		id:     HolderID{Aggregator: aggregator, Incarnation: f.rng.Uint64()},
		demand: f.rng.ExpFloat64() * 12,
	}
	p.holder = NewLeaseHolder(f.rules, p.id, p.read(f.now))
	if f.plantedBug == baseAtOnce {
		p.holder.startedAt -= time.Hour
	}
	f.holders = append(f.holders, p)
}

// send delivers a message soon, delayed by up to three lease durations, twice, or never.
func (f *fleet) send(deliver func()) {
	for range 1 + f.rng.IntN(8)/7 {
		latency := time.Duration(f.rng.Int64N(int64(50 * time.Millisecond)))
		switch chance := f.rng.Float64(); {
		case chance < 0.15:
			continue
		case chance < 0.4:
			latency = time.Duration(f.rng.Int64N(int64(3 * f.rules.LeaseDuration)))
		}
		f.deliverAfter(latency, deliver)
	}
}

func (f *fleet) deliverAfter(latency time.Duration, deliver func()) {
	f.messages = append(f.messages, message{deliverAt: f.now + latency, deliver: deliver})
}

// recordViolation records that an invariant is violated now.
func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// spendUnit counts one unit that a holder spent, and records a violation if that exceeds the budget.
func (f *fleet) spendUnit(p *holderProcess, b int) {
	budget := &f.rules.Budgets[b]
	f.spent[b]++
	if budget.Kind == Slots {
		f.slotsInUse[b]++
		if f.slotsInUse[b] > budget.Units {
			f.recordViolation("%d of %d %s are in use", f.slotsInUse[b], budget.Units, budget.Key)
		}
		holdTime := time.Duration(f.rng.Int64N(int64(budget.MaxHold)))
		f.deliverAfter(holdTime, func() {
			f.slotsInUse[b]--
			p.holder.Release(b, 1)
		})
		return
	}
	f.tokens[b]--
	if f.tokens[b] < -1e-6 {
		f.recordViolation("%s are overspent by %.3f", budget.Key, -f.tokens[b])
	}
}

// fleetSize is the maximum that the rules allow, so that no unused base hides a quota that was granted twice.
const fleetSize = 8

// allowedUnits returns how many units of a budget all processes may currently spend, each by its own clock, paused or
// not, or have in use if that is more. Quotas granted twice are detected here even if they are not spent at the same
// time.
func (f *fleet) allowedUnits(b int) (units int) {
	budget := &f.rules.Budgets[b]
	for _, p := range f.holders {
		now := p.read(f.now)
		allowed := 0
		if now < p.holder.leaseEnd {
			allowed = p.holder.accounts[b].leased
		}
		if budget.Kind == Rate || now-p.holder.startedAt >= f.rules.maxSlotHold(budget) {
			allowed += budget.Base
		}
		units += max(allowed, p.holder.accounts[b].inUse)
	}
	for _, p := range f.crashed {
		units += p.holder.accounts[b].inUse
	}
	return units
}

const tick = 10 * time.Millisecond

func (f *fleet) step() {
	f.now += tick
	for b := range f.tokens {
		if budget := &f.rules.Budgets[b]; budget.Kind == Rate {
			refilled := float64(budget.Units) * float64(tick) / float64(budget.Refill)
			f.tokens[b] = min(float64(budget.Units), f.tokens[b]+refilled)
		}
	}
	f.deliverDue()
	for _, p := range f.holders {
		f.runHolder(p)
	}
	for i, d := range f.allocators {
		f.runAllocator(i, d)
	}
	f.injectFaults()
	f.crashed = slices.DeleteFunc(f.crashed, func(p *holderProcess) bool {
		return !slices.ContainsFunc(p.holder.accounts, func(a account) bool { return a.inUse > 0 })
	})
	for b := range f.rules.Budgets {
		budget := &f.rules.Budgets[b]
		if allowed := f.allowedUnits(b); allowed > budget.Units {
			f.recordViolation("all processes together may spend %d of %d %s", allowed, budget.Units, budget.Key)
		}
	}
}

// deliverDue delivers the messages that are due now.
func (f *fleet) deliverDue() {
	messages := f.messages
	f.messages = nil
	for _, m := range messages {
		if m.deliverAt > f.now {
			f.messages = append(f.messages, m)
		} else {
			m.deliver()
		}
	}
}

// runHolder has an aggregator send requests at random times, and spend units according to its demand.
func (f *fleet) runHolder(p *holderProcess) {
	if p.crashed || f.now < p.pausedUntil {
		return
	}
	now := p.read(f.now)
	if f.rng.Float64() < tick.Seconds()/0.3 {
		request := p.holder.NextRequest(now)
		for _, d := range f.allocators {
			f.send(func() {
				if d.allocator != nil && f.now >= d.pausedUntil && f.reachable(p, d) {
					d.allocator.HandleRequest(request)
				}
			})
		}
	}
	for n := p.demand * tick.Seconds(); n > 0; n-- {
		if f.rng.Float64() > n {
			continue
		}
		for b := range f.rules.Budgets {
			if p.holder.Spend(now, b, 1) {
				f.spendUnit(p, b)
			} else {
				f.rejected[b]++
			}
		}
	}
}

// runAllocator has a node apply committed entries and, if it considers itself the leader, propose entries and confirm
// its leadership.
func (f *fleet) runAllocator(i int, d *allocatorNode) {
	if f.now < d.pausedUntil {
		return
	}
	if i == f.leader || f.now >= d.isolatedUntil && f.rng.IntN(4) == 0 {
		d.applyLog(f.log)
	}
	if d.allocator == nil {
		return
	}
	d.allocator.ForgetRemoved()
	if f.rng.IntN(5) > 0 {
		return
	}
	for _, e := range d.allocator.Propose(d.read(f.now)) {
		if i == f.leader && f.rng.IntN(20) > 0 { // only entries of the real leader are committed, and some are lost
			f.log = append(f.log, e)
		}
	}
	round := d.allocator.BeginLeadershipCheck()
	if i != f.leader && f.plantedBug != leadershipUnconfirmed {
		return
	}
	latency := time.Duration(f.rng.Int64N(int64(100 * time.Millisecond)))
	f.deliverAfter(latency, func() { f.sendGrants(d, round) })
}

// sendGrants confirms a node's leadership and sends its grants.
func (f *fleet) sendGrants(d *allocatorNode, round uint64) {
	if d.allocator == nil || f.now < d.pausedUntil {
		return
	}
	for _, grant := range d.allocator.LeadershipConfirmed(d.read(f.now), round) {
		for _, p := range f.holders {
			f.send(func() {
				if !p.crashed && f.now >= p.pausedUntil && f.reachable(p, d) {
					f.deliverGrant(p, grant)
				}
			})
		}
	}
}

// reachable reports whether a holder and an allocator can exchange messages.
func (f *fleet) reachable(p *holderProcess, d *allocatorNode) bool {
	if p.onlyAllocator != nil && f.now < p.onlyAllocator.isolatedUntil {
		return p.onlyAllocator == d
	}
	return f.now >= d.isolatedUntil
}

func (f *fleet) deliverGrant(p *holderProcess, grant Grant) {
	now := p.read(f.now)
	before := p.holder.answered
	if f.plantedBug == leaseCountedFromGrant {
		for i := range p.holder.recentRequests { // as if its requests had just been sent
			p.holder.recentRequests[i].sentAt = now
		}
	}
	p.holder.HandleGrant(now, grant)
	if f.plantedBug == leaseNeverExpires && p.holder.answered > before {
		p.holder.leaseEnd = now + time.Hour
	}
}

// happens reports whether a random event with a given mean interval happens in this tick.
func (f *fleet) happens(meanInterval time.Duration) bool {
	return f.rng.Float64() < tick.Seconds()/meanInterval.Seconds()
}

// injectFaults elects and deposes leaders, and pauses, crashes and restarts processes.
func (f *fleet) injectFaults() {
	if f.leader < 0 && f.happens(300*time.Millisecond) {
		f.electLeader()
	}
	if f.leader >= 0 && f.happens(7*time.Second) {
		f.deposeLeader()
	}
	if f.happens(2 * time.Second) {
		p := f.holders[f.rng.IntN(len(f.holders))]
		p.pausedUntil = f.now + time.Duration(f.rng.Int64N(int64(2*f.rules.LeaseDuration)))
	}
	if f.happens(3 * time.Second) {
		f.crash(f.rng.IntN(len(f.holders)))
	}
	if f.happens(20 * time.Second) { // all processes crash at once
		for i := range f.holders {
			f.crash(i)
		}
	}
}

// electLeader makes a random node the leader, which starts a term.
func (f *fleet) electLeader() {
	f.leader = f.rng.IntN(len(f.allocators))
	d := f.allocators[f.leader]
	d.pausedUntil = f.now
	d.isolatedUntil = f.now
	d.applyLog(f.log) // a new leader has every entry that was committed before its term
	f.term++
	var termStarted Entry
	d.allocator, termStarted = StartTerm(f.allocatorRules, f.term, d.table, d.read(f.now))
	f.log = append(f.log, termStarted)
}

// deposeLeader ends the leadership of a node, which is notified, or paused, or isolated.
func (f *fleet) deposeLeader() {
	d := f.allocators[f.leader]
	switch f.rng.IntN(3) {
	case 0:
		d.allocator = nil
	case 1:
		d.pausedUntil = f.now + 2*f.rules.LeaseDuration
	case 2:
		d.isolatedUntil = f.now + 3*f.rules.LeaseDuration
		for _, p := range f.holders {
			p.onlyAllocator = nil
			if f.rng.IntN(2) == 0 {
				p.onlyAllocator = d
			}
		}
	}
	f.leader = -1
}

// crash replaces a process, given by its index, by a new process of the same aggregator.
func (f *fleet) crash(i int) {
	p := f.holders[i]
	p.crashed = true
	f.crashed = append(f.crashed, p)
	f.startProcess(p.id.Aggregator)
	f.holders[i] = f.holders[len(f.holders)-1]
	f.holders = f.holders[:len(f.holders)-1]
}

// runFleet simulates a fleet until the first violation, or for a duration.
func runFleet(t *testing.T, seed uint64, planted bug, duration time.Duration) *fleet {
	t.Helper()
	f := newFleet(t, seed, planted)
	for f.now < duration && len(f.violations) == 0 {
		f.step()
	}
	return f
}

// No budget is overspent. Each is both spent from and exhausted, so that its limit is tested.
func TestFleet_NeverSpendsMoreThanTheBudget(t *testing.T) {
	for seed := range uint64(15) {
		f := runFleet(t, seed, noBug, 40*time.Second)
		if len(f.violations) > 0 {
			t.Errorf("seed %d: %s", seed, f.violations[0])
		}
		for b, n := range f.spent {
			if n == 0 || f.rejected[b] == 0 {
				t.Errorf("seed %d: %s: %d spent, %d rejected: the limit was not reached",
					seed, f.rules.Budgets[b].Key, n, f.rejected[b])
			}
		}
	}
}

// The invariants of the simulation detect each planted bug.
func TestFleet_PlantedBugsAreFound(t *testing.T) {
	for _, planted := range []bug{
		unitsReturnedEarly,
		leaseCountedFromGrant,
		leaseNeverExpires,
		leadershipUnconfirmed,
		baseAtOnce,
	} {
		found := 0
		for seed := uint64(0); seed < 40 && found == 0; seed++ {
			found += len(runFleet(t, seed, planted, 60*time.Second).violations)
		}
		if found == 0 {
			t.Errorf("%s: not found", planted)
		}
	}
}

// FuzzFleet searches for a fleet that spends more than a budget. Each seed gives another fleet with other faults.
func FuzzFleet(fuzz *testing.F) {
	fuzz.Add(uint64(1000))
	fuzz.Fuzz(func(t *testing.T, seed uint64) {
		if f := runFleet(t, seed, noBug, 20*time.Second); len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
	})
}
