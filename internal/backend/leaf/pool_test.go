package leaf

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
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
	7: stepReceive,
	8: stepSweep,
	9: stepDrain,
}

func stepSend(h *harness, _ int, _ *fakeTransport, _ *attemptModel) {
	if !h.draining { // the core sends no new attempts to a draining server
		h.send()
	}
}

func stepCancel(h *harness, pick int, _ *fakeTransport, a *attemptModel) {
	if a != nil {
		h.cancel(a, pick%3 > 0)
	}
}

func stepDialDone(h *harness, _ int, _ *fakeTransport, _ *attemptModel) { h.finishDial(nil) }

func stepDialRefused(h *harness, _ int, _ *fakeTransport, _ *attemptModel) {
	h.finishDial(errors.New("refused"))
}

func stepSettle(h *harness, pick int, f *fakeTransport, _ *attemptModel) {
	if f == nil {
		return
	}
	if pick%5 == 4 && len(f.writers) > 0 && f.writers[0] != nil {
		f.settle(tcp.WriteExpired)
	} else {
		f.settle(tcp.WriteComplete)
	}
	h.runTurn()
}

func stepEnd(h *harness, pick int, f *fakeTransport, _ *attemptModel) {
	if f == nil {
		return
	}
	if pick%4 == 3 {
		f.finishAbort()
	} else {
		f.end(tcp.WriteResult(pick % 4))
	}
	h.runTurn()
}

func stepAnswer(h *harness, pick int, _ *fakeTransport, a *attemptModel) {
	if a != nil && a.transport != nil && !a.transport.closed {
		h.answer(a.transport, a.name, "SEB"[pick%3])
	}
}

func stepReceive(h *harness, pick int, f *fakeTransport, _ *attemptModel) {
	if f == nil || f.closed {
		return
	}
	switch pick % 4 {
	case 0:
		h.answer(f, "q.unknown", 'S')
	case 1:
		h.post(framesReceived{conn: f.conn, err: errors.New("invalid bytes")})
	case 2:
		h.post(framesReceived{conn: f.conn, partial: true})
	case 3:
		h.confirmCancel(f)
	}
}

func stepSweep(h *harness, _ int, _ *fakeTransport, _ *attemptModel) {
	h.now = h.now.Add(2 * time.Second)
	events, _ := h.pool.Sweep(h.now)
	for _, e := range events {
		h.Put(e)
	}
	h.runTurn()
}

func stepDrain(h *harness, _ int, _ *fakeTransport, _ *attemptModel) { h.draining = !h.draining }

