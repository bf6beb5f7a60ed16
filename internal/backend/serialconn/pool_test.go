package serialconn

import (
	"errors"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
)

// fuzzStep is one step of FuzzPool. pick selects a variant of the step; f and a are the transport and the attempt that it
// selects, nil if there is none.
type fuzzStep func(h *harness, pick int, f *fakeTransport, a *attemptModel)

// fuzzSteps are indexed by the last decimal digit of an input byte; pick is the byte divided by 10.
var fuzzSteps = [10]fuzzStep{
	0: stepSend,
	1: stepCancel,
	2: stepDialDone,
	3: stepDialRefused,
	4: stepSettle,
	5: stepEnd,
	6: stepAnswer,
	7: stepDrain,
	8: stepSweep,
	9: stepGreeted,
}

func stepSend(h *harness, _ int, _ *fakeTransport, _ *attemptModel) {
	if !h.draining { // the core sends no new attempts to a draining server
		h.send()
	}
}

func stepCancel(h *harness, _ int, _ *fakeTransport, a *attemptModel) {
	if a != nil {
		a.canceled = true
		h.pool.Cancel(h.now, a.id, true)
		h.runTurn()
	}
}

func stepDialDone(h *harness, _ int, _ *fakeTransport, a *attemptModel) {
	if a != nil {
		h.finishDial(a, nil)
	}
}

func stepDialRefused(h *harness, _ int, _ *fakeTransport, a *attemptModel) {
	if a != nil {
		h.finishDial(a, errors.New("refused"))
	}
}

func stepSettle(h *harness, _ int, f *fakeTransport, _ *attemptModel) {
	if f != nil {
		f.settle(tcp.WriteComplete)
		h.runTurn()
	}
}

func stepEnd(h *harness, pick int, f *fakeTransport, _ *attemptModel) {
	if f != nil {
		f.end(tcp.WriteResult(pick % 3))
		h.runTurn()
	}
}

func stepAnswer(h *harness, pick int, f *fakeTransport, _ *attemptModel) {
	if f == nil || f.closed {
		return
	}
	reply := Reply{Value: "v", Close: pick%2 == 1, Request: "another request"}
	if pick%3 != 2 {
		for _, a := range h.sent {
			if a.transport == f && a.endCount == 0 {
				a.answered = true
				reply.Request = a.name
			}
		}
	}
	received := dataReceived{conn: f.conn, replies: []Reply{reply}, partial: pick%5 == 4}
	if pick%7 == 6 { // a second copy
		received.replies = append(received.replies, reply)
	}
	h.post(received)
}

func stepDrain(h *harness, _ int, _ *fakeTransport, _ *attemptModel) { h.draining = !h.draining }

func stepSweep(h *harness, _ int, _ *fakeTransport, _ *attemptModel) {
	h.now = h.now.Add(2 * time.Second)
	events, _ := h.pool.Sweep(h.now)
	h.check(events)
	h.runTurn()
}

func stepGreeted(h *harness, _ int, f *fakeTransport, _ *attemptModel) {
	if f != nil && !f.closed {
		h.post(dataReceived{conn: f.conn, replies: []Reply{{Greeting: true}}})
	}
}

// Whatever the order of events, each attempt ends exactly once, with a possible result: see harness.checkEnd.
func FuzzPool(f *testing.F) {
	f.Add(false, []byte{0, 2, 4, 6, 0, 4, 6})       // two attempts succeed on the same connection
	f.Add(true, []byte{0, 2, 9, 4, 4, 5})           // greeting answered, then connection broken
	f.Add(true, []byte{0, 2, 8, 8, 0, 3})           // greeting not answered; connection refused
	f.Add(false, []byte{0, 1, 2, 0, 2, 1, 4, 6})    // canceled before and after it was written
	f.Add(false, []byte{0, 7, 2, 7, 0, 2, 4, 6, 8}) // server drains during the dial
	f.Add(false, []byte{0, 2, 15, 0, 2, 25, 0, 2, 4, 5})
	f.Fuzz(func(t *testing.T, greets bool, steps []byte) {
		h := newHarness(t)
		h.hasGreeting = greets
		for _, step := range steps[:min(len(steps), 200)] {
			pick := int(step) / 10
			var transport *fakeTransport
			if n := len(h.transports); n > 0 {
				transport = h.transports[n-1-pick%n]
			}
			var attempt *attemptModel
			if n := len(h.sent); n > 0 {
				attempt = h.sent[n-1-pick%n]
			}
			fuzzSteps[step%10](h, pick, transport, attempt)
		}
		h.finish()
	})
}

// Bytes that were read from an idle connection, but that the pool has not handled yet, would be taken for the beginning of
// the answer to the next request.
func TestPool_UnhandledBytesOnIdleConnection(t *testing.T) {
	h := newHarness(t)
	h.send()
	h.finishDial(h.sent[0], nil)
	first := h.transports[0]
	first.settle(tcp.WriteComplete)
	h.sent[0].answered = true
	h.post(dataReceived{conn: first.conn, replies: []Reply{{Value: "v", Request: h.sent[0].name}}})
	first.conn.reads.Add(1) // as replyReader does before it posts its message
	h.send()
	h.finishDial(h.sent[1], nil)
	if !first.closed || len(h.transports) != 2 || h.sent[1].transport != h.transports[1] {
		t.Errorf("closed: %v; the next request was sent on the same connection: %v", first.closed, h.sent[1].transport == first)
	}
	h.finish()
}
