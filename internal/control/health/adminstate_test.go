package health

import (
	"strings"
	"testing"
	"time"
)

// silence is what becomes of a check after its last result.
type silence struct {
	name   string
	result *CheckResult // of each later check; nil: there are none
	time   time.Duration
}

// silences are the conditions under which an administrative state has to last.
var silences = []silence{
	{name: "fresh", time: checkValidity / 2},
	{name: "expired", time: 10 * checkValidity},
	{name: "hung", result: &CheckResult{Failed: true, Weight: -1, MaxConn: -1, Reason: "no answer in time"}, time: 10 * checkValidity},
	{name: "refused", result: &CheckResult{Failed: true, Weight: -1, MaxConn: -1, Reason: "connection refused"}, time: 10 * checkValidity},
	{name: "answers without the state", result: &CheckResult{Oper: Up, Weight: -1, MaxConn: -1}, time: 10 * checkValidity},
}

const (
	checkValidity = 7 * time.Second
	// The checks of TestAdminState_LastsUntilItsCheckEndsIt, by index.
	silentCheck, otherCheck = 0, 1
)

// A server that a check has drained came back into service when the check fell silent, if the drain was a weight of 0.
// No administrative state may end but by a result of the same check, however the check falls silent.
func TestAdminState_LastsUntilItsCheckEndsIt(t *testing.T) {
	ready := CheckResult{Oper: Up, Admin: Ready, Weight: -1, MaxConn: -1}
	fullWeight := CheckResult{Oper: Up, Weight: 1, MaxConn: -1}
	for _, test := range []struct {
		name    string
		set     CheckResult
		state   State
		endedBy CheckResult
	}{
		{name: "drain", set: CheckResult{Oper: Up, Admin: Drain, Weight: -1, MaxConn: -1}, state: Draining, endedBy: ready},
		{name: "maint", set: CheckResult{Oper: Up, Admin: Maintenance, Weight: -1, MaxConn: -1}, state: OutOfService, endedBy: ready},
		{name: "weight 0", set: CheckResult{Oper: Up, Weight: 0, MaxConn: -1}, state: Draining, endedBy: fullWeight},
		{name: "weight 0 beside ready", set: CheckResult{Oper: Up, Admin: Ready, Weight: 0, MaxConn: -1}, state: Draining, endedBy: fullWeight},
	} {
		for _, ignoreFailures := range []bool{true, false} {
			for _, silence := range silences {
				name := test.name + ", " + silence.name
				if !ignoreFailures {
					name += ", failures count"
				}
				t.Run(name, func(t *testing.T) {
					table, now := newSilentTable(t, checkValidity, ignoreFailures)
					table.RecordCheck(now, "a", silentCheck, test.set)
					now = recordSilence(t, table, now, silence, func(decision Decision) bool {
						return decision.State == test.state && strings.Contains(decision.Cause, "check agent: ")
					})
					table.RecordCheck(now, "a", silentCheck, test.endedBy)
					table.Changes(now)
					if decision, _ := table.Decision("a"); decision.State != InService {
						t.Errorf("not in service after %+v: %+v", test.endedBy, decision)
					}
				})
			}
		}
	}
}

// newSilentTable returns a table of two replicas of one shard, each with two checks that have succeeded. validity and
// ignoreFailures are of the check that will be silent.
func newSilentTable(t *testing.T, validity time.Duration, ignoreFailures bool) (table *Table, now time.Time) {
	t.Helper()
	table, err := New(Defaults(1, 0), []CheckConfig{
		silentCheck: {Name: "agent", Fall: 3, Rise: 1, Validity: validity, IgnoreFailures: ignoreFailures},
		otherCheck:  {Name: "connect", Fall: 2, Rise: 1, Validity: checkValidity},
	}, origin)
	if err != nil {
		t.Fatal(err)
	}
	table.ReplaceEndpoints(origin, []Server{{ID: "a", Shards: []int{0}}, {ID: "b", Shards: []int{0}}})
	for _, id := range []ID{"a", "b"} {
		for check := range 2 {
			table.RecordCheck(origin, id, check, upResult)
		}
	}
	table.Changes(origin)
	return table, origin
}

// recordSilence advances the time while one check of server a is silent and everything else succeeds. All the time the
// decision has to be as wanted, and the check's last report has to be shown as one that counts.
func recordSilence(
	t *testing.T, table *Table, now time.Time, silence silence, wanted func(Decision) bool,
) time.Time {
	t.Helper()
	for end := now.Add(silence.time); now.Before(end); now = now.Add(time.Second) {
		if silence.result != nil {
			table.RecordCheck(now, "a", silentCheck, *silence.result)
		}
		table.RecordCheck(now, "a", otherCheck, upResult)
		table.RecordCheck(now, "b", otherCheck, upResult)
		table.RecordOutcome(now, "a", 0, Success, now)
		table.Changes(now)
		decision, _ := table.Decision("a")
		if !wanted(decision) {
			t.Fatalf("after %v: %+v", now.Sub(origin), decision)
		}
		if fact := table.Facts(now, "a")[1]; fact.Source != "check agent" || !fact.Effective {
			t.Fatalf("after %v the check does not count: %+v", now.Sub(origin), fact)
		}
	}
	return now
}
