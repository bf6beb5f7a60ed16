package leaf

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Link is a connection as the pool uses it.
type Link interface {
	Write(b []byte, done func(tcp.WriteResult))
	// WriteWithin writes what is no good any more after so long.
	WriteWithin(d time.Duration, b []byte, done func(tcp.WriteResult))
	Close(cause error)
	// Abort closes at once, with what is not sent yet thrown away; done is called when that is so.
	Abort(cause error, done func())
}

// DialFunc opens a connection off the loop. It blocks.
type DialFunc func(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error)

// DialTCP is Dial on the network.
func DialTCP(addr string, timeout time.Duration, handler func(*tcp.Conn) tcp.Handler) (Link, error) {
	l, err := tcp.Dial(addr, timeout, handler)
	if err != nil {
		return nil, err
	}
	return l, nil
}

// Limits of a pool.
type Limits struct {
	MaxStreams     int           // calls at once on one connection
	IdleTimeout    time.Duration // the server closes a connection left idle for so long
	ConnectTimeout time.Duration
	MaxConnections int // connections together
	// UnresponsiveAfter is how long a server may say nothing at all before an attempt that is given up counts against its
	// connection.
	UnresponsiveAfter time.Duration
	// ConnsPerServer is how many connections to one server are opened before parts share them; at least 1.
	ConnsPerServer int
}

const (
	// slack is added to each time limit of the settings that a server or the network may use up.
	slack = 50 * time.Millisecond
	// idleMargin keeps writes off a connection that the server may be about to close: a call written to it
	// would end as a reset, and may have run for all one knows.
	idleMargin = 2 * time.Second
	// givenUpFor is how long late word on an attempt that was given up may still come.
	givenUpFor = 30 * time.Second
	// writeWithin is how long a call may wait behind what is still to be written on its connection. Well under the 250 ms
	// in which new work may still go to a server that was told of as leaving.
	writeWithin = 100 * time.Millisecond
	// partialFor is how long the rest of a frame may take: servers write each whole.
	partialFor = 100 * time.Millisecond
)

// Stats count what the pool did.
type Stats struct{ Dials, DialsFailed, Broken, Corrupt, LateAnswers uint64 }

// Pool holds the connections to all leaf servers. It lives on the loop.
type Pool struct {
	Stats Stats
	lim   Limits
	box   aggregator.Poster
	dial  func(c *conn, addr string, timeout time.Duration) // starts; posts dialed
	open  Directory
	hosts map[balance.Replica]*host
	calls map[aggregator.AttemptID]*attempt
	total int
	soon  []aggregator.Event // core events of the socket event in hand
	busy  bool               // one is in hand
}

type host struct {
	id      balance.Replica
	conns   []*conn
	waiting []*group // calls that wait for a connection
	probes  []*probe // and probes
}

// group is one call: parts that go in one frame.
type group struct {
	host    *host
	addr    string    // where the server was listed then
	started time.Time // and its last start
	parts   []*attempt
}

type state int

const (
	queued  state = iota // waits for a connection
	writing              // handed to the link
	out                  // written whole
)

type attempt struct {
	call      aggregator.Call
	host      *host
	conn      *conn
	state     state
	written   time.Time
	withdrawn bool
	unproved  bool // given up, and that its server knows waits for an answer to a probe behind the frame 2
}

type probe struct {
	host  *host
	conn  *conn
	sent  time.Time
	until time.Time
	again bool // asked a second time
	over  bool // ended; its answer, if it still comes, is for nobody
	// proves, if set, is an attempt that was given up: the answer shows that the server has read so.
	proves *attempt
}

type conn struct {
	host    *host
	addr    string
	link    Link
	up      bool
	closed  bool  // nothing more goes out on it
	over    bool  // and its socket is closed: what was out on it has ended
	cause   error // closed by this side: why
	streams map[string]*attempt
	probes  []*probe
	givenUp map[string]time.Time
	used    time.Time // last time that surely counts as use
	heard   time.Time // last time that the server said anything
	silent  bool      // it may be gone without a word: nothing new goes out on it
	since   time.Time // dialing since
	partial time.Time // a frame began then and is not whole; zero: none
	last    string    // part that was answered last
	retired bool      // nothing new goes out on it
	spoilt  bool      // it ended by what came on it
}

