package tcp

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// shutdownTimeout is how long Server.Close waits for writes in progress.
	shutdownTimeout = 100 * time.Millisecond
	// shutdownPollInterval is the time between two checks for writes in progress.
	shutdownPollInterval = time.Millisecond
	// socketBufferBytes is the size of the kernel's buffers of an accepted connection, one for each direction. The
	// kernel would increase them to some megabytes for a peer that sends or reads slowly.
	socketBufferBytes = 64 << 10
	noKeepAliveProbes = -1 // for net.ListenConfig
)

// Server accepts connections on one address.
type Server struct {
	listener *net.TCPListener
	limiter  *ConnLimiter
	accept   func(*Conn) Handler
	turns    *turnQueue
	closed   chan struct{} // closed by Close

	mu    sync.Mutex
	conns map[*Conn]bool // open
}

// Listen listens on addr, host:port, and serves each connection that limiter admits with the handler that accept
// returns. The connections of a server are read in turns. accept must not block. The caller closes the server.
func Listen(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	return openServer(setSocketBuffers, addr, limiter, accept)
}

// ListenShared is Listen with SO_REUSEPORT: another process of the same user may listen on the same address if it sets
// the option, too, and new connections go to either process. It lets a new process take over from a running one.
func ListenShared(addr string, limiter *ConnLimiter, accept func(*Conn) Handler) (*Server, error) {
	control := func(network, address string, raw syscall.RawConn) error {
		if err := ReusePort(network, address, raw); err != nil {
			return err
		}
		return setSocketBuffers(network, address, raw)
	}
	return openServer(control, addr, limiter, accept)
}

// setSocketBuffers sets the sizes of the kernel's buffers, which accepted connections inherit. It is for
// net.ListenConfig.Control. If setting a size fails, the kernel's default applies.
func setSocketBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	})
}

func openServer(
	control func(network, address string, raw syscall.RawConn) error,
	addr string, limiter *ConnLimiter, accept func(*Conn) Handler,
) (*Server, error) {
	config := net.ListenConfig{Control: control, KeepAlive: noKeepAliveProbes}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener.(*net.TCPListener),
		limiter:  limiter,
		accept:   accept,
		turns:    newTurnQueue(turnBytes),
		closed:   make(chan struct{}),
		conns:    map[*Conn]bool{},
	}
	go s.acceptAll() // Close ends it
	return s, nil
}

// acceptAll accepts connections until the listener is closed.
func (s *Server) acceptAll() {
	listener := steadyListener{Listener: s.listener, pause: time.Sleep}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.admit(conn.(*net.TCPConn))
	}
}

// admit serves a new connection if the limiter admits it, immediately or later, and closes it otherwise.
func (s *Server) admit(conn *net.TCPConn) {
	if s.limiter.admit() {
		s.open(conn)
		return
	}
	if !s.limiter.beginWaiting() {
		_ = conn.Close() // not admitted
		return
	}
	go func() {
		defer s.limiter.endWaiting()
		if s.limiter.admitLater(s.closed) {
			s.open(conn)
		} else {
			_ = conn.Close() // not admitted
		}
	}()
}

// open serves a connection that the limiter has admitted.
func (s *Server) open(conn *net.TCPConn) {
	socket, err := newSocket(conn)
	if err != nil {
		_ = conn.Close()
		s.limiter.releasePlace()
		return
	}
	c := &Conn{socket: socket, peer: conn.RemoteAddr(), limiter: s.limiter, done: make(chan struct{})}
	c.handler = s.accept(c)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	if s.isClosed() { // Close may not have seen it
		c.Close(nil)
	}
	go func() {
		c.serve(s.turns)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Addr returns the address that the server listens on, host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting and closes all connections, once their queued writes are sent or shutdownTimeout has elapsed. It
// does not wait for handlers that are running. It is called once.
func (s *Server) Close() {
	_ = s.listener.Close() // StopAccepting may have closed it
	close(s.closed)
	for begun := time.Now(); s.writing() && time.Since(begun) < shutdownTimeout; {
		time.Sleep(shutdownPollInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close(nil)
	}
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// writing reports whether a connection has writes that are not sent.
func (s *Server) writing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		unsent := c.unsent
		c.mu.Unlock()
		if unsent > 0 {
			return true
		}
	}
	return false
}
