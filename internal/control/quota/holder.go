package quota

import (
	"math"
	"time"
)

// Mode is what a holder goes by.
type Mode int

const (
	ByBase  Mode = iota // it has no lease that is good: it spends its part of what is set aside
	ByLease             // it has one, beside that
)

func (m Mode) String() string { return [...]string{"base", "lease"}[m] }

// purse is what a holder has of one budget.
type purse struct {
	amount int     // units leased; none of it counts once the lease is over
	tokens float64 // Rate: of the lease, that may be spent now
	spare  float64 // Rate: of the base
	taken  int     // Slots: units that are out
	wanted int     // Rate: units asked for since the last ask, given or not; Slots: the most at once
	usual  float64 // Rate: units wanted within a refill, smoothed over some leases; Slots: at once, falling slowly
}

// Holder is a mixer's side. It belongs to one process and ends with it; a new process makes a new one, under a Name of
// its own. It is not safe for concurrent use. Spend and Done do not allocate.
type Holder struct {
	rules  *Rules
	name   Name
	purses []purse
	born   time.Duration
	at     time.Duration // when the purses were last filled
	end    time.Duration // of the lease, by this process's clock; 0: none yet
	epoch  uint64        // of its amounts
	good   uint64        // epoch that the holder's purses are within by now
	number uint64        // of the last ask
	heard  uint64        // ask that the last reply taken answers
	asks   [asksKept]sent
	since  time.Duration // of the last ask, for demand
}

type sent struct {
	number uint64
	at     time.Duration
}

// asksKept is how many asks a reply may still answer. Older ones end sooner than what came since.
const asksKept = 8

// NewHolder returns the holder of a process that began at now. It has spent nothing: its base of rates begins empty, and
// its base of slots counts once what an earlier process under its name may have out has ended.
func NewHolder(rules *Rules, name Name, now time.Duration) *Holder {
	return &Holder{rules: rules, name: name, purses: make([]purse, len(rules.Budgets)), born: now, at: now, since: now}
}

// fill lets time pass in the purses: those of the lease fill until it is over, and are empty from then on.
func (h *Holder) fill(now time.Duration) {
	if now <= h.at {
		return
	}
	leased := max(0, min(now, h.end)-h.at)
	for i := range h.purses {
		p, b := &h.purses[i], &h.rules.Budgets[i]
		if b.Kind == Rate {
			span := stretch(b.Refill, 1+h.rules.Drift) // no sooner by any clock
			p.spare = refill(p.spare, b.Base, now-h.at, span)
			p.tokens = refill(p.tokens, p.amount, leased, span)
		}
		if now >= h.end {
			p.amount, p.tokens = 0, 0
		}
	}
	h.at = now
}

// refill is what tokens have become of, with room for so many units that each come back in one span.
func refill(tokens float64, units int, passed, span time.Duration) float64 {
	return min(float64(units), tokens+float64(units)*float64(passed)/float64(span))
}

// Mode says what the holder goes by.
func (h *Holder) Mode(now time.Duration) Mode {
	if now < h.end {
		return ByLease
	}
	return ByBase
}

// Spend takes so many units of a budget, or says that it may not. It is called at the moment of spending: the lease is
// judged by now.
func (h *Holder) Spend(now time.Duration, budget, units int) bool {
	h.fill(now)
	p, b := &h.purses[budget], &h.rules.Budgets[budget]
	if b.Kind == Slots {
		p.wanted = max(p.wanted, p.taken+units)
		if p.taken+units > h.slots(p, b) {
			return false
		}
		p.taken += units
		return true
	}
	p.wanted += units
	if whole(p.tokens)+whole(p.spare) < units {
		return false
	}
	lease := min(whole(p.tokens), units)
	p.tokens = max(0, p.tokens-float64(lease))
	p.spare = max(0, p.spare-float64(units-lease))
	return true
}

// whole is how many units tokens are, apart from rounding of their sums.
func whole(tokens float64) int { return int(tokens + 1e-9) }

// slots is how many units may be out at once.
func (h *Holder) slots(p *purse, b *Budget) int {
	if h.at-h.born < h.rules.held(b) {
		return p.amount
	}
	return p.amount + b.Base
}

// Done gives units of slots back: what they were taken for has ended.
func (h *Holder) Done(budget, units int) {
	p := &h.purses[budget]
	p.taken = max(0, p.taken-units)
}

// May is how many units of a budget the holder goes by.
func (h *Holder) May(now time.Duration, budget int) int {
	h.fill(now)
	p, b := &h.purses[budget], &h.rules.Budgets[budget]
	if b.Kind == Slots {
		return h.slots(p, b)
	}
	return p.amount + b.Base
}

// Ask makes the next message. It is to be called several times in a lease; a message may be lost.
func (h *Holder) Ask(now time.Duration) Ask {
	h.fill(now)
	h.number++
	h.asks[h.number%asksKept] = sent{h.number, now}
	h.within()
	a := Ask{From: h.name, Number: h.number, Holds: h.good, Demand: make([]int, len(h.purses))}
	passed := max(now-h.since, 0)
	for i := range h.purses {
		p, b := &h.purses[i], &h.rules.Budgets[i]
		weight := 1 - math.Exp(-float64(passed)/float64(max(h.rules.Lease, b.Refill)))
		if b.Kind == Slots {
			p.usual = max(float64(p.wanted), p.usual-weight*(p.usual-float64(p.wanted)))
		} else if passed > 0 {
			p.usual += weight * (float64(p.wanted)*float64(b.Refill)/float64(passed) - p.usual)
		}
		if a.Demand[i] = int(math.Ceil(p.usual - 0.1)); p.wanted > 0 { // one at least, where one was wanted now
			a.Demand[i] = max(a.Demand[i], 1)
		}
		p.wanted = p.taken
	}
	h.since = now
	return a
}

// within notes the epoch that the purses keep to. Slots that are out beyond a lower amount keep it back: what they take
// is not anybody else's yet.
func (h *Holder) within() {
	for i := range h.purses {
		p, b := &h.purses[i], &h.rules.Budgets[i]
		if b.Kind == Slots && p.taken > h.slots(p, b) {
			return
		}
	}
	h.good = h.epoch
}

// Hear takes a reply. One that is late, doubled, another process's or older than what was taken already tells nothing:
// the lease counts from before its ask was sent, whenever the reply comes.
func (h *Holder) Hear(now time.Duration, r Reply) {
	h.fill(now)
	ask := h.asks[r.Number%asksKept]
	if r.To != h.name || r.Number <= h.heard || ask.number != r.Number || len(r.Amounts) != len(h.purses) || r.Epoch < h.epoch {
		return
	}
	end := ask.at + h.rules.shortest()
	if now >= end {
		return
	}
	h.heard, h.epoch, h.end = r.Number, r.Epoch, end
	for i := range h.purses {
		p := &h.purses[i]
		p.amount = max(0, r.Amounts[i])
		p.tokens = min(p.tokens, float64(p.amount)) // a higher amount fills as it would: nothing comes at once
	}
	h.within()
}
