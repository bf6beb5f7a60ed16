// Package serialconn sends attempts to servers whose protocol has one request at a time on a connection. Pool holds the
// connections. It lives on the aggregator's loop, which alone calls it, and owns all state of the package; what runs on
// other goroutines (dialing, reading, the ends of writes) only posts messages to the loop's mailbox.
package serialconn

import (
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// Limits bound a pool's connections.
type Limits struct {
	ConnectTimeout time.Duration // of one dial
	IdleTimeout    time.Duration // a server closes a connection that has been idle for so long
	MaxConnections int           // to all servers together, with those that are being dialed
}

const (
	// idleMargin keeps writes off a connection that the server may be about to close for idleness: a request written to it
	// could not be proved not to have run.
	idleMargin = 2 * time.Second
	// greetingTimeout is how long a server may take to answer the greeting.
	greetingTimeout = 500 * time.Millisecond
)

// Stats count what the pool did since it was made.
type Stats struct {
	Dials       uint64 // begun
	DialsFailed uint64 // refused or timed out
	Broken      uint64 // connections that ended without the pool having closed them
	LateAnswers uint64 // answers that nobody waited for any more
}

// Pool holds the connections to all servers and the attempts on them. It is an aggregator.Backend and an
// aggregator.Adapter: only the loop calls its methods, and each attempt given to Send ends in exactly one AttemptEnded
// event.
type Pool struct {
	Stats Stats

	limits    Limits
	mailbox   aggregator.Poster
	codec     func(balance.Replica) Codec
	dial      func(c *conn, addr string, codec Codec) // returns at once; posts a dialResult
	directory aggregator.Directory
	idle      map[balance.Replica][]*conn // in the order in which they became so
	greeting  map[*conn]time.Time         // connections whose greeting is not answered, and when it was sent
	attempts  map[aggregator.AttemptID]*attempt
	connCount int // connections that are being dialed or open

	pendingEvents []aggregator.Event // for the core, from the message or the sweep being handled
	handling      bool               // a message or a sweep is being handled
}

// NewPool returns a pool that posts its messages to mailbox, opens connections with dial and encodes attempts with a
// server's codec; codec returns nil for a server that is not known. SetDirectory has to be called before the first attempt
// is sent.
func NewPool(limits Limits, mailbox aggregator.Poster, dial tcp.Dialer, codec func(balance.Replica) Codec) *Pool {
	p := &Pool{
		limits:   limits,
		mailbox:  mailbox,
		codec:    codec,
		idle:     map[balance.Replica][]*conn{},
		greeting: map[*conn]time.Time{},
		attempts: map[aggregator.AttemptID]*attempt{},
	}
	p.dial = func(c *conn, addr string, codec Codec) {
		go func() { mailbox.Put(p.runDial(c, addr, codec, dial)) }()
	}
	return p
}

// runDial dials a connection whose replies go to the pool's mailbox. It blocks until the connection is up or has failed,
// so that it is not called on the loop.
func (p *Pool) runDial(c *conn, addr string, codec Codec, dial tcp.Dialer) dialResult {
	transport, err := dial(addr, p.limits.ConnectTimeout, func(*tcp.Conn) tcp.Handler {
		return &replyReader{conn: c, mailbox: p.mailbox, parser: codec.Parser()}
	})
	if err != nil {
		return dialResult{conn: c, err: err} // without the nil *tcp.Conn: as a Transport it would not be nil
	}
	return dialResult{conn: c, transport: transport}
}

// SetDirectory sets the directory that says where new requests may go.
func (p *Pool) SetDirectory(d aggregator.Directory) { p.directory = d }

// Send starts each attempt on a connection of its own.
func (p *Pool) Send(now time.Time, to aggregator.Server, calls []aggregator.OutgoingAttempt) {
	for _, call := range calls {
		a := &attempt{call: call, server: to}
		p.attempts[call.Attempt] = a
		if c := p.takeIdle(now, to); c != nil {
			p.write(now, c, a)
			continue
		}
		p.connect(now, to, a)
	}
}

// Cancel gives an attempt up. None of the protocols can cancel a request so that nothing more comes of it, so the
// connection is closed, and the attempt ends when it is.
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
	// Dialing or greeting: nothing of it was written.
	p.fail(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected, Canceled: true})
	if conn.transport != nil {
		p.closeConn(conn, errCanceled)
	}
}

// Probe ends at once, as failed: these protocols have no probe for load.
func (p *Pool) Probe(_ time.Time, to aggregator.Server) {
	p.emit(aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}})
}

// Handle takes a message that the pool posted, and returns the events that come of it and whether it was one of the
// pool's.
func (p *Pool) Handle(now time.Time, message aggregator.Message) ([]aggregator.Event, bool) {
	p.handling = true
	defer func() { p.handling = false }()
	switch m := message.(type) {
	case dialResult:
		p.handleDialResult(now, m)
	case replyReceived:
		p.handleReply(now, m.conn, m.reply)
	case connectionClosed:
		p.handleClosed(m.conn, m.err)
	case writeFinished:
		p.handleWritten(m.attempt, m.result)
	default:
		return nil, false
	}
	return p.takeEvents(), true
}

// Sweep closes connections before the server does for idleness, and those whose greeting is not answered in time. It
// returns when it has to be called again; zero if nothing is due.
func (p *Pool) Sweep(now time.Time) ([]aggregator.Event, time.Time) {
	next := p.sweepIdle(now)
	p.handling = true
	defer func() { p.handling = false }()
	next = earlier(next, p.sweepGreeting(now))
	return p.takeEvents(), next
}

// sweepIdle closes idle connections that may not be used any more, and returns when the next will be due.
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

// sweepGreeting ends attempts whose server has accepted a connection and not answered the greeting, and returns when the
// next will be due. Nothing of them was written, so they may go elsewhere.
func (p *Pool) sweepGreeting(now time.Time) (next time.Time) {
	for c, since := range p.greeting {
		due := since.Add(greetingTimeout)
		if now.Before(due) {
			next = earlier(next, due)
			continue
		}
		p.closeUnwritten(c, errNoGreeting)
	}
	return next
}

// earlier returns the earlier of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
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

// takeEvents returns the events of the message or the sweep being handled.
func (p *Pool) takeEvents() []aggregator.Event {
	events := p.pendingEvents
	p.pendingEvents = nil
	return events
}
