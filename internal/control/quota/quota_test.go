package quota

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func rules() *Rules {
	return &Rules{Lease: time.Second, Drift: 0.1, Members: 4, Budgets: []Budget{
		{Key: "rate", Kind: Rate, Units: 20, Refill: time.Second, Base: 1, Reserve: 2},
		{Key: "slots", Kind: Slots, Units: 12, Hold: 500 * time.Millisecond, Base: 1},
	}}
}

// What is wrong with rules is said, with its reason.
func TestRulesAreChecked(t *testing.T) {
	if err := rules().Check(); err != nil {
		t.Fatal(err)
	}
	for reason, spoil := range map[string]func(*Rules){
		"lease of 0s":       func(r *Rules) { r.Lease = 0 },
		"drift of 0.5":      func(r *Rules) { r.Drift = 0.5 },
		"0 members":         func(r *Rules) { r.Members = 0 },
		"step of -1":        func(r *Rules) { r.Step = -1 },
		"no budgets":        func(r *Rules) { r.Budgets = nil },
		"key of its own":    func(r *Rules) { r.Budgets[1].Key = "rate" },
		"needs a refill":    func(r *Rules) { r.Budgets[0].Refill = 0 },
		"need a hold":       func(r *Rules) { r.Budgets[1].Hold = 0 },
		"kind 7":            func(r *Rules) { r.Budgets[0].Kind = 7 },
		"0 units":           func(r *Rules) { r.Budgets[0].Units = 0 },
		"more than its 20 ": func(r *Rules) { r.Budgets[0].Base = 5 },
	} {
		r := rules()
		spoil(r)
		if err := r.Check(); err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%q: %v", reason, err)
		}
	}
}

// Divide gives all that there is, and nobody more than another who has less than it wants; but for a unit.
func FuzzDivide(f *testing.F) {
	f.Add(uint16(10), []byte{1, 9, 9, 0})
	f.Add(uint16(0), []byte{3})
	f.Add(uint16(300), []byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, units uint16, raw []byte) {
		if len(raw) == 0 {
			return
		}
		wants, all := make([]int, len(raw)), 0
		for i, b := range raw {
			wants[i] = int(b)
			all += wants[i]
		}
		shares, sum := Divide(int(units), wants), 0
		for i, s := range shares {
			sum += s
			if s < 0 || int(units) <= all && s > wants[i] {
				t.Fatalf("%d of %v: %v", units, wants, shares)
			}
			for j, o := range shares {
				if s < wants[i] && o > s+1 {
					t.Fatalf("%d of %v: %v: %d has less than it wants, and less than %d", units, wants, shares, i, j)
				}
			}
		}
		if sum != int(units) {
			t.Fatalf("%d of %v: %v is %d", units, wants, shares, sum)
		}
	})
}

// An entry that would bring the table over the whole changes nothing, nor does one of an office that is over, and what a
// holder gives up is free only once it says that it keeps to less, or is gone.
func TestTableIsNeverOverTheWhole(t *testing.T) {
	table := NewTable(rules())
	a, b := Name{"a", 1}, Name{"b", 1}
	for i, k := range []struct {
		e    Entry
		does bool
		out  int
	}{
		{Entry{Office: 1, Kind: Office}, true, 0},
		{Entry{Office: 1, Kind: Planned, Name: a, Plan: []int{10, 3}}, true, 10},
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{7, 3}}, false, 10},  // 16 are leased
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{-1, 3}}, false, 10}, // nonsense
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{1}}, false, 10},
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{6, 3}}, true, 16},
		{Entry{Office: 1, Kind: Planned, Name: a, Plan: []int{4, 3}}, true, 16}, // it may still spend 10
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{12, 3}}, false, 16},
		{Entry{Office: 1, Kind: Kept, Name: a, Epoch: 2}, false, 16}, // of the plan before
		{Entry{Office: 1, Kind: Kept, Name: a, Epoch: 7}, true, 10},
		{Entry{Office: 1, Kind: Planned, Name: b, Plan: []int{12, 3}}, true, 16},
		{Entry{Office: 2, Kind: Office}, true, 16},
		{Entry{Office: 1, Kind: Gone, Name: b, Epoch: 11}, false, 16},
		{Entry{Office: 2, Kind: Gone, Name: b, Epoch: 6}, false, 16},
		{Entry{Office: 2, Kind: Gone, Name: b, Epoch: 11}, true, 4},
	} {
		if does := table.Apply(k.e); does != k.does || table.Out(0) != k.out {
			t.Errorf("entry %d: %v, %d out; want %v, %d", i, does, table.Out(0), k.does, k.out)
		}
	}
	if m := table.Members(); len(m) != 1 || m[0] != a {
		t.Errorf("%v", m)
	}
}

