// Package httpserve is the server's side of HTTP/1.1 connections: one request at a time on each, whatever is
// asked on them. Fronts that speak HTTP stand on it.
package httpserve

import (
	"cmp"
	"container/list"
	"fmt"
	"os"
	"sync"
	"time"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

// Timeouts of a connection.
type Timeouts struct {
	FirstRequest   time.Duration // for the first request, from the start; 0: as Idle and Read say
	Idle           time.Duration // between requests
	ReadRequest    time.Duration // for the rest of a request that has begun
	EvictableAfter time.Duration // idle for so long, a connection may make room for another
}

// Counters count connections and requests, and how the server itself ended some.
type Counters struct{ Conns, Requests, Bad, Spared, Panics, Late uint64 }

// Server holds connections.
type Server struct {
	// MaxKeepAlive is how many connections may be kept between requests. With more, an answer ends its connection, and
	// those idle for Spare make room. Guards clients that ask once and keep their connection against running out
	// of them, and the limit on sockets. 0: no limit.
	MaxKeepAlive int
	handle       func(*Exchange)
	times        Timeouts
	now          func() time.Time

	mu      sync.Mutex
	closing bool // every answer ends its connection, and no request is taken any more
	conns   map[*serverConn]bool
	unused  list.List // of connections without a whole request so far, oldest first
	idle    list.List // of connections between requests, the one idle longest first
	count   Counters
}

// New returns a Server that hands each request to handle, which answers it then or later.
func New(times Timeouts, now func() time.Time, handle func(*Exchange)) *Server {
	return &Server{handle: handle, times: times, now: now, conns: map[*serverConn]bool{}}
}

// Shutdown ends the server gracefully: connections without a request in hand end, each later answer ends its connection,
// and no request is handed on any more. One that has begun to come in, or does so on a connection that was accepted
// just now, is turned away, which is harmless to ask again. Open tells when all have ended.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.closing = true
	var all []*serverConn
	for c := range s.conns {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.shutdown()
	}
}

// OpenConns is the number of connections.
func (s *Server) OpenConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Counters returns the counts so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Conn is a connection as the server uses it.
type Conn interface {
	Write(b []byte, done func(tcp.WriteResult))
	CloseGracefully()
	Close(cause error)
	CloseAndWait()
}

// EvictIdle closes a connection that is in nobody's way, before it returns, and says whether there was one. Guards
// the limit on sockets: against clients that connect and say nothing, and against those that ask once and
// keep their connection. With force any that has no request in hand goes; else one that was idle for Spare.
func (s *Server) EvictIdle(force bool) bool {
	s.mu.Lock()
	var c *serverConn
	if e := s.idle.Front(); e != nil && s.now().Sub(e.Value.(*serverConn).since) >= s.times.EvictableAfter {
		c = e.Value.(*serverConn)
	} else if e := s.unused.Front(); e != nil && force {
		c = e.Value.(*serverConn)
	} else if e := s.idle.Front(); e != nil && force {
		c = e.Value.(*serverConn)
	}
	if c == nil {
		s.mu.Unlock()
		return false
	}
	c.unlist()
	s.count.Spared++
	s.mu.Unlock()
	c.mu.Lock()
	open := c.open != nil // a request has come in just now
	c.over = c.over || !open
	c.mu.Unlock()
	if !open {
		c.link.CloseAndWait()
	}
	return !open
}

// enlist and unlist keep what list a connection is on. They are called with the server's lock held.
func (c *serverConn) enlist(l *list.List) {
	c.unlist()
	if c.s.conns[c] {
		c.since, c.on = c.s.now(), l
		c.place = l.PushBack(c)
	}
}

func (c *serverConn) unlist() {
	if c.on != nil {
		c.on.Remove(c.place)
		c.on, c.place = nil, nil
	}
}

// Accept makes the handler of a new connection.
func (s *Server) Accept(l *tcp.Conn) tcp.Handler { return s.Attach(l) }

// Attach makes the handler of a connection.
func (s *Server) Attach(l Conn) tcp.Handler {
	c := &serverConn{s: s, link: l}
	c.mu.Lock()
	c.arm(cmp.Or(s.times.FirstRequest, s.times.Idle))
	c.mu.Unlock()
	s.mu.Lock()
	s.conns[c] = true
	s.count.Conns++
	c.enlist(&s.unused)
	crowded, closing := s.crowded(), s.closing
	s.mu.Unlock()
	if crowded {
		s.EvictIdle(false)
	}
	if closing { // it was let in before the shutdown, which did not see it
		c.shutdown()
	}
	return c
}

// crowded is called with the lock held. Connections that were never used do not count: they are nobody's.
func (s *Server) crowded() bool {
	return s.MaxKeepAlive > 0 && len(s.conns)-s.unused.Len() > s.MaxKeepAlive
}

// Exchange is a request and the way to answer it.
type Exchange struct {
	*http1.Message
	FirstByteAt time.Time // when its first byte came
	c           *serverConn
	left        func()
}

// OnDisconnect sets what is called if the client goes away before it is answered. It returns false if that has
// happened already.
func (x *Exchange) OnDisconnect(f func()) bool {
	x.c.mu.Lock()
	defer x.c.mu.Unlock()
	x.left = f
	return x.c.open == x
}

