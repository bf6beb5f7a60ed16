package quota

import (
	"math"
	"time"
)

// Mode is what a holder spends by.
type Mode int

const (
	// BaseOnly holders have no valid lease: they spend their part of what is set aside.
	BaseOnly Mode = iota
	// Leased holders have a valid lease, beside the base.
	Leased
)

// String returns the name of the mode as logs print it.
func (m Mode) String() string { return [...]string{"base", "lease"}[m] }

// account is what a holder has of one budget.
type account struct {
	leased         int     // units leased; none once the lease is over
	leasedTokens   float64 // Rate: tokens of the lease that may be spent now
	unleasedTokens float64 // Rate: tokens of the base that may be spent now
	inUse          int     // Slots: units taken and not released
	recentDemand   int     // Rate: units wanted since the last request, admitted or not; Slots: the most at once
	// smoothedDemand is, for Rate, the units wanted within a refill, smoothed over some leases; for Slots the most
	// that were in use at once, which decays slowly.
	smoothedDemand float64
}

// LeaseHolder is the side of an aggregator. It belongs to one process and ends with it; a new process makes a new one
// with a HolderID of its own. It is not safe for concurrent use. Spend and Release do not allocate.
type LeaseHolder struct {
	rules          *Rules
	id             HolderID
	accounts       []account // by budget
	startedAt      time.Duration
	refilledAt     time.Duration // when the accounts were last brought up to date
	leaseEnd       time.Duration // by this process's clock; 0: no lease yet
	epoch          uint64        // of the last grant
	confirmedEpoch uint64        // the accounts are within this epoch's plan
	sequence       uint64        // of the last request
	answered       uint64        // sequence of the request that the last accepted grant answers
	recentRequests [maxRecentRequests]sentRequest
	demandSince    time.Duration // when recentDemand began to be counted
}

// sentRequest is when a request was sent. The lease that is granted for it counts from then.
type sentRequest struct {
	sequence uint64
	sentAt   time.Duration
}

// maxRecentRequests is how many requests a grant may still answer. Leases of older ones would end sooner than those of
// the requests since.
const maxRecentRequests = 8

// NewLeaseHolder returns the holder of a process that started at now. It has spent nothing: its base of rates begins
// empty, and its base of slots counts once what an earlier process of this aggregator may have in use has ended.
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

// advance refills the accounts up to now. Leased tokens fill until the lease is over and are dropped then.
func (h *LeaseHolder) advance(now time.Duration) {
	if now <= h.refilledAt {
		return
	}
	sinceRefill := now - h.refilledAt
	leasedTime := max(0, min(now, h.leaseEnd)-h.refilledAt)
	for i := range h.accounts {
		a, b := &h.accounts[i], &h.rules.Budgets[i]
		if b.Kind == Rate {
			period := scale(b.Refill, 1+h.rules.MaxClockDrift) // no sooner by any clock of the fleet
			a.unleasedTokens = refill(a.unleasedTokens, b.Base, sinceRefill, period)
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

// Mode returns what the holder spends by.
func (h *LeaseHolder) Mode(now time.Duration) Mode {
	if now < h.leaseEnd {
		return Leased
	}
	return BaseOnly
}

// Spend takes units of a budget, given by its index in Rules.Budgets, and reports whether it was allowed to: it takes
// all or none. It must be called at the moment of spending, since the lease is judged by now.
func (h *LeaseHolder) Spend(now time.Duration, budget, units int) bool {
	h.advance(now)
	a, b := &h.accounts[budget], &h.rules.Budgets[budget]
	if b.Kind == Slots {
		return a.takeSlots(units, h.slotLimit(a, b))
	}
	return a.takeTokens(units)
}

// takeSlots takes units of a Slots budget if no more than limit are in use then.
func (a *account) takeSlots(units, limit int) bool {
	inUse := a.inUse + units
	a.recentDemand = max(a.recentDemand, inUse)
	if inUse > limit {
		return false
	}
	a.inUse = inUse
	return true
}

// takeTokens takes units of a Rate budget if there are as many tokens, those of the lease first.
func (a *account) takeTokens(units int) bool {
	a.recentDemand += units
	leased := wholeUnits(a.leasedTokens)
	if leased+wholeUnits(a.unleasedTokens) < units {
		return false
	}
	fromLease := min(leased, units)
	a.leasedTokens = max(0, a.leasedTokens-float64(fromLease))
	a.unleasedTokens = max(0, a.unleasedTokens-float64(units-fromLease))
	return true
}

// tokenRoundingError is by how much a sum of tokens may be too small.
const tokenRoundingError = 1e-9

// wholeUnits rounds tokens down, and allows for the rounding errors of their sums.
func wholeUnits(tokens float64) int { return int(tokens + tokenRoundingError) }

// slotLimit is how many units may be in use at once.
func (h *LeaseHolder) slotLimit(a *account, b *Budget) int {
	if h.refilledAt-h.startedAt < h.rules.maxSlotHold(b) {
		return a.leased
	}
	return a.leased + b.Base
}

// Release gives units of a Slots budget back once the work that they were taken for has ended.
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

// NextRequest returns the next message to the allocator. It should be called several times in a lease, since messages
// may be lost.
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
		request.Demand[i] = h.accounts[i].takeDemand(&h.rules.Budgets[i], elapsed, h.rules.LeaseDuration)
	}
	h.demandSince = now
	return request
}

// demandTolerance is how much of a unit smoothed demand may exceed a whole number by without one more being requested.
const demandTolerance = 0.1

// takeDemand returns the units to request, from the demand of the elapsed time and the smoothed demand before it, and
// begins to count anew.
func (a *account) takeDemand(budget *Budget, elapsed, lease time.Duration) int {
	weight := 1 - math.Exp(-float64(elapsed)/float64(max(lease, budget.Refill)))
	recent := float64(a.recentDemand)
	switch {
	case budget.Kind == Slots: // rises at once
		a.smoothedDemand = max(recent, a.smoothedDemand-weight*(a.smoothedDemand-recent))
	case elapsed > 0:
		perRefill := recent * float64(budget.Refill) / float64(elapsed)
		a.smoothedDemand += weight * (perRefill - a.smoothedDemand)
	}
	demand := int(math.Ceil(a.smoothedDemand - demandTolerance))
	if a.recentDemand > 0 { // at least one, where one was wanted just now
		demand = max(demand, 1)
	}
	a.recentDemand = a.inUse
	return demand
}

// confirmEpoch notes the epoch whose plan the accounts are within. Slots in use beyond a lowered quota delay it: they
// must not be granted to another holder yet.
func (h *LeaseHolder) confirmEpoch() {
	for i := range h.accounts {
		a, b := &h.accounts[i], &h.rules.Budgets[i]
		if b.Kind == Slots && a.inUse > h.slotLimit(a, b) {
			return
		}
	}
	h.confirmedEpoch = h.epoch
}

// HandleGrant takes a grant. One that is late, duplicated, meant for another process or older than one taken already is
// ignored: the lease counts from before its request was sent, whenever the grant arrives.
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
		// A raised quota fills at its rate: its previous owner may have spent its tokens just now.
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
