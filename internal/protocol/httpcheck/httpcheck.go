// Package httpcheck evaluates HTTP health checks as common load balancers do: by the status and the body of the response,
// by statuses that mean draining, and by the headers in which Envoy's active health checks are told of a degraded server
// and of an immediate failure, after Envoy's public documentation.
package httpcheck

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Headers of a response that say more than its status.
const (
	DegradedHeader  = "X-Envoy-Degraded"
	ImmediateHeader = "X-Envoy-Immediate-Health-Check-Fail"
)

// Lowest and highest status.
const (
	minStatus = 100
	maxStatus = 599
)

// Range is a range of statuses, both ends included.
type Range struct{ From, To int }

// ParseRanges parses a list of statuses and ranges, such as "200-299,304".
func ParseRanges(text string) ([]Range, error) {
	var ranges []Range
	for _, element := range strings.Split(text, ",") {
		r, err := parseRange(strings.TrimSpace(element))
		if err != nil || r.From < minStatus || r.To > maxStatus || r.From > r.To {
			return nil, fmt.Errorf("statuses %q: each is %d to %d, or a range of these as 200-299",
				element, minStatus, maxStatus)
		}
		ranges = append(ranges, r)
	}
	return ranges, nil
}

// parseRange parses one status or range, whatever its bounds are.
func parseRange(text string) (r Range, err error) {
	from, to, isRange := strings.Cut(text, "-")
	if !isRange {
		to = from
	}
	if r.From, err = strconv.Atoi(from); err != nil {
		return r, err
	}
	r.To, err = strconv.Atoi(to)
	return r, err
}

// String prints the range as ParseRanges parses it.
func (r Range) String() string {
	if r.From == r.To {
		return strconv.Itoa(r.From)
	}
	return fmt.Sprintf("%d-%d", r.From, r.To)
}

// In returns whether a status is in one of the ranges.
func In(ranges []Range, status int) bool {
	for _, r := range ranges {
		if status >= r.From && status <= r.To {
			return true
		}
	}
	return false
}

// Expect is what a healthy server responds.
type Expect struct {
	Status []Range
	Drain  []Range        // statuses that mean draining, also if they are in Status
	Body   string         // that the body contains; empty: not checked
	Match  *regexp.Regexp // that the body matches; nil: not checked
}

// Result is the result of a check.
type Result struct {
	Healthy   bool
	Drain     bool // the server is healthy and draining
	Degraded  bool
	Immediate bool   // it is unhealthy at once, without the failures in a row that are needed otherwise
	Reason    string // why it is unhealthy, or draining
}

// Judge evaluates a response. header returns the value of a field, empty if it is absent.
func (e *Expect) Judge(status int, header func(name string) string, body []byte) Result {
	result := Result{Degraded: isSet(header(DegradedHeader))}
	switch {
	case In(e.Drain, status):
		result.Healthy = true
		result.Drain = true
		result.Reason = fmt.Sprintf("status %d", status)
	case isSet(header(ImmediateHeader)):
		result.Immediate = true
		result.Reason = "immediate failure told"
	case !In(e.Status, status):
		result.Reason = fmt.Sprintf("status %d", status)
	case e.Body != "" && !strings.Contains(string(body), e.Body):
		result.Reason = "the body lacks " + strconv.Quote(e.Body)
	case e.Match != nil && !e.Match.Match(body):
		result.Reason = "the body does not match"
	default:
		result.Healthy = true
	}
	return result
}

// isSet returns whether a header is present and does not say no. Beyond that its value does not matter to Envoy.
func isSet(value string) bool {
	return value != "" && !strings.EqualFold(value, "false") && value != "0"
}
