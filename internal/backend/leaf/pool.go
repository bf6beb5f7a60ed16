// Package leaf sends attempts to leaf servers, whose protocol has length-prefixed frames and several calls in flight on one
// connection. Pool manages the connections. Only the aggregator's loop calls it, and it owns all state of the package; code
// on other goroutines (dialing, reading, write callbacks) only posts messages to the loop's mailbox.
package leaf

import (
	"cmp"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Limits are the limits of a pool on connections and on waiting for a server.
type Limits struct {
	MaxStreams     int           // attempts in flight on one connection
	IdleTimeout    time.Duration // after which a server closes an idle connection; 0: never
	ConnectTimeout time.Duration // of one dial; probes time out after it, too
	MaxConnections int           // to all servers together, including those being dialed
	// UnresponsiveAfter is the time since a call was written after which, if nothing was received since, canceling the call
	// marks its connection as unresponsive.
	UnresponsiveAfter time.Duration
	// ConnsPerServer is how many connections to one server are opened before parts share them; at least 1. The function
	// ConnsPerServer computes it.
	ConnsPerServer int
}

const (
	// timeoutSlack is added to ConnectTimeout, which a server or the network may use in full.
	timeoutSlack = 50 * time.Millisecond
	// idleMargin keeps calls off a connection that the server may be about to close for idleness: a call written on it
	// would end with a reset, and it would be unknown whether it ran.
	idleMargin = 2 * time.Second
	// lateAnswerWindow is how long the answer to a canceled attempt may still arrive.
	lateAnswerWindow = 30 * time.Second
	// maxWriteDelay is how long a call may wait behind earlier writes on its connection. It is well under the 250 ms
	// during which new calls may still go to a server that is known to be draining.
	maxWriteDelay = 100 * time.Millisecond
	// maxPartialFrameAge is how long an incomplete frame may take to arrive completely: servers write each frame in one go.
	maxPartialFrameAge = 100 * time.Millisecond
)

const (
	maxConnsPerServer      = 8  // connections that one aggregator opens to a server before parts share them
	maxFleetConnsPerServer = 24 // the same for all aggregators together
)

// ConnsPerServer returns the value of Limits.ConnsPerServer for a fleet of this many aggregators. Several connections limit
// how many attempts a corrupt answer ends. But a server accepts a limited number of connections from all aggregators
// together, slows down with each that is open, and rejects calls on those beyond its limit.
func ConnsPerServer(aggregators int) int {
	return max(1, min(maxConnsPerServer, maxFleetConnsPerServer/max(1, aggregators)))
}

// Stats are counters of a pool since its creation.
type Stats struct {
	Dials       uint64 // started
	DialsFailed uint64 // refused, timed out, or not started: no address, or the connection limit was reached
	Broken      uint64 // connections closed by the server or by an error, not by the pool
	Corrupt     uint64 // connections closed because of invalid or unexpected bytes received on them
	LateAnswers uint64 // answers to attempts that had been canceled
	Written     uint64 // attempts whose call was written completely
}

// Directory returns the current endpoint list entry of a server. A server may have begun draining, changed its address or
// restarted since its attempts were passed to Send.
type Directory interface {
	aggregator.Directory
	// Server returns the entry of a server; its Addr is empty if the server is not listed.
	Server(balance.Replica) aggregator.Server
}

// Pool manages the connections to all leaf servers and the attempts in flight on them. It is an aggregator.Backend and an
// aggregator.Adapter: only the loop calls its methods, and each attempt passed to Send ends with exactly one AttemptEnded
// event.
type Pool struct {
	Stats Stats

	limits    Limits
	mailbox   aggregator.Poster
	dial      func(c *conn, addr string, timeout time.Duration) // returns at once; posts a dialResult
	directory Directory
	hosts     map[balance.Replica]*host
	attempts  map[aggregator.AttemptID]*attempt // that have not ended
	connCount int                               // connections that are dialing or open

	events aggregator.EventCollector
}

// host is the pool's state for one server: its connections, and the batches and load probes that wait for one.
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

// takeWaiting removes and returns the batches and probes that wait for a connection.
func (h *host) takeWaiting() ([]*batch, []*probe) {
	batches := h.waiting
	probes := h.probes
	h.waiting = nil
	h.probes = nil
	return batches, probes
}

// NewPool returns a pool that posts its messages to mailbox and opens connections with dial, which is DialTCP except in
// tests. SetDirectory has to be called before the first attempt is sent.
func NewPool(limits Limits, mailbox aggregator.Poster, dial DialFunc) *Pool {
	p := &Pool{
		limits:   limits,
		mailbox:  mailbox,
		hosts:    map[balance.Replica]*host{},
		attempts: map[aggregator.AttemptID]*attempt{},
		events:   aggregator.NewEventCollector(mailbox),
	}
	p.dial = func(c *conn, addr string, timeout time.Duration) {
		go func() { mailbox.Put(runDial(c, addr, timeout, dial, mailbox)) }()
	}
	return p
}

// runDial dials a connection whose frames are posted to mailbox. It blocks until the dial has succeeded or failed.
func runDial(c *conn, addr string, timeout time.Duration, dial DialFunc, mailbox aggregator.Poster) dialResult {
	handler := func(*tcp.Conn) tcp.Handler { return &frameReader{conn: c, mailbox: mailbox} }
	transport, err := dial(addr, timeout, handler)
	return dialResult{conn: c, transport: transport, err: err}
}

// SetDirectory sets the directory that decides which servers accept new calls.
func (p *Pool) SetDirectory(d Directory) { p.directory = d }

// Send sends these attempts to a server in one call.
func (p *Pool) Send(now time.Time, to aggregator.Server, attempts []aggregator.OutgoingAttempt) {
	h := p.host(to.ID)
	b := &batch{host: h, addr: to.Addr, serverStarted: to.Started}
	for _, outgoing := range attempts {
		a := &attempt{outgoing: outgoing, host: h}
		p.attempts[outgoing.Attempt] = a
		b.attempts = append(b.attempts, a)
	}
	p.dispatch(now, b)
}

// Handle handles a message that the pool posted. It returns the resulting events, and whether the message is one of the
// pool's.
func (p *Pool) Handle(now time.Time, message aggregator.Message) (events []aggregator.Event, handled bool) {
	events = p.events.Collect(func() { handled = p.handle(now, message) })
	return events, handled
}

// handle handles a message and reports whether it is one of the pool's.
func (p *Pool) handle(now time.Time, message aggregator.Message) bool {
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
		return false
	}
	return true
}

func (p *Pool) host(id balance.Replica) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{id: id}
		p.hosts[id] = h
	}
	return h
}

// sortedHosts returns the hosts sorted by id: nothing may depend on the iteration order of a map.
func (p *Pool) sortedHosts() []*host {
	hosts := make([]*host, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
	return hosts
}
