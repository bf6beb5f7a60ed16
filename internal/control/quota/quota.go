// Package shares divides budgets of a whole fleet among its mixers, so that all of them together never spend more than
// the whole, however many there are, come and go, stop, or are cut off. A Holder is a mixer's side: it asks, holds a
// lease and spends by it. An Allocator is the side of whoever divides: it keeps a Table of what each holder may spend,
// which voters replicate, and gives only what the table can spare. docs/fleet-budgets-design.md has the argument.
//
// Nothing here does I/O, reads a clock or starts a goroutine; times come from a clock of the caller's that goes on while
// its process is stopped, and never back. Clocks of two processes need not agree, only run alike: see Rules.Drift.
package quota

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Key names a budget, as "parts/s at archive-7".
type Key string

// Kind is what a budget counts.
type Kind int

const (
	Rate  Kind = iota // units in a second, with a burst
	Slots             // units at once: taken by Spend and given back by Done
)

func (k Kind) String() string { return [...]string{"rate", "slots"}[k] }

// Budget is one limit on the whole fleet, in whole units: what is under one unit cannot be spent, so shares are never
// parts of one.
type Budget struct {
	Key  Key
	Kind Kind
	// Units are what is divided. Slots: that may be taken at once. Rate: tokens, each of which may be spent at any time
	// and comes back after Refill; so of n units n may be spent together, and n in each Refill after that.
	Units   int
	Refill  time.Duration // Rate
	Hold    time.Duration // Slots: how long one may stay taken after its lease or its process has ended
	Base    int           // units that each member may have without a lease; set aside for as many as may be
	Reserve int           // units of the others that are kept for holders that have just come
}

// Rules are the same at all processes of a fleet.
type Rules struct {
	Lease   time.Duration // how long a lease lasts
	Drift   float64       // by this share, at most, a process's clock runs fast or slow
	Members int           // the most that the fleet may have
	Step    int           // units that a share has to be off by before it is moved
	Budgets []Budget
}

// Check says what is wrong with rules.
func (r *Rules) Check() error {
	switch {
	case r.Lease <= 0:
		return fmt.Errorf("shares: a lease of %v: must be positive", r.Lease)
	case r.Drift < 0 || r.Drift >= 0.5:
		return fmt.Errorf("shares: a drift of %v: must be at least 0 and under 0.5", r.Drift)
	case r.Members < 1:
		return fmt.Errorf("shares: %d members: must be at least 1", r.Members)
	case r.Step < 0:
		return fmt.Errorf("shares: a step of %d: must not be negative", r.Step)
	case len(r.Budgets) == 0:
		return errors.New("shares: no budgets")
	}
	seen := map[Key]bool{}
	for _, b := range r.Budgets {
		switch {
		case b.Key == "" || seen[b.Key]:
			return fmt.Errorf("shares: budget %q: each needs a key of its own", b.Key)
		case b.Kind == Rate && (b.Refill <= 0 || b.Hold != 0):
			return fmt.Errorf("shares: budget %q: a rate needs a refill, and has no hold", b.Key)
		case b.Kind == Slots && (b.Hold <= 0 || b.Refill != 0):
			return fmt.Errorf("shares: budget %q: slots need a hold, the longest that one stays taken, and have no refill", b.Key)
		case b.Kind != Rate && b.Kind != Slots:
			return fmt.Errorf("shares: budget %q: kind %d", b.Key, b.Kind)
		case b.Units < 1 || b.Base < 0 || b.Reserve < 0:
			return fmt.Errorf("shares: budget %q: %d units, base %d, reserve %d", b.Key, b.Units, b.Base, b.Reserve)
		case b.Base*r.Members+b.Reserve > b.Units:
			return fmt.Errorf("shares: budget %q: a base of %d for each of %d members and a reserve of %d are more than its %d units",
				b.Key, b.Base, r.Members, b.Reserve, b.Units)
		}
		seen[b.Key] = true
	}
	return nil
}

// leased is how many of a budget's units are divided by leases.
func (r *Rules) leased(b *Budget) int { return b.Units - b.Base*r.Members }

// longest is how long what a holder was given may be spent, by the clock of who gave it: the holder's own clock ends it
// after Lease less the drift, counted from before it asked.
func (r *Rules) longest() time.Duration { return stretch(r.Lease, 1+r.Drift) }

// shortest is the same by the holder's clock.
func (r *Rules) shortest() time.Duration { return stretch(r.Lease, 1-r.Drift) }

// held is how long slots may stay taken after that, by any clock of the fleet.
func (r *Rules) held(b *Budget) time.Duration { return stretch(b.Hold, (1+r.Drift)/(1-r.Drift)) }

// hold is the longest of them.
func (r *Rules) hold() (most time.Duration) {
	for i := range r.Budgets {
		most = max(most, r.held(&r.Budgets[i]))
	}
	return most
}

func stretch(d time.Duration, by float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * by))
}

// Name is one process of a mixer: its name, and a number that no other process under that name has had. Two processes
// under one name are two holders; neither spends what the other was given.
type Name struct {
	Mixer   string
	Process uint64
}

// Ask is a holder's message: it asks for a lease on what it needs, or to renew the one it has.
type Ask struct {
	From   Name
	Number uint64 // of this message, from 1
	Holds  uint64 // the epoch by which it spends, and below which it has stopped spending
	Demand []int  // units of each budget that it could use
}

// Reply answers an Ask.
type Reply struct {
	To      Name
	Number  uint64 // of the ask
	Epoch   uint64 // of the amounts
	Amounts []int  // units of each budget, that it may spend by for Rules.Lease from before it asked
}
