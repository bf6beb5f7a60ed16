package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func testRules() *Rules {
	return &Rules{
		LeaseDuration: time.Second,
		MaxClockDrift: 0.1,
		MaxMembers:    4,
		Budgets: []Budget{
			{Key: "rate", Kind: Rate, Units: 20, Refill: time.Second, Base: 1, Reserve: 2},
			{Key: "slots", Kind: Slots, Units: 12, MaxHold: 500 * time.Millisecond, Base: 1},
		},
	}
}

func TestRules_Validate_NamesTheInvalidValue(t *testing.T) {
	if err := testRules().Validate(); err != nil {
		t.Fatal(err)
	}
	for reason, invalidate := range map[string]func(*Rules){
		"lease duration 0s":            func(r *Rules) { r.LeaseDuration = 0 },
		"drift 0.5":                    func(r *Rules) { r.MaxClockDrift = 0.5 },
		"0 members":                    func(r *Rules) { r.MaxMembers = 0 },
		"threshold -1":                 func(r *Rules) { r.TransferThreshold = -1 },
		"no budgets":                   func(r *Rules) { r.Budgets = nil },
		"must be non-empty and unique": func(r *Rules) { r.Budgets[1].Key = "rate" },
		"needs a positive refill":      func(r *Rules) { r.Budgets[0].Refill = 0 },
		"need a positive hold":         func(r *Rules) { r.Budgets[1].MaxHold = 0 },
		"kind 7":                       func(r *Rules) { r.Budgets[0].Kind = 7 },
		"0 units":                      func(r *Rules) { r.Budgets[0].Units = 0 },
		"exceed its 20 units":          func(r *Rules) { r.Budgets[0].Base = 5 },
	} {
		r := testRules()
		invalidate(r)
		if err := r.Validate(); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("want %q, got %v", reason, err)
		}
	}
}

// DivideMaxMin assigns all units, and no quota exceeds another that is below its demand by more than one unit.
func FuzzDivide(f *testing.F) {
	f.Add(uint16(10), []byte{1, 9, 9, 0})
	f.Add(uint16(0), []byte{3})
	f.Add(uint16(300), []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, units uint16, raw []byte) {
		if len(raw) == 0 {
			return
		}
		demands := make([]int, len(raw))
		totalDemand := 0
		for i, b := range raw {
			demands[i] = int(b)
			totalDemand += demands[i]
		}
		quotas := DivideMaxMin(int(units), demands)
		sum := 0
		for i, quota := range quotas {
			sum += quota
			if quota < 0 || int(units) <= totalDemand && quota > demands[i] {
				t.Fatalf("%d of %v: %v", units, demands, quotas)
			}
			for j, other := range quotas {
				if quota < demands[i] && other > quota+1 {
					t.Fatalf("%d of %v: %v: %d has less than it demands, and less than %d",
						units, demands, quotas, i, j)
				}
			}
		}
		if sum != int(units) {
			t.Fatalf("%d of %v: %v is %d", units, demands, quotas, sum)
		}
	})
}

// An entry that would exceed a budget changes nothing, nor does one of an earlier term. Units that a holder gives up
// are free only once it has confirmed the lower plan or was removed.
func TestTable_Apply_NeverExceedsTheBudget(t *testing.T) {
	table := NewTable(testRules())
	a := HolderID{"a", 1}
	b := HolderID{"b", 1}
	for i, step := range []struct {
		entry       Entry
		changes     bool
		outstanding int
	}{
		{entry: Entry{Term: 1, Kind: TermStarted}, changes: true, outstanding: 0},
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: a, Plan: []int{10, 3}}, changes: true, outstanding: 10},
		// 16 units are leasable.
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{7, 3}}, changes: false, outstanding: 10},
		// Negative units, and units of too few budgets.
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{-1, 3}}, changes: false, outstanding: 10},
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{1}}, changes: false, outstanding: 10},
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{6, 3}}, changes: true, outstanding: 16},
		// The holder may still be spending 10.
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: a, Plan: []int{4, 3}}, changes: true, outstanding: 16},
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{12, 3}}, changes: false, outstanding: 16},
		// The epoch of its first plan, and of its newest.
		{entry: Entry{Term: 1, Kind: PlanConfirmed, Holder: a, Epoch: 2}, changes: false, outstanding: 16},
		{entry: Entry{Term: 1, Kind: PlanConfirmed, Holder: a, Epoch: 7}, changes: true, outstanding: 10},
		{entry: Entry{Term: 1, Kind: PlanSet, Holder: b, Plan: []int{12, 3}}, changes: true, outstanding: 16},
		{entry: Entry{Term: 2, Kind: TermStarted}, changes: true, outstanding: 16},
		{entry: Entry{Term: 1, Kind: HolderRemoved, Holder: b, Epoch: 11}, changes: false, outstanding: 16},
		{entry: Entry{Term: 2, Kind: HolderRemoved, Holder: b, Epoch: 6}, changes: false, outstanding: 16},
		{entry: Entry{Term: 2, Kind: HolderRemoved, Holder: b, Epoch: 11}, changes: true, outstanding: 4},
	} {
		if changes := table.Apply(step.entry); changes != step.changes || table.Outstanding(0) != step.outstanding {
			t.Errorf("entry %d: changes %v, %d units outstanding; want %v, %d",
				i, changes, table.Outstanding(0), step.changes, step.outstanding)
		}
	}
	if ids := table.Holders(); len(ids) != 1 || ids[0] != a {
		t.Errorf("%v", ids)
	}
}

