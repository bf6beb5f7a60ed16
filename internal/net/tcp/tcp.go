// Package tcp puts TCP connections on netpoll behind a small face: a Link takes bytes to write without ever
// blocking its caller, and says of each write how far it came.
package tcp

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// WriteResult says how far a write had come.
type WriteResult int

const (
	WriteComplete  WriteResult = iota // all of it was handed to the network
	WriteNone                         // provably no byte of it
	WriteUncertain                    // it broke on the way
	WriteExpired                      // no byte of it: the time by which it was to begin was over
)

const (
	writeTimeout = 2 * time.Second // a peer that takes nothing for so long is given up
	queueMost    = 1 << 20         // bytes waiting to be written on one link
	lingerFor    = time.Second
	gateTries    = 4 // connections that may be closed for one that comes
)

// ErrSlowReader ends a link whose peer does not read what is sent to it.
var ErrSlowReader = errors.New("the peer does not read")

// Handler is what a link's owner does with it. Data and Closed are called one at a time, in order, off the
// loop; Closed is called once and last. A panic in them ends the link only.
type Handler interface {
	Data(b []byte)
	Closed(err error)
}

// Opener is a Handler that speaks first.
type Opener interface{ Opened() }

type item struct {
	b    []byte
	by   time.Time // it is no good later; zero: always
	done func(WriteResult)
}

// Conn is one connection.
type Conn struct {
	conn    netpoll.Connection
	peer    net.Addr
	handler Handler
	gate    *ConnLimiter // that it came in by; nil: none
	dead    sync.Once

	over chan struct{} // closed at the connection's end
	rest *list.Element // its place among those of the gate that linger, under the gate's lock; nil: none

	mu      sync.Mutex
	queue   []item
	bytes   int
	pumping bool
	closed  bool // by this side, or ended
	ended   bool // its descriptor may be another connection's from now on
	finish  bool // close once the queue is written
	cause   error
}

// Write queues bytes. done, which may be nil, is told how far they came, not on the caller's goroutine.
func (l *Conn) Write(b []byte, done func(WriteResult)) { l.write(item{b, time.Time{}, done}) }

// WriteWithin is Write for what is no good any more after so long: what has not begun by then never does, and nothing of
// it has left. Guards what was decided for a moment against a peer that reads slowly: behind other bytes it would wait for
// seconds.
func (l *Conn) WriteWithin(d time.Duration, b []byte, done func(WriteResult)) {
	l.write(item{b, time.Now().Add(d), done})
}

func (l *Conn) write(i item) {
	l.mu.Lock()
	// Guards memory against a peer that asks and does not read.
	if l.bytes+len(i.b) > queueMost && !l.closed {
		l.closed, l.cause = true, ErrSlowReader
		go l.conn.Close()
	}
	if l.closed || l.finish {
		l.mu.Unlock()
		if i.done != nil {
			go i.done(WriteNone)
		}
		return
	}
	l.queue = append(l.queue, i)
	l.bytes += len(i.b)
	start := !l.pumping
	l.pumping = true
	l.mu.Unlock()
	if start {
		go l.pump()
	}
}

// CloseGracefully ends the link gracefully: once all that is queued is written it says that no more will come, reads for a while
// without hearing, and closes when the peer has closed, too. Guards the last answer against the reset that a close over
// bytes which were not read brings: it takes with it what the peer has not yet got.
func (l *Conn) CloseGracefully() {
	l.mu.Lock()
	l.finish = true
	idle := !l.pumping
	l.mu.Unlock()
	if idle {
		go l.halfClose()
	}
}

// Close closes the link at once.
func (l *Conn) Close(cause error) {
	l.mu.Lock()
	l.closed = true
	if l.cause == nil {
		l.cause = cause
	}
	l.mu.Unlock()
	go l.conn.Close() // it may call Closed at once, and the caller may hold what that needs
}

// CloseAndWait closes the link before it returns: its place is free then. The caller holds nothing that Closed needs, and is not
// the link's own handler: netpoll closes once what reads on the connection is done.
func (l *Conn) CloseAndWait() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.conn.Close()
	<-l.over
}

