package httpcheck

import (
	"net/http"
	"regexp"
	"testing"
)

func TestExpect_Judge(t *testing.T) {
	ranges := func(text string) []Range {
		t.Helper()
		r, err := ParseRanges(text)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	expect := &Expect{Status: ranges("200-299, 301,404"), Drain: ranges("404"), Body: "fine", Match: regexp.MustCompile(`^all`)}
	for _, test := range []struct {
		name   string
		status int
		header http.Header
		body   string
		want   Result
	}{
		{"healthy", 200, nil, "all fine", Result{Good: true}},
		{"degraded", 301, http.Header{DegradedHeader: {"1"}}, "all fine", Result{Good: true, Degraded: true}},
		{"not degraded, as the header says no", 200, http.Header{DegradedHeader: {"false"}}, "all fine", Result{Good: true}},
		{"draining, whatever the body says", 404, nil, "", Result{Good: true, Drain: true, Why: "status 404"}},
		{"an error status", 500, nil, "all fine", Result{Why: "status 500"}},
		{"a status that is not expected", 302, nil, "all fine", Result{Why: "status 302"}},
		{"the body lacks the text", 200, nil, "all", Result{Why: `the body lacks "fine"`}},
		{"the body does not match", 200, nil, "fine, all", Result{Why: "the body does not match"}},
		{"an immediate failure", 200, http.Header{ImmediateHeader: {"true"}}, "all fine", Result{AtOnce: true, Why: "immediate failure told"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := expect.Judge(test.status, test.header.Get, []byte(test.body)); got != test.want {
				t.Errorf("%d %v %q: %+v, want %+v", test.status, test.header, test.body, got, test.want)
			}
		})
	}
}

// Printed ranges parse back as they were, and all are within the statuses.
func FuzzRanges(f *testing.F) {
	for _, s := range []string{"200", "200-299,304", "299-200", "", "1e3", "-5", "200-", "99", "600"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseRanges(text)
		if err != nil {
			return
		}
		for _, r := range list {
			again, err := ParseRanges(r.String())
			if err != nil || len(again) != 1 || again[0] != r || r.From < 100 || r.To > 599 || !In(list, r.From) {
				t.Fatalf("%q: %v came back as %v, %v", text, r, again, err)
			}
		}
	})
}

func TestParseRanges_Rejected(t *testing.T) {
	for _, s := range []string{"", "299-200", "99", "600", "200-", "abc", "200,,300"} {
		if got, err := ParseRanges(s); err == nil {
			t.Errorf("%q is accepted: %v", s, got)
		}
	}
}
