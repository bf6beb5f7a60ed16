package agentcheck

import (
	"reflect"
	"strings"
	"testing"
)

func TestLines(t *testing.T) {
	for line, want := range map[string]Report{
		"up 75%":                        {State: Up, Weight: 0.75, MaxConn: -1},
		"ready,up\t100% maxconn:30":     {State: Up, Admin: Ready, Weight: 1, MaxConn: 30},
		"maxconn:30 100% up READY\r\nx": {State: Up, Admin: Ready, Weight: 1, MaxConn: 30},
		"drain":                         {Admin: Drain, Weight: -1, MaxConn: -1},
		"MAINT":                         {Admin: Maint, Weight: -1, MaxConn: -1},
		"stopped #going home, 5%":       {State: Stopped, Weight: -1, MaxConn: -1, Why: "going home, 5%"},
		"failed":                        {State: Failed, Weight: -1, MaxConn: -1},
		"0%":                            {Weight: 0, MaxConn: -1},
		"9999%":                         {Weight: 2.56, MaxConn: -1},
		"down up":                       {State: Up, Weight: -1, MaxConn: -1},
		"up sideways -1%":               {State: Up, Weight: -1, MaxConn: -1, Unknown: []string{"sideways", "-1%"}},
		"up maxconn: 5":                 {State: Up, Weight: -1, MaxConn: -1, Unknown: []string{"maxconn:", "5"}},
		"up#\x01a\x7fb":                 {State: Up, Weight: -1, MaxConn: -1, Why: "ab"},
	} {
		if got, err := Parse(line); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v, %v", line, got, err)
		}
	}
	for _, line := range []string{"", " , ", "#only a reason", "sideways", "x%", "-1%", "NaN%", "1e3%", "%", "+5%", "\nup"} {
		if got, err := Parse(line); err == nil {
			t.Errorf("%q: %+v", line, got)
		}
	}
}

func TestReader(t *testing.T) {
	var r Reader
	for _, b := range []byte("up 5") {
		if _, _, done := r.Feed([]byte{b}); done {
			t.Fatal("done before the line's end")
		}
	}
	if rep, err, done := r.Feed([]byte("0%\nmore")); !done || err != nil || rep.Weight != 0.5 {
		t.Error(rep, err, done)
	}
	r = Reader{}
	if _, err, done := r.Feed(make([]byte, 1<<20)); !done || err == nil || len(r.line) > MaxLine+1 {
		t.Error(err, done, len(r.line))
	}
	r = Reader{}
	r.Feed([]byte("drain"))
	if rep, err := r.End(); err != nil || rep.Admin != Drain {
		t.Error(rep, err)
	}
}

// What is worded reads back as it was, whatever it was made from, and nothing gets into the line's second line.
func FuzzLine(f *testing.F) {
	f.Add("up ready 50% maxconn:3 #why")
	f.Add("down\r\n#x")
	f.Add("drain,,,0%")
	f.Fuzz(func(t *testing.T, line string) {
		r, err := Parse(line)
		if err != nil {
			return
		}
		r.Unknown = nil
		out := r.Line()
		if strings.Count(out, "\n") != 1 || len(out) > MaxLine {
			t.Fatalf("%q", out)
		}
		if len(out) == MaxLine {
			return // its description was cut
		}
		back, err := Parse(out)
		if err != nil || !reflect.DeepEqual(back, r) {
			t.Fatalf("%q: %+v came back as %+v, %v", line, r, back, err)
		}
	})
}
