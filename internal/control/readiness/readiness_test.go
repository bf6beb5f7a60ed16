package readiness

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// interval is the time between two snapshots, as in the program.
const interval = 50 * time.Millisecond

// evaluateFor evaluates the same snapshot for a duration, advances now by it, and returns the last report.
func evaluateFor(e *Evaluator, now *time.Time, d time.Duration, s Snapshot) (report Report) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(interval)
		report = e.Evaluate(*now, s)
	}
	return report
}

// captions returns the snapshot of a database that accepts corrections and answers only with all of its four shards.
func captions(searchUnavailable, correctionUnavailable []int) DatabaseSnapshot {
	return DatabaseSnapshot{
		Name: "captions", Shards: 4, MinCoverage: 1,
		SearchUnavailable: searchUnavailable, CorrectionUnavailable: correctionUnavailable,
	}
}

// coverage returns the snapshot of a database that answers with at least half of its four shards.
func coverage(searchUnavailable []int) DatabaseSnapshot {
	return DatabaseSnapshot{Name: "coverage", Shards: 4, MinCoverage: 0.5, SearchUnavailable: searchUnavailable}
}

func TestEvaluator_StatesOfDatabasesAndAggregator(t *testing.T) {
	for _, test := range []struct {
		name                         string
		searchUnavailable            []int
		correctionUnavailable        []int
		captions, coverage, combined State
		reason                       string
	}{
		{
			name:     "all shards available",
			captions: Up,
			coverage: Up,
			combined: Up,
		},
		{
			name:                  "one shard without a server",
			searchUnavailable:     []int{2},
			correctionUnavailable: []int{2},
			captions:              Down,
			coverage:              Degraded,
			combined:              Degraded,
			reason:                "captions: no usable holder of block 2",
		},
		{
			name:                  "one shard without corrections",
			correctionUnavailable: []int{1},
			captions:              Degraded,
			coverage:              Up,
			combined:              Degraded,
			reason:                "corrections of block 1",
		},
		{
			name:              "three of four shards without a server",
			searchUnavailable: []int{0, 1, 2},
			captions:          Down,
			coverage:          Down,
			combined:          Down,
			reason:            "coverage: no usable holder of block 0, 1, 2",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := New(DefaultConfig())
			now := origin
			healthy := Snapshot{Databases: []DatabaseSnapshot{captions(nil, nil), coverage(nil)}}
			faulty := Snapshot{Databases: []DatabaseSnapshot{
				captions(test.searchUnavailable, test.correctionUnavailable), coverage(test.searchUnavailable),
			}}
			evaluateFor(e, &now, time.Second, healthy)
			r := evaluateFor(e, &now, time.Second, faulty)
			if r.Database("CAPTIONS").State != test.captions || r.Database("coverage").State != test.coverage || r.State != test.combined ||
				!strings.Contains(strings.Join(r.Reasons, "; "), test.reason) {
				t.Errorf("with the fault: %+v", r)
			}
			r = evaluateFor(e, &now, time.Second, healthy)
			if r.State != Up || len(r.Reasons) > 0 {
				t.Errorf("after the fault: %+v", r)
			}
		})
	}
}

// A fault that alternates faster than the delays is not reported; a lasting one is, within a second.
func TestEvaluator_StatesDoNotFlap(t *testing.T) {
	e := New(DefaultConfig())
	now := origin
	healthy := Snapshot{Databases: []DatabaseSnapshot{captions(nil, nil)}}
	faulty := Snapshot{Databases: []DatabaseSnapshot{captions([]int{1}, nil)}}
	evaluateFor(e, &now, time.Second, healthy)
	changes := 0
	last := Up
	for range 100 {
		for _, s := range []Snapshot{faulty, healthy} {
			now = now.Add(interval)
			if r := e.Evaluate(now, s); r.State != last {
				changes++
				last = r.State
			}
		}
	}
	if changes > 0 {
		t.Errorf("the reported state changed %d times, want none", changes)
	}
	timeUntil := func(want State, s Snapshot) time.Duration {
		begin := now
		for e.Evaluate(now, s).State != want {
			now = now.Add(interval)
		}
		return now.Sub(begin)
	}
	if d := timeUntil(Down, faulty); d > 300*time.Millisecond {
		t.Errorf("down was reported after %v, want at most 300ms", d)
	}
	if d := timeUntil(Up, healthy); d > 600*time.Millisecond || d < 250*time.Millisecond {
		t.Errorf("up was reported after %v, want 250ms to 600ms", d)
	}
}