// The lease counts from before its request was sent. A grant that is overdue, duplicated, for another process or
// overtaken by a newer one is ignored.
func TestLeaseHolder_HandleGrant_IgnoresInvalidGrants(t *testing.T) {
	now := time.Hour
	id := HolderID{"a", 7}
	h := NewLeaseHolder(testRules(), id, now)
	if h.Spend(now, 0, 1) || h.Spend(now, 1, 1) || h.Mode(now) != BaseOnly {
		t.Error("a process that has just started may spend its base, which the previous process may have just spent")
	}
	request := h.NextRequest(now)
	grant := Grant{To: id, Sequence: request.Sequence, Epoch: 3, Units: []int{5, 2}}
	for name, invalid := range map[string]Grant{
		"for another process": {To: HolderID{"a", 6}, Sequence: request.Sequence, Epoch: 3, Units: []int{5, 2}},
		"for no request":      {To: id, Sequence: 9, Epoch: 3, Units: []int{5, 2}},
		"of other budgets":    {To: id, Sequence: request.Sequence, Epoch: 3, Units: []int{5}},
	} {
		h.HandleGrant(now, invalid)
		if h.Mode(now) != BaseOnly {
			t.Errorf("a grant %s was accepted", name)
		}
	}
	now += 400 * time.Millisecond
	h.HandleGrant(now, grant)
	if h.Allowance(now, 0) != 6 || h.Allowance(now, 1) != 2 {
		t.Errorf("allowances are %d and %d", h.Allowance(now, 0), h.Allowance(now, 1))
	}
	if h.Spend(now, 0, 2) { // 0.4 tokens of the base, and none of the new lease
		t.Error("a new quota may be spent at once, though its previous holder may have just spent it")
	}
	h.HandleGrant(now, Grant{To: id, Sequence: request.Sequence, Epoch: 4, Units: []int{9, 9}})
	if h.Allowance(now, 0) != 6 {
		t.Error("a second grant for one request was accepted")
	}
	second := h.NextRequest(now)
	third := h.NextRequest(now)
	h.HandleGrant(now, Grant{To: id, Sequence: third.Sequence, Epoch: 5, Units: []int{4, 2}})
	h.HandleGrant(now, Grant{To: id, Sequence: second.Sequence, Epoch: 4, Units: []int{8, 2}})
	if h.Allowance(now, 0) != 5 {
		t.Errorf("an overtaken grant was accepted: the allowance is %d, want 5", h.Allowance(now, 0))
	}
}

// By the holder's clock, a lease expires earlier than its nominal duration by the maximum drift, counted from its
// request.
func TestLeaseHolder_LeaseEnds(t *testing.T) {
	now := time.Hour
	id := HolderID{"a", 7}
	h := NewLeaseHolder(testRules(), id, now)
	now += 400 * time.Millisecond
	h.HandleGrant(now, Grant{To: id, Sequence: h.NextRequest(now).Sequence, Epoch: 5, Units: []int{4, 2}})
	now += 899 * time.Millisecond // the lease lasts 1 s less a drift of 10%
	if h.Mode(now) != Leased || !h.Spend(now, 0, 3) || !h.Spend(now, 1, 3) {
		t.Error("the lease expired too early")
	}
	now += time.Millisecond
	if h.Mode(now) != BaseOnly || h.Allowance(now, 0) != 1 || h.Spend(now, 1, 1) {
		t.Error("the lease has not expired")
	}
	overdue := h.NextRequest(now)
	now += time.Second
	h.HandleGrant(now, Grant{To: id, Sequence: overdue.Sequence, Epoch: 6, Units: []int{8, 2}})
	if h.Mode(now) != BaseOnly {
		t.Error("a grant that arrived after the end of its lease was accepted")
	}
	h.Release(1, 3)
	if !h.Spend(now, 1, 1) || h.Spend(now, 1, 1) {
		t.Error("the base is not one slot")
	}
}

