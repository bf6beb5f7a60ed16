package health

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// A drain was forgotten when the process was restarted while the check was silent. What keeps a server out of service
// until the check ends it passes to the next process, and ends there as it would have ended here.
func TestExclusions_PassToTheNextProcess(t *testing.T) {
	for _, test := range []struct {
		name    string
		set     CheckResult
		state   State
		endedBy CheckResult
	}{
		{
			name:    "drain",
			set:     CheckResult{Oper: Up, Admin: Drain, Weight: -1, MaxConn: -1, Reason: "festival"},
			state:   Draining,
			endedBy: CheckResult{Admin: Ready, Weight: -1, MaxConn: -1},
		},
		{
			name:    "maint",
			set:     CheckResult{Admin: Maintenance, Weight: -1, MaxConn: -1},
			state:   OutOfService,
			endedBy: CheckResult{Admin: Ready, Weight: -1, MaxConn: -1},
		},
		{
			name:    "weight 0",
			set:     CheckResult{Oper: Up, Weight: 0, MaxConn: -1},
			state:   Draining,
			endedBy: CheckResult{Oper: Up, Weight: 0.5, MaxConn: -1},
		},
		{
			name:    "down",
			set:     CheckResult{Oper: Down, Weight: -1, MaxConn: -1},
			state:   OutOfService,
			endedBy: CheckResult{Oper: Up, Weight: -1, MaxConn: -1},
		},
	} {
		for _, silence := range silences {
			t.Run(test.name+", "+silence.name, func(t *testing.T) {
				previous, now := newSilentTable(t, 0, true)
				previous.RecordCheck(now, "a", silentCheck, test.set)
				next := restoredTable(t, previous.Exclusions(), now)
				if result := silence.result; result == nil || result.Failed {
					now = recordSilence(t, next, now, silence, func(d Decision) bool { return d.State == test.state })
				}
				next.RecordCheck(now, "a", silentCheck, test.endedBy)
				next.Changes(now)
				if decision, _ := next.Decision("a"); decision.State != InService || len(next.Exclusions()) != 0 {
					t.Errorf("after %+v: %+v, %+v", test.endedBy, decision, next.Exclusions())
				}
			})
		}
	}
}

// restoredTable returns a table with the exclusions of a previous process, and no results of checks.
func restoredTable(t *testing.T, exclusions []Exclusion, now time.Time) *Table {
	t.Helper()
	text, err := EncodeExclusions(exclusions)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeExclusions(text)
	if err != nil || !slices.Equal(decoded, exclusions) || len(decoded) != 1 {
		t.Fatalf("%s: %+v, %v", text, decoded, err)
	}
	table, err := New(Defaults(1, 0), []CheckConfig{
		silentCheck: {Name: "agent", Fall: 3, Rise: 1, IgnoreFailures: true},
		otherCheck:  {Name: "connect", Fall: 2, Rise: 1, Validity: checkValidity},
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	table.ReplaceEndpoints(now, []Server{{ID: "a", Shards: []int{0}}, {ID: "b", Shards: []int{0}}})
	table.RestoreExclusions(now, decoded)
	return table
}

// The version changes with each exclusion that begins or ends, and with nothing else.
func TestExclusionsVersion(t *testing.T) {
	table, now := newSilentTable(t, 0, true)
	for _, step := range []struct {
		result  CheckResult
		changes bool
	}{
		{CheckResult{Oper: Up, Admin: Ready, Weight: 0.5, MaxConn: 3}, false},
		{CheckResult{Oper: Up, Weight: 0, MaxConn: -1}, true},
		{CheckResult{Oper: Up, Weight: 0, MaxConn: -1, Reason: "3 left"}, false},
		{CheckResult{Failed: true, Weight: -1, MaxConn: -1}, false},
		{CheckResult{Oper: Up, Admin: Drain, Weight: -1, MaxConn: -1}, true},
		{CheckResult{Oper: Up, Admin: Maintenance, Weight: -1, MaxConn: -1}, true},
		{CheckResult{Oper: Up, Admin: Ready, Weight: 1, MaxConn: -1}, true},
	} {
		before := table.ExclusionsVersion()
		table.RecordCheck(now, "a", silentCheck, step.result)
		if changed := table.ExclusionsVersion() != before; changed != step.changes {
			t.Errorf("%+v: changed %v", step.result, changed)
		}
	}
	table.RecordCheck(now, "a", silentCheck, CheckResult{Admin: Drain, Weight: -1, MaxConn: -1})
	before := table.ExclusionsVersion()
	table.UpdateEndpoints(now, []Server{{ID: "a", Removed: true}})
	if table.ExclusionsVersion() == before || len(table.Exclusions()) != 0 {
		t.Errorf("the server is removed: %+v", table.Exclusions())
	}
}

// Exclusions of unlisted servers, of unknown checks and of nothing have no effect.
func TestRestoreExclusions_DropsWhatIsUnknown(t *testing.T) {
	table, now := newSilentTable(t, checkValidity, true)
	table.RestoreExclusions(now, []Exclusion{
		{Server: "gone", Check: "agent", Admin: Drain},
		{Server: "a", Check: "gone", Admin: Drain},
		{Server: "a", Check: "agent"},
		{Server: "a", Check: "connect", Down: true}, // its results expire
	})
	table.Changes(now)
	if decision, _ := table.Decision("a"); decision.State != InService || len(table.Exclusions()) != 0 {
		t.Errorf("%+v, %+v", decision, table.Exclusions())
	}
}

func TestDecodeExclusions_Invalid(t *testing.T) {
	for text, want := range map[string]string{
		``:              "unexpected end",
		`{"version":2}`: "unsupported version",
		`{"version":1,"exclusions":[{"admin":"gone"}]}`: `"gone" is unknown`,
	} {
		if _, err := DecodeExclusions([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := DecodeExclusions([]byte(`{"version":2}`)); !errors.Is(err, ErrUnsupported) {
		t.Error(err)
	}
}