// events of the sockets
type (
	dialed struct {
		aggregator.AdapterMessage
		c    *conn
		link Link
		err  error
	}
	// framed is what came at once: whole frames, and then perhaps the beginning of another, or what cannot be
	// read. It is one event, so that nothing is sent on the connection between an answer and the noise behind it.
	framed struct {
		aggregator.AdapterMessage
		c       *conn
		frames  []Frame
		partial bool
		err     error
	}
	closed struct {
		aggregator.AdapterMessage
		c   *conn
		err error
	}
	aborted struct { // by this side, and its socket is closed now
		aggregator.AdapterMessage
		c *conn
	}
	wrote struct {
		aggregator.AdapterMessage
		c     *conn
		parts []*attempt
		how   tcp.WriteResult
	}
	told struct { // a frame 2 left, or its connection broke
		aggregator.AdapterMessage
		a *attempt
	}
)

// NewPool returns a pool that posts to box. dial is DialTCP in the program.
func NewPool(lim Limits, box aggregator.Poster, dial DialFunc) *Pool {
	p := &Pool{lim: lim, box: box, hosts: map[balance.Replica]*host{}, calls: map[aggregator.AttemptID]*attempt{}}
	p.dial = func(c *conn, addr string, timeout time.Duration) {
		go func() {
			link, err := dial(addr, timeout, func(*tcp.Conn) tcp.Handler { return &reader{c: c, box: box} })
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
func (p *Pool) SetDirectory(d Directory) { p.open = d }

// Directory says what is listed of a server by now.
type Directory interface {
	aggregator.Directory
	// Server is its entry; without an address where there is none.
	Server(balance.Replica) aggregator.Server
}

// reader reads frames off a link and posts them.
type reader struct {
	c       *conn
	box     aggregator.Poster
	parser  Parser
	partial bool // as last posted
	bad     bool
}

func (r *reader) Data(b []byte) {
	if r.bad {
		return
	}
	r.parser.Feed(b)
	e := framed{c: r.c}
	for {
		f, ok, err := r.parser.Next()
		if err != nil {
			r.bad, e.err = true, err
		}
		if !ok {
			break
		}
		e.frames = append(e.frames, f)
	}
	if e.partial = r.parser.Partial(); len(e.frames) > 0 || r.bad || e.partial && !r.partial {
		r.box.Put(e)
	}
	r.partial = e.partial
}

func (r *reader) Closed(err error) { r.box.Put(closed{c: r.c, err: err}) }

func (p *Pool) host(id balance.Replica) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id}
		p.hosts[id] = h
	}
	return h
}

// Send makes one call of these attempts, or several where they are more than a connection has room for.
func (p *Pool) Send(now time.Time, to aggregator.Server, calls []aggregator.Call) {
	h := p.host(to.ID)
	g := &group{host: h, addr: to.Addr, started: to.Started}
	for _, c := range calls {
		a := &attempt{call: c, host: h}
		p.calls[c.Attempt] = a
		g.parts = append(g.parts, a)
	}
	p.place(now, g)
}

