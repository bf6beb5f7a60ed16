// Package membudget caps the memory that clients can make the process hold: their connections, what they have sent of
// incomplete requests, requests in flight, and what is kept for them between requests.
//
// Each connection has an Account with what it holds. While all accounts together are over the limit, those are asked to
// release memory that have held the most for the longest time: clients that begin requests and do not complete them,
// rather than those whose requests are just arriving.
package membudget

import (
	"sync"
	"time"
)

// Budget is a limit on the memory that its accounts hold together. A nil Budget has no limit. Its methods may be called
// by any goroutine.
type Budget struct {
	now func() time.Time

	mu         sync.Mutex
	limit      int64
	used       int64 // by all accounts
	reclaiming int64 // the part of used that accounts were asked to release
	accounts   map[*Account]bool
	counters   Counters
}

// Counters count what a budget has done since its creation.
type Counters struct {
	Reclaimed uint64 // requests to an account to release memory
	Rejected  uint64 // calls of Charge that returned false
}

// Account is what one connection holds. A nil Account accepts everything.
type Account struct {
	budget  *Budget
	reclaim func()

	// The following fields are guarded by the budget's lock.
	fixed        int64     // in use as long as the account is open
	charged      int64     // beyond fixed
	chargedSince time.Time // since when charged is not 0
	reclaimable  bool
	reclaiming   bool // reclaim was called and has not returned
}

// New returns a budget of limit bytes. now is the clock.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{now: now, limit: limit, accounts: map[*Account]bool{}}
}

// SetLimit changes the limit. Accounts are asked to release memory when they or others hold more.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the number of bytes that all accounts hold, and the limit.
func (b *Budget) Used() (used, limit int64) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}

// Counters returns the counts so far.
func (b *Budget) Counters() Counters {
	if b == nil {
		return Counters{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counters
}

// Open opens an account that holds fixed bytes until Close. reclaim is called on a goroutine of its own when the account
// is to release what it can; it calls Charge with what remains.
func (b *Budget) Open(fixed int64, reclaim func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, reclaim: reclaim, fixed: fixed}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = true
	b.used += fixed
	b.reclaimFor(nil) // a connection is admitted by the limit on connections, not here
	return a
}

// Charge states what the account holds now, beyond its fixed part. reclaimable states whether reclaim can release any of
// it. If Charge returns false, the budget is exceeded and it is this account that has to release memory: the caller does
// so at once, and calls Charge again. It is not called by reclaim's caller, so a lock that reclaim acquires may be held.
func (a *Account) Charge(bytes int64, reclaimable bool) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accounts[a] {
		return true
	}
	if a.charged == 0 && bytes > 0 {
		a.chargedSince = b.now()
	}
	more := bytes > a.charged
	b.used += bytes - a.charged
	if a.reclaiming {
		b.reclaiming += bytes - a.charged
	}
	a.charged = bytes
	a.reclaimable = reclaimable
	if !more || b.reclaimFor(a) {
		return true
	}
	b.counters.Rejected++
	return false
}

// Close closes the account, which holds nothing from now on.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accounts[a] {
		return
	}
	delete(b.accounts, a)
	b.used -= a.fixed + a.charged
	if a.reclaiming {
		b.reclaiming -= a.charged
	}
}

// reclaimFor asks accounts to release memory until the limit is kept. It returns false if the limit can be kept only if
// the requester releases memory. It is called with the lock held.
func (b *Budget) reclaimFor(requester *Account) bool {
	for b.used-b.reclaiming > b.limit {
		victim := b.victim()
		if victim == nil || victim == requester {
			return false
		}
		victim.reclaiming = true
		b.reclaiming += victim.charged
		b.counters.Reclaimed++
		go b.runReclaim(victim) // it acquires locks that the caller may hold; Charge and Close end its effect
	}
	return true
}

// runReclaim lets an account release memory.
func (b *Budget) runReclaim(victim *Account) {
	victim.reclaim()
	b.mu.Lock()
	defer b.mu.Unlock()
	victim.reclaiming = false
	if b.accounts[victim] {
		b.reclaiming -= victim.charged
	}
}

// victim returns the account that is to release memory next; nil: none can. Accounts that hold less than the mean are
// spared: many of them would have to release memory.
func (b *Budget) victim() (victim *Account) {
	sum, count := int64(0), int64(0)
	for a := range b.accounts {
		if a.canReclaim() {
			sum += a.charged
			count++
		}
	}
	now, highest := b.now(), 0.0
	for a := range b.accounts {
		if !a.canReclaim() || a.charged*count < sum {
			continue
		}
		// Byte-seconds; one nanosecond more, so that those which have just begun are compared by their size.
		score := float64(a.charged) * float64(now.Sub(a.chargedSince)+1)
		if score > highest {
			victim, highest = a, score
		}
	}
	return victim
}

// canReclaim reports whether the account may be asked to release memory. It is called with the lock held.
func (a *Account) canReclaim() bool { return a.reclaimable && !a.reclaiming && a.charged > 0 }
