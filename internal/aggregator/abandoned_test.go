package aggregator

import (
	"testing"
	"time"
)

// A request whose client has disconnected before the loop handles it opens no query, and its ClientDisconnected event,
// which arrives later, has no effect.
func TestCore_ClientLeftBeforeItsRequestIsTaken(t *testing.T) {
	h := newHarness(t)
	request := h.newRequest("q", 0)
	request.Parts = []PartSpec{{Shard: 0, Weight: 1}}
	request.Disconnected = func(time.Time) bool { return true }
	h.turn(RequestArrived{Request: request})
	h.turn(ClientDisconnected{Request: request})
	if len(h.attempts) > 0 || len(h.answers["q"]) > 0 || h.core.OpenQueries() > 0 {
		t.Errorf("%d attempts sent, answers %v, %d open queries", len(h.attempts), h.answers["q"], h.core.OpenQueries())
	}
	if counters := h.core.Counters; counters.Received != 1 || counters.Disconnected != 1 {
		t.Errorf("%v", counters)
	}
}

// An attempt that was passed to the backend and is not written yet must not start once its answer is not needed: the
// backend checks this before it writes.
func TestCore_UnwrittenAttemptIsAbandoned(t *testing.T) {
	disconnected := false
	for name, end := range map[string]func(h *harness, request *Request){
		"client disconnected, not reported yet": func(*harness, *Request) { disconnected = true },
		"client disconnected": func(h *harness, request *Request) {
			h.turn(ClientDisconnected{Request: request})
		},
		"deadline":  func(h *harness, _ *Request) { h.advance(timeout) },
		"timed out": func(h *harness, _ *Request) { h.core.cancel(h.core.attempts[h.attempts[0].Attempt]) },
		"answered": func(h *harness, _ *Request) {
			h.turn(AttemptEnded{Attempt: h.attempts[0].Attempt, Value: "value"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			disconnected = false
			h := newHarness(t)
			request := h.newRequest("q", 0)
			request.Parts = []PartSpec{{Shard: 0, Weight: 1}}
			request.Disconnected = func(time.Time) bool { return disconnected }
			h.turn(RequestArrived{Request: request})
			if len(h.attempts) != 1 || h.attempts[0].Abandoned(h.now) {
				t.Fatalf("%d attempts sent, want one that may start", len(h.attempts))
			}
			end(h, request)
			if !h.attempts[0].Abandoned(h.now) {
				t.Error("the attempt may still start")
			}
		})
	}
}

// Attempts of the first step that are not written when the second step starts are abandoned.
func TestCore_FirstStepIsAbandonedInTheSecond(t *testing.T) {
	h := newHarness(t)
	h.request("q", 2, 4)
	first := h.attempts
	for _, attempt := range first[:3] {
		h.turn(AttemptEnded{Attempt: attempt.Attempt, Value: "value"})
	}
	for range 100 { // until three of four parts are enough
		h.advance(50 * time.Millisecond)
	}
	if h.core.Counters.FollowUps != 1 {
		t.Fatalf("%d second steps", h.core.Counters.FollowUps)
	}
	if !first[3].Abandoned(h.now) {
		t.Error("an attempt of the first step may start in the second")
	}
}
