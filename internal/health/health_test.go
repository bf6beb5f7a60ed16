package health

import (
	"errors"
	"testing"

	"rooktrestle/balance"
	"rooktrestle/internal/mixer"
)

func TestAgentLines(t *testing.T) {
	for line, want := range map[string]Report{
		"up 75%":                    {State: Up, Weight: 0.75},
		"ready,up\t100% maxconn:30": {State: Up, Admin: Up, Weight: 1},
		"drain":                     {Admin: Drain, Weight: -1},
		"MAINT":                     {Admin: Maint, Weight: -1},
		"stopped #going home":       {State: Down, Weight: -1, Why: "going home"},
		"failed":                    {State: Down, Weight: -1},
	} {
		if got, err := ParseAgent(line); err != nil || got != want {
			t.Errorf("%q: %+v, %v", line, got, err)
		}
	}
	for _, line := range []string{"", "#only a reason", "sideways", "x%", "-1%", "NaN%"} {
		if got, err := ParseAgent(line); err == nil {
			t.Errorf("%q: %+v", line, got)
		}
	}
	r := Report{State: Up, Admin: Drain, Weight: 0.5, Why: "soon"}
	if back, err := ParseAgent(r.Line()); err != nil || back != r {
		t.Errorf("%q: %+v, %v", r.Line(), back, err)
	}
}

func TestTableFollowsChecks(t *testing.T) {
	table := NewTable(Rules{Fall: 2, Rise: 2}, []Target{{Server: mixer.Server{ID: "a", Weight: 1}}})
	bad := errors.New("bad")
	for i, step := range []struct {
		line string // empty: the check failed
		want balance.State
		told bool
	}{
		{"up 100%", balance.InService, false},
		{"", balance.InService, false}, // one failure is none
		{"up", balance.InService, false},
		{"", balance.InService, false},
		{"", balance.Removed, true},
		{"up", balance.Removed, false}, // and one success neither
		{"up", balance.InService, true},
		{"drain", balance.Draining, true},
		{"up 100%", balance.Draining, false}, // it drains until it says ready
		{"ready", balance.InService, true},
		{"up 0%", balance.Draining, true},
		{"50%", balance.InService, true},
		{"maint", balance.Removed, true},
		{"ready", balance.InService, true},
		{"down", balance.Removed, true},
	} {
		r, err := ParseAgent(step.line)
		if step.line == "" {
			err = bad
		}
		m := table.Result("a", r, err)
		if (m != nil) != step.told || m != nil && m.List[0].State != step.want {
			t.Errorf("step %d, %q: %+v", i, step.line, m)
		}
	}
	if table.Result("unknown", Report{}, nil) != nil {
		t.Error("told of a server that is not there")
	}
}
