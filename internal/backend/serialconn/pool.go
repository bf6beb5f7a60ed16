// Package library carries attempts to servers that speak a protocol with one request at a time on a connection.
// Pool lives on the mixer's loop and owns every state; sockets only post to it.
package serialconn

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/query"
)

// Codec words attempts for one server.
type Codec interface {
	// Greeting is what opens a connection; nil if nothing does. Its answer is a Reply with Greeting set.
	Greeting() []byte
	Request(c aggregator.Call, w query.Work) ([]byte, error)
	Parser() Parser
}

// Parser reads a server's answers out of a stream of bytes.
type Parser interface {
	Feed(b []byte) ([]Reply, error)
	End() []Reply // the stream ended; an answer may last until then
}

// Reply is one answer.
type Reply struct {
	Greeting bool
	Err      error
	Value    string
	Score    float64
	Close    bool // the connection serves no further request
}

// Link is a connection as the pool uses it.
type Link interface {
	Write(b []byte, done func(tcp.WriteResult))
	Close(cause error)
}

// Dial opens a connection. It blocks, off the loop.
type Dial = tcp.Dialer

// Limits of a pool.
type Limits struct {
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // a server closes a connection left idle for so long
	MaxConnections int
}

// idleMargin keeps writes off a connection that the server may be about to close: a correction written to it
// may have run for all one knows.
const idleMargin = 2 * time.Second

// greetFor is how long a server may take to answer the greeting.
const greetFor = 500 * time.Millisecond

var errNoGreeting = errors.New("the server does not answer the greeting")

// Stats count what the pool did.
type Stats struct{ Dials, DialsFailed, Broken, LateAnswers uint64 }

// Pool holds the connections to all servers.
type Pool struct {
	Stats Stats
	lim   Limits
	box   aggregator.Poster
	codec func(balance.Replica) Codec
	start func(c *conn, addr string, codec Codec) // dials off the loop; posts dialed
	open  aggregator.Directory
	idle  map[balance.Replica][]*conn
	calls map[aggregator.AttemptID]*attempt
	total int
	soon  []aggregator.Event
	busy  bool
	young map[*conn]time.Time // greeting since
}

type attempt struct {
	call      aggregator.Call
	server    aggregator.Server
	conn      *conn
	written   aggregator.Progress // as far as is known
	settled   bool                // the link has accounted for the write
	withdrawn bool
}

type conn struct {
	server balance.Replica
	addr   string
	link   Link
	up     bool // connected, and greeted where that is needed
	closed bool
	at     *attempt
	used   time.Time
}

// events of the sockets
type (
	dialed struct {
		aggregator.AdapterMessage
		c    *conn
		link Link
		err  error
	}
	replied struct {
		aggregator.AdapterMessage
		c *conn
		r Reply
	}
	closed struct {
		aggregator.AdapterMessage
		c   *conn
		err error
	}
	wrote struct {
		aggregator.AdapterMessage
		a   *attempt
		how tcp.WriteResult
	}
)

// NewPool returns a pool that posts to box.
func NewPool(lim Limits, box aggregator.Poster, dial Dial, codec func(balance.Replica) Codec) *Pool {
	p := &Pool{
		lim: lim, box: box, codec: codec,
		idle: map[balance.Replica][]*conn{}, calls: map[aggregator.AttemptID]*attempt{}, young: map[*conn]time.Time{},
	}
	p.start = func(c *conn, addr string, codec Codec) {
		go func() {
			link, err := dial(addr, lim.ConnectTimeout, func(*tcp.Conn) tcp.Handler {
				return &reader{c: c, box: box, parser: codec.Parser()}
			})
			if err != nil {
				box.Put(dialed{c: c, err: err})
				return
			}
			box.Put(dialed{c: c, link: link})
		}()
	}
	return p
}

// SetDirectory names the directory that says where new work may go.
func (p *Pool) SetDirectory(d aggregator.Directory) { p.open = d }

// reader reads answers off a link and posts them.
type reader struct {
	c      *conn
	box    aggregator.Poster
	parser Parser
	bad    bool
}

func (r *reader) Data(b []byte) {
	if r.bad {
		return
	}
	replies, err := r.parser.Feed(b)
	for _, one := range replies {
		r.box.Put(replied{c: r.c, r: one})
	}
	if err != nil { // an answer that cannot be read ends the connection
		r.bad = true
		r.box.Put(closed{c: r.c, err: err})
	}
}

func (r *reader) Closed(err error) {
	if !r.bad {
		for _, one := range r.parser.End() {
			r.box.Put(replied{c: r.c, r: one})
		}
	}
	r.box.Put(closed{c: r.c, err: err})
}

