package quota

import (
	"slices"
	"time"
)

// Allocator divides the budgets while its process is the leader. It lasts one term: a newly elected leader creates one
// from the replicated table. It proposes entries and answers requests. A proposal takes effect only once it has been
// committed and applied to the table, and a grant is returned only once leadership was confirmed after its request
// arrived. It is not safe for concurrent use.
type Allocator struct {
	rules     *Rules
	term      uint64
	table     *Table
	holders   map[HolderID]*holderState
	nextRound uint64 // the next leadership check: requests that arrive now have to wait for it
}

// holderState is this term's state of a holder, in addition to the table. It is dropped once the holder was removed.
type holderState struct {
	leaseEnd        time.Duration // of its last grant, by the clock of this process; 0: none sent yet
	demand          []int         // units of each budget
	sequence        uint64        // of the newest request; 0: none
	confirmedEpoch  uint64        // epoch whose plan the holder reports to be within
	afterRound      uint64        // leadership check that its grant waits for
	grantDue        bool          // its newest request has not been answered yet
	removalProposed bool          // its lease is no longer renewed
	proposedEpoch   uint64        // epoch of its record when a plan was last proposed: one proposal at a time
	retryAt         time.Duration // when to propose that plan again if it was not committed
}

// StartTerm starts a term at now and returns the entry that announces it, which has to be committed first. The previous
// leader may have renewed every lease in the table until now, so each of them is assumed to last for one more lease
// duration; only the remaining units are divided at once. The caller owns the table and applies committed entries to
// it.
func StartTerm(rules *Rules, term uint64, table *Table, now time.Duration) (*Allocator, Entry) {
	a := &Allocator{rules: rules, term: term, table: table, holders: map[HolderID]*holderState{}}
	for _, r := range table.records {
		a.holders[r.holder] = &holderState{
			leaseEnd: now + rules.maxLeaseAtAllocator(),
			demand:   slices.Clone(r.plan),
		}
	}
	return a, Entry{Term: term, Kind: TermStarted}
}

// HandleRequest handles a holder's request. LeadershipConfirmed returns the grant for it after the next leadership
// check.
func (a *Allocator) HandleRequest(request Request) {
	if len(request.Demand) != len(a.rules.Budgets) {
		return
	}
	state := a.holders[request.From]
	if state == nil {
		state = &holderState{}
		a.holders[request.From] = state
	}
	if request.Sequence <= state.sequence { // overtaken by a newer one
		return
	}
	state.sequence = request.Sequence
	state.grantDue = true
	state.afterRound = a.nextRound
	state.demand = slices.Clone(request.Demand)
	state.confirmedEpoch = max(state.confirmedEpoch, request.ConfirmedEpoch)
}

// BeginLeadershipCheck starts a round in which the caller confirms with a quorum that this process is still the
// leader, and returns the round's number.
func (a *Allocator) BeginLeadershipCheck() uint64 {
	a.nextRound++
	return a.nextRound - 1
}

// LeadershipConfirmed handles that a quorum confirmed this process as the leader after the round had begun, and returns
// the grants for requests that arrived before the round. A leader may be replaced without noticing, for example while
// its process is paused. Its successor assumes that leases were renewed until its election at the latest, so the
// replaced leader must not grant any later request.
func (a *Allocator) LeadershipConfirmed(now time.Duration, round uint64) (grants []Grant) {
	if a.table.term != a.term {
		return nil // the entry of its term is not committed yet
	}
	for _, r := range a.table.records {
		state := a.holders[r.holder]
		if state == nil || !state.grantDue || state.removalProposed || state.afterRound > round {
			continue
		}
		state.grantDue = false
		state.leaseEnd = now + a.rules.maxLeaseAtAllocator()
		grants = append(grants, Grant{
			To:       r.holder,
			Sequence: state.sequence,
			Epoch:    r.epoch,
			Units:    slices.Clone(r.plan),
		})
	}
	return grants
}

