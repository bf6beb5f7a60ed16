package aggregator

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"rooktrestle/balance"
)

// What counters cannot explain stands in the trace, with ids and reasons; what went well does not.
func TestTrace(t *testing.T) {
	h := newHarness(t)
	h.request("served", 0, 1)
	h.turn(AttemptEnded{Attempt: h.calls[0].Attempt, Value: "value"})
	h.request("failed", 1, 1)
	h.turn(AttemptEnded{
		Attempt: h.calls[1].Attempt,
		Err:     &AttemptError{Progress: Written, Cause: errors.New("the connection broke")},
	})
	left := h.request("left", 0, 1)
	h.turn(ClientDisconnected{Request: left})
	h.request("late", 0, 1)
	h.advance(timeout)
	h.turn(changeOf(Server{ID: "a", Addr: "a:1", State: balance.Draining}))
	h.maintain("b", true)
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
	for i := range 2 * traceEntries {
		h.turn(changeOf(Server{ID: balance.Replica(fmt.Sprint("s", i))}))
	}
	lines := strings.Split(strings.TrimSpace(h.core.Trace()), "\n")
	first, last := lines[0], lines[len(lines)-1]
	if len(lines) != traceEntries || !strings.Contains(first, fmt.Sprint("s", traceEntries)) ||
		!strings.Contains(last, fmt.Sprint("s", 2*traceEntries-1)) {
		t.Errorf("%d lines, from %q to %q", len(lines), first, last)
	}
}
