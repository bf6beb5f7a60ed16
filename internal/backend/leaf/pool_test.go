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

// rig drives a pool by hand: it is the mailbox, the dialer, the links, the directory and the model of what each
// attempt may have come to.
type rig struct {
	t       *testing.T
	p       *Pool
	now     time.Time
	box     []aggregator.Message
	dials   []*conn
	links   []*link
	drained bool
	sent    []*sent
}

// sent is the model of an attempt.
type sent struct {
	id        aggregator.AttemptID
	name      string
	link      *link // its frame was handed to
	settled   bool
	how       tcp.WriteResult
	at        time.Time // when that was
	toldOff   bool      // a frame 2 was handed on
	proved    bool      // and its server has got the attempt, or has read the frame 2
	withdrawn bool
	again     bool // the part may be sent again
	answer    byte // that came on its connection
	ended     int
	err       error
}

type link struct {
	r      *rig
	c      *conn
	closed bool
	abort  func() // asked for, and not carried out: what went out on it may still arrive
	queue  []func(tcp.WriteResult)
	shared []*sent // whose frames wait in queue; nil for others
	pings  []*sent // whose frames 2 have a probe behind them that is not answered
	heard  time.Time
}

func (l *link) WriteWithin(d time.Duration, b []byte, done func(tcp.WriteResult)) {
	if d <= 0 || d > writeWithin {
		l.r.t.Fatalf("%q may wait for %v", b, d)
	}
	l.Write(b, done)
}

func (l *link) Write(b []byte, done func(tcp.WriteResult)) {
	if n := len(b) - 5; n > 5 && b[4] == letterGiveUp && string(b[n:]) == "\x00\x00\x00\x013" {
		b = b[:n] // the probe that goes with it
		l.pings = append(l.pings, l.r.named(string(b[5:])))
	}
	if len(b) < 5 || int(binary.BigEndian.Uint32(b)) != len(b)-4 {
		l.r.t.Fatalf("a frame %q", b)
	}
	if l.abort != nil {
		l.r.t.Fatalf("%q goes out on a connection that closes", b)
	}
	f := Frame{b[4], b[5:]}
	var of *sent
	switch f.Type {
	case letterCall:
		line, _, _ := strings.Cut(string(f.Payload), "\n")
		name, _, _ := strings.Cut(line, " ")
		of = l.r.named(name)
		of.link, of.at = l, l.r.now
		if !l.closed && l.r.drained {
			l.r.t.Fatalf("%s was sent to a server that drains", name)
		}
		if idle := l.r.now.Sub(l.c.used); idle > 10*time.Second {
			l.r.t.Fatalf("%s was sent on a connection idle for %v", name, idle)
		}
		if len(l.c.streams) > l.r.p.lim.MaxStreams {
			l.r.t.Fatalf("%d streams", len(l.c.streams))
		}
	case letterGiveUp:
		l.r.named(string(f.Payload)).toldOff = true
	}
	if done == nil {
		done = func(tcp.WriteResult) {}
	}
	if l.closed {
		if of != nil {
			of.settled, of.how = true, tcp.WriteNone
		}
		done(tcp.WriteNone)
		return
	}
	l.queue, l.shared = append(l.queue, done), append(l.shared, of)
}

func (l *link) Close(error) { l.end(tcp.WriteUncertain) }

func (l *link) Abort(_ error, done func()) {
	if l.closed {
		done()
		return
	}
	l.abort = done
}

// aborted carries out an Abort: the socket is closed from now on.
func (l *link) aborted() {
	if l.abort != nil {
		l.end(tcp.WriteUncertain)
	}
}

// settle accounts for the oldest write.
func (l *link) settle(how tcp.WriteResult) {
	if len(l.queue) == 0 {
		return
	}
	done, of := l.queue[0], l.shared[0]
	l.queue, l.shared = l.queue[1:], l.shared[1:]
	if of != nil {
		of.settled, of.how = true, how
	}
	done(how)
}

func (l *link) end(first tcp.WriteResult) {
	if l.closed {
		return
	}
	done := l.abort
	l.closed, l.abort = true, nil
	l.r.box = append(l.r.box, closed{c: l.c, err: errors.New("broken")})
	if done != nil {
		defer done()
	}
	for how := first; len(l.queue) > 0; how = tcp.WriteNone {
		l.settle(how)
	}
}

