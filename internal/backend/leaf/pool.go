// Package leaf sends attempts to leaf servers, which take several calls at once on one connection and speak in
// length-prefixed frames. Pool holds the connections. It lives on the aggregator's loop, which alone calls it, and owns
// all state of the package; what runs on other goroutines (dialing, reading, the ends of writes) only posts messages to the
// loop's mailbox.
package leaf

import (
	"cmp"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Limits bound a pool's connections and how long it waits for a server.
type Limits struct {
	MaxStreams     int           // calls in flight on one connection
	IdleTimeout    time.Duration // a server closes a connection that has been idle for so long; 0: never
	ConnectTimeout time.Duration // of one dial; probes are bounded by it, too
	MaxConnections int           // to all servers together, with those that are being dialed
	// UnresponsiveAfter is how long a server may send nothing before an attempt that is canceled counts against its
	// connection.
	UnresponsiveAfter time.Duration
	// ConnsPerServer is how many connections to one server are opened before parts share them; at least 1. See the
	// function of that name.
	ConnsPerServer int
}

const (
	// timeoutSlack is added to each time limit of the settings that a server or the network may use up.
	timeoutSlack = 50 * time.Millisecond
	// idleMargin keeps writes off a connection that the server may be about to close for idleness: a call written to it
	// would end with a reset, and could not be proved not to have run.
	idleMargin = 2 * time.Second
	// lateAnswerWindow is how long the answer to a canceled attempt may still come.
	lateAnswerWindow = 30 * time.Second
	// maxWriteDelay is how long a call may wait behind what is still to be written on its connection. Well under the 250 ms
	// in which new calls may still go to a server that is known to be draining.
	maxWriteDelay = 100 * time.Millisecond
	// maxPartialFrameAge is how long a frame that has begun may take to arrive: servers write each frame at once.
	maxPartialFrameAge = 100 * time.Millisecond
)

const (
	maxConnsPerServer      = 8  // connections that one aggregator opens to a server before parts share them
	maxFleetConnsPerServer = 24 // and all aggregators together
)

// ConnsPerServer returns the value of Limits.ConnsPerServer for a fleet of so many aggregators. Several connections keep
// a corrupt answer from ending many parts; but a server accepts only so many from all aggregators together, slows down
// with each that it holds, and rejects what comes on any beyond its limit.
func ConnsPerServer(aggregators int) int {
	return max(1, min(maxConnsPerServer, maxFleetConnsPerServer/max(1, aggregators)))
}

// Stats count what the pool did since it was made.
type Stats struct {
	Dials       uint64 // begun
	DialsFailed uint64 // refused, timed out, or not begun for want of an address or a connection
	Broken      uint64 // connections that ended without the pool having closed them
	Corrupt     uint64 // connections closed because of what came on them
	LateAnswers uint64 // answers to attempts that had been canceled
	Written     uint64 // attempts whose call was written completely
}

// Directory tells the pool what is listed of a server now. A server may have begun draining, moved or restarted since its
// attempts were handed to Send.
type Directory interface {
	aggregator.Directory
	// Server returns the entry of a server; one without an address if it is not listed.
	Server(balance.Replica) aggregator.Server
}

// Pool holds the connections to all leaf servers and the attempts in flight on them. It is an aggregator.Backend and an
// aggregator.Adapter: only the loop calls its methods, and each attempt given to Send ends in exactly one AttemptEnded
// event.
type Pool struct {
	Stats Stats

	limits    Limits
	mailbox   aggregator.Poster
	dial      func(c *conn, addr string, timeout time.Duration) // returns at once; posts a dialResult
	directory Directory
	hosts     map[balance.Replica]*host
	attempts  map[aggregator.AttemptID]*attempt // that have not ended
	connCount int                               // connections that are being dialed or open

	pendingEvents []aggregator.Event // for the core, from the message or the sweep being handled
	handling      bool               // a message or a sweep is being handled
}

// host is what the pool keeps for one server: its connections, and what waits for one.
type host struct {
	id      balance.Replica
	conns   []*conn // dialing or open
	waiting []*batch
	probes  []*probe
}

// isDialing reports whether a connection to the server is being dialed.
func (h *host) isDialing() bool {
	return slices.ContainsFunc(h.conns, func(c *conn) bool { return c.state == connDialing })
}

// takeWaiting returns the batches and the probes that wait for a connection, and lets none of them wait any longer.
func (h *host) takeWaiting() ([]*batch, []*probe) {
	batches := h.waiting
	probes := h.probes
	h.waiting = nil
	h.probes = nil
	return batches, probes
}

// NewPool returns a pool that posts its messages to mailbox and opens connections with dial: DialTCP, outside tests.
// SetDirectory has to be called before the first attempt is sent.
func NewPool(limits Limits, mailbox aggregator.Poster, dial DialFunc) *Pool {
	p := &Pool{
		limits:   limits,
		mailbox:  mailbox,
		hosts:    map[balance.Replica]*host{},
		attempts: map[aggregator.AttemptID]*attempt{},
	}
	p.dial = func(c *conn, addr string, timeout time.Duration) {
		go func() { mailbox.Put(runDial(c, addr, timeout, dial, mailbox)) }()
	}
	return p
}

// runDial dials a connection whose frames go to mailbox. It blocks until the connection is up or has failed.
func runDial(c *conn, addr string, timeout time.Duration, dial DialFunc, mailbox aggregator.Poster) dialResult {
	handler := func(*tcp.Conn) tcp.Handler { return &frameReader{conn: c, mailbox: mailbox} }
	transport, err := dial(addr, timeout, handler)
	return dialResult{conn: c, transport: transport, err: err}
}

// SetDirectory sets the directory that says where new calls may go.
func (p *Pool) SetDirectory(d Directory) { p.directory = d }

// Send sends these attempts to a server in one call; in several, if they are more than one connection takes.
func (p *Pool) Send(now time.Time, to aggregator.Server, calls []aggregator.OutgoingAttempt) {
	h := p.host(to.ID)
	b := &batch{host: h, addr: to.Addr, serverStarted: to.Started}
	for _, call := range calls {
		a := &attempt{call: call, host: h}
		p.attempts[call.Attempt] = a
		b.attempts = append(b.attempts, a)
	}
	p.place(now, b)
}

// Handle takes a message that the pool posted, and returns the events that come of it and whether it was one of the
// pool's.
func (p *Pool) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	p.handling = true
	switch m := message.(type) {
	case dialResult:
		p.handleDialResult(now, m)
	case framesReceived:
		p.handleFrames(now, m)
	case connectionClosed:
		p.handleClosed(m)
	case connectionAborted:
		p.endStreams(m.conn, m.conn.closeCause)
	case writeFinished:
		p.handleWriteFinished(m)
	case cancelWritten:
		p.handleCancelWritten(now, m.attempt)
	default:
		p.handling = false
		return nil, false
	}
	return p.takeEvents(), true
}

// emit passes an event to the core: as a result of the message or the sweep being handled, or, where the core itself
// called the pool, by the mailbox in a later turn.
func (p *Pool) emit(e aggregator.Event) {
	if p.handling {
		p.pendingEvents = append(p.pendingEvents, e)
	} else {
		p.mailbox.Put(e)
	}
}

// takeEvents ends the handling of a message or a sweep and returns its events.
func (p *Pool) takeEvents() []aggregator.Event {
	p.handling = false
	events := p.pendingEvents
	p.pendingEvents = nil
	return events
}

func (p *Pool) host(id balance.Replica) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id}
		p.hosts[id] = h
	}
	return h
}

// sortedHosts returns the hosts in the order of their ids: nothing may depend on the order of a map.
func (p *Pool) sortedHosts() []*host {
	hosts := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	return hosts
}
