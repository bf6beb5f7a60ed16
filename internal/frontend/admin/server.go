// Package admin serves the operators' protocol (package protocol/admin). It uses sockets of its own instead of those of
// net/tcp, so that operators receive responses while clients fill the turns of their listener. It has its own limit of
// connections, so that clients and operators cannot exhaust each other's.
package admin

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"rooktrestle/internal/protocol/admin"
)

const (
	// MaxConns is the maximum number of connections. One more evicts the connection that has waited longest for its
	// command.
	MaxConns = 16
	// commandTimeout bounds the time until the command has arrived on a connection.
	commandTimeout = 5 * time.Second
	// responseTimeout bounds the writing of a response.
	responseTimeout = time.Second
	// lingerTimeout is how long the server waits for the client's close after a response. Closing with unread bytes
	// would reset the connection, and the client could lose the response.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that are read and dropped during that time.
	maxLingerBytes = 64 << 10
	// evictionInterval is the pause between attempts to evict a connection while MaxConns are open. None can be evicted
	// if the commands of all have arrived.
	evictionInterval = time.Millisecond
	// acceptBackoff is the pause after a failed accept, usually for lack of file descriptors.
	acceptBackoff = 20 * time.Millisecond
)

var errLineTooLong = errors.New("the call is too long")

// Handler executes a command and returns the response. It is called concurrently and must return within a second.
type Handler func(command admin.Command) (response string)

// Server serves operators' commands on one listener.
type Server struct {
	listener net.Listener
	handle   Handler

	mu      sync.Mutex
	closed  bool
	open    int
	waiting list.List // net.Conn values whose command has not been read, oldest first
	running sync.WaitGroup
}

// Listen listens on addr, host:port, until Close.
func Listen(addr string, handle Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener, handle: handle}
	s.running.Go(s.accept)
	return s, nil
}

// Addr returns the address that the server listens on, host:port.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and the connections that wait for a command, and waits until the commands that have been
// read are executed and their responses sent.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		closeConn(e.Value.(net.Conn))
	}
	s.mu.Unlock()
	_ = s.listener.Close() // ends accept
	s.running.Wait()
}

// closeConn closes a connection. Errors are ignored, since nothing more is read or written.
func closeConn(conn net.Conn) { _ = conn.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptBackoff)
		default:
			s.admit(conn)
		}
	}
}

// admit serves a new connection. If MaxConns are open, it evicts the one that has waited longest, and waits until one
// is closed.
func (s *Server) admit(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= MaxConns && !s.closed {
		s.evictOldest()
		s.mu.Unlock()
		time.Sleep(evictionInterval)
		s.mu.Lock()
	}
	if s.closed {
		closeConn(conn)
		return
	}
	s.open++
	element := s.waiting.PushBack(conn)
	s.running.Go(func() { s.serve(conn, element) })
}

// evictOldest evicts the connection that has waited longest for its command, of those without unread input. The caller
// must hold the lock.
func (s *Server) evictOldest() {
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(net.Conn); !hasInput(conn) {
			s.waiting.Remove(e)
			// The connection is not closed, since serve may have read the command by now; the response is sent then.
			_ = conn.SetReadDeadline(time.Now())
			return
		}
	}
}

// hasInput reports whether the socket's receive buffer contains unread bytes, or the end or an error of the connection.
func hasInput(conn net.Conn) (readable bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		ready, err := unix.Poll(polled, 0)
		readable = err == nil && ready > 0
	})
	return readable
}

// serve reads one command and sends the response.
func (s *Server) serve(conn net.Conn, element *list.Element) {
	defer s.release()
	defer closeConn(conn)
	// Setting a deadline fails only on a closed connection, on which the following read or write fails, too.
	_ = conn.SetReadDeadline(time.Now().Add(commandTimeout))
	line, err := bufio.NewReaderSize(conn, admin.MaxLine).ReadSlice('\n')
	s.endWaiting(element)
	var response string
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		response = admin.Failure(errLineTooLong)
	case err != nil && (!errors.Is(err, io.EOF) || len(line) == 0):
		return
	default:
		response = s.respond(string(line))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	linger(conn)
}

func (s *Server) respond(line string) string {
	command, err := admin.Parse(line)
	if err != nil {
		return admin.Failure(err)
	}
	return s.handle(command)
}

// endWaiting removes a connection from waiting, after its command was read or failed to arrive.
func (s *Server) endWaiting(element *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(element) // does nothing if the connection was evicted
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// linger closes the connection for writing and waits for the client's close, for lingerTimeout at most. An error ends
// the wait, too.
func linger(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
}