func (r *rig) Put(e aggregator.Message)       { r.box = append(r.box, e) }
func (r *rig) Available(balance.Replica) bool { return !r.drained }

func (r *rig) Server(id balance.Replica) aggregator.Server {
	return aggregator.Server{ID: id, Addr: "x"}
}

func (r *rig) named(name string) *sent {
	for _, s := range r.sent {
		if s.name == name {
			return s
		}
	}
	r.t.Fatalf("no such part: %s", name)
	return nil
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Unix(1000, 0)}
	r.p = NewPool(Limits{MaxStreams: 2, IdleTimeout: 12 * time.Second, ConnectTimeout: 250 * time.Millisecond, MaxConnections: 3, UnresponsiveAfter: time.Second, ConnsPerServer: 8}, r, nil)
	r.p.dial = func(c *conn, _ string, _ time.Duration) { r.dials = append(r.dials, c) }
	r.p.SetDirectory(r)
	return r
}

func (r *rig) send() *sent {
	n := len(r.sent)
	s := &sent{id: aggregator.AttemptID{Part: balance.ID(n)}, name: fmt.Sprintf("q.%d", n)}
	r.sent = append(r.sent, s)
	r.p.Send(r.now, aggregator.Server{ID: "s", Addr: "x"}, []aggregator.Call{{Attempt: s.id, Name: s.name, Deadline: r.now.Add(5 * time.Second)}})
	r.turn()
	return s
}

func (r *rig) withdraw(s *sent, again bool) {
	if !s.withdrawn {
		s.proved = s.link != nil && s.link.heard.After(s.at)
		s.withdrawn, s.again = true, again
	}
	r.p.Cancel(r.now, s.id, again)
	r.turn()
}

func (r *rig) dialed(err error) {
	if len(r.dials) == 0 {
		return
	}
	c := r.dials[0]
	r.dials = r.dials[1:]
	if err == nil {
		l := &link{r: r, c: c}
		r.links = append(r.links, l)
		r.Put(dialed{c: c, link: l})
	} else {
		r.Put(dialed{c: c, err: err})
	}
	r.turn()
}

func (r *rig) answer(l *link, name string, end byte) {
	for _, s := range r.sent {
		if s.name == name && s.link == l {
			s.answer = end
		}
	}
	r.came(l, Frame{letterAnswer, fmt.Appendf(nil, "%s %c 7 queue=1\n%s", name, end, someValue)})
}

const someValue = "5be2a07c19f04d63"

func (r *rig) came(l *link, frames ...Frame) {
	l.heard = r.now
	r.Put(framed{c: l.c, frames: frames})
	r.turn()
}

// pong answers the oldest probe behind a frame 2.
func (r *rig) pong(l *link) {
	if len(l.pings) == 0 {
		return
	}
	l.pings[0].proved = true
	l.pings = l.pings[1:]
	r.came(l, Frame{letterProbe, []byte("S")})
}

// turn lets the pool take what is there and checks each end against the model.
func (r *rig) turn() {
	for len(r.box) > 0 {
		e := r.box[0]
		r.box = r.box[1:]
		events, mine := r.p.Handle(r.now, e)
		if !mine {
			events = []aggregator.Event{e.(aggregator.Event)}
		}
		for _, e := range events {
			if ended, ok := e.(aggregator.AttemptEnded); ok {
				r.check(ended)
			}
		}
	}
}

