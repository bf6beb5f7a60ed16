// Package httpcheck is the HTTP health check as common balancers make it: which status and body are good, which
// status means drain, and the headers by which Envoy's active checks tell degraded and immediate failure
// (x-envoy-degraded, x-envoy-immediate-health-check-fail, after Envoy's public documentation).
package httpcheck

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Headers that tell more than the status.
const (
	DegradedHeader  = "X-Envoy-Degraded"
	ImmediateHeader = "X-Envoy-Immediate-Health-Check-Fail"
)

// Range of statuses, both ends included.
type Range struct{ From, To int }

// ParseRanges reads statuses as "200-299,304".
func ParseRanges(text string) (list []Range, err error) {
	for _, one := range strings.Split(text, ",") {
		from, to, both := strings.Cut(strings.TrimSpace(one), "-")
		if !both {
			to = from
		}
		r := Range{}
		if r.From, err = strconv.Atoi(from); err == nil {
			r.To, err = strconv.Atoi(to)
		}
		if err != nil || r.From < 100 || r.To > 599 || r.From > r.To {
			return nil, fmt.Errorf("statuses %q: each is 100 to 599, or a range of these as 200-299", one)
		}
		list = append(list, r)
	}
	return list, nil
}

// String prints ranges as they are read.
func (r Range) String() string {
	if r.From == r.To {
		return strconv.Itoa(r.From)
	}
	return fmt.Sprintf("%d-%d", r.From, r.To)
}

// In says whether a status is in one of the ranges.
func In(list []Range, status int) bool {
	for _, r := range list {
		if status >= r.From && status <= r.To {
			return true
		}
	}
	return false
}

// Expect is what an answer is held against.
type Expect struct {
	Status []Range
	Drain  []Range        // these mean drain, even if they are in Status
	Body   string         // must stand in the body
	Match  *regexp.Regexp // must match it
}

// Verdict is what an answer says.
type Verdict struct {
	Good     bool
	Drain    bool
	Degraded bool
	AtOnce   bool // not good, and at once: no further check is waited for
	Why      string
}

// Judge holds an answer against what is expected. header returns a field's value, empty if it is not there.
func (e *Expect) Judge(status int, header func(name string) string, body []byte) Verdict {
	v := Verdict{Degraded: said(header(DegradedHeader))}
	switch {
	case In(e.Drain, status):
		v.Drain, v.Good, v.Why = true, true, fmt.Sprintf("status %d", status)
	case said(header(ImmediateHeader)):
		v.AtOnce, v.Why = true, "immediate failure told"
	case !In(e.Status, status):
		v.Why = fmt.Sprintf("status %d", status)
	case e.Body != "" && !strings.Contains(string(body), e.Body):
		v.Why = "the body lacks " + strconv.Quote(e.Body)
	case e.Match != nil && !e.Match.Match(body):
		v.Why = "the body does not match"
	default:
		v.Good = true
	}
	return v
}

// said: the header is there, and does not say no. Its value does not matter to Envoy beyond that.
func said(v string) bool { return v != "" && !strings.EqualFold(v, "false") && v != "0" }
