package httpserve

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"rooktrestle/internal/net/membudget"
	"rooktrestle/internal/protocol/http1"
)

const (
	// maxPipelinedBytes is the maximum number of bytes buffered behind a request.
	maxPipelinedBytes = 256 << 10
	// quietTime is how long nothing may have arrived from a client that sends much at once before one of its requests is
	// passed to the handler: as long as its system has more to send, the end of its connection may be behind it.
	quietTime = 5 * time.Millisecond
	// burstBytes is how much of a client's input is much at once: a read of that size begins a burst.
	burstBytes = 2 << 10
	// maxSmallReads is the number of shorter reads in a row that end a burst.
	maxSmallReads = 2
	// maxRequestsPerTurn is how many requests of a connection are handled before others have their turn.
	maxRequestsPerTurn = 64
	// ConnBytes is the memory in bytes of a connection that holds no request: its goroutine, its timer and its state.
	ConnBytes = 8 << 10
)

const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// serverConn is the connection of one client, and its handler. Requests that arrive while another is in flight wait for
// its response. A serverConn's lock is never acquired with the server's lock held.
type serverConn struct {
	server *Server
	conn   Conn

	mu           sync.Mutex
	parser       http1.Parser
	parsed       *http1.Message // a complete request that is not handled yet; nil: none
	firstByteAt  time.Time      // of the next request
	lastReadAt   time.Time
	current      *Exchange // the request in flight: passed to the handler, and not responded to
	currentBytes int       // of memory that current holds
	unsentBytes  int       // of long responses that are not sent yet
	discarding   bool      // more was sent at once than is held: the rest is dropped, and the connection ends
	pipelining   bool      // the client has sent a request before the response to the previous one
	burst        bool      // much has arrived at once, and more may follow
	smallReads   int       // in a row, during a burst
	quietTimer   *time.Timer
	closed       bool // by either side: nothing more is read or written
	timer        *time.Timer
	sentContinue bool // for the next request
	advancing    bool // advance is running: a nested call returns at once
	used         bool // a complete request has arrived

	account *membudget.Account // of the memory that the connection holds

	listPosition // guarded by the server's lock
}

// begun reports whether a request behind the one in flight has arrived, at least in part.
func (c *serverConn) begun() bool { return c.parsed != nil || c.parser.Begun() }

// startTimer limits the time until the next request is complete; 0: no limit.
func (c *serverConn) startTimer(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if d > 0 {
		c.timer = time.AfterFunc(d, c.expire)
	}
}

func (c *serverConn) stopTimer() { c.startTimer(0) }

// expire closes the connection because no complete request arrived in time.
func (c *serverConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil || c.closed {
		return
	}
	if c.begun() {
		c.rejectBad(http.StatusRequestTimeout, "the request did not come in time")
		return
	}
	c.closed = true
	c.conn.CloseGracefully()
}

// shutdown closes the connection unless a request is in flight.
func (c *serverConn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != nil || c.closed:
	case c.begun():
		c.rejectAtShutdown()
	default:
		c.closed = true
		c.stopTimer()
		c.conn.CloseGracefully()
	}
}

// rejectAtShutdown rejects a request, complete or not, that arrives during a shutdown: it has had no effect.
func (c *serverConn) rejectAtShutdown() {
	c.server.count(&c.server.counters.RejectedAtShutdown)
	c.writeLast(http1.Response(http.StatusServiceUnavailable, true, nil))
}

// rejectBad responds to data that cannot be parsed. The next request's start is unknown, so the connection is closed.
func (c *serverConn) rejectBad(status int, reason string) {
	c.server.count(&c.server.counters.BadRequests)
	c.writeLast(http1.Response(status, true, []byte(reason+"\n"), "Content-Type", "text/plain"))
}

// writeLast sends a response and closes the connection.
func (c *serverConn) writeLast(response []byte) {
	c.closed = true
	c.stopTimer()
	c.dropInput()
	c.conn.Write(response, nil)
	c.conn.CloseGracefully()
}

// Data reads requests. It implements tcp.Handler.
func (c *serverConn) Data(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	previousReadAt := c.lastReadAt
	c.lastReadAt = c.server.now()
	switch {
	case c.current != nil:
		c.pipelining = true
	case !c.begun() && c.lastReadAt.Sub(previousReadAt) >= quietTime:
		c.pipelining = false
	}
	if !c.begun() {
		c.firstByteAt = c.lastReadAt
		// The timeout of the first request runs from the start of the connection and is not restarted, so that a client
		// that begins a request and never completes it is disconnected in time.
		if c.current == nil && (c.used || c.server.timeouts.FirstRequest == 0) {
			c.startTimer(c.server.timeouts.ReadRequest)
		}
	}
	c.trackBurst(len(data))
	if !c.discarding {
		c.parser.Feed(data)
	}
	c.advance()
	c.limitMemory()
}

// trackBurst records whether the client sends much at once, after a read of n bytes.
func (c *serverConn) trackBurst(n int) {
	if n >= burstBytes || c.conn.InputPending() {
		c.burst = true
		c.smallReads = 0
		return
	}
	c.smallReads++
	if c.smallReads >= maxSmallReads {
		c.burst = false
	}
}

