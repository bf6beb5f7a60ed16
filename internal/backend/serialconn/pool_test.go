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

// rig drives a pool by hand and keeps a model of what each attempt may have come to.
type rig struct {
	t       *testing.T
	p       *Pool
	now     time.Time
	box     []aggregator.Message
	links   []*link
	drained bool
	greets  bool
	sent    []*sent
}

type sent struct {
	name      string
	link      *link // its request was handed to
	settled   bool
	how       tcp.WriteResult
	withdrawn bool
	answered  bool
	ended     int
}

type link struct {
	r      *rig
	c      *conn
	closed bool
	queue  []func(tcp.WriteResult)
	of     []*sent
}

func (l *link) Write(b []byte, done func(tcp.WriteResult)) {
	var of *sent
	for _, s := range l.r.sent {
		if s.name == string(b) {
			if of = s; s.link != nil {
				l.r.t.Fatalf("%s was written twice", s.name)
			}
			s.link = l
			if l.r.drained {
				l.r.t.Fatalf("%s went to a server that drains", s.name)
			}
		}
	}
	if done == nil {
		done = func(tcp.WriteResult) {}
	}
	l.queue, l.of = append(l.queue, done), append(l.of, of)
	if l.closed {
		l.settle(tcp.WriteNone)
	}
}

func (l *link) settle(how tcp.WriteResult) {
	if len(l.queue) == 0 {
		return
	}
	done, of := l.queue[0], l.of[0]
	l.queue, l.of = l.queue[1:], l.of[1:]
	if of != nil {
		of.settled, of.how = true, how
	}
	done(how)
}

func (l *link) Close(error) { l.end(tcp.WriteUncertain) }

func (l *link) end(first tcp.WriteResult) {
	if l.closed {
		return
	}
	l.closed = true
	l.r.Put(closed{c: l.c, err: errors.New("broken")})
	for how := first; len(l.queue) > 0; how = tcp.WriteNone {
		l.settle(how)
	}
}

func (r *rig) Put(e aggregator.Message)       { r.box = append(r.box, e) }
func (r *rig) Available(balance.Replica) bool { return !r.drained }

// codec words an attempt as its name.
type codec struct{ r *rig }

func (c codec) Greeting() []byte {
	if c.r.greets {
		return []byte("hello")
	}
	return nil
}
func (codec) Request(c aggregator.Call, _ query.Work) ([]byte, error) { return []byte(c.Name), nil }
func (codec) Parser() Parser                                          { return nil }

// newHarness's pool dials nothing: the rig posts what a dial comes to.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: time.Unix(1000, 0)}
	r.p = NewPool(Limits{ConnectTimeout: time.Second, IdleTimeout: 12 * time.Second, MaxConnections: 4}, r, nil, func(balance.Replica) Codec { return codec{r} })
	r.p.start = func(*conn, string, Codec) {}
	r.p.SetDirectory(r)
	return r
}

func (r *rig) send() {
	s := &sent{name: fmt.Sprintf("q.%d", len(r.sent))}
	id := aggregator.AttemptID{Part: balance.ID(len(r.sent))}
	r.sent = append(r.sent, s)
	r.p.Send(r.now, aggregator.Server{ID: "s", Addr: "x"}, []aggregator.Call{{Attempt: id, Name: s.name, Payload: "{}", Deadline: r.now.Add(5 * time.Second)}})
	r.turn()
}

// dialing are the connections that are not up yet.
func (r *rig) dialed(s int, err error) {
	if a := r.p.calls[aggregator.AttemptID{Part: balance.ID(s)}]; a != nil && a.conn != nil && a.conn.link == nil && !a.conn.closed {
		if err != nil {
			r.Put(dialed{c: a.conn, err: err})
		} else {
			l := &link{r: r, c: a.conn}
			r.links = append(r.links, l)
			r.Put(dialed{c: a.conn, link: l})
		}
		r.turn()
	}
}

