package leaf

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// validValue is a value in the form that leaf servers produce.
const validValue = "5be2a07c19f04d63"

// harness drives a pool step by step: it replaces the mailbox, the dialer, the transports and the directory, and tracks in
// a model which results of each attempt are possible. Its clock starts at testStart, 1000 s.
type harness struct {
	t          *testing.T
	pool       *Pool
	now        time.Time
	mailbox    []aggregator.Message
	dials      []*conn // in progress
	transports []*fakeTransport
	draining   bool // the server is draining
	sent       []*attemptModel
}

// attemptModel is the state of an attempt as seen from outside the pool.
type attemptModel struct {
	id            aggregator.AttemptID
	name          string
	transport     *fakeTransport // on which its frame was written
	writtenAt     time.Time      // when its frame was passed to transport
	settled       bool           // the transport has reported writeResult
	writeResult   tcp.WriteResult
	canceled      bool
	mayRetry      bool // argument of Cancel
	cancelWritten bool // a cancel frame was passed to the transport
	confirmed     bool // the server is known to have read the call, or the cancel frame
	answer        byte // status of the answer received on its connection; 0: none
	endCount      int
	err           error
}

// mayHaveRun reports whether bytes of the attempt may have reached the server.
func (a *attemptModel) mayHaveRun() bool {
	neverLeft := a.settled && (a.writeResult == tcp.WriteNone || a.writeResult == tcp.WriteExpired)
	return a.transport != nil && !neverLeft
}

// mayArrive reports whether bytes of the attempt may still reach the server.
func (a *attemptModel) mayArrive() bool { return a.transport == nil || !a.transport.closed }

// serverNotified reports whether the server is notified of the cancellation as reliably as required: if the part may be
// retried, a written cancel frame does not suffice without a confirmation.
func (a *attemptModel) serverNotified() bool { return a.cancelWritten && (a.confirmed || !a.mayRetry) }

// fakeTransport queues the pool's writes until the test completes them with settle.
type fakeTransport struct {
	harness      *harness
	conn         *conn
	closed       bool
	abortDone    func() // callback of a pending Abort, before which written bytes may still arrive; nil: none
	writes       []func(tcp.WriteResult)
	writers      []*attemptModel // whose call frames are in writes; nil for other frames
	unconfirmed  []*attemptModel // whose cancel frames are followed by an unanswered probe
	lastReceived time.Time
}

func (f *fakeTransport) WriteDeferred(write tcp.DeferredWrite, done func(tcp.WriteResult)) {
	b := write.Bytes(f.harness.now)
	if write.Within <= 0 || write.Within > maxWriteDelay {
		f.harness.t.Fatalf("%q may wait for %v", b, write.Within)
	}
	if b == nil {
		f.harness.t.Fatal("an expired or abandoned attempt was passed to the transport")
	}
	if write.Size < len(b)/2 || write.Size > 2*len(b) {
		f.harness.t.Fatalf("%q has a stated size of %d bytes", b, write.Size)
	}
	f.Write(b, done)
}

func (f *fakeTransport) Write(b []byte, done func(tcp.WriteResult)) {
	frame := f.parse(b)
	var writer *attemptModel
	switch frame.Type {
	case frameCall:
		writer = f.checkCall(frame)
	case frameCancel:
		f.harness.attemptNamed(string(frame.Payload)).cancelWritten = true
	}
	if done == nil {
		done = func(tcp.WriteResult) {}
	}
	if f.closed {
		if writer != nil {
			writer.settled, writer.writeResult = true, tcp.WriteNone
		}
		done(tcp.WriteNone)
		return
	}
	f.writes, f.writers = append(f.writes, done), append(f.writers, writer)
}

// parse returns the frame that is written. A probe behind a cancel frame is recorded and left out.
func (f *fakeTransport) parse(b []byte) Frame {
	const probe = "\x00\x00\x00\x013"
	if n := len(b) - len(probe); n > len(probe) && b[4] == frameCancel && string(b[n:]) == probe {
		b = b[:n]
		f.unconfirmed = append(f.unconfirmed, f.harness.attemptNamed(string(b[5:])))
	}
	if len(b) < 5 || int(binary.BigEndian.Uint32(b)) != len(b)-4 {
		f.harness.t.Fatalf("not one complete frame: %q", b)
	}
	if f.abortDone != nil {
		f.harness.t.Fatalf("%q was written on a connection that is closing", b)
	}
	return Frame{Type: b[4], Payload: b[5:]}
}

