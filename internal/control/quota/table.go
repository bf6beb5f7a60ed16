package quota

import "slices"

// Entry is a change of the Table that a quorum commits. An entry that does not belong to the current term changes
// nothing.
type Entry struct {
	Term   uint64 // of the leader that proposed it
	Kind   EntryKind
	Holder HolderID // all but TermStarted
	Epoch  uint64   // PlanConfirmed, HolderRemoved: of the record that is meant
	Plan   []int    // PlanSet: units of each budget
}

// EntryKind is the kind of change that an entry makes.
type EntryKind int

const (
	// TermStarted starts a leader's term.
	TermStarted EntryKind = iota
	// PlanSet sets a holder's quota of each budget.
	PlanSet
	// PlanConfirmed records that a holder spends within its plan, which frees the units that it had beyond the plan.
	PlanConfirmed
	// HolderRemoved removes a holder whose grants can no longer be spent, and frees its units.
	HolderRemoved
)

// record is the state of one holder.
type record struct {
	holder   HolderID
	epoch    uint64 // of the entry that set the plan
	plan     []int  // units of each budget that it is granted
	maxSpend []int  // units that it may be spending by this or an earlier plan: at least the plan
}

// Table records what each holder may spend. All replicas apply the same entries in the same order, so their tables are
// equal. It never exceeds a budget: an entry that would do so changes nothing. It is not safe for concurrent use.
type Table struct {
	rules       *Rules
	term        uint64
	epoch       uint64    // number of entries applied
	records     []*record // in the order of their holders' ids
	outstanding []int     // units of each budget that some holder may be spending
}

// NewTable returns the table of a fleet without holders.
func NewTable(rules *Rules) *Table {
	return &Table{rules: rules, outstanding: make([]int, len(rules.Budgets))}
}

// Outstanding returns the units of a budget, given by its index, that holders may be spending by leases.
func (t *Table) Outstanding(budget int) int { return t.outstanding[budget] }

// Holders returns the holders in the order of their ids.
func (t *Table) Holders() (ids []HolderID) {
	for _, r := range t.records {
		ids = append(ids, r.holder)
	}
	return ids
}

// find returns a holder's position in the records, or where it would be inserted.
func (t *Table) find(id HolderID) (position int, found bool) {
	return slices.BinarySearchFunc(t.records, id, func(r *record, id HolderID) int { return r.holder.compare(id) })
}

// lookup returns a holder's record, or nil if it has none.
func (t *Table) lookup(id HolderID) *record {
	if position, found := t.find(id); found {
		return t.records[position]
	}
	return nil
}

// Apply applies a committed entry and reports whether it changed anything. Entries that change nothing advance the
// epoch, too, since epochs are positions in the replicated log.
func (t *Table) Apply(entry Entry) bool {
	t.epoch++
	if entry.Kind == TermStarted {
		t.term = entry.Term
		return true
	}
	if entry.Term != t.term {
		return false
	}
	switch entry.Kind {
	case PlanSet:
		return t.setPlan(entry.Holder, entry.Plan)
	case PlanConfirmed:
		return t.confirmPlan(entry.Holder, entry.Epoch)
	case HolderRemoved:
		return t.removeHolder(entry.Holder, entry.Epoch)
	}
	return false
}

// setPlan sets a holder's plan, unless a budget could be exceeded while the holder still spends by its previous plan.
func (t *Table) setPlan(id HolderID, plan []int) bool {
	if len(plan) != len(t.outstanding) {
		return false
	}
	r := t.lookup(id)
	current := make([]int, len(plan))
	if r != nil {
		current = r.maxSpend
	}
	maxSpend := slices.Clone(plan)
	for b := range maxSpend {
		maxSpend[b] = max(maxSpend[b], current[b])
		outstanding := t.outstanding[b] + maxSpend[b] - current[b]
		if plan[b] < 0 || outstanding > t.rules.leasableUnits(&t.rules.Budgets[b]) {
			return false
		}
	}
	for b := range maxSpend {
		t.outstanding[b] += maxSpend[b] - current[b]
	}
	if r == nil {
		r = &record{holder: id}
		position, _ := t.find(id)
		t.records = slices.Insert(t.records, position, r)
	}
	r.epoch = t.epoch
	r.plan = slices.Clone(plan)
	r.maxSpend = maxSpend
	return true
}

// confirmPlan frees the units that a holder may have spent beyond its plan of the given epoch.
func (t *Table) confirmPlan(id HolderID, epoch uint64) bool {
	r := t.lookup(id)
	if r == nil || r.epoch != epoch || slices.Equal(r.maxSpend, r.plan) {
		return false
	}
	for b := range r.maxSpend {
		t.outstanding[b] -= r.maxSpend[b] - r.plan[b]
	}
	r.maxSpend = r.plan
	return true
}

// removeHolder frees all units of a holder whose plan is of the given epoch.
func (t *Table) removeHolder(id HolderID, epoch uint64) bool {
	position, found := t.find(id)
	if !found || t.records[position].epoch != epoch {
		return false
	}
	for b, units := range t.records[position].maxSpend {
		t.outstanding[b] -= units
	}
	t.records = slices.Delete(t.records, position, position+1)
	return true
}
