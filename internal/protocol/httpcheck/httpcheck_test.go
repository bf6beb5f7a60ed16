package httpcheck

import (
	"net/http"
	"regexp"
	"testing"
)

func parseRanges(t *testing.T, text string) []Range {
	t.Helper()
	ranges, err := ParseRanges(text)
	if err != nil {
		t.Fatal(err)
	}
	return ranges
}

func TestExpect_Evaluate(t *testing.T) {
	expect := &Expect{
		Status: parseRanges(t, "200-299, 301,404"),
		Drain:  parseRanges(t, "404"),
		Body:   "fine",
		Match:  regexp.MustCompile(`^all`),
	}
	for _, test := range []struct {
		name   string
		status int
		header http.Header
		body   string
		want   Result
	}{
		{
			name: "healthy", status: 200, body: "all fine",
			want: Result{Healthy: true},
		},
		{
			name: "degraded", status: 301, body: "all fine",
			header: http.Header{DegradedHeader: {"1"}},
			want:   Result{Healthy: true, Degraded: true},
		},
		{
			name: "not degraded, as the header is false", status: 200, body: "all fine",
			header: http.Header{DegradedHeader: {"false"}},
			want:   Result{Healthy: true},
		},
		{
			name: "draining, regardless of the body", status: 404,
			want: Result{Healthy: true, Drain: true, Reason: "status 404"},
		},
		{
			name: "an error status", status: 500, body: "all fine",
			want: Result{Reason: "status 500"},
		},
		{
			name: "a status that is not expected", status: 302, body: "all fine",
			want: Result{Reason: "status 302"},
		},
		{
			name: "the body lacks the text", status: 200, body: "all",
			want: Result{Reason: `the body lacks "fine"`},
		},
		{
			name: "the body does not match", status: 200, body: "fine, all",
			want: Result{Reason: "the body does not match"},
		},
		{
			name: "an immediate failure", status: 200, body: "all fine",
			header: http.Header{ImmediateHeader: {"true"}},
			want:   Result{Immediate: true, Reason: "immediate failure told"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := expect.Evaluate(test.status, test.header.Get, []byte(test.body)); got != test.want {
				t.Errorf("%d %v %q: %+v, want %+v", test.status, test.header, test.body, got, test.want)
			}
		})
	}
}

// FuzzRanges checks that formatted ranges parse back to the same ranges, and that all bounds are valid statuses.
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
			if err != nil || len(again) != 1 || again[0] != r || r.From < 100 || r.To > 599 ||
				!containsStatus(list, r.From) {
				t.Fatalf("%q: %v formatted and parsed: %v, %v", text, r, again, err)
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