// Resume handles requests that a previous turn has left. It implements tcp.Resumer.
func (c *serverConn) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	c.limitMemory()
	if c.current == nil && !c.closed {
		c.listAsIdle()
	}
}

// advance passes complete requests to the handler, one at a time, and at most maxRequestsPerTurn. It is called with the
// lock held, and releases it while the handler runs, because the handler may respond at once.
func (c *serverConn) advance() {
	if c.advancing {
		return
	}
	c.advancing = true
	defer func() { c.advancing = false }()
	for handled := 0; c.current == nil && !c.closed; handled++ {
		if handled == maxRequestsPerTurn {
			c.conn.Wake()
			return
		}
		if !c.parseNext() {
			return
		}
		if c.awaitsInput() {
			return
		}
		c.handleParsed()
	}
	if c.current != nil && c.parser.Buffered() > maxPipelinedBytes {
		c.discarding = true
	}
}

// parseNext parses the next request unless one is parsed already. It returns false if there is none.
func (c *serverConn) parseNext() (complete bool) {
	if c.parsed != nil {
		return true
	}
	request, err := c.parser.Next()
	switch {
	case c.discarding && request == nil:
		c.rejectSurplus()
		return false
	case err != nil:
		c.rejectMalformed(err)
		return false
	case request == nil:
		c.sendContinueIfExpected()
		return false
	}
	c.parsed = request
	return true
}

// awaitsInput reports whether more is to be read before the parsed request is handled. Until everything has been read that
// the client has sent, it is not known whether the client is still there.
func (c *serverConn) awaitsInput() bool {
	if c.parser.Begun() {
		c.pipelining = true
	}
	if !c.expectsMore() || c.discarding || c.parser.Buffered() > maxPipelinedBytes {
		return false
	}
	if !c.conn.InputPending() {
		c.stopQuietTimer()
		c.quietTimer = time.AfterFunc(quietTime-c.quietFor(), c.conn.Wake)
	}
	return true
}

// expectsMore reports whether the client has sent more than was read, as far as is known.
func (c *serverConn) expectsMore() bool {
	return c.conn.InputPending() || c.pipelining && c.burst && c.quietFor() < quietTime
}

// quietFor returns the time since something was read.
func (c *serverConn) quietFor() time.Duration { return c.server.now().Sub(c.lastReadAt) }

func (c *serverConn) stopQuietTimer() {
	if c.quietTimer != nil {
		c.quietTimer.Stop()
	}
}

// handleParsed passes the parsed request to the handler, or rejects it.
func (c *serverConn) handleParsed() {
	request := c.parsed
	c.parsed = nil
	c.sentContinue = false
	c.used = true
	if !c.beginRequest() {
		c.rejectAtShutdown()
		return
	}
	x := &Exchange{Message: request, FirstByteAt: c.firstByteAt, conn: c}
	c.firstByteAt = c.lastReadAt // of a pipelined request that follows this one
	c.current = x
	c.currentBytes = request.MemorySize()
	c.stopTimer()
	expectsMore, overMemory := c.expectsMore(), !c.chargeAccount()
	c.mu.Unlock()
	switch {
	case overMemory:
		c.server.count(&c.server.counters.OverMemory)
		x.Respond(http.StatusServiceUnavailable, nil)
	case expectsMore: // the client sends on and on
		x.Respond(http.StatusTooManyRequests, nil)
	default:
		c.handle(x)
	}
	c.mu.Lock()
}

// rejectSurplus responds to what a client has sent beyond what is held for it, and closes the connection.
func (c *serverConn) rejectSurplus() {
	c.rejectBad(http.StatusTooManyRequests, "more was sent at once than is held")
}

func (c *serverConn) rejectMalformed(err error) {
	status := http.StatusBadRequest
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		status = malformed.Status
	}
	c.rejectBad(status, err.Error())
}

// sendContinueIfExpected sends 100 Continue, once, to a client that waits for it before it sends its request's body.
func (c *serverConn) sendContinueIfExpected() {
	if c.parser.ExpectsContinue() && !c.sentContinue {
		c.sentContinue = true
		c.conn.Write([]byte(continueResponse), nil)
	}
}

// beginRequest counts a request before it is passed to the handler. It returns false if the server is shutting down:
// the request must then be rejected.
func (c *serverConn) beginRequest() bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return false
	}
	s.counters.Requests++
	c.removeFromList()
	return true
}

// handle passes a request to the handler. It recovers from a panic: the client receives a response with status 500, and
// the connection is closed.
func (c *serverConn) handle(x *Exchange) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "request %s %s: panic: %v\n", x.Method, x.Target, p)
			c.server.count(&c.server.counters.Panics)
			x.Close = true
			x.Respond(http.StatusInternalServerError, nil)
		}
	}()
	c.server.handle(x)
}

// Closed notifies the owner of the request in flight that its client has disconnected. It implements tcp.Handler.
func (c *serverConn) Closed(error) {
	c.mu.Lock()
	c.closed = true
	c.stopTimer()
	c.stopQuietTimer()
	var onDisconnect func()
	if c.current != nil {
		onDisconnect = c.current.onDisconnect
	}
	c.current = nil
	c.parsed = nil
	c.parser.Discard()
	c.account.Close()
	c.mu.Unlock()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.removeFromList()
	c.server.mu.Unlock()
	if onDisconnect != nil {
		onDisconnect()
	}
}