// Abort closes the link at once and throws away what the system has not sent yet; done is called when the socket is
// closed. Guards against bytes that were written toward a machine behind a cut: they would arrive when it is over, long
// after what they asked for was given up.
func (l *Conn) Abort(cause error, done func()) {
	l.mu.Lock()
	l.closed = true
	if l.cause == nil {
		l.cause = cause
	}
	if c, ok := l.conn.(netpoll.Conn); ok && !l.ended {
		// Without it the system goes on sending after the close. Where it refuses, a plain close is what there is.
		syscall.SetsockoptLinger(c.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	l.mu.Unlock()
	go func() {
		l.conn.Close()
		<-l.over // netpoll closes once what reads on the connection is done
		done()
	}()
}

// halfClose says that nothing more will come, and closes later: when the peer has closed, or after a while.
func (l *Conn) halfClose() {
	l.mu.Lock()
	half := !l.ended && !l.closed
	if half && l.gate != nil {
		// Before the peer can know, or it may come again and find no room; and under the lock: the link's end, which takes it
		// off the gate's list, comes after.
		l.gate.linger(l)
	}
	if c, ok := l.conn.(netpoll.Conn); ok && half {
		half = syscall.Shutdown(c.Fd(), syscall.SHUT_WR) == nil
	}
	l.mu.Unlock()
	if half {
		time.AfterFunc(lingerFor, func() { l.conn.Close() })
		return
	}
	l.conn.Close()
}

// pump writes what is queued, and ends when there is no more.
func (l *Conn) pump() {
	for {
		l.mu.Lock()
		items := l.queue
		l.queue, l.bytes = nil, 0
		if len(items) == 0 {
			l.pumping = false
			finish := l.finish
			l.mu.Unlock()
			if finish {
				l.halfClose()
			}
			return
		}
		l.mu.Unlock()
		for _, i := range items {
			wrote := l.flush(i)
			if i.done != nil {
				i.done(wrote)
			}
		}
	}
}

func (l *Conn) flush(i item) WriteResult {
	l.mu.Lock()
	closed := l.closed
	l.mu.Unlock()
	switch {
	case closed || !l.conn.IsActive():
		return WriteNone
	case !i.by.IsZero() && time.Now().After(i.by):
		return WriteExpired
	}
	w := l.conn.Writer()
	if _, err := w.WriteBinary(i.b); err != nil {
		return WriteNone
	}
	err := w.Flush()
	if err == nil {
		return WriteComplete
	}
	l.Close(fmt.Errorf("write: %w", err))
	// Only the first call to the system fails with these, and then it has taken nothing. Whatever else comes,
	// part of it or all of it may be under way.
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return WriteNone
	}
	return WriteUncertain
}

func (l *Conn) read() {
	r := l.conn.Reader()
	n := r.Len()
	if n == 0 {
		return
	}
	b, err := r.Next(n)
	if err != nil {
		return
	}
	defer r.Release()
	l.mu.Lock()
	deaf := l.closed || l.finish
	l.mu.Unlock()
	if deaf {
		return
	}
	// A panic stops at the connection. Its owner closes what was open on it when told that it ended.
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "connection %v: panic: %v\n", l.peer, p)
			l.Close(fmt.Errorf("panic: %v", p))
		}
	}()
	l.handler.Data(b)
}

func (l *Conn) opened() {
	if o, ok := l.handler.(Opener); ok {
		o.Opened()
	}
}

// end tells the owner that the connection has ended. netpoll calls it before it lets go of the descriptor.
func (l *Conn) end() {
	l.dead.Do(func() {
		defer close(l.over)
		l.mu.Lock()
		l.closed, l.ended = true, true
		cause := l.cause
		l.mu.Unlock()
		if l.gate != nil {
			l.gate.leave(l)
		}
		defer func() {
			if p := recover(); p != nil {
				fmt.Fprintf(os.Stderr, "connection %v: panic at its end: %v\n", l.peer, p)
			}
		}()
		l.handler.Closed(cause)
	})
}

// Peer is the other side's address.
func (l *Conn) Peer() string { return l.peer.String() }

// attach has the connection's end told to the link's handler.
func (l *Conn) attach() {
	l.conn.SetWriteTimeout(writeTimeout)
	l.conn.AddCloseCallback(func(netpoll.Connection) error { l.end(); return nil })
}

// Dialer is Dial, or what stands in its place in tests.
type Dialer func(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error)

