package quota

import (
	"math"
	"time"
)

// Mode is what a holder may spend.
type Mode int

const (
	// BaseOnly holders have no valid lease and may spend only their base.
	BaseOnly Mode = iota
	// Leased holders have a valid lease in addition to the base.
	Leased
)

// String returns the name of the mode as logs print it.
func (m Mode) String() string { return [...]string{"base", "lease"}[m] }

// account is a holder's account of one budget.
type account struct {
	leased       int     // units leased; 0 once the lease has expired
	leasedTokens float64 // Rate: tokens of the lease that may be spent now
	baseTokens   float64 // Rate: tokens of the base that may be spent now
	inUse        int     // Slots: units acquired and not released
	recentDemand int     // units wanted since the last request, admitted or not; Slots: the most wanted at once
	// smoothedDemand is an exponential moving average of the units wanted per refill, for Rate; for Slots, a slowly
	// decaying maximum of the units wanted at once.
	smoothedDemand float64
}

// LeaseHolder requests leases for an aggregator and spends within them. It belongs to one process; a new process
// creates a new one with its own HolderID. It is not safe for concurrent use. Spend and Release do not allocate memory.
type LeaseHolder struct {
	rules          *Rules
	id             HolderID
	accounts       []account // by budget
	startedAt      time.Duration
	refilledAt     time.Duration // when the accounts were last brought up to date
	leaseEnd       time.Duration // by this process's clock; 0: no lease yet
	epoch          uint64        // of the last grant
	confirmedEpoch uint64        // the accounts are within the plan of this epoch
	sequence       uint64        // of the last request
	answered       uint64        // sequence of the request that the last accepted grant answers
	recentRequests [maxRecentRequests]sentRequest
	demandSince    time.Duration // when recentDemand began to be counted
}

// sentRequest is the time when a request was sent, from which the lease granted for it counts.
type sentRequest struct {
	sequence uint64
	sentAt   time.Duration
}

// maxRecentRequests is how many of the newest requests a grant may answer. Leases for older requests would expire
// before those for newer ones.
const maxRecentRequests = 8

// NewLeaseHolder returns the holder of a process that started at now. An earlier process of the aggregator may have
// just spent the base, so the base of rates starts empty, and the base of slots is available only once slots that the
// earlier process may have in use must have been released.
func NewLeaseHolder(rules *Rules, id HolderID, now time.Duration) *LeaseHolder {
	return &LeaseHolder{
		rules:       rules,
		id:          id,
		accounts:    make([]account, len(rules.Budgets)),
		startedAt:   now,
		refilledAt:  now,
		demandSince: now,
	}
}

// advance refills the accounts up to now. Leased tokens refill until the lease expires and are dropped then.
func (h *LeaseHolder) advance(now time.Duration) {
	if now <= h.refilledAt {
		return
	}
	sinceRefill := now - h.refilledAt
	leasedTime := max(0, min(now, h.leaseEnd)-h.refilledAt)
	for i := range h.accounts {
		a, b := &h.accounts[i], &h.rules.Budgets[i]
		if b.Kind == Rate {
			period := scale(b.Refill, 1+h.rules.MaxClockDrift) // at least Refill by any clock of the fleet
			a.baseTokens = refill(a.baseTokens, b.Base, sinceRefill, period)
			a.leasedTokens = refill(a.leasedTokens, a.leased, leasedTime, period)
		}
		if now >= h.leaseEnd {
			a.leased = 0
			a.leasedTokens = 0
		}
	}
	h.refilledAt = now
}

// refill returns the tokens of a bucket of the given capacity, which fills once in each period, after elapsed time.
func refill(tokens float64, capacity int, elapsed, period time.Duration) float64 {
	return min(float64(capacity), tokens+float64(capacity)*float64(elapsed)/float64(period))
}

// Mode returns what the holder may spend.
func (h *LeaseHolder) Mode(now time.Duration) Mode {
	if now < h.leaseEnd {
		return Leased
	}
	return BaseOnly
}

// Spend acquires units of a budget, given by its index in Rules.Budgets, and reports whether it did; it acquires all or
// none. It must be called at the moment of spending, since the lease must be valid at now.
func (h *LeaseHolder) Spend(now time.Duration, budget, units int) bool {
	h.advance(now)
	a, b := &h.accounts[budget], &h.rules.Budgets[budget]
	if b.Kind == Slots {
		return a.acquireSlots(units, h.slotLimit(a, b))
	}
	return a.acquireTokens(units)
}

// acquireSlots acquires units of a Slots budget if no more than limit are in use afterwards.
func (a *account) acquireSlots(units, limit int) bool {
	inUse := a.inUse + units
	a.recentDemand = max(a.recentDemand, inUse)
	if inUse > limit {
		return false
	}
	a.inUse = inUse
	return true
}

// acquireTokens acquires units of a Rate budget if there are enough tokens, those of the lease first.
func (a *account) acquireTokens(units int) bool {
	a.recentDemand += units
	leased := wholeUnits(a.leasedTokens)
	if leased+wholeUnits(a.baseTokens) < units {
		return false
	}
	fromLease := min(leased, units)
	a.leasedTokens = max(0, a.leasedTokens-float64(fromLease))
	a.baseTokens = max(0, a.baseTokens-float64(units-fromLease))
	return true
}