func (r *rig) check(e aggregator.AttemptEnded) {
	s := r.sent[e.Attempt.Part]
	if s.ended++; s.ended > 1 {
		r.t.Fatalf("%s ended twice", s.name)
	}
	s.err = e.Err
	var a *aggregator.AttemptError
	if e.Err == nil {
		if s.answer != 'S' || e.Value != someValue || e.Score != 7 || e.Report == nil || e.Report.Queue != 1 {
			r.t.Fatalf("%s is served: %+v", s.name, e)
		}
		return
	}
	if !errors.As(e.Err, &a) {
		r.t.Fatalf("%s: %v says nothing", s.name, e.Err)
	}
	mayRun := s.link != nil && (!s.settled || s.how != tcp.WriteNone && s.how != tcp.WriteExpired)
	switch {
	case a.Progress == aggregator.Answered && a.Rejected != (s.answer == 'B'), a.Progress == aggregator.Answered && s.answer == 0:
		r.t.Fatalf("%s: %v after answer %q", s.name, a, s.answer)
	case a.Progress < aggregator.Written && mayRun:
		r.t.Fatalf("%s is said not to have run: %v", s.name, a)
	case a.Canceled && !s.withdrawn && s.how != tcp.WriteExpired && (s.link == nil || !s.link.closed) && r.now.Before(time.Unix(1005, 0)):
		r.t.Fatalf("%s was not given up: %v", s.name, a)
	case a.Progress == aggregator.Written && mayRun && !s.link.closed && !(a.Canceled && s.toldOff && (s.proved || !s.again)):
		r.t.Fatalf("%s ended while it may still arrive: %v", s.name, a)
	}
}

// finish breaks all there is: whatever was sent must have ended by then, once.
func (r *rig) finish() {
	for len(r.dials) > 0 {
		r.dialed(errors.New("refused"))
	}
	for _, l := range r.links {
		l.end(tcp.WriteNone)
	}
	r.turn()
	for len(r.dials) > 0 {
		r.dialed(errors.New("refused"))
	}
	for _, s := range r.sent {
		if s.ended != 1 {
			r.t.Fatalf("%s ended %d times", s.name, s.ended)
		}
	}
	if r.p.total != 0 || len(r.p.calls) != 0 {
		r.t.Fatalf("%d connections and %d attempts are left", r.p.total, len(r.p.calls))
	}
}

func FuzzPool(f *testing.F) {
	f.Add([]byte{0, 2, 4, 6})                         // served
	f.Add([]byte{0, 0, 0, 2, 2, 4, 4, 4, 5, 4})       // broken under three
	f.Add([]byte{0, 1, 2, 0, 2, 4, 1, 4, 6, 7})       // given up before and after
	f.Add([]byte{0, 2, 4, 6, 8, 8, 8, 8, 8, 8, 0, 0}) // near the idle limit
	f.Add([]byte{0, 9, 2, 9, 0, 3, 3})                // drains while it connects
	f.Add([]byte{0, 2, 15, 0, 2, 10, 0, 26, 4, 6})    // broken before the first byte
	f.Add([]byte{0, 2, 4, 1, 35, 0, 2})               // given up where nothing was heard
	f.Add([]byte{0, 0, 2, 4, 4, 1, 4, 37, 11, 37, 8}) // the same beside another part, proved and not
	f.Add([]byte{0, 2, 44, 0, 4, 17, 35})             // written too late; noise
	f.Fuzz(func(t *testing.T, steps []byte) {
		r := newRig(t)
		for _, step := range steps[:min(len(steps), 200)] {
			pick := int(step) / 10
			var l *link
			if len(r.links) > 0 {
				l = r.links[len(r.links)-1-pick%len(r.links)]
			}
			var s *sent
			if len(r.sent) > 0 {
				s = r.sent[len(r.sent)-1-pick%len(r.sent)]
			}
			switch {
			case step%10 == 0:
				if !r.drained { // the decisions send nothing new there
					r.send()
				}
			case step%10 == 1 && s != nil:
				r.withdraw(s, pick%3 > 0)
			case step%10 == 2:
				r.dialed(nil)
			case step%10 == 3:
				r.dialed(errors.New("refused"))
			case step%10 == 4 && l != nil:
				if pick%5 == 4 && len(l.shared) > 0 && l.shared[0] != nil {
					l.settle(tcp.WriteExpired)
				} else {
					l.settle(tcp.WriteComplete)
				}
				r.turn()
			case step%10 == 5 && l != nil:
				if pick%4 == 3 {
					l.aborted()
				} else {
					l.end(tcp.WriteResult(pick % 4))
				}
				r.turn()
			case step%10 == 6 && s != nil && s.link != nil && !s.link.closed:
				r.answer(s.link, s.name, "SEB"[pick%3])
			case step%10 == 7 && l != nil && !l.closed:
				switch pick % 4 {
				case 3:
					r.pong(l)
				case 0:
					r.answer(l, "q.unknown", 'S')
				case 1:
					r.Put(framed{c: l.c, err: errors.New("noise")})
					r.turn()
				case 2:
					r.Put(framed{c: l.c, partial: true})
					r.turn()
				}
			case step%10 == 8:
				r.now = r.now.Add(2 * time.Second)
				events, _ := r.p.Sweep(r.now)
				for _, e := range events {
					r.Put(e)
				}
				r.turn()
			case step%10 == 9:
				r.drained = !r.drained
			}
		}
		r.finish()
	})
}