func (r *rig) turn() {
	for len(r.box) > 0 {
		e := r.box[0]
		r.box = r.box[1:]
		events, mine := r.p.Handle(r.now, e)
		if !mine {
			events = []aggregator.Event{e.(aggregator.Event)}
		}
		r.check(events)
	}
}

func (r *rig) check(events []aggregator.Event) {
	for _, e := range events {
		e, ok := e.(aggregator.AttemptEnded)
		if !ok {
			continue
		}
		s := r.sent[e.Attempt.Part]
		if s.ended++; s.ended > 1 {
			r.t.Fatalf("%s ended twice", s.name)
		}
		var a *aggregator.AttemptError
		if e.Err == nil {
			if !s.answered {
				r.t.Fatalf("%s is served without an answer", s.name)
			}
			continue
		}
		mayRun := s.link != nil && (!s.settled || s.how != tcp.WriteNone)
		if !errors.As(e.Err, &a) || a.Progress < aggregator.Written && mayRun {
			r.t.Fatalf("%s is said not to have run: %v", s.name, e.Err)
		}
		if a.Canceled && mayRun && !s.link.closed {
			r.t.Fatalf("%s was given up and its connection goes on", s.name)
		}
	}
}

// finish breaks all there is: whatever was sent must have ended by then, once.
func (r *rig) finish() {
	for i := range r.sent {
		r.dialed(i, errors.New("refused"))
	}
	for _, l := range r.links {
		l.end(tcp.WriteNone)
	}
	r.turn()
	for _, s := range r.sent {
		if s.ended != 1 {
			r.t.Fatalf("%s ended %d times", s.name, s.ended)
		}
	}
}

func FuzzPool(f *testing.F) {
	f.Add(false, []byte{0, 2, 4, 6, 0, 4, 6})       // served, and again on the same connection
	f.Add(true, []byte{0, 2, 9, 4, 4, 5})           // greeted, then broken
	f.Add(true, []byte{0, 2, 8, 8, 0, 3})           // never greeted; refused
	f.Add(false, []byte{0, 1, 2, 0, 2, 1, 4, 6})    // given up before and after
	f.Add(false, []byte{0, 7, 2, 7, 0, 2, 4, 6, 8}) // drains while it connects
	f.Add(false, []byte{0, 2, 15, 0, 2, 25, 0, 2, 4, 5})
	f.Fuzz(func(t *testing.T, greets bool, steps []byte) {
		r := newRig(t)
		r.greets = greets
		for _, step := range steps[:min(len(steps), 200)] {
			pick := int(step) / 10
			var l *link
			if len(r.links) > 0 {
				l = r.links[len(r.links)-1-pick%len(r.links)]
			}
			n := len(r.sent) - 1
			if n >= 0 {
				n -= pick % len(r.sent)
			}
			switch {
			case step%10 == 0 && !r.drained:
				r.send()
			case step%10 == 1 && n >= 0:
				r.sent[n].withdrawn = true
				r.p.Cancel(r.now, aggregator.AttemptID{Part: balance.ID(n)}, true)
				r.turn()
			case step%10 == 2 && n >= 0:
				r.dialed(n, nil)
			case step%10 == 3 && n >= 0:
				r.dialed(n, errors.New("refused"))
			case step%10 == 4 && l != nil:
				l.settle(tcp.WriteComplete)
				r.turn()
			case step%10 == 5 && l != nil:
				l.end(tcp.WriteResult(pick % 3))
				r.turn()
			case step%10 == 6 && l != nil && !l.closed:
				for _, s := range r.sent {
					if s.link == l && s.ended == 0 {
						s.answered = true
					}
				}
				r.Put(replied{c: l.c, r: Reply{Value: "v", Close: pick%2 == 1}})
				r.turn()
			case step%10 == 7:
				r.drained = !r.drained
			case step%10 == 8:
				r.now = r.now.Add(2 * time.Second)
				events, _ := r.p.Sweep(r.now)
				r.check(events)
				r.turn()
			case step%10 == 9 && l != nil && !l.closed:
				r.Put(replied{c: l.c, r: Reply{Greeting: true}})
				r.turn()
			}
		}
		r.finish()
	})
}
