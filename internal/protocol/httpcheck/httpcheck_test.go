package httpcheck

import (
	"net/http"
	"regexp"
	"testing"
)

func TestJudge(t *testing.T) {
	ranges := func(text string) []Range {
		r, err := ParseRanges(text)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	e := &Expect{Status: ranges("200-299, 301,404"), Drain: ranges("404"), Body: "fine", Match: regexp.MustCompile(`^all`)}
	for _, c := range []struct {
		status int
		head   http.Header
		body   string
		want   Verdict
	}{
		{200, nil, "all fine", Verdict{Good: true}},
		{301, http.Header{DegradedHeader: {"1"}}, "all fine", Verdict{Good: true, Degraded: true}},
		{200, http.Header{DegradedHeader: {"false"}}, "all fine", Verdict{Good: true}},
		{404, nil, "", Verdict{Good: true, Drain: true, Why: "status 404"}},
		{500, nil, "all fine", Verdict{Why: "status 500"}},
		{302, nil, "all fine", Verdict{Why: "status 302"}},
		{200, nil, "all", Verdict{Why: `the body lacks "fine"`}},
		{200, nil, "fine, all", Verdict{Why: "the body does not match"}},
		{200, http.Header{ImmediateHeader: {"true"}}, "all fine", Verdict{AtOnce: true, Why: "immediate failure told"}},
	} {
		if got := e.Judge(c.status, c.head.Get, []byte(c.body)); got != c.want {
			t.Errorf("%d %v %q: %+v", c.status, c.head, c.body, got)
		}
	}
}

// Ranges read back as they print; none reaches beyond the statuses.
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

func TestBadRanges(t *testing.T) {
	for _, s := range []string{"", "299-200", "99", "600", "200-", "abc", "200,,300"} {
		if got, err := ParseRanges(s); err == nil {
			t.Errorf("%q: %v", s, got)
		}
	}
}
