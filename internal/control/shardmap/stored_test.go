package shardmap

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The files in testdata/b803164 were written by commit b803164, before the fields and types of this package were
// renamed: the maps of ten epochs by Map.Print, the three plans that lead from map to map as controllers store them,
// and differences of maps as `rooktrestle blocks diff --json` prints them. Text of that form is stored on disks and
// read by scripts, so it must remain readable, and new text must equal it.

func storedFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "b803164", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func storedMap(t *testing.T, epoch Epoch) *Map {
	t.Helper()
	m, err := Parse(storedFile(t, fmt.Sprintf("map-epoch%d.json", epoch)))
	if err != nil {
		t.Fatalf("epoch %d: %v", epoch, err)
	}
	return m
}

func TestParse_ReadsStoredMaps(t *testing.T) {
	var previous *Map
	for epoch := Epoch(1); epoch <= 10; epoch++ {
		m := storedMap(t, epoch)
		if m.Epoch != epoch || m.Archive != "captions" {
			t.Errorf("epoch %d was read as epoch %d of %q", epoch, m.Epoch, m.Archive)
		}
		text := m.Encode()
		want := storedFile(t, fmt.Sprintf("map-epoch%d.json", epoch))
		if string(text) != string(want) {
			t.Errorf("epoch %d is written as\n%s, want\n%s", epoch, text, want)
		}
		if previous != nil {
			if err := m.ValidateSuccession(previous); err != nil {
				t.Errorf("epoch %d: %v", epoch, err)
			}
		}
		previous = m
	}
	migrated := storedMap(t, 3).Shard(2)
	replica, found := migrated.replica("n4")
	if !found || replica.Joining || replica.ServingSince != 3 || migrated.State != Migrating || migrated.Weight != 3 {
		t.Errorf("the migrated shard was read as %+v", migrated)
	}
}

func TestPlan_ReadsStoredPlans(t *testing.T) {
	timing := Timing{MapPropagation: 10 * time.Second, MaxQueryTime: 8 * time.Second}
	for name, replan := range map[string]func(*Map) (*Plan, error){
		"move":  func(m *Map) (*Plan, error) { return PlanMigration(m, 2, []string{"n2", "n4"}, timing) },
		"split": func(m *Map) (*Plan, error) { return PlanSplit(m, 2, []Key{"k@2000"}, timing) },
		"merge": func(m *Map) (*Plan, error) { return PlanMerge(m, []ID{4, 5}, timing) },
	} {
		t.Run(name, func(t *testing.T) {
			stored := storedFile(t, "plan-"+name+".json")
			var plan Plan
			if err := json.Unmarshal(stored, &plan); err != nil {
				t.Fatal(err)
			}
			expectJSON(t, &plan, stored)
			m := storedMap(t, plan.FromEpoch)
			replanned, err := replan(m)
			if err != nil {
				t.Fatal(err)
			}
			expectJSON(t, replanned, stored)
			for i := range plan.Steps {
				if m, err = plan.Steps[i].Apply(m); err != nil {
					t.Fatal(err)
				}
				stored := storedMap(t, m.Epoch)
				if done := plan.StepsDone(stored); !m.sameShards(stored) || done != i+1 {
					t.Errorf("step %d: got %s, want the stored map; %d of its steps are done", i, m.Encode(), done)
				}
			}
		})
	}
}

func TestDiff_WritesTheSameJSON(t *testing.T) {
	for _, epoch := range []Epoch{2, 4, 5, 7, 8, 10} {
		text, err := json.MarshalIndent(Diff(storedMap(t, 1), storedMap(t, epoch)), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		want := storedFile(t, fmt.Sprintf("diff-epoch1-epoch%d.json", epoch))
		if string(text)+"\n" != string(want) {
			t.Errorf("the difference of epochs 1 and %d is written as\n%s, want\n%s", epoch, text, want)
		}
	}
}

func expectJSON(t *testing.T, plan *Plan, want []byte) {
	t.Helper()
	text, err := json.Marshal(plan)
	if err != nil {
		t.Fatal(err)
	}
	if string(text) != string(want) {
		t.Errorf("the plan is written as\n%s, want\n%s", text, want)
	}
}
