package leaf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

// An invalid frame is rejected as soon as the bytes received show it, without waiting for its end.
func TestParser_RejectsInvalidPrefix(t *testing.T) {
	for name, text := range map[string]string{
		"empty frame":                "\x00\x00\x00\x00",
		"length over 1 GB":           "\xc0",
		"length over 64 KB":          "\x00\x01",
		"length over the maximum":    "\x00\x00\x10\x01",
		"value longer than a value":  "\x00\x00\x00\x405q.0 S 1 -\n",
		"unknown type":               "\x00\x00\x00\x108",
		"value shorter than a value": "\x00\x00\x00\x0e5q.0 S 1 -\nabc",
		"answer's line does not end": "\x00\x00\x00\x085q.0 S 1",
		"unknown status":             "\x00\x00\x00\x205q.0 Q 1 -\n",
		"answer's line is too long":  "\x00\x00\x0f\x005" + strings.Repeat("x", maxAnswerLineLen+1),
	} {
		var p Parser
		p.Feed([]byte(text))
		if _, _, err := p.Next(); err == nil {
			t.Errorf("%s: %q was accepted", name, text)
		}
	}
}

func TestParseAnswer_RejectsInvalid(t *testing.T) {
	for _, payload := range []string{
		"q.0 S 1 -\n5be2a07c19f04d6",
		"q.0 S 1 -\n5be2a07c19f04d6Z",
		"q.0 S NaN -\n" + validValue,
	} {
		if _, err := parseAnswer([]byte(payload)); err == nil {
			t.Errorf("%q was accepted", payload)
		}
	}
}

// An answer whose report is missing or cannot be parsed is valid, and has no report.
func TestParseAnswer_IgnoresInvalidReport(t *testing.T) {
	for _, report := range []string{"", " ", " \xff\xfe queue = none", " queue=-4", " queue=1e300"} {
		a, err := parseAnswer([]byte("q.0 S 1" + report + "\n" + validValue))
		if err != nil || a.value != validValue || a.report != nil {
			t.Errorf("%q: %v, %+v", report, err, a.report)
		}
	}
}

// Reports name their values as the settings or as the protocol's specification do; both namings are parsed.
func TestParseReport_BothNamings(t *testing.T) {
	for _, text := range []string{"pending=2.5,busy_reqs=7,cpu_share=0.61", "queue=2.5,inflight=7,util=0.61,else=1"} {
		if r := parseReport(text); r == nil || *r != (balance.LoadReport{Queue: 2.5, InFlight: 7, Utilization: 0.61}) {
			t.Errorf("%s: %+v", text, r)
		}
	}
	for _, text := range []string{"-", "", "E"} {
		if r := parseReport(text); r != nil {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// The frames decoded from a stream do not depend on how it is divided into reads.
func FuzzParser(f *testing.F) {
	f.Add(AppendFrame(AppendFrame(nil, '5', []byte("q.1 S 1 -\nx")), '4', []byte("-")), 3, 9)
	f.Add([]byte("\x00\x00\x00\x01\x35\xff\xff\xff\xff"), 1, 6)
	f.Fuzz(func(t *testing.T, b []byte, x, y int) {
		if complete, divided := parseDivided(b), parseDivided(b, x, y); complete != divided {
			t.Fatalf("%s, divided: %s", complete, divided)
		}
	})
}

// parseDivided feeds b to a parser in pieces that end at cuts, and prints the decoded frames.
func parseDivided(b []byte, cuts ...int) string {
	var p Parser
	printed, from := "", 0
	for _, to := range append(cuts, len(b)) {
		if to < from || to > len(b) {
			continue
		}
		p.Feed(b[from:to])
		for from = to; ; {
			f, ok, err := p.Next()
			if err != nil {
				return printed + " invalid"
			}
			if !ok {
				break
			}
			printed += fmt.Sprintf("%c%q ", f.Type, f.Payload)
		}
	}
	return printed
}

// The time to the deadline that a call states is computed when the call is written. Each part of a keyed class has its
// query's idempotency key, without which a repeat would run again. If any part of a call is expired or
// abandoned by then, the call has no frame, and none of its parts is sent.
func TestSendableFrame(t *testing.T) {
	deadline := testStart.Add(time.Second)
	valid := aggregator.OutgoingAttempt{Name: "q.1", Shard: 1, Deadline: deadline, Payload: "x"}
	abandoned := valid
	abandoned.Abandoned = func(time.Time) bool { return true }
	keyed := valid
	keyed.IdempotencyKey = "5c0f"
	keyedFollowUp := keyed
	keyedFollowUp.FollowUp = true
	keyedFollowUp.FirstStepShards = []int{1, 3}
	outsideWindow := valid
	outsideWindow.WriteBy = testStart
	for name, test := range map[string]struct {
		now      time.Time
		attempts []aggregator.OutgoingAttempt
		want     string // in the frame; empty: there is none
	}{
		"at once":           {testStart, []aggregator.OutgoingAttempt{valid}, " d=1000 "},
		"delayed":           {testStart.Add(150 * time.Millisecond), []aggregator.OutgoingAttempt{valid}, " d=850 "},
		"keyed":             {testStart, []aggregator.OutgoingAttempt{keyed}, " d=1000,k=5c0f "},
		"keyed follow-up":   {testStart, []aggregator.OutgoingAttempt{keyedFollowUp}, " d=1000,k=5c0f,from=1+3,whole=0 "},
		"at the deadline":   {deadline, []aggregator.OutgoingAttempt{valid}, ""},
		"abandoned":         {testStart, []aggregator.OutgoingAttempt{abandoned}, ""},
		"with an abandoned": {testStart, []aggregator.OutgoingAttempt{valid, abandoned}, ""},
		"outside a window":  {testStart, []aggregator.OutgoingAttempt{outsideWindow}, ""},
	} {
		frame := string(sendableFrame(test.now, test.attempts))
		if (frame == "") != (test.want == "") || !strings.Contains(frame, test.want) {
			t.Errorf("%s: %q, want %q", name, frame, test.want)
		}
	}
}