// A late answer to an attempt that was given up must not be taken for the part's next attempt.
func TestLateAnswerIsNotTheNextAttempts(t *testing.T) {
	r := newRig(t)
	first := r.send()
	r.dialed(nil)
	r.links[0].settle(tcp.WriteComplete)
	r.withdraw(first, false)
	r.links[0].settle(tcp.WriteComplete)
	r.turn()
	again := aggregator.Call{Attempt: aggregator.AttemptID{Part: 0, Number: 1}, Name: first.name, Deadline: r.now.Add(time.Second)}
	r.p.Send(r.now, aggregator.Server{ID: "s", Addr: "x"}, []aggregator.Call{again})
	r.turn()
	if len(r.dials) != 1 || len(r.links[0].queue) != 0 {
		t.Error("the part's next attempt went out on the connection of the one that was given up")
	}
}

func TestBadFramesEndTheirConnection(t *testing.T) {
	for _, bad := range []Frame{{'5', []byte("no line")}, {'5', []byte("q.0 Z 1 -\nv")}, {'5', []byte("q.0 S x -\nv")}, {'X', []byte("what?")}, {'9', nil}} {
		r := newRig(t)
		s := r.send()
		r.dialed(nil)
		r.links[0].settle(tcp.WriteComplete)
		r.came(r.links[0], bad)
		if s.ended != 0 || r.links[0].abort == nil {
			t.Errorf("%q: ended %d times before its connection did", bad.Payload, s.ended)
		}
		r.links[0].aborted()
		r.turn()
		if s.ended != 1 {
			t.Errorf("%q: ended %d times", bad.Payload, s.ended)
		}
	}
	// Each as soon as its bytes show it, without waiting for the rest.
	for _, bytes := range []string{
		"\x00\x00\x00\x00", "\xc0", "\x00\x01", "\x00\x00\x10\x01", "\x00\x00\x00\x405q.0 S 1 -\n", "\x00\x00\x00\x108",
		"\x00\x00\x00\x0e5q.0 S 1 -\nabc", "\x00\x00\x00\x085q.0 S 1", "\x00\x00\x00\x205q.0 Q 1 -\n",
		"\x00\x00\x0f\x005" + strings.Repeat("x", maxLine+1),
	} {
		var p Parser
		p.Feed([]byte(bytes))
		if _, _, err := p.Next(); err == nil {
			t.Errorf("%q was taken", bytes)
		}
	}
	for _, rest := range []string{"q.0 S 1 -\n5be2a07c19f04d6", "q.0 S 1 -\n5be2a07c19f04d6Z", "q.0 S NaN -\n" + someValue} {
		if _, err := parseAnswer([]byte(rest)); err == nil {
			t.Errorf("%q was taken", rest)
		}
	}
	// An answer whose report cannot be read, or is missing, is good, and says nothing of the queue.
	for _, report := range []string{"", " ", " \xff\xfe queue = none", " queue=-4", " queue=1e300"} {
		if a, err := parseAnswer([]byte("q.0 S 1" + report + "\n" + someValue)); err != nil || a.value != someValue || a.report != nil {
			t.Errorf("%q: %v, %+v", report, err, a.report)
		}
	}
}

