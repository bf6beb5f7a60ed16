package health

import (
	"math"
	"testing"
	"time"
)

// An agent whose silence has no effect was forgotten once its last report had expired: a server that it had reported
// as stopped received parts again, and one whose traffic it limited received more. Its last report counts until the
// next one.
func TestSilentCheck_LastReportCountsUntilTheNext(t *testing.T) {
	for _, test := range []struct {
		name    string
		set     CheckResult
		changed func(Decision) bool
	}{
		{
			name:    "down",
			set:     CheckResult{Oper: Down, Weight: -1, MaxConn: -1, Reason: "stopped"},
			changed: func(d Decision) bool { return d.State == OutOfService },
		},
		{
			name:    "limit of parts in flight",
			set:     CheckResult{Oper: Up, Weight: -1, MaxConn: 7},
			changed: func(d Decision) bool { return d.State == InService && d.MaxInFlight == 7 },
		},
		{
			name:    "weight",
			set:     CheckResult{Oper: Up, Weight: 0.25, MaxConn: -1},
			changed: func(d Decision) bool { return d.State == InService && d.TrafficFraction == 0.25 },
		},
	} {
		for _, silence := range silences {
			if silence.result != nil && !silence.result.Failed {
				continue // it is not silent
			}
			t.Run(test.name+", "+silence.name, func(t *testing.T) {
				table, now := newSilentTable(t, 0, true)
				table.RecordCheck(now, "a", silentCheck, test.set)
				table.Changes(now)
				now = now.Add(10 * time.Second) // the traffic fraction has moved to the weight
				table.RecordCheck(now, "a", silentCheck, test.set)
				now = recordSilence(t, table, now, silence, test.changed)
				table.RecordCheck(now, "a", silentCheck, CheckResult{Oper: Up, Weight: 1, MaxConn: 0})
				table.Changes(now)
				now = now.Add(10 * time.Second)
				table.Changes(now)
				decision, _ := table.Decision("a")
				if decision.State != InService || math.Abs(decision.TrafficFraction-1) > 0.01 || decision.MaxInFlight != 0 {
					t.Errorf("the next report does not count: %+v", decision)
				}
			})
		}
	}
}

// A check with a validity still expires, if it has not drained the server.
func TestCheckWithValidity_Expires(t *testing.T) {
	table, now := newSilentTable(t, checkValidity, true)
	table.RecordCheck(now, "a", silentCheck, CheckResult{Oper: Down, Weight: 0.25, MaxConn: 7})
	table.Changes(now)
	if decision, _ := table.Decision("a"); decision.State != OutOfService || decision.MaxInFlight != 7 {
		t.Fatalf("%+v", decision)
	}
	table.Changes(now.Add(checkValidity + 2*expiryMargin + timerResolution))
	if decision, _ := table.Decision("a"); decision.State != InService || decision.MaxInFlight != 0 {
		t.Errorf("after its validity: %+v", decision)
	}
}
