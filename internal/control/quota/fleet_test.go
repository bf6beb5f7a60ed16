package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world is a fleet in one process of real time: clocks that run unlike, messages that are late, lost and doubled,
// processes that stop and come back, and offices that end without knowing it. It counts what all spend, by real time.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	rules    *Rules // of the holders
	theirs   *Rules // of who divides; others only where a bug is planted
	bug      string
	now      time.Duration
	mail     []mail
	log      []Entry // agreed on
	dividers []*divider
	leader   int // who is in office in truth
	office   uint64
	holders  []*proc
	ghosts   []*proc   // dead, with slots that are still taken
	tokens   []float64 // of the whole, for rates
	at       time.Duration
	out      []int // slots taken, dead processes' too
	spent    []int
	refused  []int
	broken   []string
}

type mail struct {
	at time.Duration
	do func()
}

// clock is a process's own.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

type divider struct {
	clock
	table   *Table
	applied int
	a       *Allocator    // nil: it takes itself to be out of office
	awake   time.Duration // it is stopped until then
	cut     time.Duration // it hears nothing of what is agreed on until then
}

type proc struct {
	side *divider // it reaches this one only, while that is cut off
	clock
	h     *Holder
	name  Name
	awake time.Duration // it is stopped until then
	wants float64       // units a second
	dead  bool
}

func newWorld(t *testing.T, seed uint64, bug string) *world {
	rules := &Rules{Lease: 2 * time.Second, Drift: 0.05, Members: mixers, Step: 1, Budgets: []Budget{
		{Key: "parts/s", Kind: Rate, Units: 40, Refill: time.Second, Base: 1, Reserve: 2},
		{Key: "parts at once", Kind: Slots, Units: 30, Hold: 500 * time.Millisecond, Base: 1},
		{Key: "list calls/s", Kind: Rate, Units: 6, Refill: 3 * time.Second},
	}}
	if err := rules.Check(); err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 0x5a)), rules: rules, theirs: rules, bug: bug, leader: -1}
	if bug == "returned early" {
		early := *rules
		early.Lease, early.Budgets = rules.Lease/2, slices.Clone(rules.Budgets)
		early.Budgets[1].Hold = time.Millisecond
		w.theirs = &early
	}
	for _, b := range rules.Budgets {
		w.tokens = append(w.tokens, float64(b.Units))
	}
	n := len(rules.Budgets)
	w.out, w.spent, w.refused = make([]int, n), make([]int, n), make([]int, n)
	for range 3 {
		w.dividers = append(w.dividers, &divider{clock: w.clock(), table: NewTable(w.theirs)})
	}
	for i := range mixers {
		w.begin(fmt.Sprintf("m%d", i))
	}
	return w
}

func (w *world) clock() clock {
	return clock{time.Duration(w.rng.Int64N(int64(time.Hour))), 1 + w.rules.Drift*(2*w.rng.Float64()-1)}
}

func (w *world) begin(mixer string) {
	p := &proc{clock: w.clock(), name: Name{mixer, w.rng.Uint64()}, wants: w.rng.ExpFloat64() * 12}
	p.h = NewHolder(w.rules, p.name, p.read(w.now))
	if w.bug == "base at once" {
		p.h.born -= time.Hour
	}
	w.holders = append(w.holders, p)
}

// send delivers a message: at once, late by up to three leases, twice, or never.
func (w *world) send(do func()) {
	for range 1 + w.rng.IntN(8)/7 {
		d := time.Duration(w.rng.Int64N(int64(50 * time.Millisecond)))
		switch x := w.rng.Float64(); {
		case x < 0.15:
			continue
		case x < 0.4:
			d = time.Duration(w.rng.Int64N(int64(3 * w.rules.Lease)))
		}
		w.mail = append(w.mail, mail{w.now + d, do})
	}
}

// spend is one unit spent in truth.
func (w *world) spend(p *proc, b int) {
	budget := &w.rules.Budgets[b]
	w.spent[b]++
	if budget.Kind == Slots {
		if w.out[b]++; w.out[b] > budget.Units {
			w.broken = append(w.broken, fmt.Sprintf("%v: %d of %d %s are taken", w.now, w.out[b], budget.Units, budget.Key))
		}
		took := time.Duration(w.rng.Int64N(int64(budget.Hold)))
		w.mail = append(w.mail, mail{w.now + took, func() {
			w.out[b]--
			p.h.Done(b, 1)
		}})
		return
	}
	if w.tokens[b]--; w.tokens[b] < -1e-6 {
		w.broken = append(w.broken, fmt.Sprintf("%v: %s are over by %.3f", w.now, budget.Key, -w.tokens[b]))
	}
}