// tokenRoundingError is the largest rounding error of a sum of tokens.
const tokenRoundingError = 1e-9

// wholeUnits rounds tokens down, and allows for the rounding errors of their sums.
func wholeUnits(tokens float64) int { return int(tokens + tokenRoundingError) }

// slotLimit returns how many units of a Slots budget may be in use at once.
func (h *LeaseHolder) slotLimit(a *account, b *Budget) int {
	if h.refilledAt-h.startedAt < h.rules.maxSlotHold(b) {
		return a.leased
	}
	return a.leased + b.Base
}

// Release returns units of a Slots budget once the work that they were acquired for has completed.
func (h *LeaseHolder) Release(budget, units int) {
	a := &h.accounts[budget]
	a.inUse = max(0, a.inUse-units)
}

// Allowance returns the units of a budget that the holder may spend: at once for Slots, within a refill for Rate.
func (h *LeaseHolder) Allowance(now time.Duration, budget int) int {
	h.advance(now)
	a, b := &h.accounts[budget], &h.rules.Budgets[budget]
	if b.Kind == Slots {
		return h.slotLimit(a, b)
	}
	return a.leased + b.Base
}

// NextRequest returns the next request to the allocator. It should be called several times within a lease, since
// messages may be lost.
func (h *LeaseHolder) NextRequest(now time.Duration) Request {
	h.advance(now)
	h.sequence++
	h.recentRequests[h.sequence%maxRecentRequests] = sentRequest{sequence: h.sequence, sentAt: now}
	h.confirmEpoch()
	request := Request{
		From:           h.id,
		Sequence:       h.sequence,
		ConfirmedEpoch: h.confirmedEpoch,
		Demand:         make([]int, len(h.accounts)),
	}
	elapsed := max(now-h.demandSince, 0)
	for i := range h.accounts {
		request.Demand[i] = h.accounts[i].nextDemand(&h.rules.Budgets[i], elapsed, h.rules.LeaseDuration)
	}
	h.demandSince = now
	return request
}

// demandTolerance is by how many units smoothed demand may exceed a whole number before one more unit is requested.
const demandTolerance = 0.1

// nextDemand updates the smoothed demand by that of the elapsed time, returns the units to request, and resets the
// count of recent demand.
func (a *account) nextDemand(budget *Budget, elapsed, lease time.Duration) int {
	weight := 1 - math.Exp(-float64(elapsed)/float64(max(lease, budget.Refill)))
	recent := float64(a.recentDemand)
	switch {
	case budget.Kind == Slots: // increases at once, decreases slowly
		a.smoothedDemand = max(recent, a.smoothedDemand-weight*(a.smoothedDemand-recent))
	case elapsed > 0:
		perRefill := recent * float64(budget.Refill) / float64(elapsed)
		a.smoothedDemand += weight * (perRefill - a.smoothedDemand)
	}
	demand := int(math.Ceil(a.smoothedDemand - demandTolerance))
	if a.recentDemand > 0 { // at least one unit if any was wanted recently
		demand = max(demand, 1)
	}
	a.recentDemand = a.inUse
	return demand
}

// confirmEpoch records that the accounts are within the plan of the last grant. Slots in use beyond a lowered quota
// delay that, since they must not be granted to another holder yet.
func (h *LeaseHolder) confirmEpoch() {
	for i := range h.accounts {
		a, b := &h.accounts[i], &h.rules.Budgets[i]
		if b.Kind == Slots && a.inUse > h.slotLimit(a, b) {
			return
		}
	}
	h.confirmedEpoch = h.epoch
}

// HandleGrant accepts a grant, or ignores it if it is overdue, duplicated, for another process or older than an
// accepted one. The lease counts from before its request was sent, whenever the grant arrives.
func (h *LeaseHolder) HandleGrant(now time.Duration, grant Grant) {
	h.advance(now)
	request := h.recentRequests[grant.Sequence%maxRecentRequests]
	leaseEnd := request.sentAt + h.rules.minLeaseAtHolder()
	if !h.acceptable(&grant, request) || now >= leaseEnd {
		return
	}
	h.answered = grant.Sequence
	h.epoch = grant.Epoch
	h.leaseEnd = leaseEnd
	for i := range h.accounts {
		a := &h.accounts[i]
		a.leased = max(0, grant.Units[i])
		// The tokens of a raised quota accrue at its rate: its previous holder may have just spent them.
		a.leasedTokens = min(a.leasedTokens, float64(a.leased))
	}
	h.confirmEpoch()
}

// acceptable reports whether a grant is for this process, answers the given request, and is newer than the last one
// accepted.
func (h *LeaseHolder) acceptable(grant *Grant, request sentRequest) bool {
	isReply := grant.To == h.id && grant.Sequence == request.sequence && len(grant.Units) == len(h.accounts)
	isNewer := grant.Sequence > h.answered && grant.Epoch >= h.epoch
	return isReply && isNewer
}