// Send starts each attempt on a connection of its own.
func (p *Pool) Send(now time.Time, to aggregator.Server, calls []aggregator.Call) {
	for _, call := range calls {
		a := &attempt{call: call, server: to}
		p.calls[call.Attempt] = a
		if c := p.take(now, to); c != nil {
			p.write(now, c, a)
			continue
		}
		p.connect(now, to, a)
	}
}

// take returns an idle connection that the server surely still holds.
func (p *Pool) take(now time.Time, to aggregator.Server) *conn {
	for _, c := range slices.Backward(p.idle[to.ID]) {
		if c.addr == to.Addr && !p.stale(now, c) {
			p.drop(c)
			return c
		}
	}
	return nil
}

func (p *Pool) stale(now time.Time, c *conn) bool {
	return now.Sub(c.used) > max(p.lim.IdleTimeout/2, p.lim.IdleTimeout-idleMargin)
}

// drop takes a connection out of the idle ones.
func (p *Pool) drop(c *conn) {
	p.idle[c.server] = slices.DeleteFunc(p.idle[c.server], func(o *conn) bool { return o == c })
	if len(p.idle[c.server]) == 0 {
		delete(p.idle, c.server)
	}
}

func (p *Pool) connect(now time.Time, to aggregator.Server, a *attempt) {
	c := &conn{server: to.ID, addr: to.Addr, at: a, used: now}
	a.conn = c
	if p.total >= p.lim.MaxConnections {
		p.shutOldest()
	}
	codec := p.codec(to.ID)
	if p.total >= p.lim.MaxConnections || codec == nil || to.Addr == "" {
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, LocalCause: true, Cause: errors.New("no socket left, or a server that is gone")}, nil)
		return
	}
	p.total++
	p.Stats.Dials++
	p.start(c, to.Addr, codec)
}

// shutOldest closes the connection that has been idle longest. Guards the limit on sockets.
func (p *Pool) shutOldest() {
	var oldest *conn
	for _, list := range p.idle {
		for _, c := range list {
			if oldest == nil || c.used.Before(oldest.used) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.shut(oldest, errors.New("idle, and sockets run short"))
	}
}

func (p *Pool) shut(c *conn, cause error) {
	if c.link != nil {
		c.link.Close(cause)
	}
	if !c.closed {
		c.closed = true
		p.total--
		p.drop(c)
	}
}

// write sends an attempt. It is checked again before its first byte: it may have had to wait for its
// connection, and the server may drain by now, or the time be over.
func (p *Pool) write(now time.Time, c *conn, a *attempt) {
	c.at, a.conn = a, c
	refuse := func(e *aggregator.AttemptError) {
		p.end(a, e, nil)
		p.rest(now, c)
	}
	if !p.open.Available(a.server.ID) {
		refuse(&aggregator.AttemptError{Progress: aggregator.NotConnected, Rejected: true, Cause: errors.New("it drains")})
		return
	}
	if a.withdrawn || !now.Before(a.call.Deadline) {
		refuse(&aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
		return
	}
	var w query.Work
	err := json.Unmarshal([]byte(a.call.Payload), &w)
	var frame []byte
	if err == nil {
		frame, err = p.codec(a.server.ID).Request(a.call, w)
	}
	if err != nil {
		refuse(&aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: err})
		return
	}
	a.written = aggregator.Written // until the link says otherwise
	c.used = now
	c.link.Write(frame, func(how tcp.WriteResult) { p.box.Put(wrote{a: a, how: how}) })
}

// rest makes a connection idle.
func (p *Pool) rest(now time.Time, c *conn) {
	c.at = nil
	if c.closed || !c.up {
		return
	}
	c.used = now
	p.idle[c.server] = append(p.idle[c.server], c)
}

// Cancel gives an attempt up. Neither protocol can call off what is under way so that nothing of it comes
// back, so the connection is closed, and the attempt ends when it is.
func (p *Pool) Cancel(now time.Time, id aggregator.AttemptID, _ bool) {
	a := p.calls[id]
	if a == nil || a.withdrawn {
		return
	}
	a.withdrawn = true
	if a.conn.link == nil || !a.conn.up { // dialing or greeting: nothing of it was written
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true}, nil)
		if a.conn.link != nil {
			p.shut(a.conn, errors.New("given up"))
		}
		return
	}
	a.conn.link.Close(errors.New("given up"))
}

// Probe tells nothing: these protocols have no probe for load.
func (p *Pool) Probe(now time.Time, to aggregator.Server) {
	p.emit(aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}})
}

func (p *Pool) emit(e aggregator.Event) {
	if p.busy {
		p.soon = append(p.soon, e)
	} else {
		p.box.Put(e)
	}
}

