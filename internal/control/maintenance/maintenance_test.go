package maintenance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

func mustSet(t *testing.T, table *Table, server string, detached bool) {
	t.Helper()
	if _, err := table.Set(server, detached); err != nil {
		t.Fatal(err)
	}
}

func TestTable_Set(t *testing.T) {
	var table Table
	for i, call := range []struct{ detached, changed bool }{
		{false, false}, // already in service
		{true, true},
		{true, false}, // repeated
		{false, true}, // one call attaches it, however often it was detached
		{false, false},
		{true, true},
	} {
		changed, err := table.Set("s", call.detached)
		if changed != call.changed || err != nil || table.Detached("s") != call.detached || table.Detached("other") {
			t.Errorf("call %d: changed %v, %v, detached %v", i, changed, err, table.Detached("s"))
		}
	}
}

func TestTable_IsBounded(t *testing.T) {
	var table Table
	mustSet(t, &table, "back", true)
	mustSet(t, &table, "back", false)
	for i := range maxEntries {
		mustSet(t, &table, fmt.Sprint(i), true)
	}
	if _, err := table.Set("one more", true); !errors.Is(err, ErrFull) || len(table.entries) != maxEntries {
		t.Errorf("%v, %d entries", err, len(table.entries))
	}
	table.Merge([]Entry{{Server: "of another", Detached: true, Revision: 1 << 40}})
	if len(table.entries) != maxEntries || !table.Detached("0") {
		t.Errorf("%d entries", len(table.entries))
	}
}

// Two processes handle operators' calls in random order and merge each other's tables, also old ones and some of them
// repeatedly. If each call is made to a process that has merged all previous ones, both end with the state of the last
// call for each server.
func TestTable_Merge_ProcessesAgree(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		var tables [2]Table
		want := map[string]bool{}
		var written [][]Entry // previous contents of the shared file
		for range 50 {
			table := &tables[random.IntN(2)]
			for _, entries := range written {
				table.Merge(entries)
			}
			server := fmt.Sprint(random.IntN(3))
			want[server] = random.IntN(2) == 0
			mustSet(t, table, server, want[server])
			written = append(written, table.Entries())
		}
		for i := range tables {
			random.Shuffle(len(written), func(i, j int) { written[i], written[j] = written[j], written[i] })
			for _, entries := range written {
				tables[i].Merge(entries)
			}
			for server, detached := range want {
				if tables[i].Detached(server) != detached {
					t.Fatalf("seed %d: process %d has server %s detached %v", seed, i, server, !detached)
				}
			}
		}
		if !reflect.DeepEqual(tables[0].Entries(), tables[1].Entries()) {
			t.Fatalf("seed %d: %v and %v", seed, tables[0].Entries(), tables[1].Entries())
		}
	}
}

// Two processes handle conflicting calls at the same time, so that both entries have the same revision: the server
// stays out of service, in whichever order the entries are merged.
func TestTable_Merge_ContradictingCalls(t *testing.T) {
	out := Entry{Server: "s", Detached: true, Revision: 7}
	back := Entry{Server: "s", Revision: 7}
	for _, order := range [][]Entry{{out, back}, {back, out}} {
		var table Table
		table.Merge(order)
		if !table.Detached("s") {
			t.Errorf("%v: in service", order)
		}
	}
}

func TestDecode(t *testing.T) {
	entries := []Entry{{Server: "s", Detached: true, Revision: 3}}
	text, err := Encode(entries)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(text); err != nil || !reflect.DeepEqual(got, entries) {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := Decode([]byte(`{"version":9}`)); !errors.Is(err, ErrUnsupported) {
		t.Error(err)
	}
	for n := range text {
		if _, err := Decode(text[:n]); err == nil {
			t.Errorf("%q was decoded", text[:n])
		}
	}
}
