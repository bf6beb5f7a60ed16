package health

import (
	"strings"
	"testing"
	"time"
)

// A server that fails its parts is ejected although its checks succeed: its share of the parts falls under 2%, and it
// is readmitted within 10 s after the fault has ended.
func TestEjection_SuccessfulChecksDoNotOutweighFailingParts(t *testing.T) {
	for _, rate := range []float64{10, 40, 200} {
		f := newFleet(t, 4, 2)
		f.run(5*time.Second, rate)
		f.failureRate["n1"] = 0.8
		f.run(3*time.Second, rate)
		f.resetCounts()
		f.run(60*time.Second, rate)
		if share := f.trafficShare("n1"); share > 0.02 {
			t.Errorf("rate %v: the failing server has %.1f%% of the parts, want at most 2%%", rate, 100*share)
		}
		const bothClasses = 1<<search | 1<<correction
		decision := f.decisions["n1"]
		if decision.EjectedClasses&bothClasses != bothClasses || !strings.Contains(decision.Cause, "parts fail") {
			t.Errorf("rate %v: the failing server is not ejected from both classes: %+v", rate, decision)
		}
		f.failureRate["n1"] = 0
		faultEnded := f.now
		for f.decisions["n1"].EjectedClasses != 0 && f.now.Sub(faultEnded) < 10*time.Second {
			f.run(100*time.Millisecond, rate)
		}
		if took := f.now.Sub(faultEnded); took >= 10*time.Second {
			t.Errorf("rate %v: still ejected %v after its fault ended", rate, took)
		}
		f.run(5*time.Second, rate)
		f.resetCounts()
		f.run(10*time.Second, rate)
		if share := f.trafficShare("n1"); share < 0.15 {
			t.Errorf("rate %v: after readmission the server has %.1f%% of the parts", rate, 100*share)
		}
	}
}

// No correction is granted as a half-open request while an idempotent class is ejected, too.
func TestEjection_HalfOpenRequestsAreIdempotent(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(3*time.Second, 50)
	f.failureRate["n2"] = 1
	f.run(3*time.Second, 50)
	for range 3000 {
		f.run(10*time.Millisecond, 50)
		if f.halfOpen["n2"]>>correction&1 == 1 {
			t.Fatal("a correction was granted as a half-open request")
		}
	}
	if f.halfOpen["n2"] == 0 && f.sent["n2"] == 0 {
		t.Error("no half-open request was granted")
	}
}

// Corrections are rare, so those that succeeded before a fault outweigh its first failures. They are ejected together
// with the class that shows the fault.
func TestEjection_NonIdempotentClassIsEjectedWithTheOthers(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(20*time.Second, 40)
	outcomes := f.table.servers[1].classes[correction].outcomeWindow
	if outcomes.successes < f.table.rules.MinOutcomes || outcomes.failures > 0 {
		t.Fatalf("corrections have not succeeded before the fault: %+v", outcomes)
	}
	f.failureRate["n1"] = 0.8
	for f.decisions["n1"].EjectedClasses&(1<<search) == 0 {
		f.run(10*time.Millisecond, 40)
	}
	if f.decisions["n1"].EjectedClasses&(1<<correction) == 0 {
		t.Errorf("corrections are not ejected: %+v", f.decisions["n1"])
	}
}

// A server is not ejected if one of its shards would have too few replicas left.
func TestEjection_KeepsEnoughReplicas(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(3*time.Second, 50)
	f.failureRate["n0"] = 0.9 // n0 and n1 are the replicas of shard 0
	f.failureRate["n1"] = 0.9
	f.run(5*time.Second, 50)
	ejected := 0
	for _, id := range []ID{"n0", "n1"} {
		if f.decisions[id].EjectedClasses&1 == 1 {
			ejected++
		} else if !strings.Contains(f.decisions[id].Cause, "no others") || f.table.UsableReplicas(0, search) != 0 {
			t.Errorf("%s: decision %+v, %d usable replicas", id, f.decisions[id], f.table.UsableReplicas(0, search))
		}
	}
	if ejected != 1 {
		t.Errorf("%d of two replicas of a shard were ejected", ejected)
	}
}

// A fault common to all servers ejects none of them.
func TestEjection_CommonFaultEjectsNone(t *testing.T) {
	f := newFleet(t, 6, 3)
	f.run(3*time.Second, 50)
	for _, id := range f.ids {
		f.failureRate[id] = 0.6
	}
	f.run(10*time.Second, 50)
	for _, id := range f.ids {
		if f.decisions[id].EjectedClasses != 0 {
			t.Errorf("%s was ejected although all servers fail alike", id)
		}
	}
}

// An unreachable server becomes reachable again by a half-open request, without any check.
func TestUnreachableServer_ReturnsByAHalfOpenRequest(t *testing.T) {
	f := newFleet(t, 4, 2)
	for _, id := range f.ids {
		f.unchecked[id] = true
	}
	f.run(time.Second, 50)
	f.unreachable["n2"] = true
	f.run(2*time.Second, 50)
	f.resetCounts()
	f.run(20*time.Second, 50)
	decision := f.decisions["n2"]
	if decision.EjectedClasses != AllClasses || decision.Usable || f.trafficShare("n2") > 0.02 {
		t.Errorf("unreachable: decision %+v, %.1f%% of the parts", decision, 100*f.trafficShare("n2"))
	}
	f.unreachable["n2"] = false
	f.run(2*time.Second, 50)
	if f.decisions["n2"].EjectedClasses != 0 || !f.decisions["n2"].Usable {
		t.Errorf("reachable again: decision %+v", f.decisions["n2"])
	}
}