// place writes a group on a connection with room, or lets it wait for a new one.
func (p *Pool) place(now time.Time, g *group) {
	addr := g.addr
	var best *conn
	idle := 0
	for _, c := range g.host.conns {
		if c.up && p.fit(now, c, g, addr) {
			if len(c.streams) == 0 {
				idle++
			}
			if best == nil || len(c.streams) < len(best.streams) {
				best = c
			}
		}
	}
	if best != nil {
		p.write(now, best, g)
		// Another connection for the next part, while there is room. Guards the parts that share one: it ends
		// with a spoilt answer to any of them.
		if h := g.host; idle <= 1 && len(h.conns) < p.lim.ConnsPerServer && p.total < p.lim.MaxConnections*3/4 && p.open.Available(h.id) &&
			!slices.ContainsFunc(h.conns, func(c *conn) bool { return !c.up }) {
			p.connect(now, h, addr)
		}
		return
	}
	g.host.waiting = append(g.host.waiting, g)
	room, wait := 0, 0
	for _, c := range g.host.conns {
		if !c.up && !c.closed && c.addr == addr {
			room += p.lim.MaxStreams
		}
	}
	for _, o := range g.host.waiting {
		if o.addr == addr {
			wait++
		}
	}
	if room < wait {
		p.connect(now, g.host, addr)
	}
}

func (p *Pool) fit(now time.Time, c *conn, g *group, addr string) bool {
	if c.closed || c.silent || c.retired || !c.partial.IsZero() || c.addr != addr || len(c.streams)+len(g.parts) > max(p.lim.MaxStreams, len(g.parts)) || p.stale(now, c) {
		return false
	}
	for _, a := range g.parts {
		// A late answer to an earlier attempt of the part would be taken for this one's.
		if _, gaveUp := c.givenUp[a.call.Name]; gaveUp || c.streams[a.call.Name] != nil {
			return false
		}
	}
	return true
}

// stale says whether the server may close a connection for idleness by the time a frame arrives.
func (p *Pool) stale(now time.Time, c *conn) bool {
	return len(c.streams) == 0 && p.lim.IdleTimeout > 0 && now.Sub(c.used) > max(p.lim.IdleTimeout/2, p.lim.IdleTimeout-idleMargin)
}

func (p *Pool) connect(now time.Time, h *host, addr string) {
	c := &conn{host: h, addr: addr, since: now, used: now, streams: map[string]*attempt{}, givenUp: map[string]time.Time{}}
	if addr == "" || p.total >= p.lim.MaxConnections && !p.spare() {
		p.box.Put(dialed{c: c, err: errors.New("no address, or no socket left")})
	} else {
		p.Stats.Dials++
		p.dial(c, addr, p.lim.ConnectTimeout+slack)
	}
	p.total++
	h.conns = append(h.conns, c)
}

// spare closes the connection that has been idle longest. Guards the limit on sockets.
func (p *Pool) spare() bool {
	var idle *conn
	for _, h := range p.hosts {
		for _, c := range h.conns {
			if c.up && !c.closed && len(c.streams) == 0 && len(c.probes) == 0 && (idle == nil || c.used.Before(idle.used)) {
				idle = c
			}
		}
	}
	if idle == nil {
		return false
	}
	p.shut(idle, errors.New("idle, and sockets run short"))
	return true
}

// shut closes a connection. What is out on it ends once its socket is closed, and no sooner. Guards against a second
// copy: a part sent anew may reach its server before this one's hears of the end.
func (p *Pool) shut(c *conn, cause error) {
	switch {
	case c.closed:
	case c.link == nil:
		p.gone(c, cause)
	case len(c.streams) == 0:
		c.link.Close(cause)
		p.gone(c, cause)
	default:
		p.drop(c)
		c.cause = cause
		c.link.Abort(cause, func() { p.box.Put(aborted{c: c}) })
	}
}

func (p *Pool) write(now time.Time, c *conn, g *group) {
	calls := make([]aggregator.Call, len(g.parts))
	within := writeWithin
	for i, a := range g.parts {
		calls[i] = a.call
		if !a.call.WriteBy.IsZero() {
			within = min(within, a.call.WriteBy.Sub(now))
		}
		a.conn, a.state, a.written = c, writing, now
		c.streams[a.call.Name] = a
	}
	c.used = now
	parts := g.parts
	c.link.WriteWithin(within, callFrame(now, calls), func(how tcp.WriteResult) { p.box.Put(wrote{c: c, parts: parts, how: how}) })
}

