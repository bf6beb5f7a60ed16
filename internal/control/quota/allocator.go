package quota

import (
	"slices"
	"time"
)

// Allocator divides the budgets while its process is the leader. It lives for one term: whoever is elected makes a new
// one on the replicated table. It proposes entries and answers requests. A proposal takes effect only once it has been
// committed and applied to the table, and no grant leaves before leadership was confirmed after its request arrived. It
// is not safe for concurrent use.
type Allocator struct {
	rules     *Rules
	term      uint64
	table     *Table
	holders   map[HolderID]*holderState
	nextRound uint64 // of confirmation: requests that arrive now have to wait for it
}

// holderState is what this term knows of a holder beside the table. It is dropped when the holder has been removed.
type holderState struct {
	leaseEnd        time.Duration // of its last grant, by the clock of this process; 0: none sent yet
	demand          []int         // units of each budget
	sequence        uint64        // of the newest request; 0: none
	confirmedEpoch  uint64        // epoch whose plan the holder says it is within
	afterRound      uint64        // round of confirmation that its grant waits for
	grantDue        bool          // its newest request is not answered yet
	removalProposed bool          // its lease is not renewed any more
	proposedEpoch   uint64        // epoch of its record when a plan was last proposed: one proposal at a time
	retryAt         time.Duration // when to propose that plan again if it was not committed
}

// StartTerm begins a term at now and returns the entry that announces it, which has to be committed first. The
// leader before may have renewed every lease in the table until this moment, so all of them count for one more
// lease; only what is left is divided at once. The table stays the caller's, who applies committed entries to it.
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

// HandleRequest takes a holder's request. It is answered by Confirm, after the next round of confirmation.
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

// LeadershipConfirmed says that a quorum took this process for the leader after the round had begun, and returns the grants for
// requests that arrived before it. This protects the budgets from a leader that was replaced without noticing, for
// example because its process was paused: its successor counts all leases from its election on, so no grant of the
// replaced one may answer a later request.
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

// Propose returns the entries that should be committed by now. They are to be applied in their order, if at all.
func (a *Allocator) Propose(now time.Duration) (entries []Entry) {
	if a.table.term != a.term {
		return nil
	}
	for _, r := range a.table.records {
		state := a.holders[r.holder]
		if state.confirmedEpoch >= r.epoch && !slices.Equal(r.maxSpend, r.plan) {
			entries = append(entries, Entry{Term: a.term, Kind: PlanConfirmed, Holder: r.holder, Epoch: r.epoch})
		}
		if state.leaseEnd == 0 { // its plan is committed, and no grant was sent yet
			state.leaseEnd = now + a.rules.maxLeaseAtAllocator()
		}
		if now >= state.leaseEnd+a.rules.longestSlotHold() {
			state.removalProposed = true
			entries = append(entries, Entry{Term: a.term, Kind: HolderRemoved, Holder: r.holder, Epoch: r.epoch})
		}
	}
	return append(entries, a.proposePlans(now)...)
}

// ForgetRemoved drops what is known of removed holders. It should be called after entries were applied.
func (a *Allocator) ForgetRemoved() {
	for id, state := range a.holders {
		if a.table.lookup(id) == nil && (state.removalProposed || !state.grantDue) {
			delete(a.holders, id)
		}
	}
}

// proposePlans plans the holders' quotas by their demand, and returns entries for those that change. Units that a
// holder gives up are another's only once it has confirmed the lower plan, so a transfer takes two rounds.
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
			continue // a proposal is under way
		}
		state.proposedEpoch = epoch
		state.retryAt = now + a.rules.LeaseDuration
		entries = append(entries, Entry{Term: a.term, Kind: PlanSet, Holder: id, Plan: plans[i]})
	}
	return entries
}

// plannedHolders returns the holders that are to have a quota, in the order of their ids.
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
	free := leasable - a.table.committed[budget]
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
		// A holder gets more than it may be spending already only from units that nobody may be spending.
		planned := min(target, maxSpend+available)
		free -= max(0, planned-maxSpend)
		plans[i][budget] = planned
	}
}

// isSmallTransfer reports whether a quota is so near its target that it is left as it is.
func (a *Allocator) isSmallTransfer(target, current int) bool {
	difference := target - current
	return target > 0 && difference <= a.rules.TransferThreshold && -difference <= a.rules.TransferThreshold
}