// What comes behind a good answer does no harm to it, nor to what goes out next.
func TestMoreThanBelongsToAnAnswer(t *testing.T) {
	good := Frame{letterAnswer, []byte("q.0 S 7 queue=1\n" + someValue)}
	for name, e := range map[string]framed{
		"noise":    {frames: []Frame{good}, err: errors.New("noise")},
		"begun":    {frames: []Frame{good}, partial: true},
		"again":    {frames: []Frame{good, good}},
		"no probe": {frames: []Frame{good, {letterLoad, []byte("-")}}},
	} {
		r := newRig(t)
		s := r.send()
		r.dialed(nil)
		s.answer = 'S'
		r.links[0].settle(tcp.WriteComplete)
		e.c = r.links[0].c
		r.Put(e)
		r.turn()
		if s.ended != 1 || !r.links[0].closed {
			t.Errorf("%s: ended %d times, closed %v", name, s.ended, r.links[0].closed)
		}
		if next := r.send(); next.link == r.links[0] {
			t.Errorf("%s: the next part went out on the same connection", name)
		}
	}
}

// A frame that does not end holds up what is out on its connection: that ends soon, and may have run.
func TestFrameThatDoesNotEnd(t *testing.T) {
	r := newRig(t)
	s := r.send()
	r.dialed(nil)
	r.links[0].settle(tcp.WriteComplete)
	r.Put(framed{c: r.links[0].c, partial: true})
	r.turn()
	var next time.Time
	for _, at := range []time.Duration{0, partialFor} {
		r.now = r.now.Add(at)
		var events []aggregator.Event
		if events, next = r.p.Sweep(r.now); len(events) > 0 {
			t.Errorf("%+v", events)
		}
		if over := at > 0; s.ended != 0 || r.links[0].abort != nil != over || !over && !next.Equal(r.now.Add(partialFor)) {
			t.Errorf("after %v: ended %d times, closing %v, next look at %v", at, s.ended, r.links[0].abort != nil, next)
		}
	}
	r.links[0].aborted()
	r.turn()
	if e, ok := s.err.(*aggregator.AttemptError); s.ended != 1 || !ok || e.Progress != aggregator.Written || !e.CorruptStream || e.Canceled {
		t.Errorf("ended %d times: %v", s.ended, s.err)
	}
}

// A part has a connection of its own while there is room: one spoilt answer must not end the others' attempts.
func TestPartsSpreadOverConnections(t *testing.T) {
	r := newRig(t)
	r.p.lim.MaxConnections = 8
	first := r.send()
	r.dialed(nil)
	second := r.send() // shares the connection, and another is opened
	r.dialed(nil)
	third := r.send()
	if first.link != second.link || third.link == first.link {
		t.Fatal("the third part shares a connection with the others")
	}
	for _, l := range r.links {
		l.settle(tcp.WriteComplete)
	}
	r.Put(framed{c: third.link.c, err: errors.New("noise")})
	r.turn()
	third.link.aborted()
	r.turn()
	if first.ended+second.ended != 0 || third.ended != 1 {
		t.Error(first.ended, second.ended, third.ended)
	}
}

// Eighty mixers together must not fill the connections of a server: each opens one, and its parts share that.
func TestOneOfManyMixersOpensOneConnection(t *testing.T) {
	if few, many := ConnsPerServer(3), ConnsPerServer(80); few != 8 || many != 1 {
		t.Fatalf("3 mixers: %d connections each, 80 mixers: %d", few, many)
	}
	r := newRig(t)
	r.p.lim.MaxConnections, r.p.lim.MaxStreams, r.p.lim.ConnsPerServer = 8, 100, ConnsPerServer(80)
	r.send()
	r.dialed(nil)
	for range 20 {
		r.send()
	}
	if len(r.dials) != 0 || len(r.links) != 1 {
		t.Fatalf("%d connections are up and %d on their way", len(r.links), len(r.dials))
	}
}

// A probe whose connection ends is asked again on another: the server may live.
func TestProbeOutlivesItsConnection(t *testing.T) {
	r := newRig(t)
	r.send()
	r.dialed(nil)
	r.p.Probe(r.now, aggregator.Server{ID: "s", Addr: "x"})
	r.links[0].end(tcp.WriteComplete)
	r.turn()
	r.dialed(nil)
	var got []aggregator.Message
	for len(r.box) > 0 {
		got, r.box = append(got, r.box[0]), r.box[1:]
	}
	events, _ := r.p.Handle(r.now, framed{c: r.links[len(r.links)-1].c, frames: []Frame{{letterLoad, []byte("queue=2")}}})
	if len(events) != 1 || events[0].(aggregator.ProbeEnded).Err != nil {
		t.Errorf("%+v %+v", got, events)
	}
}