// checkCall checks that a call may be sent on this transport now, and returns the attempt of its first part.
func (f *fakeTransport) checkCall(call Frame) *attemptModel {
	line, _, _ := strings.Cut(string(call.Payload), "\n")
	name, _, _ := strings.Cut(line, " ")
	a := f.harness.attemptNamed(name)
	a.transport, a.writtenAt = f, f.harness.now
	if !f.closed && f.harness.draining {
		f.harness.t.Fatalf("%s was sent to a server that is draining", name)
	}
	if idle := f.harness.now.Sub(f.conn.lastUsed); idle > 10*time.Second {
		f.harness.t.Fatalf("%s was sent on a connection idle for %v", name, idle)
	}
	if len(f.conn.streams) > f.harness.pool.limits.MaxStreams {
		f.harness.t.Fatalf("%d attempts in flight on one connection, want at most MaxStreams", len(f.conn.streams))
	}
	return a
}

func (f *fakeTransport) Close(error) { f.end(tcp.WriteUncertain) }

func (f *fakeTransport) Abort(_ error, done func()) {
	if f.closed {
		done()
		return
	}
	f.abortDone = done
}

// finishAbort completes a pending Abort: the socket is closed from now on.
func (f *fakeTransport) finishAbort() {
	if f.abortDone != nil {
		f.end(tcp.WriteUncertain)
	}
}

// settle completes the oldest write with a result.
func (f *fakeTransport) settle(result tcp.WriteResult) {
	if len(f.writes) == 0 {
		return
	}
	done, writer := f.writes[0], f.writers[0]
	f.writes, f.writers = f.writes[1:], f.writers[1:]
	if writer != nil {
		writer.settled, writer.writeResult = true, result
	}
	done(result)
}

// end closes the socket. first is the result of the oldest write; the others end with WriteNone.
func (f *fakeTransport) end(first tcp.WriteResult) {
	if f.closed {
		return
	}
	done := f.abortDone
	f.closed, f.abortDone = true, nil
	f.harness.Put(connectionClosed{conn: f.conn, err: errors.New("broken")})
	if done != nil {
		defer done()
	}
	for result := first; len(f.writes) > 0; result = tcp.WriteNone {
		f.settle(result)
	}
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: testStart}
	h.pool = NewPool(Limits{
		MaxStreams: 2, IdleTimeout: 12 * time.Second, ConnectTimeout: 250 * time.Millisecond, MaxConnections: 3,
		UnresponsiveAfter: time.Second, ConnsPerServer: 8,
	}, h, nil)
	h.pool.dial = func(c *conn, _ string, _ time.Duration) { h.dials = append(h.dials, c) }
	h.pool.SetDirectory(h)
	return h
}

func (h *harness) Put(m aggregator.Message)       { h.mailbox = append(h.mailbox, m) }
func (h *harness) Available(balance.Replica) bool { return !h.draining }

func (h *harness) Server(id balance.Replica) aggregator.Server {
	return aggregator.Server{ID: id, Addr: "x"}
}

// server returns the only server of the harness.
func (h *harness) server() aggregator.Server { return h.Server("s") }

func (h *harness) attemptNamed(name string) *attemptModel {
	for _, a := range h.sent {
		if a.name == name {
			return a
		}
	}
	h.t.Fatalf("no such part: %s", name)
	return nil
}

// send sends the first attempt at a new part.
func (h *harness) send() *attemptModel {
	n := len(h.sent)
	a := &attemptModel{id: aggregator.AttemptID{Part: balance.ID(n)}, name: fmt.Sprintf("q.%d", n)}
	h.sent = append(h.sent, a)
	outgoing := aggregator.OutgoingAttempt{Attempt: a.id, Name: a.name, Deadline: h.now.Add(5 * time.Second)}
	h.pool.Send(h.now, h.server(), []aggregator.OutgoingAttempt{outgoing})
	h.runTurn()
	return a
}

// sendWritten sends a part on a new connection, and completes the write of its frame.
func (h *harness) sendWritten() (*attemptModel, *fakeTransport) {
	a := h.send()
	h.finishDial(nil)
	transport := h.transports[len(h.transports)-1]
	transport.settle(tcp.WriteComplete)
	return a, transport
}

func (h *harness) cancel(a *attemptModel, mayRetry bool) {
	if !a.canceled {
		a.confirmed = a.transport != nil && a.transport.lastReceived.After(a.writtenAt)
		a.canceled, a.mayRetry = true, mayRetry
	}
	h.pool.Cancel(h.now, a.id, mayRetry)
	h.runTurn()
}

// finishDial completes the oldest dial: with a new transport, or with an error.
func (h *harness) finishDial(err error) {
	if len(h.dials) == 0 {
		return
	}
	c := h.dials[0]
	h.dials = h.dials[1:]
	if err == nil {
		transport := &fakeTransport{harness: h, conn: c}
		h.transports = append(h.transports, transport)
		h.Put(dialResult{conn: c, transport: transport})
	} else {
		h.Put(dialResult{conn: c, err: err})
	}
	h.runTurn()
}

