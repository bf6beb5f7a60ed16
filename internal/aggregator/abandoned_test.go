package aggregator

import (
	"testing"
	"time"
)

// A request whose client has gone away by the time that the loop takes it opens no query: its disconnect, which comes
// later, finds nothing.
func TestCore_ClientLeftBeforeItsRequestIsTaken(t *testing.T) {
	h := newHarness(t)
	request := h.newRequest("q", 0)
	request.Parts = []PartSpec{{Shard: 0, Weight: 1}}
	request.Disconnected = func(time.Time) bool { return true }
	h.turn(RequestArrived{Request: request})
	h.turn(ClientDisconnected{Request: request})
	if len(h.calls) > 0 || len(h.answers["q"]) > 0 || h.core.OpenQueries() > 0 {
		t.Errorf("%d calls, answers %v, %d open", len(h.calls), h.answers["q"], h.core.OpenQueries())
	}
	if counters := h.core.Counters; counters.Received != 1 || counters.Disconnected != 1 {
		t.Errorf("%v", counters)
	}
}

// What was handed to the backend and is not written yet must not begin once it is of no use: the backend asks.
func TestCore_UnwrittenAttemptIsAbandoned(t *testing.T) {
	left := false
	for name, end := range map[string]func(h *harness, request *Request){
		"client left, not reported yet": func(*harness, *Request) { left = true },
		"client disconnected": func(h *harness, request *Request) {
			h.turn(ClientDisconnected{Request: request})
		},
		"deadline":  func(h *harness, _ *Request) { h.advance(timeout) },
		"timed out": func(h *harness, _ *Request) { h.core.cancel(h.core.attempts[h.calls[0].Attempt]) },
		"answered": func(h *harness, _ *Request) {
			h.turn(AttemptEnded{Attempt: h.calls[0].Attempt, Value: "value"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			left = false
			h := newHarness(t)
			request := h.newRequest("q", 0)
			request.Parts = []PartSpec{{Shard: 0, Weight: 1}}
			request.Disconnected = func(time.Time) bool { return left }
			h.turn(RequestArrived{Request: request})
			if len(h.calls) != 1 || h.calls[0].Abandoned(h.now) {
				t.Fatalf("%d calls, of which the first may begin", len(h.calls))
			}
			end(h, request)
			if !h.calls[0].Abandoned(h.now) {
				t.Error("the attempt may still begin")
			}
		})
	}
}

// Parts of the first step that are not written when the second begins are over.
func TestCore_FirstStepIsAbandonedInTheSecond(t *testing.T) {
	h := newHarness(t)
	h.request("q", 2, 4)
	first := h.calls
	for _, call := range first[:3] {
		h.turn(AttemptEnded{Attempt: call.Attempt, Value: "value"})
	}
	for range 100 { // until three of four parts are enough
		h.advance(50 * time.Millisecond)
	}
	if h.core.Counters.FollowUps != 1 {
		t.Fatalf("%d second steps", h.core.Counters.FollowUps)
	}
	if !first[3].Abandoned(h.now) {
		t.Error("a part of the first step may begin in the second")
	}
}