// mixers of the fleet: as many as it may have, so that no spare base hides a share given twice.
const mixers = 8

// rights are how many units of a budget all processes may spend by now, each by its own clock, awake or not, and what
// they have taken beyond that. Shares given twice show here though nobody spends them at once.
func (w *world) rights(b int) (units int) {
	budget := &w.rules.Budgets[b]
	for _, p := range w.holders {
		now, n := p.read(w.now), 0
		if now < p.h.end {
			n = p.h.purses[b].amount
		}
		if budget.Kind == Rate || now-p.h.born >= w.rules.held(budget) {
			n += budget.Base
		}
		units += max(n, p.h.purses[b].taken)
	}
	for _, p := range w.ghosts {
		units += p.h.purses[b].taken
	}
	return units
}

const tick = 10 * time.Millisecond

func (w *world) step() {
	w.now += tick
	for b := range w.tokens {
		if budget := &w.rules.Budgets[b]; budget.Kind == Rate {
			w.tokens[b] = min(float64(budget.Units), w.tokens[b]+float64(budget.Units)*float64(tick)/float64(budget.Refill))
		}
	}
	due := w.mail
	w.mail = nil
	for _, m := range due {
		if m.at > w.now {
			w.mail = append(w.mail, m)
		} else {
			m.do()
		}
	}
	for _, p := range w.holders {
		w.act(p)
	}
	for i, d := range w.dividers {
		w.divide(i, d)
	}
	w.trouble()
	w.ghosts = slices.DeleteFunc(w.ghosts, func(p *proc) bool {
		return !slices.ContainsFunc(p.h.purses, func(p purse) bool { return p.taken > 0 })
	})
	for b := range w.rules.Budgets {
		if n := w.rights(b); n > w.rules.Budgets[b].Units {
			w.broken = append(w.broken, fmt.Sprintf("%v: all together may spend %d of %d %s", w.now, n, w.rules.Budgets[b].Units, w.rules.Budgets[b].Key))
		}
	}
}

// act lets a mixer ask now and then, and spend what it may.
func (w *world) act(p *proc) {
	if p.dead || w.now < p.awake {
		return
	}
	now := p.read(w.now)
	if w.rng.Float64() < tick.Seconds()/0.3 {
		ask := p.h.Ask(now)
		for _, d := range w.dividers {
			w.send(func() {
				if d.a != nil && w.now >= d.awake && w.reach(p, d) {
					d.a.Hear(ask)
				}
			})
		}
	}
	for n := p.wants * tick.Seconds(); n > 0; n-- {
		if w.rng.Float64() > n {
			continue
		}
		for b := range w.rules.Budgets {
			if p.h.Spend(now, b, 1) {
				w.spend(p, b)
			} else {
				w.refused[b]++
			}
		}
	}
}

// divide lets a divider apply what was agreed on and, if it takes itself to be in office, do what that does.
func (w *world) divide(i int, d *divider) {
	if w.now < d.awake {
		return
	}
	if i == w.leader || w.now >= d.cut && w.rng.IntN(4) == 0 {
		for ; d.applied < len(w.log); d.applied++ {
			d.table.Apply(w.log[d.applied])
		}
	}
	if d.a == nil {
		return
	}
	d.a.Forget()
	if w.rng.IntN(5) > 0 {
		return
	}
	for _, e := range d.a.Propose(d.read(w.now)) {
		if i == w.leader && w.rng.IntN(20) > 0 { // others' are not agreed on; some are lost
			w.log = append(w.log, e)
		}
	}
	round, honest := d.a.Round(), i == w.leader || w.bug == "office not confirmed"
	if !honest {
		return
	}
	w.mail = append(w.mail, mail{w.now + time.Duration(w.rng.Int64N(int64(100*time.Millisecond))), func() {
		if d.a == nil || w.now < d.awake {
			return
		}
		for _, r := range d.a.Confirmed(d.read(w.now), round) {
			for _, p := range w.holders {
				w.send(func() {
					if !p.dead && w.now >= p.awake && w.reach(p, d) {
						w.hear(p, r)
					}
				})
			}
		}
	}})
}