// A reply counts from before its ask, and one that is late, doubled, somebody else's or overtaken tells nothing.
func TestHolderTakesWhatIsGoodOnly(t *testing.T) {
	now, r := time.Hour, rules()
	me := Name{"a", 7}
	h := NewHolder(r, me, now)
	if h.Spend(now, 0, 1) || h.Spend(now, 1, 1) || h.Mode(now) != ByBase {
		t.Error("a process that has just begun has its base, though one before it may have spent that")
	}
	ask := h.Ask(now)
	reply := Reply{To: me, Number: ask.Number, Epoch: 3, Amounts: []int{5, 2}}
	for what, bad := range map[string]Reply{
		"another process's": {To: Name{"a", 6}, Number: ask.Number, Epoch: 3, Amounts: []int{5, 2}},
		"of no ask":         {To: me, Number: 9, Epoch: 3, Amounts: []int{5, 2}},
		"of other budgets":  {To: me, Number: ask.Number, Epoch: 3, Amounts: []int{5}},
	} {
		if h.Hear(now, bad); h.Mode(now) != ByBase {
			t.Errorf("%s was taken", what)
		}
	}
	now += 400 * time.Millisecond
	if h.Hear(now, reply); h.May(now, 0) != 6 || h.May(now, 1) != 2 {
		t.Errorf("may %d and %d", h.May(now, 0), h.May(now, 1))
	}
	if h.Spend(now, 0, 2) { // 0.4 of the base; nothing of what has just been leased
		t.Error("a new lease may be spent at once, though whoever had it may just have done so")
	}
	h.Hear(now, Reply{To: me, Number: ask.Number, Epoch: 4, Amounts: []int{9, 9}})
	if h.May(now, 0) != 6 {
		t.Error("a second reply to one ask was taken")
	}
	two, three := h.Ask(now), h.Ask(now)
	h.Hear(now, Reply{To: me, Number: three.Number, Epoch: 5, Amounts: []int{4, 2}})
	h.Hear(now, Reply{To: me, Number: two.Number, Epoch: 4, Amounts: []int{8, 2}})
	if h.May(now, 0) != 5 {
		t.Errorf("an overtaken reply was taken: %d", h.May(now, 0))
	}
	now += 899 * time.Millisecond // of the lease of a second, less the drift of a tenth
	if h.Mode(now) != ByLease || !h.Spend(now, 0, 3) || !h.Spend(now, 1, 3) {
		t.Error("the lease is over too soon")
	}
	now += time.Millisecond
	if h.Mode(now) != ByBase || h.May(now, 0) != 1 || h.Spend(now, 1, 1) {
		t.Error("the lease is not over")
	}
	four := h.Ask(now)
	now += time.Second
	if h.Hear(now, Reply{To: me, Number: four.Number, Epoch: 6, Amounts: []int{8, 2}}); h.Mode(now) != ByBase {
		t.Error("a reply that came after its lease was taken")
	}
	if h.Done(1, 3); !h.Spend(now, 1, 1) || h.Spend(now, 1, 1) {
		t.Error("the base is one slot")
	}
}