// serverConn is one client's connection. What is sent behind a request that is not answered yet waits.
type serverConn struct {
	s    *Server
	link Conn

	mu     sync.Mutex
	parser http1.Parser
	begun  time.Time // when the first byte of the next request came
	heard  time.Time
	open   *Exchange // taken and not answered
	over   bool
	timer  *time.Timer
	asked  bool // 100 Continue was sent
	inside bool // advance is on its way up the stack
	used   bool // a whole request has come

	// under the server's lock
	on    *list.List // it is listed on; nil: on none
	place *list.Element
	since time.Time // when it was listed
}

// arm sets the time by which the next whole request must be in.
func (c *serverConn) arm(d time.Duration) {
	if c.timer != nil {
		c.timer.Stop()
	}
	if d > 0 {
		c.timer = time.AfterFunc(d, c.expire)
	}
}

func (c *serverConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != nil || c.over {
		return
	}
	if c.parser.Begun() {
		c.refuse(408, "the request did not come in time")
		return
	}
	c.over = true
	c.link.CloseGracefully()
}

func (c *serverConn) shutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.open != nil || c.over:
	case c.parser.Begun():
		c.turnAway()
	default:
		c.over = true
		c.arm(0)
		c.link.CloseGracefully()
	}
}

// turnAway answers a request that comes in under a shutdown, whole or not: nothing was done for it.
func (c *serverConn) turnAway() {
	c.s.counted(&c.s.count.Late)
	c.last(http1.Response(503, true, nil))
}

// last ends the connection with an answer.
func (c *serverConn) last(answer []byte) {
	c.over = true
	c.arm(0)
	c.link.Write(answer, nil)
	c.link.CloseGracefully()
}

// Data reads requests.
func (c *serverConn) Data(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	c.heard = c.s.now()
	if !c.parser.Begun() {
		c.begun = c.heard
		// The first request has its time from the start. Guards against clients that begin and never end.
		if c.open == nil && (c.used || c.s.times.FirstRequest == 0) {
			c.arm(c.s.times.ReadRequest)
		}
	}
	c.parser.Feed(b)
	// Guards memory against a client that sends on and on behind a request that is not answered yet.
	if c.open != nil && c.parser.Buffered() > http1.MaxBody+http1.MaxHead {
		c.over = true
		go c.link.Close(fmt.Errorf("too much sent behind a request"))
		return
	}
	c.advance()
}

// advance hands on whole requests, one at a time. It is called with the lock held and lets go of it while
// the request is handled, as that may answer at once.
func (c *serverConn) advance() {
	if c.inside {
		return
	}
	c.inside = true
	defer func() { c.inside = false }()
	for c.open == nil && !c.over {
		m, err := c.parser.Next()
		if err != nil {
			status := 400
			if e, ok := err.(*http1.Error); ok {
				status = e.Status
			}
			c.refuse(status, err.Error())
			return
		}
		if m == nil {
			if c.parser.WantsContinue() && !c.asked {
				c.asked = true
				c.link.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
			}
			return
		}
		c.asked, c.used = false, true
		c.s.mu.Lock()
		closing := c.s.closing
		if !closing {
			c.s.count.Requests++
			c.unlist()
		}
		c.s.mu.Unlock()
		if closing { // what is read after the shutdown is not handed on
			c.turnAway()
			return
		}
		x := &Exchange{Message: m, FirstByteAt: c.begun, c: c}
		c.begun = c.heard // of one that was sent right behind it
		c.open = x
		c.arm(0)
		c.mu.Unlock()
		c.call(x)
		c.mu.Lock()
	}
}

// call stops a panic at its request: the client gets an answer, the connection ends.
func (c *serverConn) call(x *Exchange) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "request %s %s: panic: %v\n", x.Method, x.Target, p)
			c.s.counted(&c.s.count.Panics)
			x.Close = true
			x.Respond(500, nil)
		}
	}()
	c.s.handle(x)
}

func (s *Server) counted(which *uint64) {
	s.mu.Lock()
	*which++
	s.mu.Unlock()
}

// refuse answers what cannot be read; the framing is lost, so the connection ends.
func (c *serverConn) refuse(status int, reason string) {
	c.s.counted(&c.s.count.Bad)
	c.last(http1.Response(status, true, []byte(reason+"\n"), "Content-Type", "text/plain"))
}

// Respond answers. Only the first call counts, and none after the client has left.
func (x *Exchange) Respond(status int, body []byte, fields ...string) {
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open != x {
		return
	}
	c.open = nil
	if c.over {
		return
	}
	if status >= 400 && status < 500 {
		c.s.counted(&c.s.count.Bad)
	}
	c.s.mu.Lock()
	closing := x.Close || c.s.closing || c.s.crowded()
	c.s.mu.Unlock()
	answer := http1.Response(status, closing, body, fields...)
	if x.Method == "HEAD" {
		answer = answer[:len(answer)-len(body)]
	}
	c.link.Write(answer, nil)
	if closing {
		c.over = true
		c.link.CloseGracefully()
		return
	}
	if c.parser.Begun() {
		c.arm(c.s.times.ReadRequest)
	} else {
		c.arm(c.s.times.Idle)
	}
	c.advance()
	if c.open == nil && !c.over {
		c.s.mu.Lock()
		c.enlist(&c.s.idle)
		c.s.mu.Unlock()
	}
}

// Closed tells the owner of the request in hand that its client has gone away.
func (c *serverConn) Closed(error) {
	c.mu.Lock()
	c.over = true
	c.arm(0)
	var left func()
	if c.open != nil {
		left = c.open.left
	}
	c.open = nil
	c.mu.Unlock()
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.unlist()
	c.s.mu.Unlock()
	if left != nil {
		left()
	}
}