// Cancel gives an attempt up; it ends once the server has been told, as far as that can be known. Where the part may be
// sent again, a frame 2 that was written is not enough on a connection on which nothing was heard since the attempt was
// written: behind a cut neither frame has arrived, or just the first, or both will when the cut is over. Such a
// connection is closed, with what it holds thrown away; where other parts are out on it, a probe behind the frame 2
// shows whether it has to be.
func (p *Pool) Cancel(now time.Time, id aggregator.AttemptID, again bool) {
	a := p.calls[id]
	if a == nil || a.withdrawn {
		return
	}
	a.withdrawn = true
	if a.state == queued {
		for _, g := range a.host.waiting {
			g.parts = slices.DeleteFunc(g.parts, func(o *attempt) bool { return o == a })
		}
		a.host.waiting = slices.DeleteFunc(a.host.waiting, func(g *group) bool { return len(g.parts) == 0 })
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
		return
	}
	c := a.conn
	if c.closed { // it ends with its connection
		return
	}
	a.unproved = again && !c.heard.After(a.written)
	if a.unproved && c.givenUpAll() {
		p.shut(c, errors.New("given up, and nothing is heard"))
		return
	}
	c.used = now
	frame := AppendFrame(nil, letterGiveUp, []byte(a.call.Name))
	if a.unproved {
		c.probes = append(c.probes, &probe{host: a.host, conn: c, sent: now, until: now.Add(p.lim.ConnectTimeout + slack), proves: a})
		frame = AppendFrame(frame, letterProbe, nil)
	}
	c.link.Write(frame, func(tcp.WriteResult) { p.box.Put(told{a: a}) })
}

// givenUpAll says whether all that is out on a connection was given up.
func (c *conn) givenUpAll() bool {
	for _, a := range c.streams {
		if !a.withdrawn {
			return false
		}
	}
	return true
}

// Probe asks a server for its load.
func (p *Pool) Probe(now time.Time, to aggregator.Server) {
	p.probe(now, &probe{host: p.host(to.ID), sent: now, until: now.Add(p.lim.ConnectTimeout + slack)}, to.Addr)
}

func (p *Pool) probe(now time.Time, pr *probe, addr string) {
	h := pr.host
	for _, c := range h.conns {
		if c.up && !c.closed && !c.silent && !c.retired && c.addr == addr && !p.stale(now, c) {
			p.ask(c, pr)
			return
		}
	}
	h.probes = append(h.probes, pr)
	if !slices.ContainsFunc(h.conns, func(c *conn) bool { return !c.up && !c.closed && c.addr == addr }) {
		p.connect(now, h, addr)
	}
}

func (p *Pool) ask(c *conn, pr *probe) {
	pr.conn = c
	c.probes = append(c.probes, pr)
	c.link.Write(AppendFrame(nil, letterLoad, nil), nil)
}

// emit passes a core event on: with the socket event in hand, or to a later turn if the core called.
func (p *Pool) emit(e aggregator.Event) {
	if p.busy {
		p.soon = append(p.soon, e)
	} else {
		p.box.Put(e)
	}
}

// end ends an attempt with an error, or with none if it was served; then ended says with what.
func (p *Pool) end(a *attempt, err error, with ...aggregator.AttemptEnded) {
	if p.calls[a.call.Attempt] != a {
		return
	}
	delete(p.calls, a.call.Attempt)
	if a.conn != nil && a.conn.streams[a.call.Name] == a {
		delete(a.conn.streams, a.call.Name)
	}
	e := aggregator.AttemptEnded{}
	if len(with) > 0 {
		e = with[0]
	}
	e.Attempt, e.Err = a.call.Attempt, err
	p.emit(e)
}

func (p *Pool) endProbe(now time.Time, pr *probe, err error, r *balance.LoadReport) {
	if pr.over {
		return
	}
	pr.over = true
	p.emit(aggregator.ProbeEnded{Server: pr.host.id, Err: err, Elapsed: now.Sub(pr.sent), Report: r})
}

func (p *Pool) flush() []aggregator.Event {
	p.busy = false
	events := p.soon
	p.soon = nil
	return events
}

