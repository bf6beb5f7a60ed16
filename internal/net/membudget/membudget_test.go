package membudget

import (
	"slices"
	"testing"
	"time"

	"rooktrestle/internal/testbed/leakcheck"
)

func TestMain(m *testing.M) { leakcheck.Main(m) }

// testBudget is a budget with a clock of the test and a list of the accounts that were asked to release memory.
type testBudget struct {
	*Budget
	now       time.Time
	reclaimed chan string
}

func newTestBudget(limit int64) *testBudget {
	b := &testBudget{now: time.Unix(1000, 0), reclaimed: make(chan string, 100)}
	b.Budget = New(limit, func() time.Time { return b.now })
	return b
}

// open opens an account that releases everything when asked.
func (b *testBudget) open(name string, fixed int64) (a *Account) {
	opened := make(chan struct{})
	a = b.Open(fixed, func() {
		<-opened
		a.Charge(0, false)
		b.reclaimed <- name
	})
	close(opened)
	return a
}

// expect checks which accounts were asked to release memory, in any order, and what all accounts hold.
func (b *testBudget) expect(t *testing.T, used int64, names ...string) {
	t.Helper()
	var got []string
	for range names {
		got = append(got, <-b.reclaimed)
	}
	slices.Sort(got)
	if !slices.Equal(got, names) || len(b.reclaimed) > 0 {
		t.Errorf("asked to release: %q, want %q and no more", got, names)
	}
	if n, _ := b.Used(); n != used {
		t.Errorf("%d bytes are held, want %d", n, used)
	}
}

// What has been held the most for the longest time is released first, not the largest request that is just arriving.
// Guards against memory that grows with the number of requests that clients begin and never complete.
func TestBudget_LongestAndLargestFirst(t *testing.T) {
	b := newTestBudget(100)
	stalled, small, arriving := b.open("stalled", 0), b.open("small", 0), b.open("arriving", 0)
	if !stalled.Charge(40, true) || !small.Charge(1, true) {
		t.Fatal("refused under the limit")
	}
	b.now = b.now.Add(time.Second)
	if !arriving.Charge(59, true) {
		t.Error("refused at the limit")
	}
	b.now = b.now.Add(time.Millisecond)
	if !arriving.Charge(64, true) {
		t.Error("refused while another can release memory")
	}
	b.expect(t, 65, "stalled")
	if arriving.Charge(200, true) {
		t.Error("accepted beyond the limit, and no other account holds enough")
	}
	arriving.Charge(0, false)
	small.Close()
	b.expect(t, 0)
	if c := b.Counters(); c != (Counters{Reclaimed: 1, Rejected: 1}) {
		t.Errorf("counters: %+v", c)
	}
}

// Accounts that can release nothing, such as those of requests in flight, are not asked; the limit is kept by refusing
// what is new.
func TestBudget_NothingToReclaim(t *testing.T) {
	b := newTestBudget(100)
	inFlight, next := b.open("in flight", 10), b.open("next", 10)
	if !inFlight.Charge(70, false) || next.Charge(20, false) {
		t.Error("want the first one only")
	}
	next.Charge(0, false)
	if !inFlight.Charge(60, false) {
		t.Error("refused to hold less")
	}
	inFlight.Close()
	inFlight.Close()
	if !inFlight.Charge(1000, true) || !next.Charge(90, false) {
		t.Error("a closed account still counts")
	}
	b.expect(t, 100)
}

// Connections count, too: opening one lets others release memory.
func TestBudget_FixedPart(t *testing.T) {
	b := newTestBudget(100)
	first := b.open("first", 40)
	first.Charge(30, true)
	second := b.open("second", 40)
	b.expect(t, 80, "first")
	b.SetLimit(70)
	if second.Charge(1, true) {
		t.Error("accepted beyond the new limit")
	}
	if used, limit := b.Used(); used != 81 || limit != 70 {
		t.Errorf("%d of %d", used, limit)
	}
}

func TestBudget_NilHasNoLimit(t *testing.T) {
	var b *Budget
	a := b.Open(1, nil)
	if !a.Charge(1<<40, true) || b.Counters() != (Counters{}) {
		t.Error("a nil budget refuses")
	}
	a.Close()
	if used, limit := b.Used(); used != 0 || limit != 0 {
		t.Errorf("%d of %d", used, limit)
	}
}
