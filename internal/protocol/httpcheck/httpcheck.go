// Package httpcheck evaluates HTTP health checks as common load balancers do: by the status and the body of the
// response, by statuses that mean draining, and by the headers that report a degraded server or an immediate failure to
// Envoy's active health checks, as described in Envoy's public documentation.
package httpcheck

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Headers of a response that report more than its status.
const (
	DegradedHeader  = "X-Envoy-Degraded"
	ImmediateHeader = "X-Envoy-Immediate-Health-Check-Fail"
)

// Bounds of valid statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// Range is an inclusive range of statuses.
type Range struct{ From, To int }

// ParseRanges parses a comma-separated list of statuses and ranges, such as "200-299,304".
func ParseRanges(text string) ([]Range, error) {
	var ranges []Range
	for _, element := range strings.Split(text, ",") {
		r, err := parseRange(strings.TrimSpace(element))
		if err != nil || r.From < minStatus || r.To > maxStatus || r.From > r.To {
			return nil, fmt.Errorf("status %q: must be %d to %d, or a range such as 200-299",
				element, minStatus, maxStatus)
		}
		ranges = append(ranges, r)
	}
	return ranges, nil
}

// parseRange parses one status or range. It does not check the bounds.
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

// String formats the range in the syntax of ParseRanges.
func (r Range) String() string {
	if r.From == r.To {
		return strconv.Itoa(r.From)
	}
	return fmt.Sprintf("%d-%d", r.From, r.To)
}

// containsStatus reports whether a status is in one of the ranges.
func containsStatus(ranges []Range, status int) bool {
	for _, r := range ranges {
		if status >= r.From && status <= r.To {
			return true
		}
	}
	return false
}

// Expect describes the response of a healthy server.
type Expect struct {
	Status []Range
	Drain  []Range        // statuses that mean draining, also if they are in Status
	Body   string         // text that the body must contain; empty: not checked
	Match  *regexp.Regexp // expression that the body must match; nil: not checked
}

// Result is the result of a check.
type Result struct {
	Healthy   bool
	Drain     bool // the server is healthy and draining
	Degraded  bool
	Immediate bool   // the server is unhealthy at once, without the otherwise required number of consecutive failures
	Reason    string // why the server is unhealthy or draining
}

// Evaluate checks a response against the expectation. header returns the value of a field, empty if it is absent.
func (e *Expect) Evaluate(status int, header func(name string) string, body []byte) Result {
	result := Result{Degraded: isSet(header(DegradedHeader))}
	switch {
	case containsStatus(e.Drain, status):
		result.Healthy = true
		result.Drain = true
		result.Reason = fmt.Sprintf("status %d", status)
	case isSet(header(ImmediateHeader)):
		result.Immediate = true
		result.Reason = "immediate failure told"
	case !containsStatus(e.Status, status):
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

// isSet reports whether a header is present with a value other than "false" or "0". Envoy ignores the value otherwise.
func isSet(value string) bool {
	return value != "" && !strings.EqualFold(value, "false") && value != "0"
}
