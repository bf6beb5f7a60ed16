package health

import (
	"math"
	"strings"
	"testing"
	"time"
)

// Failing checks take a server out of service, but not the last replica of a shard. That one goes out of service only
// if it is unreachable, too.
func TestChecks_LastReplicaStaysInService(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.checks["n1"] = CheckResult{Failed: true, Reason: "status 500"}
	f.run(time.Second, 20)
	if f.decisions["n1"].State != OutOfService || !strings.Contains(f.decisions["n1"].Cause, "status 500") {
		t.Errorf("%+v", f.decisions["n1"])
	}
	f.checks["n2"] = CheckResult{Failed: true, Reason: "refused"} // shard 1 has its replicas on n1 and n2
	f.run(time.Second, 20)
	for _, id := range []ID{"n1", "n2"} {
		decision := f.decisions[id]
		if decision.State != InService || decision.EjectedClasses != AllClasses ||
			!strings.Contains(decision.Cause, "alone") {
			t.Errorf("%s: %+v", id, decision)
		}
	}
	if f.table.UsableReplicas(1, search) == 0 {
		t.Error("no replica of shard 1 is usable although parts are answered")
	}
	f.unreachable["n1"] = true
	f.unreachable["n2"] = true
	f.run(2*time.Second, 20)
	if f.decisions["n1"].State != OutOfService || f.decisions["n2"].State != OutOfService ||
		f.table.UsableReplicas(1, search) != 0 {
		t.Errorf("%+v %+v", f.decisions["n1"], f.decisions["n2"])
	}
	f.unreachable["n1"] = false
	f.checks["n1"] = upResult
	f.run(time.Second, 0) // no parts are sent: the check alone makes it reachable again
	if f.decisions["n1"].State != InService || f.table.UsableReplicas(1, search) != 1 {
		t.Errorf("%+v", f.decisions["n1"])
	}
}

// When all checks fail at once while parts are answered, every shard has a usable replica at all times.
func TestChecks_AllFailingDoNotEmptyTheFleet(t *testing.T) {
	f := newFleet(t, 8, 2)
	f.run(2*time.Second, 20)
	for _, id := range f.ids {
		f.checks[id] = CheckResult{Failed: true, Reason: "no answer"}
	}
	for range 1000 {
		f.run(10*time.Millisecond, 20)
		for shard := range f.ids {
			if f.table.UsableReplicas(shard, search) == 0 {
				t.Fatalf("%v: shard %d has no usable replica", f.now.Sub(origin), shard)
			}
		}
	}
	if !f.table.ChecksSuspect() {
		t.Error("the checks are not suspect")
	}
	f.run(10*time.Second, 0) // without parts the checks remain suspect
	for _, id := range f.ids {
		if decision := f.decisions[id]; decision.State != InService || !strings.Contains(decision.Cause, "doubted") {
			t.Fatalf("%s: %+v", id, decision)
		}
	}
	for _, id := range f.ids {
		f.checks[id] = upResult
	}
	f.run(time.Second, 20)
	if f.table.ChecksSuspect() {
		t.Error("the checks are still suspect although they succeed")
	}
}

// A server that a check drains receives no parts from then on, whatever other evidence there is, even as the last
// replica of a shard. The drain persists without being repeated, until the check reports ready.
func TestDrain_ByCheckStaysUntilReady(t *testing.T) {
	for name, result := range map[string]CheckResult{
		"drain":    {Admin: Drain, Weight: -1, MaxConn: -1},
		"maint":    {Admin: Maintenance, Oper: Up, Weight: -1, MaxConn: -1},
		"404":      {Admin: Drain, Oper: Up, Weight: -1, MaxConn: -1},
		"weight 0": {Oper: Up, Weight: 0, MaxConn: -1},
	} {
		f := newFleet(t, 4, 2)
		f.checks["n0"] = CheckResult{Failed: true}
		f.run(2*time.Second, 20)
		f.unchecked["n1"] = true
		f.table.RecordCheck(f.now, "n1", 0, result)
		f.applyChanges()
		f.resetCounts()
		f.run(21*time.Second, 20)
		if f.sent["n1"] != 0 || f.decisions["n1"].State == InService || f.table.UsableReplicas(1, search) != 1 {
			t.Errorf("%s: %d parts were sent, %+v", name, f.sent["n1"], f.decisions["n1"])
		}
		f.unchecked["n1"] = false
		f.checks["n1"] = CheckResult{Admin: Ready, Oper: Up, Weight: 1, MaxConn: -1}
		f.run(time.Second, 20)
		if f.decisions["n1"].State != InService {
			t.Errorf("%s: not in service after ready: %+v", name, f.decisions["n1"])
		}
	}
}