// Whatever the order of events, each attempt ends exactly once, with a possible result: see harness.checkEnd.
func FuzzPool(f *testing.F) {
	f.Add([]byte{0, 2, 4, 6})                         // served
	f.Add([]byte{0, 0, 0, 2, 2, 4, 4, 4, 5, 4})       // connection broken with three parts on it
	f.Add([]byte{0, 1, 2, 0, 2, 4, 1, 4, 6, 7})       // canceled before and after it was written
	f.Add([]byte{0, 2, 4, 6, 8, 8, 8, 8, 8, 8, 0, 0}) // near the idle timeout
	f.Add([]byte{0, 9, 2, 9, 0, 3, 3})                // server drains during the dial
	f.Add([]byte{0, 2, 15, 0, 2, 10, 0, 26, 4, 6})    // broken before the first byte
	f.Add([]byte{0, 2, 4, 1, 35, 0, 2})               // canceled with nothing received
	f.Add([]byte{0, 0, 2, 4, 4, 1, 4, 37, 11, 37, 8}) // the same with another part in flight, confirmed and not
	f.Add([]byte{0, 2, 44, 0, 4, 17, 35})             // not written in time; invalid bytes
	f.Fuzz(func(t *testing.T, steps []byte) {
		h := newHarness(t)
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

// A late answer to a canceled attempt must not be taken for the answer to the part's next attempt.
func TestPool_LateAnswerIsNotTakenForNextAttempt(t *testing.T) {
	h := newHarness(t)
	first, transport := h.sendWritten()
	h.cancel(first, false)
	transport.settle(tcp.WriteComplete)
	h.runTurn()
	retry := aggregator.OutgoingAttempt{
		Attempt:  aggregator.AttemptID{Part: 0, Number: 1},
		Name:     first.name,
		Deadline: h.now.Add(time.Second),
	}
	h.pool.Send(h.now, h.server(), []aggregator.OutgoingAttempt{retry})
	h.runTurn()
	if len(h.dials) != 1 || len(transport.writes) != 0 {
		t.Error("the part's next attempt was sent on the connection of the canceled one")
	}
}

func TestPool_InvalidFramesCloseConnection(t *testing.T) {
	for name, invalid := range map[string]Frame{
		"answer without a line":    {'5', []byte("no line")},
		"answer of unknown status": {'5', []byte("q.0 Z 1 -\nv")},
		"answer without a score":   {'5', []byte("q.0 S x -\nv")},
		"error":                    {'X', []byte("what?")},
		"unknown type":             {'9', nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a, transport := h.sendWritten()
			h.receive(transport, invalid)
			if a.endCount != 0 || transport.abortDone == nil {
				t.Errorf("%q: ended %d times before its connection was closed", invalid.Payload, a.endCount)
			}
			transport.finishAbort()
			h.runTurn()
			if a.endCount != 1 {
				t.Errorf("%q: ended %d times", invalid.Payload, a.endCount)
			}
		})
	}
}

// Invalid or unexpected bytes behind a valid answer close the connection, but do not affect that answer or the next part.
func TestPool_BytesBehindAnswerCloseConnection(t *testing.T) {
	valid := Frame{frameAnswer, []byte("q.0 S 7 queue=1\n" + validValue)}
	for name, m := range map[string]framesReceived{
		"invalid bytes":              {frames: []Frame{valid}, err: errors.New("invalid bytes")},
		"beginning of a frame":       {frames: []Frame{valid}, partial: true},
		"the same answer again":      {frames: []Frame{valid, valid}},
		"answer to a probe not sent": {frames: []Frame{valid, {frameLoad, []byte("-")}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			a, transport := h.sendWritten()
			a.answer = 'S'
			m.conn = transport.conn
			h.post(m)
			if a.endCount != 1 || !transport.closed {
				t.Errorf("ended %d times, closed %v", a.endCount, transport.closed)
			}
			if next := h.send(); next.transport == transport {
				t.Error("the next part was sent on the same connection")
			}
		})
	}
}

// An incomplete frame blocks the attempts in flight on its connection: after maxPartialFrameAge they end as ones that may
// have run.
func TestPool_IncompleteFrameClosesConnection(t *testing.T) {
	h := newHarness(t)
	a, transport := h.sendWritten()
	h.post(framesReceived{conn: transport.conn, partial: true})
	for _, after := range []time.Duration{0, maxPartialFrameAge} {
		h.now = h.now.Add(after)
		events, next := h.pool.Sweep(h.now)
		if len(events) > 0 {
			t.Errorf("%+v", events)
		}
		due := after > 0
		closing := transport.abortDone != nil
		if a.endCount != 0 || closing != due || !due && !next.Equal(h.now.Add(maxPartialFrameAge)) {
			t.Errorf("after %v: ended %d times, closing %v, next sweep at %v", after, a.endCount, closing, next)
		}
	}
	transport.finishAbort()
	h.runTurn()
	var e *aggregator.AttemptError
	if !errors.As(a.err, &e) || a.endCount != 1 {
		t.Fatalf("ended %d times: %v", a.endCount, a.err)
	}
	if e.Progress != aggregator.Written || !e.CorruptStream || e.Canceled {
		t.Errorf("ended with %v", a.err)
	}
}

// Parts use separate connections while few are open, so that one corrupt answer does not end the attempts of the others.
func TestPool_PartsSpreadOverConnections(t *testing.T) {
	h := newHarness(t)
	h.pool.limits.MaxConnections = 8
	first := h.send()
	h.finishDial(nil)
	second := h.send() // shares the connection, and another is dialed
	h.finishDial(nil)
	third := h.send()
	if first.transport != second.transport || third.transport == first.transport {
		t.Fatal("the third part shares a connection with the others")
	}
	for _, transport := range h.transports {
		transport.settle(tcp.WriteComplete)
	}
	h.post(framesReceived{conn: third.transport.conn, err: errors.New("invalid bytes")})
	third.transport.finishAbort()
	h.runTurn()
	if first.endCount+second.endCount != 0 || third.endCount != 1 {
		t.Error(first.endCount, second.endCount, third.endCount)
	}
}

// Eighty aggregators together must not exhaust a server's connection limit: each opens one, which its parts share.
func TestConnsPerServer_LargeFleetOpensOneConnection(t *testing.T) {
	if few, many := ConnsPerServer(3), ConnsPerServer(80); few != 8 || many != 1 {
		t.Fatalf("3 aggregators: %d connections each, 80 aggregators: %d", few, many)
	}
	h := newHarness(t)
	h.pool.limits.MaxConnections = 8
	h.pool.limits.MaxStreams = 100
	h.pool.limits.ConnsPerServer = ConnsPerServer(80)
	h.send()
	h.finishDial(nil)
	for range 20 {
		h.send()
	}
	if len(h.dials) != 0 || len(h.transports) != 1 {
		t.Fatalf("%d connections are open and %d are being dialed", len(h.transports), len(h.dials))
	}
}

// A probe whose connection is closed is sent again on another one: its server may still be reachable.
func TestPool_ProbeIsRetriedWhenConnectionEnds(t *testing.T) {
	h := newHarness(t)
	h.send()
	h.finishDial(nil)
	h.pool.Probe(h.now, h.server())
	h.transports[0].end(tcp.WriteComplete)
	h.runTurn()
	h.finishDial(nil)
	unhandled := h.mailbox
	h.mailbox = nil
	answer := framesReceived{
		conn:   h.transports[len(h.transports)-1].conn,
		frames: []Frame{{frameLoad, []byte("queue=2")}},
	}
	events, _ := h.pool.Handle(h.now, answer)
	if len(events) != 1 || events[0].(aggregator.ProbeEnded).Err != nil {
		t.Errorf("%+v %+v", unhandled, events)
	}
}

// Answers are matched to probes in the order in which these were sent, even if the first ones are overdue.
func TestPool_ProbeResults(t *testing.T) {
	h := newHarness(t)
	var ends []aggregator.ProbeEnded
	collect := func(events []aggregator.Event) {
		for _, e := range events {
			if ended, ok := e.(aggregator.ProbeEnded); ok {
				ends = append(ends, ended)
			}
		}
	}
	a, transport := h.sendWritten()
	h.pool.Probe(h.now, h.server())
	h.pool.Probe(h.now, h.server())
	h.now = h.now.Add(time.Second) // after the deadlines of both
	events, _ := h.pool.Sweep(h.now)
	collect(events)
	h.pool.Probe(h.now, h.server())
	for _, text := range []string{"queue=9", "E", "queue=3,util=0.5,new=x"} { // the first two are overdue
		answer := framesReceived{conn: transport.conn, frames: []Frame{{frameLoad, []byte(text)}}}
		events, _ := h.pool.Handle(h.now, answer)
		collect(events)
	}
	if len(ends) != 3 || ends[0].Err == nil || ends[1].Err == nil || ends[2].Err != nil {
		t.Fatalf("%+v", ends)
	}
	if report := ends[2].Report; report == nil || report.Queue != 3 || report.Utilization != 0.5 {
		t.Errorf("%+v", report)
	}
	if a.endCount != 0 {
		t.Error("a probe answer ended the attempt")
	}
}

// Connections to an unreachable machine stay open and receive nothing: the next part must not be sent on one.
func TestPool_UnresponsiveConnectionIsNotReused(t *testing.T) {
	for name, c := range map[string]struct {
		canceledAfter time.Duration
		received      bool // a probe was answered before the cancellation
		mayRetry      bool
		notReused     bool
	}{
		"nothing received for long": {canceledAfter: 2 * time.Second, notReused: true},
		"probe answered": {
			canceledAfter: 2 * time.Second,
			received:      true,
			mayRetry:      true,
		},
		"canceled soon, and not to be retried": {canceledAfter: 100 * time.Millisecond},
		"canceled soon, and to be retried": {
			canceledAfter: 100 * time.Millisecond,
			mayRetry:      true,
			notReused:     true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first, transport := h.sendWritten()
			h.now = h.now.Add(c.canceledAfter)
			if c.received {
				h.pool.Probe(h.now, h.server())
				h.receive(transport, Frame{frameLoad, []byte("queue=1")})
			}
			h.cancel(first, c.mayRetry)
			transport.settle(tcp.WriteComplete)
			h.runTurn()
			if next := h.send(); (next.transport != transport) != c.notReused {
				t.Errorf("sent on %v", next.transport)
			}
		})
	}
}

// What a server sends beyond an answer must not become the answer to the next part, nor keep that one from its own.
func TestPool_ForeignAnswers(t *testing.T) {
	answerTo := func(a *attemptModel) Frame {
		a.answer = 'S'
		return Frame{frameAnswer, fmt.Appendf(nil, "%s S 7 queue=1\n%s", a.name, validValue)}
	}
	for name, c := range map[string]struct {
		behind func(answer Frame) framesReceived // the first answer and what comes with it
		before func(answer Frame) framesReceived // what comes after the next part is written, if that is on the same connection
	}{
		"a second copy with the answer": {
			behind: func(answer Frame) framesReceived { return framesReceived{frames: []Frame{answer, answer}} },
		},
		"a second copy in two pieces": {
			behind: func(answer Frame) framesReceived { return framesReceived{frames: []Frame{answer}, partial: true} },
			before: func(answer Frame) framesReceived { return framesReceived{frames: []Frame{answer}} },
		},
		"a second copy after the next part": {
			before: func(answer Frame) framesReceived { return framesReceived{frames: []Frame{answer}} },
		},
		"noise with the answer": {
			behind: func(answer Frame) framesReceived {
				return framesReceived{frames: []Frame{answer}, err: errors.New("noise")}
			},
		},
		"noise after the next part": {
			before: func(Frame) framesReceived { return framesReceived{err: errors.New("noise")} },
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first, transport := h.sendWritten()
			answer := answerTo(first)
			received := framesReceived{frames: []Frame{answer}}
			if c.behind != nil {
				received = c.behind(answer)
			}
			received.conn = transport.conn
			h.post(received)
			second := h.send()
			for second.transport == nil {
				h.finishDial(nil)
			}
			second.transport.settle(tcp.WriteComplete)
			h.runTurn()
			if c.before != nil && second.transport == transport {
				before := c.before(answer)
				before.conn = transport.conn
				h.post(before)
			}
			transport.finishAbort()
			h.runTurn()
			if second.endCount == 0 { // it still waits for its own answer
				h.receive(second.transport, answerTo(second))
			}
			if first.endCount != 1 || second.endCount != 1 { // the harness has checked with which results
				t.Errorf("ended %d and %d times", first.endCount, second.endCount)
			}
		})
	}
}
