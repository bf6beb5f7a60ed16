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
	for _, a := range h.sent {
		if a.transport == f && a.endCount == 0 {
			a.answered = true
		}
	}
	h.post(replyReceived{conn: f.conn, reply: Reply{Value: "v", Close: pick%2 == 1}})
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
		h.post(replyReceived{conn: f.conn, reply: Reply{Greeting: true}})
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