func (p *Pool) end(a *attempt, err error, r *Reply) {
	if p.calls[a.call.Attempt] != a {
		return
	}
	delete(p.calls, a.call.Attempt)
	if a.conn != nil && a.conn.at == a {
		a.conn.at = nil
	}
	e := aggregator.AttemptEnded{Attempt: a.call.Attempt, Err: err}
	if r != nil {
		e.Score, e.Value = r.Score, r.Value
	}
	p.emit(e)
}

// Handle takes what a socket posted.
func (p *Pool) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	p.busy = true
	defer func() { p.busy = false }()
	switch e := message.(type) {
	case dialed:
		p.dialed(now, e)
	case replied:
		p.replied(now, e.c, e.r)
	case closed:
		p.closed(e.c, e.err)
	case wrote:
		p.wrote(e.a, e.how)
	default:
		return nil, false
	}
	events := p.soon
	p.soon = nil
	return events, true
}

func (p *Pool) dialed(now time.Time, e dialed) {
	c := e.c
	if e.err != nil {
		p.Stats.DialsFailed++
		p.shut(c, nil)
		if c.at != nil {
			p.end(c.at, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: e.err}, nil)
		}
		return
	}
	c.link = e.link
	if c.closed || c.at == nil { // closed at once, or given up meanwhile
		p.shut(c, errors.New("not wanted any more"))
		return
	}
	if hello := p.codec(c.server).Greeting(); hello != nil {
		c.link.Write(hello, nil)
		p.young[c] = now
		return
	}
	c.up = true
	p.write(now, c, c.at)
}

func (p *Pool) replied(now time.Time, c *conn, r Reply) {
	a := c.at
	switch {
	case r.Greeting && !c.up:
		if r.Err != nil {
			p.shut(c, r.Err)
			if a != nil {
				p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: r.Err}, nil)
			}
			return
		}
		delete(p.young, c)
		if c.up = true; a != nil {
			p.write(now, c, a)
		}
		return
	case !c.up:
		// Guards against a server that answers before it was asked: that is no answer to the attempt that waits.
		cause := errors.New("the server answered before it was asked")
		p.shut(c, cause)
		if a != nil {
			p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: cause}, nil)
		}
		return
	case a == nil || a.withdrawn || r.Greeting:
		p.Stats.LateAnswers++ // nobody waits for it; whatever follows on this connection cannot be told apart
		p.shut(c, errors.New("an answer that nobody waits for"))
		if a != nil {
			p.lost(a, errors.New("given up"))
		}
		return
	}
	p.end(a, r.Err, &r)
	if r.Close {
		p.shut(c, errors.New("the server wants it closed"))
		return
	}
	p.rest(now, c)
}

func (p *Pool) closed(c *conn, cause error) {
	if !c.closed && c.link != nil {
		p.Stats.Broken++
	}
	p.shut(c, cause)
	if cause == nil {
		cause = errors.New("the server closed the connection")
	}
	if a := c.at; a != nil {
		p.lost(a, cause)
	}
}

// lost ends an attempt whose connection is gone, once it is known how far its request had come.
func (p *Pool) lost(a *attempt, cause error) {
	switch {
	case a.written < aggregator.Written:
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: a.withdrawn, Cause: cause}, nil)
	case a.settled:
		p.end(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: a.withdrawn, Cause: cause}, nil)
	}
}

func (p *Pool) wrote(a *attempt, how tcp.WriteResult) {
	a.settled = true
	if how == tcp.WriteNone {
		a.written = aggregator.NotConnected // no byte of it left
	}
	if a.conn.closed && p.calls[a.call.Attempt] == a {
		p.lost(a, fmt.Errorf("the connection broke"))
	}
}

// Sweep closes connections before their idle limit.
func (p *Pool) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	var next time.Time
	for _, list := range p.idle {
		for _, c := range slices.Clone(list) {
			if p.stale(now, c) {
				p.shut(c, errors.New("idle"))
				continue
			}
			if due := c.used.Add(max(p.lim.IdleTimeout/2, p.lim.IdleTimeout-idleMargin) + time.Millisecond); next.IsZero() || due.Before(next) {
				next = due
			}
		}
	}
	p.busy = true
	defer func() { p.busy = false }()
	for c, since := range p.young {
		// Guards a part against a server that accepts and never greets: nothing of it was written, so it may
		// go elsewhere.
		due := since.Add(greetFor)
		if !now.Before(due) {
			a := c.at
			p.shut(c, errNoGreeting)
			if a != nil {
				p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: errNoGreeting}, nil)
			}
		} else if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	events := p.soon
	p.soon = nil
	return events, next
}