func TestDrain_ByEndpointList(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.table.UpdateEndpoints(f.now, []Server{{ID: "n3", Draining: true, Shards: []int{3, 2}}})
	f.run(time.Second, 20)
	if f.sent["n3"] != 0 {
		t.Error("parts were sent to a server that drains by the endpoint list")
	}
	f.table.UpdateEndpoints(f.now, []Server{{ID: "n3", Removed: true}})
	f.applyChanges()
	if f.decisions["n3"].State != OutOfService || f.table.Len() != 3 {
		t.Errorf("%+v", f.decisions["n3"])
	}
}

// A check that keeps changing its result takes the server out of service until the result is stable, and not every
// change is notable.
func TestChecks_FlappingIsSuppressed(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(time.Second, 20)
	f.resetCounts()
	for i := range 60 {
		f.checks["n1"] = CheckResult{Oper: OperState(1 + i%2), Weight: -1, MaxConn: -1}
		f.run(500*time.Millisecond, 20)
	}
	notable := 0
	for _, line := range f.notable {
		if strings.Contains(line, " n1 ") {
			notable++
		}
	}
	if notable > 14 || f.decisions["n1"].State != OutOfService {
		t.Errorf("%d notable changes in 30 s: %v", notable, f.decisions["n1"])
	}
	f.checks["n1"] = upResult
	f.run(50*time.Second, 20)
	if f.decisions["n1"].State != InService {
		t.Errorf("still out of service with a stable result: %+v", f.decisions["n1"])
	}
}

// The traffic fraction moves gradually to the weight that a check reports, and a limit of connections counts while it
// is valid.
func TestTrafficFraction_MovesToTheWeight(t *testing.T) {
	f := newFleet(t, 4, 2)
	f.run(time.Second, 20)
	f.checks["n1"] = CheckResult{Oper: Up, Weight: 0.25, MaxConn: 7}
	f.run(200*time.Millisecond, 20)
	if decision := f.decisions["n1"]; decision.TrafficFraction < 0.7 || decision.MaxInFlight != 7 {
		t.Errorf("%+v", decision)
	}
	f.run(2*time.Second, 20)
	if fraction := f.decisions["n1"].TrafficFraction; fraction != 0.25 {
		t.Errorf("fraction %v", fraction)
	}
	f.checks["n1"] = CheckResult{Oper: Up, Weight: 1, MaxConn: -1}
	f.run(2*time.Second, 20)
	if fraction := f.decisions["n1"].TrafficFraction; fraction > 0.75 || fraction < 0.5 {
		t.Errorf("fraction %v after 2 s", fraction)
	}
	f.checks["n1"] = CheckResult{Oper: Up, Weight: 1, MaxConn: -1, Degraded: true}
	f.run(3*time.Second, 20)
	if fraction := f.decisions["n1"].TrafficFraction; math.Abs(fraction-degradedFraction) > 0.01 {
		t.Errorf("fraction %v of a degraded server", fraction)
	}
	f.unchecked["n1"] = true
	f.run(10*time.Second, 20)
	if decision := f.decisions["n1"]; decision.TrafficFraction < 0.999 || decision.MaxInFlight != 0 {
		t.Errorf("%+v", decision)
	}
}
