package readiness

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// The JSON of a report stays as load balancers and operators' scripts read it. testdata/report-b803164.json was written
// by commit b803164 (package internal/decide/readiness) for the same snapshot.
func TestReport_JSONIsThatOfEarlierVersions(t *testing.T) {
	want, err := os.ReadFile("testdata/report-b803164.json")
	if err != nil {
		t.Fatal(err)
	}
	report := New(DefaultConfig()).Evaluate(origin, Snapshot{
		Draining: true,
		InFlight: 80, MaxInFlight: 100,
		LoopLag:    300 * time.Millisecond,
		MemoryUsed: 95 << 20, MemoryLimit: 100 << 20,
		Databases: []DatabaseSnapshot{
			{
				Name: "captions", Shards: 12, MinCoverage: 0.1,
				SearchUnavailable: []int{11, 0, 1, 2, 3, 4, 5, 6, 7, 8}, Caveat: "checks are doubted",
			},
			{Name: "coverage", Shards: 4, CorrectionUnavailable: []int{1}},
			{Name: "maps"},
		},
	})
	got, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if string(got)+"\n" != string(want) {
		t.Errorf("got %s\nwant %s", got, want)
	}
}