func TestProbes(t *testing.T) {
	r := newRig(t)
	var got []aggregator.ProbeEnded
	take := func(events []aggregator.Event) {
		for _, e := range events {
			if p, ok := e.(aggregator.ProbeEnded); ok {
				got = append(got, p)
			}
		}
	}
	s := r.send()
	r.dialed(nil)
	r.links[0].settle(tcp.WriteComplete)
	r.p.Probe(r.now, aggregator.Server{ID: "s", Addr: "x"})
	r.p.Probe(r.now, aggregator.Server{ID: "s", Addr: "x"})
	r.now = r.now.Add(time.Second) // both are overdue
	events, _ := r.p.Sweep(r.now)
	take(events)
	r.p.Probe(r.now, aggregator.Server{ID: "s", Addr: "x"})
	for _, text := range []string{"queue=9", "E", "queue=3,util=0.5,new=x"} { // the first two are late
		events, _ := r.p.Handle(r.now, framed{c: r.links[0].c, frames: []Frame{{letterLoad, []byte(text)}}})
		take(events)
	}
	if len(got) != 3 || got[0].Err == nil || got[1].Err == nil || got[2].Err != nil || got[2].Report == nil || got[2].Report.Queue != 3 || got[2].Report.Utilization != 0.5 {
		t.Errorf("%+v", got)
	}
	if s.ended != 0 {
		t.Error("the attempt ended by a probe")
	}
}

// However a stream is cut up, the same frames come of it.
func FuzzParser(f *testing.F) {
	f.Add(AppendFrame(AppendFrame(nil, '5', []byte("q.1 S 1 -\nx")), '4', []byte("-")), 3, 9)
	f.Add([]byte("\x00\x00\x00\x01\x35\xff\xff\xff\xff"), 1, 6)
	f.Fuzz(func(t *testing.T, b []byte, x, y int) {
		read := func(cuts ...int) string {
			var p Parser
			out, from := "", 0
			for _, to := range append(cuts, len(b)) {
				if to < from || to > len(b) {
					continue
				}
				p.Feed(b[from:to])
				for from = to; ; {
					f, ok, err := p.Next()
					if err != nil {
						return out + " bad"
					}
					if !ok {
						break
					}
					out += fmt.Sprintf("%c%q ", f.Type, f.Payload)
				}
			}
			return out
		}
		if whole, cut := read(), read(x, y); whole != cut {
			t.Fatalf("%s, cut: %s", whole, cut)
		}
	})
}

// Reports name their values as the settings do, or as the protocol's page does; both must reach the decisions.
func TestReportsInEitherNames(t *testing.T) {
	for _, text := range []string{"pending=2.5,busy_reqs=7,cpu_share=0.61", "queue=2.5,inflight=7,util=0.61,else=1"} {
		if r := parseReport(text); r == nil || *r != (balance.LoadReport{Queue: 2.5, InFlight: 7, Utilization: 0.61}) {
			t.Errorf("%s: %+v", text, r)
		}
	}
	for _, text := range []string{"-", "", "E"} {
		if r := parseReport(text); r != nil {
			t.Errorf("%q: %+v", text, r)
		}
	}
}

// A machine that vanished leaves its connections open and silent: the next part must not go out on one.
func TestSilentConnectionIsLeft(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		heard bool
		again bool
		left  bool
	}{{2 * time.Second, false, false, true}, {2 * time.Second, true, true, false}, {100 * time.Millisecond, false, false, false},
		{100 * time.Millisecond, false, true, true}} {
		r := newRig(t)
		first := r.send()
		r.dialed(nil)
		l := r.links[0]
		l.settle(tcp.WriteComplete)
		r.now = r.now.Add(c.after)
		if c.heard {
			r.p.Probe(r.now, aggregator.Server{ID: "s", Addr: "x"})
			r.came(l, Frame{letterLoad, []byte("queue=1")})
		}
		r.withdraw(first, c.again)
		l.settle(tcp.WriteComplete)
		r.turn()
		if next := r.send(); (next.link != l) != c.left {
			t.Errorf("%+v: sent on %v", c, next.link)
		}
	}
}