// A lowered quota is confirmed only once the slots in use beyond it are released.
func TestLeaseHolder_ConfirmsALowerQuotaOnceSlotsAreReleased(t *testing.T) {
	now := time.Duration(0)
	id := HolderID{"a", 1}
	h := NewLeaseHolder(testRules(), id, now)
	h.HandleGrant(now, Grant{To: id, Sequence: h.NextRequest(now).Sequence, Epoch: 1, Units: []int{0, 5}})
	if !h.Spend(now, 1, 5) {
		t.Fatal("the holder may not spend what it was granted")
	}
	h.HandleGrant(now, Grant{To: id, Sequence: h.NextRequest(now).Sequence, Epoch: 2, Units: []int{0, 2}})
	if request := h.NextRequest(now); request.ConfirmedEpoch != 1 || request.Demand[1] != 5 {
		t.Errorf("%+v", request)
	}
	h.Release(1, 3)
	if h.NextRequest(now).ConfirmedEpoch != 2 {
		t.Error("the holder is within its quota and does not confirm it")
	}
}

func TestLeaseHolder_Spend_DoesNotAllocate(t *testing.T) {
	now := time.Duration(0)
	id := HolderID{"a", 1}
	h := NewLeaseHolder(testRules(), id, now)
	h.HandleGrant(now, Grant{To: id, Sequence: h.NextRequest(now).Sequence, Epoch: 1, Units: []int{9, 5}})
	allocations := testing.AllocsPerRun(1000, func() {
		now += 100 * time.Microsecond
		h.Spend(now, 0, 1)
		if h.Spend(now, 1, 1) {
			h.Release(1, 1)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
}

// settlingFleet is a fleet without faults, in which messages and entries are delivered immediately.
type settlingFleet struct {
	rng       *rand.Rand
	table     *Table
	allocator *Allocator
	holders   []*LeaseHolder
	demands   []float64 // of each holder, in units of the first budget per second
}

func newSettlingFleet(rules *Rules, demands []float64) *settlingFleet {
	f := &settlingFleet{
		rng:     rand.New(rand.NewPCG(1, 1)),
		table:   NewTable(rules),
		demands: demands,
	}
	var first Entry
	f.allocator, first = StartTerm(rules, 1, f.table, 0)
	f.table.Apply(first)
	for i := range demands {
		id := HolderID{Aggregator: string(rune('a' + i)), Incarnation: 1}
		f.holders = append(f.holders, NewLeaseHolder(rules, id, 0))
	}
	return f
}

// spentAfterSettling runs the fleet for the settling time, in which quotas converge, and as long again, and returns
// what each holder spent of the first budget in the second half.
func (f *settlingFleet) spentAfterSettling(settling time.Duration) (spent []float64) {
	spent = make([]float64, len(f.demands))
	for now := time.Duration(0); now < 2*settling; now += tick {
		for i, h := range f.holders {
			for n := f.demands[i] * tick.Seconds(); n > 0; n-- {
				if f.rng.Float64() < n && h.Spend(now, 0, 1) && now >= settling {
					spent[i]++
				}
			}
			if int(now/tick)%20 == i%20 {
				f.allocator.HandleRequest(h.NextRequest(now))
			}
		}
		if now%(100*time.Millisecond) == 0 {
			f.runAllocator(now)
		}
	}
	return spent
}

// runAllocator commits what the allocator proposes and delivers its grants.
func (f *settlingFleet) runAllocator(now time.Duration) {
	for _, entry := range f.allocator.Propose(now) {
		f.table.Apply(entry)
	}
	for _, grant := range f.allocator.LeadershipConfirmed(now, f.allocator.BeginLeadershipCheck()) {
		i := slices.IndexFunc(f.holders, func(h *LeaseHolder) bool { return h.id == grant.To })
		f.holders[i].HandleGrant(now, grant)
	}
	f.allocator.ForgetRemoved()
}

// With uneven demand, at least 90% of the budget is used, where fixed quotas of 1/n would leave most of it unused.
func TestAllocator_QuotasFollowDemand(t *testing.T) {
	const (
		members  = 16
		units    = 400
		settling = 20 * time.Second
	)
	rules := &Rules{
		LeaseDuration:     2 * time.Second,
		MaxClockDrift:     0.01,
		MaxMembers:        members,
		TransferThreshold: 1,
		Budgets: []Budget{
			{Key: "parts/s", Kind: Rate, Units: units, Refill: time.Second, Base: 1, Reserve: 8},
		},
	}
	demands := make([]float64, members)
	usedByFixedQuotas := 0.0
	for i := range demands {
		demands[i] = 4
		if i < 3 {
			demands[i] = 180
		}
		usedByFixedQuotas += min(demands[i], units/members)
	}
	used := 0.0
	for _, spent := range newSettlingFleet(rules, demands).spentAfterSettling(settling) {
		used += spent / settling.Seconds()
	}
	if used < 0.9*units || used > 1.01*units || usedByFixedQuotas > 0.4*units {
		t.Errorf("%.0f of %d units per second are used, %.0f with fixed quotas", used, units, usedByFixedQuotas)
	}
}

func BenchmarkLeaseHolder_Spend(b *testing.B) {
	h := NewLeaseHolder(testRules(), HolderID{"a", 1}, 0)
	h.HandleGrant(0, Grant{To: h.id, Sequence: h.NextRequest(0).Sequence, Epoch: 1, Units: []int{9, 5}})
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		h.Spend(now, 0, 1)
	}
}
