package quota

import (
	"cmp"
	"slices"
)

// Entry is a change of the Table, as voters agree on it. Office is the number of who divides: what one proposed that is
// not in office any more changes nothing.
type Entry struct {
	Office uint64
	Kind   EntryKind
	Name   Name
	Epoch  uint64 // Kept, Gone: of the record that is meant
	Plan   []int  // Planned: units of each budget
}

// EntryKind says what an entry does.
type EntryKind int

const (
	Office  EntryKind = iota // somebody begins to divide
	Planned                  // a holder is to have so much from now on
	Kept                     // it says that it keeps to its plan: what it had beyond that is free
	Gone                     // nothing that it was given can be spent any more
)

// record is what is known of one holder.
type record struct {
	name  Name
	epoch uint64
	plan  []int // what it is told
	may   []int // what it may be spending: at least the plan
}

// Table is what each holder may spend. Voters apply the same entries in the same order and have the same table. It is
// never over the whole: an entry that would bring it there changes nothing.
type Table struct {
	rules   *Rules
	office  uint64
	epoch   uint64 // entries applied
	records []*record
	out     []int // units of each budget that somebody may be spending
}

// NewTable returns the table of a fleet in which nobody has anything.
func NewTable(rules *Rules) *Table { return &Table{rules: rules, out: make([]int, len(rules.Budgets))} }

// Out is how many units of a budget somebody may be spending by leases.
func (t *Table) Out(budget int) int { return t.out[budget] }

// Members are the holders, by name.
func (t *Table) Members() (names []Name) {
	for _, r := range t.records {
		names = append(names, r.name)
	}
	return names
}

func (n Name) compare(o Name) int {
	return cmp.Or(cmp.Compare(n.Mixer, o.Mixer), cmp.Compare(n.Process, o.Process))
}

func (t *Table) find(n Name) (int, *record) {
	i, ok := slices.BinarySearchFunc(t.records, n, func(r *record, n Name) int { return r.name.compare(n) })
	if !ok {
		return i, nil
	}
	return i, t.records[i]
}

// Apply takes an entry that voters agreed on, and says whether it changed anything.
func (t *Table) Apply(e Entry) bool {
	t.epoch++ // also for those that change nothing: epochs are those of the log
	if e.Kind == Office {
		t.office = e.Office
		return true
	}
	if e.Office != t.office {
		return false
	}
	i, r := t.find(e.Name)
	switch e.Kind {
	case Planned:
		return t.plan(i, r, e)
	case Kept:
		if r == nil || r.epoch != e.Epoch || slices.Equal(r.may, r.plan) {
			return false
		}
		for b := range r.may {
			t.out[b] -= r.may[b] - r.plan[b]
		}
		r.may = r.plan
		return true
	case Gone:
		if r == nil || r.epoch != e.Epoch {
			return false
		}
		for b, n := range r.may {
			t.out[b] -= n
		}
		t.records = slices.Delete(t.records, i, i+1)
		return true
	}
	return false
}

func (t *Table) plan(i int, r *record, e Entry) bool {
	if len(e.Plan) != len(t.out) {
		return false
	}
	may := slices.Clone(e.Plan)
	for b := range may {
		had := 0
		if r != nil {
			had = r.may[b]
		}
		may[b] = max(may[b], had)
		if e.Plan[b] < 0 || t.out[b]+may[b]-had > t.rules.leased(&t.rules.Budgets[b]) {
			return false
		}
	}
	if r == nil {
		r = &record{name: e.Name, may: make([]int, len(may))}
		t.records = slices.Insert(t.records, i, r)
	}
	for b := range may {
		t.out[b] += may[b] - r.may[b]
	}
	r.epoch, r.plan, r.may = t.epoch, slices.Clone(e.Plan), may
	return true
}