// Slots that are out beyond a lower amount are not said to be given up until they are back.
func TestSlotsAreGivenUpWhenTheyAreBack(t *testing.T) {
	now, r, me := time.Duration(0), rules(), Name{"a", 1}
	h := NewHolder(r, me, now)
	h.Hear(now, Reply{To: me, Number: h.Ask(now).Number, Epoch: 1, Amounts: []int{0, 5}})
	if !h.Spend(now, 1, 5) {
		t.Fatal("it may not spend what it was given")
	}
	h.Hear(now, Reply{To: me, Number: h.Ask(now).Number, Epoch: 2, Amounts: []int{0, 2}})
	if a := h.Ask(now); a.Holds != 1 || a.Demand[1] != 5 {
		t.Errorf("%+v", a)
	}
	if h.Done(1, 3); h.Ask(now).Holds != 2 {
		t.Error("it keeps to its amount, and does not say so")
	}
}

// Spending allocates nothing.
func TestSpendingDoesNotAllocate(t *testing.T) {
	now, r, me := time.Duration(0), rules(), Name{"a", 1}
	h := NewHolder(r, me, now)
	h.Hear(now, Reply{To: me, Number: h.Ask(now).Number, Epoch: 1, Amounts: []int{9, 5}})
	if n := testing.AllocsPerRun(1000, func() {
		now += 100 * time.Microsecond
		h.Spend(now, 0, 1)
		if h.Spend(now, 1, 1) {
			h.Done(1, 1)
		}
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// settled plays a fleet without faults until shares have settled, and returns the holders.
func settled(t testing.TB, r *Rules, wants []float64, d time.Duration) (spent []float64) {
	table := NewTable(r)
	a, first := Elect(r, 1, table, 0)
	table.Apply(first)
	rng := rand.New(rand.NewPCG(1, 1))
	var all []*Holder
	for i := range wants {
		all = append(all, NewHolder(r, Name{string(rune('a' + i)), 1}, 0))
	}
	spent = make([]float64, len(wants))
	for now := time.Duration(0); now < 2*d; now += 10 * time.Millisecond {
		for i, h := range all {
			for n := wants[i] / 100; n > 0; n-- {
				if rng.Float64() < n && h.Spend(now, 0, 1) && now >= d {
					spent[i]++
				}
			}
			if int(now/(10*time.Millisecond))%20 == i%20 {
				a.Hear(h.Ask(now))
			}
		}
		if now%(100*time.Millisecond) > 0 {
			continue
		}
		for _, e := range a.Propose(now) {
			table.Apply(e)
		}
		for _, reply := range a.Confirmed(now, a.Round()) {
			i := slices.IndexFunc(all, func(h *Holder) bool { return h.name == reply.To })
			all[i].Hear(now, reply)
		}
		a.Forget()
	}
	return spent
}

// With uneven demand over nine tenths of the whole are used, where fixed parts of 1/n leave most of it idle.
func TestSharesFollowDemand(t *testing.T) {
	r := &Rules{Lease: 2 * time.Second, Drift: 0.01, Members: 16, Step: 1, Budgets: []Budget{
		{Key: "parts/s", Kind: Rate, Units: 400, Refill: time.Second, Base: 1, Reserve: 8}}}
	wants := make([]float64, 16)
	fixed, used := 0.0, 0.0
	for i := range wants {
		wants[i] = 4
		if i < 3 {
			wants[i] = 180
		}
		fixed += min(wants[i], 400.0/16)
	}
	const d = 20 * time.Second
	for _, n := range settled(t, r, wants, d) {
		used += n / d.Seconds()
	}
	if used < 0.9*400 || used > 1.01*400 || fixed > 0.4*400 {
		t.Errorf("%.0f of 400 a second are used, %.0f by fixed parts", used, fixed)
	}
}

func BenchmarkSpend(b *testing.B) {
	r := rules()
	h := NewHolder(r, Name{"a", 1}, 0)
	h.Hear(0, Reply{To: h.name, Number: h.Ask(0).Number, Epoch: 1, Amounts: []int{9, 5}})
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		h.Spend(now, 0, 1)
	}
}