// Handle takes what a socket posted.
func (p *Pool) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	p.busy = true
	switch e := message.(type) {
	case dialed:
		p.dialed(now, e)
	case framed:
		p.read(now, e)
	case closed:
		if e.c.closed {
			break // by this side: what was out on it ends with aborted
		}
		if e.c.link != nil {
			p.Stats.Broken++
			e.c.link.Close(e.err)
		}
		p.gone(e.c, e.err)
	case aborted:
		p.over(e.c, e.c.cause)
	case wrote:
		for _, a := range e.parts {
			p.wrote(a, e.how)
		}
		if e.how == tcp.WriteUncertain { // the link is closing
			p.shut(e.c, errors.New("the connection broke under a frame"))
		}
	case told:
		// Written, or the connection is gone: either way the server has it given up, or soon will.
		if c := e.a.conn; p.calls[e.a.call.Attempt] == e.a && (!c.closed || c.over) {
			// Guards against a machine that vanished: its connections stay open and say nothing, and whatever is
			// written on them may have run for all one knows. A new one shows whether it is there.
			c.silent = c.silent || c.heard.Before(e.a.written) && now.Sub(e.a.written) > p.lim.UnresponsiveAfter
			if !e.a.unproved || c.over {
				p.told(now, e.a)
			}
		}
	default:
		p.busy = false
		return nil, false
	}
	return p.flush(), true
}

// told ends an attempt whose server has been told that it is given up.
func (p *Pool) told(now time.Time, a *attempt) {
	a.conn.givenUp[a.call.Name] = now
	p.end(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true})
}

func (p *Pool) wrote(a *attempt, how tcp.WriteResult) {
	if p.calls[a.call.Attempt] != a || a.state != writing {
		return
	}
	switch {
	case how == tcp.WriteNone: // so it never ran
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: a.withdrawn, Cause: errors.New("the connection broke before the frame")})
	case how == tcp.WriteExpired: // nor did this
		p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true, Cause: errors.New("not written in time")})
	case a.conn.over: // the end of the frame may have left: it may run
		p.end(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: a.withdrawn, CorruptStream: a.conn.spoilt, Cause: errors.New("the connection broke under the frame")})
	default:
		a.state = out
	}
}

func (p *Pool) dialed(now time.Time, e dialed) {
	c := e.c
	if e.err != nil {
		p.Stats.DialsFailed++
		p.drop(c)
		// What waits is not tried again here: the decisions may know a better server.
		if !slices.ContainsFunc(c.host.conns, func(o *conn) bool { return !o.up && !o.closed }) {
			p.fail(now, c.host, e.err)
		}
		return
	}
	if c.closed { // closed before it was told to be up
		c.link = e.link
		e.link.Close(nil)
		p.fail(now, c.host, errors.New("the connection broke at once"))
		return
	}
	c.link, c.up, c.used = e.link, true, now
	h := c.host
	waiting, probes := h.waiting, h.probes
	h.waiting, h.probes = nil, nil
	listed := p.open.Server(h.id)
	for _, g := range waiting {
		// Checked again before its first byte: the server may drain, or have moved or started anew by now, and the time may
		// be over. Parts meant for its earlier process were not counted against what a cold one may be sent.
		ready := g.parts[:0]
		for _, a := range g.parts {
			switch {
			case !p.open.Available(h.id):
				p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Rejected: true, Cause: errors.New("it drains")})
			case listed.Addr != g.addr || !listed.Started.Equal(g.started):
				p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true, Cause: errors.New("it has moved, or started anew")})
			case !now.Before(a.call.Deadline), !a.call.WriteBy.IsZero() && !now.Before(a.call.WriteBy):
				p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
			default:
				ready = append(ready, a)
			}
		}
		if g.parts = ready; len(ready) == 0 {
			continue
		}
		p.place(now, g)
	}
	for _, pr := range probes {
		if !pr.over {
			p.ask(c, pr)
		}
	}
}

