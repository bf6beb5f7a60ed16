// Package quota divides budgets of a whole fleet among its aggregators by leases, so that all of them together
// never spend more than the budget, however many there are, join, leave, pause or are partitioned. A LeaseHolder is
// the side of an aggregator: it requests a lease and spends by it. An Allocator is the side of the elected leader:
// it keeps a Table of what each holder may spend, which a quorum replicates, and grants only what the table has
// left. docs/fleet-budgets-design.md has the argument.
//
// Nothing here does I/O, reads a clock or starts a goroutine. Times are readings of the caller's monotonic clock, which
// goes on while its process is paused. Clocks of two processes may be apart by any offset, but their rates may differ
// only within Rules.MaxClockDrift.
package quota

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"
)

// Key names a budget, for example "parts/s at archive-7".
type Key string

// Kind is what a budget counts.
type Kind int

const (
	// Rate counts units per time, with a burst.
	Rate Kind = iota
	// Slots counts units in use at once: Spend takes them and Release gives them back.
	Slots
)

// String returns the name of the kind as logs print it.
func (k Kind) String() string { return [...]string{"rate", "slots"}[k] }

// Budget is one limit of the whole fleet, in whole units: less than one unit cannot be spent, so quotas are never
// fractions.
type Budget struct {
	Key  Key
	Kind Kind
	// Units are what is divided. For Slots: units that may be in use at once. For Rate: tokens, each of which may
	// be spent at any time and is back after Refill; so of n units n may be spent together, and n in each Refill
	// after that.
	Units   int
	Refill  time.Duration // Rate only
	MaxHold time.Duration // Slots only: how long one may stay in use after its lease or its process has ended
	Base    int           // units that each member may have without a lease; set aside for Rules.MaxMembers
	Reserve int           // leasable units that are kept for holders that have just joined
}

// Rules must be the same at all processes of a fleet.
type Rules struct {
	LeaseDuration     time.Duration
	MaxClockDrift     float64 // largest relative error of the rate of a process's clock, at least 0 and under 0.5
	MaxMembers        int     // the most aggregators that the fleet may have
	TransferThreshold int     // a quota that is off its target by no more than this many units is left as it is
	Budgets           []Budget
}

// Validate returns an error that names the first invalid value.
func (r *Rules) Validate() error {
	switch {
	case r.LeaseDuration <= 0:
		return fmt.Errorf("quota: a lease of %v: must be positive", r.LeaseDuration)
	case r.MaxClockDrift < 0 || r.MaxClockDrift >= 0.5:
		return fmt.Errorf("quota: a drift of %v: must be at least 0 and under 0.5", r.MaxClockDrift)
	case r.MaxMembers < 1:
		return fmt.Errorf("quota: %d members: must be at least 1", r.MaxMembers)
	case r.TransferThreshold < 0:
		return fmt.Errorf("quota: a step of %d: must not be negative", r.TransferThreshold)
	case len(r.Budgets) == 0:
		return errors.New("quota: no budgets")
	}
	seen := map[Key]bool{}
	for i := range r.Budgets {
		b := &r.Budgets[i]
		if b.Key == "" || seen[b.Key] {
			return fmt.Errorf("quota: budget %q: each needs a key of its own", b.Key)
		}
		seen[b.Key] = true
		if err := b.validate(r.MaxMembers); err != nil {
			return fmt.Errorf("quota: budget %q: %w", b.Key, err)
		}
	}
	return nil
}

// validate returns an error that names what is invalid of the budget, in a fleet of so many members at most.
func (b *Budget) validate(maxMembers int) error {
	switch {
	case b.Kind == Rate && (b.Refill <= 0 || b.MaxHold != 0):
		return errors.New("a rate needs a refill, and has no hold")
	case b.Kind == Slots && (b.MaxHold <= 0 || b.Refill != 0):
		return errors.New("slots need a hold, the longest that one stays in use, and have no refill")
	case b.Kind != Rate && b.Kind != Slots:
		return fmt.Errorf("kind %d", b.Kind)
	case b.Units < 1 || b.Base < 0 || b.Reserve < 0:
		return fmt.Errorf("%d units, base %d, reserve %d", b.Units, b.Base, b.Reserve)
	case b.Base*maxMembers+b.Reserve > b.Units:
		return fmt.Errorf("a base of %d for each of %d members and a reserve of %d are more than its %d units",
			b.Base, maxMembers, b.Reserve, b.Units)
	}
	return nil
}

// leasableUnits is how many of a budget's units are divided by leases.
func (r *Rules) leasableUnits(b *Budget) int { return b.Units - b.Base*r.MaxMembers }

// maxLeaseAtAllocator is how long a grant may be spent, by the clock of the allocator that sent it.
func (r *Rules) maxLeaseAtAllocator() time.Duration { return scale(r.LeaseDuration, 1+r.MaxClockDrift) }

// minLeaseAtHolder is how long a grant may be spent by the holder's clock, counted from before its request was sent.
func (r *Rules) minLeaseAtHolder() time.Duration { return scale(r.LeaseDuration, 1-r.MaxClockDrift) }

// maxSlotHold is how long slots may stay in use after their lease has ended, by any clock of the fleet.
func (r *Rules) maxSlotHold(b *Budget) time.Duration {
	return scale(b.MaxHold, (1+r.MaxClockDrift)/(1-r.MaxClockDrift))
}

// longestSlotHold is the largest maxSlotHold of all budgets.
func (r *Rules) longestSlotHold() (longest time.Duration) {
	for i := range r.Budgets {
		longest = max(longest, r.maxSlotHold(&r.Budgets[i]))
	}
	return longest
}

// scale multiplies a duration, and rounds it up.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * factor))
}

// HolderID identifies one process of an aggregator. Two processes of one aggregator are two holders: neither spends
// what the other was granted.
type HolderID struct {
	Aggregator  string
	Incarnation uint64 // no other process of that aggregator has had it
}

func (id HolderID) compare(other HolderID) int {
	return cmp.Or(
		cmp.Compare(id.Aggregator, other.Aggregator),
		cmp.Compare(id.Incarnation, other.Incarnation),
	)
}

// Request is a holder's message by which it acquires or renews its lease.
type Request struct {
	From           HolderID
	Sequence       uint64 // of this message, from 1
	ConfirmedEpoch uint64 // the holder spends within this epoch's plan and no longer within any before
	Demand         []int  // units of each budget that it could use
}

// Grant answers a Request.
type Grant struct {
	To       HolderID
	Sequence uint64 // of the request
	Epoch    uint64 // of the plan that the units come from
	Units    []int  // units of each budget, to be spent within Rules.LeaseDuration of the moment before the request
}