// reach says whether messages pass between a mixer and a divider.
func (w *world) reach(p *proc, d *divider) bool {
	if p.side != nil && w.now < p.side.cut {
		return p.side == d
	}
	return w.now >= d.cut
}

func (w *world) hear(p *proc, r Reply) {
	now, before := p.read(w.now), p.h.heard
	if w.bug == "counted from the reply" {
		for i := range p.h.asks { // its asks seem to have been sent just now
			p.h.asks[i].at = now
		}
	}
	p.h.Hear(now, r)
	if w.bug == "lease never ends" && p.h.heard > before {
		p.h.end = now + time.Hour
	}
}

// trouble elects, stops, kills and starts.
func (w *world) trouble() {
	chance := func(every time.Duration) bool { return w.rng.Float64() < tick.Seconds()/every.Seconds() }
	if w.leader < 0 && chance(300*time.Millisecond) {
		w.leader = w.rng.IntN(len(w.dividers))
		d := w.dividers[w.leader]
		d.awake, d.cut = w.now, w.now
		for ; d.applied < len(w.log); d.applied++ { // what was agreed on before an office is known to it
			d.table.Apply(w.log[d.applied])
		}
		w.office++
		var e Entry
		d.a, e = Elect(w.theirs, w.office, d.table, d.read(w.now))
		w.log = append(w.log, e)
	}
	if w.leader >= 0 && chance(7*time.Second) { // it is out of office: told, stopped, or cut off and not told
		d := w.dividers[w.leader]
		switch w.rng.IntN(3) {
		case 0:
			d.a = nil
		case 1:
			d.awake = w.now + 2*w.rules.Lease
		case 2:
			d.cut = w.now + 3*w.rules.Lease
			for _, p := range w.holders {
				if p.side = nil; w.rng.IntN(2) == 0 {
					p.side = d
				}
			}
		}
		w.leader = -1
	}
	if chance(2 * time.Second) {
		p := w.holders[w.rng.IntN(len(w.holders))]
		p.awake = w.now + time.Duration(w.rng.Int64N(int64(2*w.rules.Lease)))
	}
	if chance(3 * time.Second) { // a process dies, and another begins under its name
		w.die(w.rng.IntN(len(w.holders)))
	}
	if chance(20 * time.Second) { // all at once
		for i := range w.holders {
			w.die(i)
		}
	}
}

func (w *world) die(i int) {
	p := w.holders[i]
	p.dead = true
	w.ghosts = append(w.ghosts, p)
	w.begin(p.name.Mixer)
	w.holders[i] = w.holders[len(w.holders)-1]
	w.holders = w.holders[:len(w.holders)-1]
}

func play(t *testing.T, seed uint64, bug string, d time.Duration) *world {
	w := newWorld(t, seed, bug)
	for w.now < d && len(w.broken) == 0 {
		w.step()
	}
	return w
}

// Nothing is ever spent beyond the whole, and most of what is wanted is spent.
func TestAFleetNeverSpendsMoreThanTheWhole(t *testing.T) {
	for seed := range uint64(15) {
		w := play(t, seed, "", 40*time.Second)
		if len(w.broken) > 0 {
			t.Errorf("seed %d: %s", seed, w.broken[0])
		}
		for b, n := range w.spent {
			if n == 0 || w.refused[b] == 0 {
				t.Errorf("seed %d: %s: %d spent, %d refused: it was not tried", seed, w.rules.Budgets[b].Key, n, w.refused[b])
			}
		}
	}
}

// The count above finds each planted bug.
func TestPlantedBugsAreFound(t *testing.T) {
	for _, bug := range []string{"returned early", "counted from the reply", "lease never ends", "office not confirmed", "base at once"} {
		found := 0
		for seed := uint64(0); seed < 40 && found == 0; seed++ {
			found += len(play(t, seed, bug, 60*time.Second).broken)
		}
		if found == 0 {
			t.Errorf("%s: not found", bug)
		}
	}
}

// FuzzFleet looks for a fleet that spends more than the whole. Each seed is another fleet with other faults.
func FuzzFleet(f *testing.F) {
	f.Add(uint64(1000))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if w := play(t, seed, "", 20*time.Second); len(w.broken) > 0 {
			t.Fatal(w.broken[0])
		}
	})
}