// Propose returns the entries that should be committed now. They must be applied in this order, if at all.
func (a *Allocator) Propose(now time.Duration) (entries []Entry) {
	if a.table.term != a.term {
		return nil
	}
	for _, r := range a.table.records {
		state := a.holders[r.holder]
		if state.confirmedEpoch >= r.epoch && !slices.Equal(r.maxSpend, r.plan) {
			entries = append(entries, Entry{Term: a.term, Kind: PlanConfirmed, Holder: r.holder, Epoch: r.epoch})
		}
		if state.leaseEnd == 0 { // its plan has been committed, but no grant was sent yet
			state.leaseEnd = now + a.rules.maxLeaseAtAllocator()
		}
		if now >= state.leaseEnd+a.rules.longestSlotHold() {
			state.removalProposed = true
			entries = append(entries, Entry{Term: a.term, Kind: HolderRemoved, Holder: r.holder, Epoch: r.epoch})
		}
	}
	return append(entries, a.proposePlans(now)...)
}

// ForgetRemoved drops the state of removed holders. It should be called after entries were applied to the table.
func (a *Allocator) ForgetRemoved() {
	for id, state := range a.holders {
		if a.table.lookup(id) == nil && (state.removalProposed || !state.grantDue) {
			delete(a.holders, id)
		}
	}
}

// proposePlans plans the holders' quotas by their demand, and returns entries for those that change. Units that a
// holder gives up can be planned for another only once it has confirmed the lower plan, so a transfer takes two
// proposals.
func (a *Allocator) proposePlans(now time.Duration) (entries []Entry) {
	ids := a.plannedHolders()
	plans := make([][]int, len(ids))
	for i := range ids {
		plans[i] = make([]int, len(a.rules.Budgets))
	}
	for budget := range a.rules.Budgets {
		a.planBudget(budget, ids, plans)
	}
	for i, id := range ids {
		epoch := uint64(0)
		if r := a.table.lookup(id); r != nil {
			if slices.Equal(r.plan, plans[i]) {
				continue
			}
			epoch = r.epoch
		}
		state := a.holders[id]
		if state.proposedEpoch == epoch && now < state.retryAt {
			continue // the previous proposal is pending
		}
		state.proposedEpoch = epoch
		state.retryAt = now + a.rules.LeaseDuration
		entries = append(entries, Entry{Term: a.term, Kind: PlanSet, Holder: id, Plan: plans[i]})
	}
	return entries
}

// plannedHolders returns the holders that receive a quota, in the order of their ids.
func (a *Allocator) plannedHolders() (ids []HolderID) {
	for id, state := range a.holders {
		if !state.removalProposed && (a.table.lookup(id) != nil || state.grantDue) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, HolderID.compare)
	return ids
}

// planBudget fills in the plans of one budget, given by its index.
func (a *Allocator) planBudget(budget int, ids []HolderID, plans [][]int) {
	rules := &a.rules.Budgets[budget]
	demand := make([]int, len(ids))
	for i, id := range ids {
		demand[i] = a.holders[id].demand[budget]
	}
	leasable := a.rules.leasableUnits(rules)
	targets := DivideMaxMin(leasable-rules.Reserve, demand)
	free := leasable - a.table.outstanding[budget]
	for i, id := range ids {
		target := targets[i]
		maxSpend := 0
		available := free // the reserve is for holders that have just joined
		if r := a.table.lookup(id); r != nil {
			maxSpend = r.maxSpend[budget]
			available = max(0, free-rules.Reserve)
			if a.isSmallTransfer(target, r.plan[budget]) {
				target = r.plan[budget]
			}
		}
		// A quota is raised beyond what the holder may be spending only by units that no holder may be spending.
		planned := min(target, maxSpend+available)
		free -= max(0, planned-maxSpend)
		plans[i][budget] = planned
	}
}

// isSmallTransfer reports whether a quota is so close to its target that it is left unchanged.
func (a *Allocator) isSmallTransfer(target, current int) bool {
	difference := target - current
	return target > 0 && difference <= a.rules.TransferThreshold && -difference <= a.rules.TransferThreshold
}