// Dial opens a connection; it blocks until that comes up or the time is over. handler makes the handler of
// the link.
func Dial(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error) {
	conn, err := netpoll.DialConnection("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return dialed(conn, conn.RemoteAddr(), handler)
}

// DialServerFirst is Dial for peers that may speak first and close, as agents do. Guards their word against netpoll's own
// dialing: a connection that the peer closed before its poller looked counts there as one that never came up.
func DialServerFirst(addr string, timeout time.Duration, handler func(*Conn) Handler) (*Conn, error) {
	up, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	defer up.Close() // netpoll's connection has a descriptor of its own
	raw, err := up.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	fd, dupErr := -1, error(nil)
	if err := raw.Control(func(old uintptr) {
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		if fd, dupErr = syscall.Dup(int(old)); dupErr == nil {
			syscall.CloseOnExec(fd)
		}
	}); err != nil {
		return nil, err
	}
	if dupErr != nil {
		return nil, os.NewSyscallError("dup", dupErr)
	}
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		syscall.Close(fd)
		return nil, err
	}
	return dialed(conn, up.RemoteAddr(), handler)
}

// dialed makes a connection that came up a link.
func dialed(conn netpoll.Connection, peer net.Addr, handler func(*Conn) Handler) (*Conn, error) {
	l := &Conn{conn: conn, peer: peer, over: make(chan struct{})}
	l.handler = handler(l)
	l.attach()
	if err := conn.SetOnRequest(func(context.Context, netpoll.Connection) error { l.read(); return nil }); err != nil {
		conn.Close()
		return nil, err
	}
	if !conn.IsActive() { // netpoll tells nobody of an end that came before there was a callback
		go conn.Close()
	}
	return l, nil
}

// Server accepts connections.
type Server struct {
	ln   net.Listener
	loop netpoll.EventLoop
	gate *ConnLimiter
}

// ConnLimiter caps the connections that servers hold together. Guards the limit on sockets.
type ConnLimiter struct {
	Evict func() bool // if set, closes some connection to make room, before it returns; false: none may go
	mu    sync.Mutex
	Max   int
	now   int
	rest  list.List // of links that only wait for their peers to close, oldest first
}

// linger notes that a link only waits for its peer to close: it is the first to make room.
func (g *ConnLimiter) linger(l *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l.rest = g.rest.PushBack(l)
}

// dropOne closes the link that has waited longest for its peer to close, and says whether there was one.
func (g *ConnLimiter) dropOne() bool {
	g.mu.Lock()
	e := g.rest.Front()
	if e == nil {
		g.mu.Unlock()
		return false
	}
	l := g.rest.Remove(e).(*Conn)
	l.rest = nil
	g.mu.Unlock()
	l.CloseAndWait()
	return true
}

// StopAdmitting lets nobody in any more.
func (g *ConnLimiter) StopAdmitting() {
	g.mu.Lock()
	g.Max, g.Evict = 0, nil
	g.mu.Unlock()
}

func (g *ConnLimiter) enter() bool {
	for tries := 0; ; tries++ {
		g.mu.Lock()
		if g.now < g.Max {
			g.now++
			g.mu.Unlock()
			return true
		}
		room := g.Evict
		g.mu.Unlock()
		if tries == gateTries || !g.dropOne() && (room == nil || !room()) {
			return false
		}
	}
}

func (g *ConnLimiter) leave(l *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now--
	if l.rest != nil {
		g.rest.Remove(l.rest)
		l.rest = nil
	}
}

type linkKey struct{}

// Listen listens on an address and serves each connection with the handler that accept makes of it.
func Listen(addr string, gate *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, gate: gate}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, conn netpoll.Connection) error {
			if l, ok := ctx.Value(linkKey{}).(*Conn); ok {
				l.read()
			}
			return nil
		},
		netpoll.WithOnPrepare(func(conn netpoll.Connection) context.Context {
			if !gate.enter() {
				return context.Background() // closed by the next step, once it is registered
			}
			l := &Conn{conn: conn, peer: conn.RemoteAddr(), gate: gate, over: make(chan struct{})}
			l.handler = accept(l)
			l.attach()
			return context.WithValue(context.Background(), linkKey{}, l)
		}),
		netpoll.WithOnConnect(func(ctx context.Context, conn netpoll.Connection) context.Context {
			if l, ok := ctx.Value(linkKey{}).(*Conn); ok {
				l.opened()
			} else {
				conn.Close()
			}
			return ctx
		}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	go s.loop.Serve(ln)
	return s, nil
}

// Addr is where the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops accepting; connections that are busy have a moment to end.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	s.loop.Shutdown(ctx)
}
