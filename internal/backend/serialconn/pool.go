// Package serialconn sends attempts to servers whose protocols allow one request at a time on a connection. Pool manages the
// connections. Only the aggregator's loop calls it, and it owns all state of the package; code on other goroutines (dialing,
// reading, write callbacks) only posts messages to the loop's mailbox.
package serialconn

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Limits are the limits of a pool on its connections.
type Limits struct {
	ConnectTimeout time.Duration // of one dial
	IdleTimeout    time.Duration // after which a server closes an idle connection
	MaxConnections int           // to all servers together, including those being dialed
}

const (
	// idleMargin keeps requests off a connection that the server may be about to close for idleness: it would be unknown
	// whether a request written on it ran.
	idleMargin = 2 * time.Second
	// greetingTimeout is how long a server may take to answer the greeting.
	greetingTimeout = 500 * time.Millisecond
)

// Stats are counters of a pool since its creation.
type Stats struct {
	Dials       uint64 // started
	DialsFailed uint64 // refused or timed out
	Broken      uint64 // connections closed by the server or by an error, not by the pool
	LateAnswers uint64 // answers received, or begun, that no waiting request matches
}

// Pool manages the connections to all servers and the attempts on them. It is an aggregator.Backend and an
// aggregator.Adapter: only the loop calls its methods, and each attempt passed to Send ends with exactly one AttemptEnded
// event.
type Pool struct {
	Stats Stats

	limits           Limits
	mailbox          aggregator.Poster
	codec            func(balance.Replica) Codec
	dial             func(c *conn, addr string, codec Codec) // returns at once; posts a dialResult
	directory        aggregator.Directory
	idle             map[balance.Replica][]*conn // in the order in which they became idle
	awaitingGreeting map[*conn]time.Time         // connections whose greeting is not answered, and when it was sent
	attempts         map[aggregator.AttemptID]*attempt
	connCount        int // connections that are dialing or open

	events aggregator.EventCollector
}

// NewPool returns a pool that posts its messages to mailbox, opens connections with dial and encodes attempts with the
// server's codec; codec returns nil for an unknown server. SetDirectory has to be called before the first attempt is sent.
func NewPool(limits Limits, mailbox aggregator.Poster, dial tcp.Dialer, codec func(balance.Replica) Codec) *Pool {
	p := &Pool{
		limits:           limits,
		mailbox:          mailbox,
		codec:            codec,
		idle:             map[balance.Replica][]*conn{},
		awaitingGreeting: map[*conn]time.Time{},
		attempts:         map[aggregator.AttemptID]*attempt{},
		events:           aggregator.NewEventCollector(mailbox),
	}
	p.dial = func(c *conn, addr string, codec Codec) {
		go func() { mailbox.Put(p.runDial(c, addr, codec, dial)) }()
	}
	return p
}

// runDial dials a connection whose replies are posted to the pool's mailbox. It blocks until the dial has succeeded or
// failed, so it is not called on the loop.
func (p *Pool) runDial(c *conn, addr string, codec Codec, dial tcp.Dialer) dialResult {
	transport, err := dial(addr, p.limits.ConnectTimeout, func(*tcp.Conn) tcp.Handler {
		return &replyReader{conn: c, mailbox: p.mailbox, parser: codec.Parser()}
	})
	if err != nil {
		return dialResult{conn: c, err: err} // no transport: a nil *tcp.Conn in a Transport would not equal nil
	}
	return dialResult{conn: c, transport: transport}
}

// SetDirectory sets the directory that decides which servers accept new requests.
func (p *Pool) SetDirectory(d aggregator.Directory) { p.directory = d }

// Send sends each attempt on a connection of its own: an idle one, or a new one.
func (p *Pool) Send(now time.Time, to aggregator.Server, attempts []aggregator.OutgoingAttempt) {
	for _, outgoing := range attempts {
		p.send(now, &attempt{outgoing: outgoing, server: to})
	}
}

func (p *Pool) send(now time.Time, attempt *attempt) {
	p.attempts[attempt.outgoing.Attempt] = attempt
	if err := attempt.decodeWork(); err != nil {
		p.fail(attempt, err)
		return
	}
	if p.mayReuse(attempt) {
		if conn := p.takeIdle(now, attempt.server); conn != nil {
			p.write(now, conn, attempt)
			return
		}
	}
	p.connect(now, attempt.server, attempt)
}

// mayReuse reports whether an attempt may be sent on a connection that has carried a request before. Where answers do not
// state what they answer, a late second copy of an answer could be taken for the success of an update.
func (p *Pool) mayReuse(attempt *attempt) bool {
	if KindOf(attempt.work) != UpdateRequest {
		return true
	}
	codec := p.codec(attempt.server.ID)
	return codec != nil && codec.IdentifiesAnswers()
}

// Cancel cancels an attempt. None of the protocols can cancel a request so that no answer follows, so the connection is
// closed, and the attempt ends when that is done.
func (p *Pool) Cancel(_ time.Time, id aggregator.AttemptID, _ bool) {
	attempt := p.attempts[id]
	if attempt == nil || attempt.canceled {
		return
	}
	attempt.canceled = true
	conn := attempt.conn
	if conn.transport != nil && conn.ready {
		conn.transport.Close(errCanceled)
		return
	}
	// Dialing or greeting: no byte of the request was written.
	p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
	if conn.transport != nil {
		p.closeConn(conn, errCanceled)
	}
}

// Probe fails at once: these protocols have no load probe.
func (p *Pool) Probe(_ time.Time, to aggregator.Server) {
	p.events.Emit(aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}})
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
	case dataReceived:
		p.handleData(now, m)
	case connectionClosed:
		p.handleClosed(m.conn, m.err)
	case writeFinished:
		p.handleWritten(m.attempt, m.result)
	default:
		return false
	}
	return true
}

// Sweep closes idle connections before the server closes them, and connections whose greeting is not answered in time. It
// returns when it has to be called again; zero if nothing is pending.
func (p *Pool) Sweep(now time.Time) (events []aggregator.Event, next time.Time) {
	events = p.events.Collect(func() { next = earlier(p.sweepIdle(now), p.sweepGreeting(now)) })
	return events, next
}

// sweepIdle closes idle connections that are no longer usable, and returns when the next one has to be closed.
func (p *Pool) sweepIdle(now time.Time) (next time.Time) {
	for _, conns := range p.idle {
		for _, c := range slices.Clone(conns) {
			if p.stale(now, c) {
				p.closeConn(c, errIdle)
				continue
			}
			next = earlier(next, c.lastUsed.Add(p.maxIdle()+time.Millisecond))
		}
	}
	return next
}

// sweepGreeting ends attempts whose server has accepted a connection but not answered the greeting in time, and returns when
// the next greeting times out. No byte of their requests was written, so their parts may be sent to other servers.
func (p *Pool) sweepGreeting(now time.Time) (next time.Time) {
	for c, since := range p.awaitingGreeting {
		due := since.Add(greetingTimeout)
		if now.Before(due) {
			next = earlier(next, due)
			continue
		}
		p.closeUnwritten(c, errNoGreeting)
	}
	return next
}

// earlier returns the earlier of two times; a zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
