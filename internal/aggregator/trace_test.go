package aggregator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"rooktrestle/balance"
)

// The trace contains requests that were not served, failed attempts and changes of servers, with ids and reasons; it
// does not contain what succeeded.
func TestTrace(t *testing.T) {
	h := newHarness(t)
	h.request("served", 0, 1)
	h.turn(AttemptEnded{Attempt: h.attempts[0].Attempt, Value: "value"})
	h.request("failed", 1, 1)
	h.turn(AttemptEnded{
		Attempt: h.attempts[1].Attempt,
		Err:     &AttemptError{Progress: Written, Cause: errors.New("the connection broke")},
	})
	left := h.request("left", 0, 1)
	h.turn(ClientDisconnected{Request: left})
	h.request("late", 0, 1)
	h.advance(timeout)
	h.turn(endpointChange(Server{ID: "a", Addr: "a:1", State: balance.Draining}))
	h.setDetached("b", true)
	text := h.core.Trace()
	for _, want := range []string{
		"part failed.0 server ",
		"reset: ",
		"the connection broke",
		"request failed class 1: failed: " + reasonDecided,
		"request left class 0: client left: " + reasonDisconnected,
		"request late class 0: ",
		"server a: listed in service",
		"server a: listed as draining",
		"server b: taken out by an operator",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in the trace:\n%s", want, text)
		}
	}
	if strings.Contains(text, "served") {
		t.Errorf("a query that was served is in the trace:\n%s", text)
	}
}

func TestTrace_KeepsTheLast(t *testing.T) {
	h := newHarness(t)
	for i := range 2 * traceCapacity {
		h.turn(endpointChange(Server{ID: balance.Replica(fmt.Sprint("s", i))}))
	}
	lines := strings.Split(strings.TrimSpace(h.core.Trace()), "\n")
	first, last := lines[0], lines[len(lines)-1]
	if len(lines) != traceCapacity || !strings.Contains(first, fmt.Sprint("s", traceCapacity)) ||
		!strings.Contains(last, fmt.Sprint("s", 2*traceCapacity-1)) {
		t.Errorf("%d lines, from %q to %q", len(lines), first, last)
	}
}