func TestEvaluator_WeightFollowsHeadroom(t *testing.T) {
	for name, test := range map[string]struct {
		snapshot             Snapshot
		minWeight, maxWeight int
	}{
		"idle": {
			snapshot:  Snapshot{MaxInFlight: 100, MemoryLimit: 100 << 20, MemoryUsed: 10 << 20},
			minWeight: 100,
			maxWeight: 100,
		},
		"half of the limit":    {snapshot: Snapshot{MaxInFlight: 100, InFlight: 50}, minWeight: 100, maxWeight: 100},
		"three quarters of it": {snapshot: Snapshot{MaxInFlight: 100, InFlight: 75}, minWeight: 50, maxWeight: 50},
		"at the limit":         {snapshot: Snapshot{MaxInFlight: 100, InFlight: 100}, minWeight: 1, maxWeight: 1},
		"event loop lags":      {snapshot: Snapshot{LoopLag: 300 * time.Millisecond}, minWeight: 25, maxWeight: 25},
		"memory almost used up": {
			snapshot:  Snapshot{MemoryLimit: 100 << 20, MemoryUsed: 95 << 20},
			minWeight: 15,
			maxWeight: 25,
		},
		"draining": {snapshot: Snapshot{Draining: true}, minWeight: 100, maxWeight: 100},
	} {
		t.Run(name, func(t *testing.T) {
			e := New(DefaultConfig())
			now := origin
			r := evaluateFor(e, &now, time.Second, test.snapshot)
			if r.Weight < test.minWeight || r.Weight > test.maxWeight {
				t.Errorf("weight out of range: %+v", r)
			}
			hasReason := len(r.Reasons) > 0 && !test.snapshot.Draining
			if (r.Weight < 95) != hasReason || r.Draining != test.snapshot.Draining {
				t.Errorf("reasons or draining: %+v", r)
			}
		})
	}
}

func TestEvaluator_WeightAfterRejectionsRisesSlowly(t *testing.T) {
	e := New(DefaultConfig())
	now := origin
	var s Snapshot
	var r Report
	for range 20 {
		s.Received += 10
		s.Rejected += 9
		r = evaluateFor(e, &now, interval, s)
	}
	if r.Weight > 15 {
		t.Errorf("nine of ten queries rejected: %+v", r)
	}
	// The weight rises slowly, and only as far as the snapshots allow.
	r = evaluateFor(e, &now, 1200*time.Millisecond, s)
	if r.Weight < 20 || r.Weight > 80 {
		t.Errorf("1.2 s after the last rejection: %+v", r)
	}
	r = evaluateFor(e, &now, 3*time.Second, s)
	if r.Weight != 100 {
		t.Errorf("4.2 s after the last rejection: %+v", r)
	}
}

// observedState is the undamped state of a database by one snapshot.
type observedState struct {
	at    time.Time
	state State
}

// FuzzEvaluator checks for random snapshots that a reported state was observed within the last second, and the
// bounds of the weight.
func FuzzEvaluator(f *testing.F) {
	f.Add(uint64(3), uint16(300))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		random := rand.New(rand.NewPCG(seed, 5))
		e := New(DefaultConfig())
		now := origin
		var snapshot Snapshot
		var observed []observedState
		for range steps % 1000 {
			now = now.Add(time.Duration(1+random.IntN(100)) * time.Millisecond)
			changeRandomly(&snapshot, random)
			r := e.Evaluate(now, snapshot)
			if r.Weight < 1 || r.Weight > 100 || len(r.Databases) != len(snapshot.Databases) {
				t.Fatalf("%+v", r)
			}
			if len(snapshot.Databases) == 0 {
				continue
			}
			state, _ := databaseState(snapshot.Databases[0])
			observed = append(observed, observedState{at: now, state: state})
			for len(observed) > 1 && now.Sub(observed[1].at) > time.Second {
				observed = observed[1:]
			}
			reported := r.Databases[0]
			if !slices.ContainsFunc(observed, func(o observedState) bool { return o.state == reported.State }) {
				t.Fatalf("%v is reported although it was not observed within a second: %v", reported, observed)
			}
		}
	})
}

func changeRandomly(s *Snapshot, random *rand.Rand) {
	shards := []int{0, 1, 2, 3}
	if random.IntN(5) == 0 {
		s.Databases = []DatabaseSnapshot{captions(shards[:random.IntN(3)], nil), coverage(shards[:random.IntN(5)])}
	}
	s.InFlight = random.IntN(200)
	s.MaxInFlight = 100
	s.LoopLag = time.Duration(random.IntN(2000)) * time.Millisecond
	s.Received += uint64(random.IntN(10))
	s.Rejected = min(s.Received, s.Rejected+uint64(random.IntN(10)))
}
