package serialconn

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/query"
)

// harness drives a pool step by step: it replaces the mailbox, the dialer, the transports and the directory, and tracks in
// a model which results of each attempt are possible. Its clock starts at 1000 s.
type harness struct {
	t           *testing.T
	pool        *Pool
	now         time.Time
	mailbox     []aggregator.Message
	transports  []*fakeTransport
	draining    bool // the server is draining
	hasGreeting bool // the protocol has a greeting
	sent        []*attemptModel
}

// attemptModel is the state of an attempt as seen from outside the pool.
type attemptModel struct {
	id          aggregator.AttemptID
	name        string
	transport   *fakeTransport // on which its request was written
	settled     bool           // the transport has reported writeResult
	writeResult tcp.WriteResult
	canceled    bool
	answered    bool // a reply was received on its connection
	endCount    int
}

// mayHaveRun reports whether bytes of the attempt may have reached the server.
func (a *attemptModel) mayHaveRun() bool {
	return a.transport != nil && (!a.settled || a.writeResult != tcp.WriteNone)
}

// fakeTransport queues the pool's writes until the test completes them with settle.
type fakeTransport struct {
	harness *harness
	conn    *conn
	closed  bool
	writes  []func(tcp.WriteResult)
	writers []*attemptModel // whose requests are in writes; nil for greetings
}

func (f *fakeTransport) Write(b []byte, done func(tcp.WriteResult)) {
	writer := f.checkRequest(string(b))
	if done == nil {
		done = func(tcp.WriteResult) {}
	}
	f.writes, f.writers = append(f.writes, done), append(f.writers, writer)
	if f.closed {
		f.settle(tcp.WriteNone)
	}
}

// checkRequest checks that a request may be sent now, and returns its attempt; nil for a greeting.
func (f *fakeTransport) checkRequest(name string) *attemptModel {
	for _, a := range f.harness.sent {
		if a.name != name {
			continue
		}
		if a.transport != nil {
			f.harness.t.Fatalf("%s was written twice", a.name)
		}
		a.transport = f
		if f.harness.draining {
			f.harness.t.Fatalf("%s was sent to a draining server", a.name)
		}
		return a
	}
	return nil
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

func (f *fakeTransport) Close(error) { f.end(tcp.WriteUncertain) }

// end closes the socket. first is the result of the oldest write; the others end with WriteNone.
func (f *fakeTransport) end(first tcp.WriteResult) {
	if f.closed {
		return
	}
	f.closed = true
	f.harness.Put(connectionClosed{conn: f.conn, err: errors.New("broken")})
	for result := first; len(f.writes) > 0; result = tcp.WriteNone {
		f.settle(result)
	}
}

// nameCodec encodes an attempt as its name.
type nameCodec struct{ harness *harness }

func (c nameCodec) Greeting() []byte {
	if c.harness.hasGreeting {
		return []byte("hello")
	}
	return nil
}

func (nameCodec) Request(attempt aggregator.OutgoingAttempt, _ query.Work) ([]byte, error) {
	return []byte(attempt.Name), nil
}

func (nameCodec) Answers(reply Reply, attempt aggregator.OutgoingAttempt, _ query.Work) bool {
	return reply.Request == attempt.Name
}

func (nameCodec) IdentifiesAnswers() bool { return true }

func (nameCodec) Parser() Parser { return nil }

// newHarness returns a harness whose pool does not dial: finishDial posts the results of dials.
func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: time.Unix(1000, 0)}
	limits := Limits{ConnectTimeout: time.Second, IdleTimeout: 12 * time.Second, MaxConnections: 4}
	h.pool = NewPool(limits, h, nil, func(balance.Replica) Codec { return nameCodec{h} })
	h.pool.dial = func(*conn, string, Codec) {}
	h.pool.SetDirectory(h)
	return h
}

func (h *harness) Put(m aggregator.Message)       { h.mailbox = append(h.mailbox, m) }
func (h *harness) Available(balance.Replica) bool { return !h.draining }

// send sends the first attempt at a new part.
func (h *harness) send() {
	n := len(h.sent)
	a := &attemptModel{id: aggregator.AttemptID{Part: balance.ID(n)}, name: fmt.Sprintf("q.%d", n)}
	h.sent = append(h.sent, a)
	h.pool.Send(h.now, aggregator.Server{ID: "s", Addr: "x"}, []aggregator.OutgoingAttempt{{
		Attempt: a.id, Name: a.name, Payload: "{}", Deadline: h.now.Add(5 * time.Second),
	}})
	h.runTurn()
}

// finishDial completes the dial for an attempt, if there is one: with a new transport, or with an error.
func (h *harness) finishDial(model *attemptModel, err error) {
	a := h.pool.attempts[model.id]
	if a == nil || a.conn == nil || a.conn.transport != nil || a.conn.closed {
		return
	}
	if err != nil {
		h.post(dialResult{conn: a.conn, err: err})
		return
	}
	transport := &fakeTransport{harness: h, conn: a.conn}
	h.transports = append(h.transports, transport)
	h.post(dialResult{conn: a.conn, transport: transport})
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
		h.check(events)
	}
}

func (h *harness) check(events []aggregator.Event) {
	for _, e := range events {
		if ended, ok := e.(aggregator.AttemptEnded); ok {
			h.checkEnd(ended)
		}
	}
}

func (h *harness) checkEnd(e aggregator.AttemptEnded) {
	a := h.sent[e.Attempt.Part]
	if a.endCount++; a.endCount > 1 {
		h.t.Fatalf("%s ended twice", a.name)
	}
	if e.Err == nil {
		if !a.answered {
			h.t.Fatalf("%s succeeded without an answer", a.name)
		}
		return
	}
	var failure *aggregator.AttemptError
	if !errors.As(e.Err, &failure) || failure.Progress < aggregator.Written && a.mayHaveRun() {
		h.t.Fatalf("%s may have run, but is reported as not run: %v", a.name, e.Err)
	}
	if failure.Part != a.name || failure.Server != "s" {
		h.t.Fatalf("%s: %v names another part or server", a.name, e.Err)
	}
	if failure.Canceled && a.mayHaveRun() && !a.transport.closed {
		h.t.Fatalf("%s was canceled, but its connection is still open", a.name)
	}
}

// finish breaks all connections and dials, and checks that each attempt has ended exactly once.
func (h *harness) finish() {
	for _, a := range h.sent {
		h.finishDial(a, errors.New("refused"))
	}
	for _, f := range h.transports {
		f.end(tcp.WriteNone)
	}
	h.runTurn()
	for _, a := range h.sent {
		if a.endCount != 1 {
			h.t.Fatalf("%s ended %d times", a.name, a.endCount)
		}
	}
}