// answer simulates the server's answer to a part on a connection.
func (h *harness) answer(f *fakeTransport, name string, status byte) {
	for _, a := range h.sent {
		if a.name == name && a.transport == f {
			a.answer = status
		}
	}
	h.receive(f, Frame{frameAnswer, fmt.Appendf(nil, "%s %c 7 queue=1\n%s", name, status, validValue)})
}

// receive simulates frames received on a connection.
func (h *harness) receive(f *fakeTransport, frames ...Frame) {
	f.lastReceived = h.now
	h.post(framesReceived{conn: f.conn, frames: frames})
}

// confirmCancel simulates the answer to the oldest probe behind a cancel frame.
func (h *harness) confirmCancel(f *fakeTransport) {
	if len(f.unconfirmed) == 0 {
		return
	}
	f.unconfirmed[0].confirmed = true
	f.unconfirmed = f.unconfirmed[1:]
	h.receive(f, Frame{frameProbe, []byte("S")})
}

// post posts a message and runs a turn.
func (h *harness) post(m aggregator.Message) {
	h.Put(m)
	h.runTurn()
}

// runTurn passes all messages to the pool and checks each end of an attempt against the model.
func (h *harness) runTurn() {
	for len(h.mailbox) > 0 {
		m := h.mailbox[0]
		h.mailbox = h.mailbox[1:]
		events, handled := h.pool.Handle(h.now, m)
		if !handled {
			events = []aggregator.Event{m.(aggregator.Event)}
		}
		for _, e := range events {
			if ended, ok := e.(aggregator.AttemptEnded); ok {
				h.checkEnd(ended)
			}
		}
	}
}

func (h *harness) checkEnd(e aggregator.AttemptEnded) {
	a := h.sent[e.Attempt.Part]
	if a.endCount++; a.endCount > 1 {
		h.t.Fatalf("%s ended twice", a.name)
	}
	a.err = e.Err
	if e.Err == nil {
		if a.answer != 'S' || e.Value != validValue || e.Score != 7 || e.Report == nil || e.Report.Queue != 1 {
			h.t.Fatalf("%s has an unexpected answer: %+v", a.name, e)
		}
		return
	}
	var failure *aggregator.AttemptError
	if !errors.As(e.Err, &failure) {
		h.t.Fatalf("%s: %v is not an AttemptError", a.name, e.Err)
	}
	if failure.Part != a.name || failure.Server != "s" {
		h.t.Fatalf("%s: %v names another part or server", a.name, e.Err)
	}
	h.checkFailure(a, failure)
}

func (h *harness) checkFailure(a *attemptModel, e *aggregator.AttemptError) {
	if e.Progress == aggregator.Answered && (e.Rejected != (a.answer == 'B') || a.answer == 0) {
		h.t.Fatalf("%s: %v after answer %q", a.name, e, a.answer)
	}
	if e.Progress < aggregator.Written && a.mayHaveRun() {
		h.t.Fatalf("%s may have run, but is reported as not run: %v", a.name, e)
	}
	if e.Canceled && !a.canceled && !h.poolMayCancel(a) {
		h.t.Fatalf("%s ended as canceled, but was not canceled: %v", a.name, e)
	}
	mayStillArrive := a.mayHaveRun() && a.mayArrive()
	stopped := e.Canceled && a.serverNotified()
	if e.Progress == aggregator.Written && mayStillArrive && !stopped {
		h.t.Fatalf("%s ended while its call may still arrive: %v", a.name, e)
	}
}

// poolMayCancel reports whether the pool may cancel an attempt by itself: it was not written in time, its connection is
// closed, or its deadline has expired.
func (h *harness) poolMayCancel(a *attemptModel) bool {
	return a.writeResult == tcp.WriteExpired || !a.mayArrive() || !h.now.Before(time.Unix(1005, 0))
}

// finish breaks all connections and dials, and checks that each attempt has ended exactly once.
func (h *harness) finish() {
	h.refuseDials()
	for _, f := range h.transports {
		f.end(tcp.WriteNone)
	}
	h.runTurn()
	h.refuseDials()
	for _, a := range h.sent {
		if a.endCount != 1 {
			h.t.Fatalf("%s ended %d times", a.name, a.endCount)
		}
	}
	if h.pool.connCount != 0 || len(h.pool.attempts) != 0 {
		h.t.Fatalf("%d connections and %d attempts are left", h.pool.connCount, len(h.pool.attempts))
	}
}

func (h *harness) refuseDials() {
	for len(h.dials) > 0 {
		h.finishDial(errors.New("refused"))
	}
}
