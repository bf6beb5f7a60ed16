package quota

import (
	"slices"
	"time"
)

// Allocator divides while its process is in office. It lives for one office: who is elected makes a new one on the table
// that voters agreed on. It proposes entries and replies to asks; what it proposed counts once it was applied, and no
// reply leaves before the office was confirmed after its ask came.
type Allocator struct {
	rules  *Rules
	office uint64
	table  *Table
	known  map[Name]*holding
	round  uint64 // of confirmation, that asks heard now have to wait for
}

// holding is what this office knows of a holder beside the table. It is dropped when the holder is gone.
type holding struct {
	end      time.Duration // of what it was given, by the clock here
	demand   []int
	ask      uint64 // the newest, to be replied to; 0: none
	kept     uint64 // epoch that it says it keeps to
	round    uint64 // of confirmation, that its reply waits for
	waits    bool
	leaving  bool          // proposed to be gone: it is renewed no more
	proposed uint64        // epoch of its record when a plan was last proposed: one at a time
	retry    time.Duration // when to propose it anew, if it was not agreed on
}

// Elect begins an office at now. Whatever the table says to be out may have been renewed by the office before until this
// moment, so all of it counts for a whole lease more; the rest is divided at once.
func Elect(rules *Rules, office uint64, table *Table, now time.Duration) (*Allocator, Entry) {
	a := &Allocator{rules: rules, office: office, table: table, known: map[Name]*holding{}}
	for _, r := range table.records {
		a.known[r.name] = &holding{end: now + rules.longest(), demand: slices.Clone(r.plan)}
	}
	return a, Entry{Office: office, Kind: Office}
}

// Hear takes an ask. It is replied to after the next confirmation.
func (a *Allocator) Hear(ask Ask) {
	if len(ask.Demand) != len(a.rules.Budgets) {
		return
	}
	h := a.known[ask.From]
	if h == nil {
		h = &holding{}
		a.known[ask.From] = h
	}
	if ask.Number <= h.ask { // overtaken by a newer one
		return
	}
	h.ask, h.waits, h.round, h.demand, h.kept = ask.Number, true, a.round, slices.Clone(ask.Demand), max(h.kept, ask.Holds)
}

// Round begins to ask a quorum whether this process is still in office, and returns the round's number.
func (a *Allocator) Round() uint64 {
	a.round++
	return a.round - 1
}

// Confirmed says that a quorum took this process to be in office after a round had begun, and returns the replies to
// what was heard before it. Guards the shares against an office that is over and does not know it, as after its process
// was stopped: whoever is elected next counts a lease from then on, and no reply of this one to a later ask may go out.
func (a *Allocator) Confirmed(now time.Duration, round uint64) (replies []Reply) {
	if a.table.office != a.office {
		return nil // its first entry is not agreed on yet
	}
	for _, r := range a.table.records {
		h := a.known[r.name]
		if h == nil || !h.waits || h.leaving || h.round > round {
			continue
		}
		h.waits, h.end = false, now+a.rules.longest()
		replies = append(replies, Reply{To: r.name, Number: h.ask, Epoch: r.epoch, Amounts: slices.Clone(r.plan)})
	}
	return replies
}

// Propose returns what should change by now. Entries are applied in their order, if at all.
func (a *Allocator) Propose(now time.Duration) (entries []Entry) {
	if a.table.office != a.office {
		return nil
	}
	for _, r := range a.table.records {
		h := a.known[r.name]
		if h.kept >= r.epoch && !slices.Equal(r.may, r.plan) {
			entries = append(entries, Entry{Office: a.office, Kind: Kept, Name: r.name, Epoch: r.epoch})
		}
		if h.end == 0 { // agreed on, and not told yet
			h.end = now + a.rules.longest()
		}
		if now >= h.end+a.rules.hold() {
			h.leaving = true
			entries = append(entries, Entry{Office: a.office, Kind: Gone, Name: r.name, Epoch: r.epoch})
		}
	}
	return append(entries, a.divide(now)...)
}

// Forget drops what is known of holders that are gone. It is called after entries were applied.
func (a *Allocator) Forget() {
	for name, h := range a.known {
		if _, r := a.table.find(name); r == nil && (h.leaving || !h.waits) {
			delete(a.known, name)
		}
	}
}

// divide plans the holders' shares by what they could use. What a holder gives up is another's only once it said that it
// keeps to less, so that a move takes two rounds.
func (a *Allocator) divide(now time.Duration) (entries []Entry) {
	var names []Name
	for name, h := range a.known {
		if _, r := a.table.find(name); !h.leaving && (r != nil || h.waits) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, Name.compare)
	plans := make([][]int, len(names))
	for i := range names {
		plans[i] = make([]int, len(a.rules.Budgets))
	}
	for b := range a.rules.Budgets {
		a.divideOne(b, names, plans)
	}
	for i, name := range names {
		h, epoch := a.known[name], uint64(0)
		if _, r := a.table.find(name); r != nil {
			if epoch = r.epoch; slices.Equal(r.plan, plans[i]) {
				continue
			}
		}
		if h.proposed == epoch && now < h.retry {
			continue // on its way
		}
		h.proposed, h.retry = epoch, now+a.rules.Lease
		entries = append(entries, Entry{Office: a.office, Kind: Planned, Name: name, Plan: plans[i]})
	}
	return entries
}

func (a *Allocator) divideOne(b int, names []Name, plans [][]int) {
	budget := &a.rules.Budgets[b]
	wants := make([]int, len(names))
	for i, name := range names {
		wants[i] = a.known[name].demand[b]
	}
	targets := Divide(a.rules.leased(budget)-budget.Reserve, wants)
	free := a.rules.leased(budget) - a.table.out[b]
	for i, name := range names {
		_, r := a.table.find(name)
		had, may := 0, 0
		if r != nil {
			had, may = r.plan[b], r.may[b]
		}
		target := targets[i]
		if d := target - had; r != nil && target > 0 && d <= a.rules.Step && -d <= a.rules.Step {
			target = had
		}
		// Beyond what it may be spending by now only what nobody may. The reserve is for those who just came.
		room := free
		if r != nil {
			room = max(0, free-budget.Reserve)
		}
		give := min(target, may+room)
		free -= max(0, give-may)
		plans[i][b] = give
	}
}

// Divide shares units out by max-min fairness: nobody has more than it wants while another
// has less than it wants and less than that one. What nobody wants is shared out evenly, since what is wanted next is
// not known. Equal wants may differ by one unit, the first in order before the others.
func Divide(units int, wants []int) []int {
	shares := make([]int, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return wants[i] - wants[j] })
	left := units
	for k, i := range order { // the least wants first: each gets its even part of what is left, or all it wants
		even := left / (len(order) - k)
		shares[i] = max(0, min(wants[i], even))
		left -= shares[i]
	}
	for _, i := range order { // units that even parts left over
		if left > 0 && shares[i] < wants[i] {
			shares[i]++
			left--
		}
	}
	for k, i := range order {
		even := left / (len(order) - k)
		shares[i] += even
		left -= even
	}
	return shares
}
