// Package admin serves the operators' protocol (package protocol/admin). It uses the standard library's sockets and not
// netpoll's, so that an operator is answered while clients keep its pollers busy, and connections of its own number, so
// that clients and operators cannot take each other's.
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
	// MaxConns is how many connections are held. One more closes the one that has waited longest for its call.
	MaxConns = 16
	// callTimeout is how long a connection may take to bring its call.
	callTimeout = 5 * time.Second
	// answerTimeout bounds the writing of an answer.
	answerTimeout = time.Second
	// lingerTimeout is how long the peer's close is awaited behind an answer, so that bytes behind the call bring no reset.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes are read and dropped meanwhile.
	maxLingerBytes = 64 << 10
	// evictionInterval is the pause where no place is free and none can be made: each connection's call has come.
	evictionInterval = time.Millisecond
	// acceptBackoff is the pause after the system failed an accept, for want of descriptors as a rule.
	acceptBackoff = 20 * time.Millisecond
)

var errLineTooLong = errors.New("the call is too long")

// Handler carries out a call and returns the answer. Several goroutines call it; it returns within a second.
type Handler func(command admin.Command) (answer string)

// Server serves one listener.
type Server struct {
	listener net.Listener
	handle   Handler

	mu      sync.Mutex
	closed  bool
	open    int
	waiting list.List // of net.Conn whose call was not read, the oldest first
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

// Close ends the server and its connections, and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		closeConn(e.Value.(net.Conn))
	}
	s.mu.Unlock()
	_ = s.listener.Close() // accept ends
	s.running.Wait()
}

// closeConn closes a connection of which nothing is expected any more.
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

// admit serves a new connection, where need be in place of the one that has waited longest.
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
	place := s.waiting.PushBack(conn)
	s.running.Go(func() { s.serve(conn, place) })
}

// evictOldest ends the connection that has waited longest of those on which nothing has come that is not read yet. It is
// called with the lock held.
func (s *Server) evictOldest() {
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if conn := e.Value.(net.Conn); !hasInput(conn) {
			s.waiting.Remove(e)
			// Not a close: what reads on the connection may have the call by now, and answers it then.
			_ = conn.SetReadDeadline(time.Now())
			return
		}
	}
}

// hasInput reports whether the system holds bytes of a connection that were not read. An error is the connection's end.
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

// serve reads one call and answers it.
func (s *Server) serve(conn net.Conn, place *list.Element) {
	defer s.release()
	defer closeConn(conn)
	// The deadlines cannot fail on a connection that is open; on a closed one the next call tells.
	_ = conn.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := bufio.NewReaderSize(conn, admin.MaxLine).ReadSlice('\n')
	s.endWaiting(place)
	var answer string
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = admin.Failure(errLineTooLong)
	case err != nil && (!errors.Is(err, io.EOF) || len(line) == 0):
		return
	default:
		answer = s.answer(string(line))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(conn, answer); err != nil {
		return
	}
	linger(conn)
}

func (s *Server) answer(line string) string {
	command, err := admin.Parse(line)
	if err != nil {
		return admin.Failure(err)
	}
	return s.handle(command)
}

// endWaiting notes that a connection's call was read, or will not come.
func (s *Server) endWaiting(place *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting.Remove(place) // where it was evicted it is not listed any more
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// linger half-closes and waits for the peer's close. Errors are the peer's end.
func linger(conn net.Conn) {
	if half, ok := conn.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
}
