package agentcheck

import (
	"reflect"
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	for _, test := range []struct {
		name string
		line string
		want Report
	}{
		{name: "state and weight", line: "up 75%", want: Report{State: Up, Weight: 0.75, MaxConn: -1}},
		{
			name: "commas and tabs separate",
			line: "ready,up\t100% maxconn:30",
			want: Report{State: Up, Admin: Ready, Weight: 1, MaxConn: 30},
		},
		{
			name: "any order, any case, only the first line",
			line: "maxconn:30 100% up READY\r\nx",
			want: Report{State: Up, Admin: Ready, Weight: 1, MaxConn: 30},
		},
		{name: "drain", line: "drain", want: Report{Admin: Drain, Weight: -1, MaxConn: -1}},
		{name: "maintenance", line: "MAINT", want: Report{Admin: Maint, Weight: -1, MaxConn: -1}},
		{
			name: "words in the description are not parsed",
			line: "stopped #going home, 5%",
			want: Report{State: Stopped, Weight: -1, MaxConn: -1, Description: "going home, 5%"},
		},
		{name: "failed", line: "failed", want: Report{State: Failed, Weight: -1, MaxConn: -1}},
		{name: "a weight of zero is set", line: "0%", want: Report{Weight: 0, MaxConn: -1}},
		{name: "the weight is limited", line: "9999%", want: Report{Weight: 2.56, MaxConn: -1}},
		{name: "the later state applies", line: "down up", want: Report{State: Up, Weight: -1, MaxConn: -1}},
		{
			name: "unknown words are reported",
			line: "up sideways -1%",
			want: Report{State: Up, Weight: -1, MaxConn: -1, Unknown: []string{"sideways", "-1%"}},
		},
		{
			name: "a limit without its number is unknown",
			line: "up maxconn: 5",
			want: Report{State: Up, Weight: -1, MaxConn: -1, Unknown: []string{"maxconn:", "5"}},
		},
		{
			name: "control characters are dropped",
			line: "up#\x01a\x7fb",
			want: Report{State: Up, Weight: -1, MaxConn: -1, Description: "ab"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, err := Parse(test.line); err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("%q: %+v, %v", test.line, got, err)
			}
		})
	}
	for _, line := range []string{"", " , ", "#only a reason", "sideways", "x%", "-1%", "NaN%", "1e3%", "%", "+5%", "\nup"} {
		if got, err := Parse(line); err == nil {
			t.Errorf("%q is accepted: %+v", line, got)
		}
	}
}

func TestReader(t *testing.T) {
	var r Reader
	for _, b := range []byte("up 5") {
		if _, _, done := r.Feed([]byte{b}); done {
			t.Fatal("done before the end of the line")
		}
	}
	if report, err, done := r.Feed([]byte("0%\nmore")); !done || err != nil || report.Weight != 0.5 {
		t.Errorf("at the end of the line: %+v, %v, done %v", report, err, done)
	}
	r = Reader{}
	if _, err, done := r.Feed(make([]byte, 1<<20)); !done || err == nil || len(r.line) > MaxLine+1 {
		t.Errorf("a line that is too long: %v, done %v, %d bytes buffered", err, done, len(r.line))
	}
	r = Reader{}
	if _, _, done := r.Feed([]byte("drain")); done {
		t.Error("done before the end of the stream")
	}
	if report, err := r.End(); err != nil || report.Admin != Drain {
		t.Errorf("at the end of the stream: %+v, %v", report, err)
	}
}

// FuzzLine checks that a formatted report is one line and parses back to the same report.
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
			t.Fatalf("%q is not one line within the limit", out)
		}
		if len(out) == MaxLine {
			return // its description was truncated
		}
		back, err := Parse(out)
		if err != nil || !reflect.DeepEqual(back, r) {
			t.Fatalf("%q: %+v formatted and parsed: %+v, %v", line, r, back, err)
		}
	})
}
