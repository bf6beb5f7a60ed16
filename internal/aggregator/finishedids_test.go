package aggregator

import (
	"testing"
	"time"
)

// A request whose id may have run is rejected for some time, whoever sends it: its client has left and sends it again, or
// the same id stands in what it sent before. Guards against a correction that runs twice, under the same part names.
func TestCore_RequestIDThatMayHaveRun_IsRejected(t *testing.T) {
	h := newHarness(t)
	first := h.request("id", 1, 1)
	if len(h.attempts) != 1 {
		t.Fatalf("%d attempts", len(h.attempts))
	}
	h.turn(ClientDisconnected{Request: first})
	h.request("id", 1, 1) // the attempt is still in flight
	h.endAll(nil)
	for _, elapsed := range []time.Duration{0, timeout, finishedIDWindow - timeout} {
		h.advance(elapsed)
		h.request("id", 1, 1)
	}
	if len(h.attempts) != 0 {
		t.Errorf("%d attempts of an id that has run", len(h.attempts))
	}
	for _, answer := range h.answers["id"] {
		if answer.Status != StatusRejected {
			t.Errorf("answer: %+v", answer)
		}
	}
	if n := len(h.answers["id"]); n != 4 {
		t.Errorf("%d answers, want 4", n)
	}
	h.advance(2 * finishedIDWindow)
	h.request("id", 1, 1)
	if len(h.attempts) != 1 {
		t.Error("the id is still rejected long after")
	}
}

// A request of which no part has run may come again under its id: after a close that crossed it, its client sends it once
// more.
func TestCore_RequestIDThatNeverRan_IsAccepted(t *testing.T) {
	h := newHarness(t)
	first := h.request("id", 1, 1)
	h.turn(ClientDisconnected{Request: first})
	h.endAll(&AttemptError{Progress: NotConnected})
	h.request("id", 1, 1)
	if len(h.attempts) != 1 {
		t.Errorf("%d attempts of an id that never ran", len(h.attempts))
	}
}
