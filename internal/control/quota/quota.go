// Package quota divides fleet-wide budgets among aggregators by leases, so that all of them together never exceed a
// budget, however many there are, and whether they join, leave, pause or are partitioned. A LeaseHolder runs in each
// aggregator: it requests leases and spends within them. An Allocator runs in the elected leader: it grants units
// according to a Table of what each holder may spend, which a quorum replicates, and never more than the table has
// free. docs/fleet-budgets-design.md contains the safety argument.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are readings of the caller's monotonic clock,
// which must advance while its process is paused. Clocks of two processes may differ by any offset, but their rates
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
	// Rate counts units per time, and allows bursts.
	Rate Kind = iota
	// Slots counts units in use at once: Spend acquires them and Release returns them.
	Slots
)

// String returns the name of the kind as logs print it.
func (k Kind) String() string { return [...]string{"rate", "slots"}[k] }

// Budget is one limit of the complete fleet. Quotas are whole units, since a fraction of a unit cannot be spent.
type Budget struct {
	Key  Key
	Kind Kind
	// Units is the amount that is divided. For Slots, it is the number of units that may be in use at once. For Rate,
	// it is the capacity of a token bucket that refills completely within Refill: n units allow a burst of n, and n
	// more in each Refill after that.
	Units   int
	Refill  time.Duration // Rate only
	MaxHold time.Duration // Slots only: how long a slot may stay in use after its lease expired or its process ended
	Base    int           // units that each aggregator may use without a lease; set aside for Rules.MaxMembers of them
	Reserve int           // leasable units that are retained for holders that have just joined
}

// Rules must be the same at all processes of a fleet.
type Rules struct {
	LeaseDuration     time.Duration
	MaxClockDrift     float64 // largest relative error of the rate of a process's clock, at least 0 and under 0.5
	MaxMembers        int     // maximum number of aggregators in the fleet
	TransferThreshold int     // a quota that is off its target by no more than this many units is left as it is
	Budgets           []Budget
}

// Validate returns an error that names the first invalid value.
func (r *Rules) Validate() error {
	switch {
	case r.LeaseDuration <= 0:
		return fmt.Errorf("quota: lease duration %v must be positive", r.LeaseDuration)
	case r.MaxClockDrift < 0 || r.MaxClockDrift >= 0.5:
		return fmt.Errorf("quota: maximum clock drift %v must be at least 0 and under 0.5", r.MaxClockDrift)
	case r.MaxMembers < 1:
		return fmt.Errorf("quota: maximum of %d members must be at least 1", r.MaxMembers)
	case r.TransferThreshold < 0:
		return fmt.Errorf("quota: transfer threshold %d must not be negative", r.TransferThreshold)
	case len(r.Budgets) == 0:
		return errors.New("quota: no budgets: at least one is needed")
	}
	seen := map[Key]bool{}
	for i := range r.Budgets {
		b := &r.Budgets[i]
		if b.Key == "" || seen[b.Key] {
			return fmt.Errorf("quota: budget %q: its key must be non-empty and unique", b.Key)
		}
		seen[b.Key] = true
		if err := b.validate(r.MaxMembers); err != nil {
			return fmt.Errorf("quota: budget %q: %w", b.Key, err)
		}
	}
	return nil
}

// validate returns an error that names the invalid value of the budget, in a fleet of at most maxMembers.
func (b *Budget) validate(maxMembers int) error {
	switch {
	case b.Kind == Rate && (b.Refill <= 0 || b.MaxHold != 0):
		return fmt.Errorf("a rate needs a positive refill time and no hold time, not %v and %v", b.Refill, b.MaxHold)
	case b.Kind == Slots && (b.MaxHold <= 0 || b.Refill != 0):
		return fmt.Errorf("slots need a positive hold time and no refill time, not %v and %v", b.MaxHold, b.Refill)
	case b.Kind != Rate && b.Kind != Slots:
		return fmt.Errorf("kind %d is neither rate nor slots", b.Kind)
	case b.Units < 1 || b.Base < 0 || b.Reserve < 0:
		return fmt.Errorf("%d units, base %d, reserve %d: units must be at least 1, base and reserve not negative",
			b.Units, b.Base, b.Reserve)
	case b.Base*maxMembers+b.Reserve > b.Units:
		return fmt.Errorf("a base of %d for each of %d members and a reserve of %d exceed its %d units",
			b.Base, maxMembers, b.Reserve, b.Units)
	}
	return nil
}

// leasableUnits returns how many of a budget's units are divided by leases.
func (r *Rules) leasableUnits(b *Budget) int { return b.Units - b.Base*r.MaxMembers }

// maxLeaseAtAllocator returns how long a grant may be spent, by the clock of the allocator that sent it.
func (r *Rules) maxLeaseAtAllocator() time.Duration { return scale(r.LeaseDuration, 1+r.MaxClockDrift) }

// minLeaseAtHolder returns how long a grant may be spent, by the holder's clock and from before its request was sent.
func (r *Rules) minLeaseAtHolder() time.Duration { return scale(r.LeaseDuration, 1-r.MaxClockDrift) }

// maxSlotHold returns how long slots may stay in use after their lease has expired, by any clock of the fleet.
func (r *Rules) maxSlotHold(b *Budget) time.Duration {
	return scale(b.MaxHold, (1+r.MaxClockDrift)/(1-r.MaxClockDrift))
}

// longestSlotHold returns the largest maxSlotHold of all budgets.
func (r *Rules) longestSlotHold() (longest time.Duration) {
	for i := range r.Budgets {
		longest = max(longest, r.maxSlotHold(&r.Budgets[i]))
	}
	return longest
}

// scale multiplies a duration by a factor and rounds up.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * factor))
}

// HolderID identifies one process of an aggregator. Two processes of one aggregator are two holders: neither spends
// what the other was granted.
type HolderID struct {
	Aggregator  string
	Incarnation uint64 // unique among all processes of the aggregator
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
	ConfirmedEpoch uint64 // the holder spends within this epoch's plan, no longer by an earlier one
	Demand         []int  // units of each budget that it could use
}

// Grant answers a Request.
type Grant struct {
	To       HolderID
	Sequence uint64 // of the request
	Epoch    uint64 // of the plan that grants the units
	Units    []int  // units of each budget, which may be spent for Rules.LeaseDuration from before the request was sent
}