// fail ends all that waits for a connection to a server: none of it was written.
func (p *Pool) fail(now time.Time, h *host, err error) {
	waiting, probes := h.waiting, h.probes
	h.waiting, h.probes = nil, nil
	for _, g := range waiting {
		for _, a := range g.parts {
			p.end(a, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: err})
		}
	}
	for _, pr := range probes {
		p.endProbe(now, pr, &aggregator.AttemptError{Progress: aggregator.NotConnected, Cause: err}, nil)
	}
}

func (p *Pool) drop(c *conn) {
	if !c.closed {
		c.closed = true
		p.total--
		c.host.conns = slices.DeleteFunc(c.host.conns, func(o *conn) bool { return o == c })
	}
}

// gone takes a connection that broke.
func (p *Pool) gone(c *conn, cause error) {
	if c.closed {
		return
	}
	p.drop(c)
	if cause == nil {
		cause = errors.New("the server closed the connection")
	}
	p.over(c, cause)
}

// over ends all that was out on a connection whose socket is closed. What the link has not yet accounted for ends when
// it does, as only then it is known whether it can have run.
func (p *Pool) over(c *conn, cause error) {
	c.over = true
	var names []string
	for name, a := range c.streams {
		if a.state == out {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		a := c.streams[name]
		// Closed by this side because nothing is heard: what else was out on it is given up with it.
		called := a.withdrawn || c.cause != nil && !c.spoilt
		p.end(a, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: called, CorruptStream: c.spoilt && !called, Cause: cause})
	}
	for _, pr := range c.probes {
		if pr.proves != nil {
			continue
		}
		// Asked once more: a connection may end while its server lives, and only a new one shows that.
		if !pr.over && !pr.again && p.open.Available(pr.host.id) {
			pr.again = true
			p.probe(pr.sent, pr, c.addr)
			continue
		}
		p.endProbe(pr.sent, pr, &aggregator.AttemptError{Progress: aggregator.Written, Cause: cause}, nil)
	}
}

// read takes what came on a connection.
func (p *Pool) read(now time.Time, e framed) {
	c := e.c
	for _, f := range e.frames {
		if c.closed {
			return
		}
		c.heard, c.silent, c.partial = now, false, time.Time{}
		if err := p.framed(now, c, f); err != nil {
			p.spoilt(c, err)
		}
	}
	switch {
	case c.closed:
	case e.err != nil:
		p.spoilt(c, e.err)
	case e.partial && len(c.streams) == 0 && !slices.ContainsFunc(c.probes, func(pr *probe) bool { return !pr.over }):
		p.spoilt(c, errors.New("bytes that nothing waits for"))
	case e.partial:
		c.partial = now
	case c.retired && len(c.streams) == 0:
		p.shut(c, errors.New("more came than belongs to an answer"))
	}
}

// spoilt ends a connection on which something came that cannot be read. The server has had what is out on it,
// so that may have run.
func (p *Pool) spoilt(c *conn, cause error) {
	if c.closed {
		return
	}
	p.Stats.Corrupt++
	c.spoilt = true
	p.shut(c, cause)
}

func (p *Pool) framed(now time.Time, c *conn, f Frame) error {
	switch f.Type {
	case letterAnswer:
		a, err := parseAnswer(f.Payload)
		if err != nil {
			return err
		}
		c.used = now
		at := c.streams[a.name]
		if at == nil {
			return p.stray(c, a.name)
		}
		c.last = a.name
		switch a.end {
		case 'S':
			p.end(at, nil, aggregator.AttemptEnded{Score: a.score, Value: a.value, Report: a.report})
		case 'E':
			p.end(at, &aggregator.AttemptError{Progress: aggregator.Answered}, aggregator.AttemptEnded{Report: a.report})
		case 'B':
			p.end(at, &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}, aggregator.AttemptEnded{Report: a.report})
		}
	case letterLoad, letterProbe:
		if len(c.probes) == 0 {
			return errors.New("an answer to no probe")
		}
		pr := c.probes[0]
		c.probes = c.probes[1:]
		if pr.proves != nil {
			if p.calls[pr.proves.call.Attempt] == pr.proves {
				p.told(now, pr.proves)
			}
			break
		}
		var err error
		if string(f.Payload) == "E" {
			err = &aggregator.AttemptError{Progress: aggregator.Answered}
		}
		p.endProbe(now, pr, err, parseReport(string(f.Payload)))
	default:
		return fmt.Errorf("the server could not use a frame: %.80q", f.Payload)
	}
	return nil
}

// stray takes an answer for a part that is not out on the connection. One that was given up is late. A second
// copy does no harm, but the connection is not used further. Any other is for a part that never gets its own.
func (p *Pool) stray(c *conn, name string) error {
	if _, gaveUp := c.givenUp[name]; gaveUp {
		p.Stats.LateAnswers++
		delete(c.givenUp, name)
		p.emit(aggregator.LateAnswer{Server: c.host.id})
		return nil
	}
	if name == c.last {
		c.retired = true
		return nil
	}
	return fmt.Errorf("an answer for %.80q, which is not out", name)
}

// Sweep ends probes that are overdue and closes connections before their idle limit.
func (p *Pool) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	p.busy = true
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, h := range p.sorted() {
		for _, pr := range h.probes {
			p.late(now, pr, sooner)
		}
		for _, c := range slices.Clone(h.conns) {
			for _, pr := range c.probes {
				p.late(now, pr, sooner)
			}
			if slices.ContainsFunc(c.probes, func(pr *probe) bool { return pr.unanswered(now, p) }) {
				p.shut(c, errors.New("given up, and nothing is heard"))
				continue
			}
			for name, at := range c.givenUp {
				if now.Sub(at) > givenUpFor {
					delete(c.givenUp, name)
				}
			}
			if !c.partial.IsZero() {
				if due := c.partial.Add(partialFor); !now.Before(due) {
					p.spoilt(c, errors.New("a frame that does not end"))
					continue
				} else {
					sooner(due)
				}
			}
			if c.up && len(c.streams) == 0 && c.retired {
				p.shut(c, errors.New("not used further"))
				continue
			}
			if c.up && len(c.streams) == 0 && p.lim.IdleTimeout > 0 {
				if p.stale(now, c) {
					p.shut(c, errors.New("idle"))
					continue
				}
				sooner(c.used.Add(max(p.lim.IdleTimeout/2, p.lim.IdleTimeout-idleMargin) + time.Millisecond))
			}
		}
		if len(h.conns) == 0 && len(h.waiting) == 0 && len(h.probes) == 0 {
			delete(p.hosts, h.id)
		}
	}
	return p.flush(), next
}

// unanswered says whether a probe that was to show that its server knows of a given-up attempt has not done so in time.
func (pr *probe) unanswered(now time.Time, p *Pool) bool {
	return pr.proves != nil && p.calls[pr.proves.call.Attempt] == pr.proves && !now.Before(pr.until)
}

func (p *Pool) late(now time.Time, pr *probe, sooner func(time.Time)) {
	switch {
	case pr.proves != nil:
		if p.calls[pr.proves.call.Attempt] == pr.proves && now.Before(pr.until) {
			sooner(pr.until)
		}
	case pr.over:
	case !now.Before(pr.until):
		p.endProbe(now, pr, &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}, nil)
	default:
		sooner(pr.until)
	}
}

func (p *Pool) sorted() []*host {
	hosts := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return hosts
}

const (
	spreadMost  = 8  // connections that one mixer opens to a server before parts share them
	spreadFleet = 24 // and all mixers together
)

// ConnsPerServer is how many connections one of so many mixers opens to a server before its parts share them. Several
// keep a spoilt answer from ending many parts; but a server accepts only so many from all mixers together, does
// less the more it holds, and past that turns away whatever comes on the next.
func ConnsPerServer(mixers int) int { return max(1, min(spreadMost, spreadFleet/max(1, mixers))) }
