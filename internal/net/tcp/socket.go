package tcp

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// discardBytes is how much input of a connection that is being closed one turn discards.
const discardBytes = 256 << 10

// socket is the socket of a connection. It is read by its connection's goroutine, in turns. A poller that reads whatever
// has arrived, however much the handler still has to do, would let a peer that sends without pause make the process hold
// any amount of memory, and would keep the processor from other connections. Here the kernel keeps what the connection
// has no turn to read, and then stops the peer from sending.
type socket struct {
	conn  *net.TCPConn
	raw   syscall.RawConn
	once  sync.Once
	ended chan struct{} // closed when this side closes the socket

	woken atomic.Bool // wake was called, and its turn has not begun
}

func newSocket(conn *net.TCPConn) (*socket, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{conn: conn, raw: raw, ended: make(chan struct{})}, nil
}

// Write blocks until all of b is handed to the kernel, or the write fails. Without an error n is len(b). With one, the
// kernel has taken n bytes, with certainty.
func (s *socket) Write(b []byte) (n int, err error) {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return s.conn.Write(b)
}

// Close closes the socket. Closing a closed socket has no effect.
func (s *socket) Close() error {
	s.once.Do(func() {
		close(s.ended)
		_ = s.conn.Close() // nothing more is read or written
	})
	return nil
}

// IsActive reports whether this side has not closed the socket.
func (s *socket) IsActive() bool {
	select {
	case <-s.ended:
		return false
	default:
		return true
	}
}

// control calls f with the descriptor, unless it is closed.
func (s *socket) control(f func(fd int)) {
	_ = s.raw.Control(func(fd uintptr) { f(int(fd)) }) // fails on a closed socket: f is not called
}

// past is a read deadline that has expired.
var past = time.Unix(1, 0)

// wake ends awaitReadable.
func (s *socket) wake() {
	s.woken.Store(true)
	_ = s.conn.SetReadDeadline(past) // fails on a closed socket, for which nothing waits
}

// awaitReadable waits until the socket has input, which includes its end, or wake is called, or was called since the
// last call returned: woken is then true. The error states that the socket is closed.
func (s *socket) awaitReadable() (woken bool, err error) {
	for {
		if s.woken.Load() {
			// The deadline first: a call of wake that comes between the two statements sets both again.
			if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
				return false, err
			}
			if s.woken.Swap(false) {
				return true, nil
			}
		}
		err := s.raw.Read(func(fd uintptr) bool { return readable(int(fd)) })
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false, err
		}
		if !s.woken.Load() { // a deadline that is left over from a call of wake
			if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
				return false, err
			}
		}
	}
}

// readable reports whether a socket has unread input, its end or an error.
func readable(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	ready, err := unix.Poll(polled, 0)
	return err != nil || ready > 0 // after an error of poll, the read finds out
}

// read reads into buffer without waiting. more is set if it is known that more input waits. n is 0 without an error if
// there is no input. At the end of the input the error is errPeerClosed.
func (s *socket) read(buffer []byte) (n int, more bool, err error) {
	err = errPeerClosed // if the socket is closed
	s.control(func(fd int) {
		n, err = receive(fd, buffer, 0)
		more = n == len(buffer) && unreadBytes(fd) > 0
	})
	return n, more, err
}

// discard is read for input that is dropped.
func (s *socket) discard() (more bool, err error) {
	err = errPeerClosed // if the socket is closed
	s.control(func(fd int) {
		// With MSG_TRUNC the kernel drops the bytes and leaves the buffer as it is (tcp(7)).
		_, err = receive(fd, discarded[:], unix.MSG_TRUNC)
		more = err == nil && unreadBytes(fd) > 0
	})
	return more, err
}

// hasUnread reports whether the socket has unread input.
func (s *socket) hasUnread() (unread bool) {
	s.control(func(fd int) { unread = unreadBytes(fd) > 0 })
	return unread
}

// discarded states the length of a discard. Its content is neither read nor written.
var discarded [discardBytes]byte

// errPeerClosed is the end of a connection's input.
var errPeerClosed = errors.New("the peer has closed the connection")

// receive reads from a socket without waiting; n is 0 if there is no input.
func receive(fd int, buffer []byte, flags int) (n int, err error) {
	for {
		n, _, err = unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT|flags)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, errPeerClosed
		}
		return n, nil
	}
}

// unreadBytes returns the number of bytes that a socket has received and nobody has read.
func unreadBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// serve reads a connection until it is closed by either side, and then notifies the handler. It runs on the connection's
// goroutine.
func (c *Conn) serve(turns *turnQueue) {
	defer func() {
		_ = c.socket.Close()
		c.awaitWriter()
		c.handleClosed()
	}()
	c.opened()
	for c.takeTurn(turns) {
	}
	if c.rejectsData() {
		c.awaitSent(c.socket.ended, 0) // the last response: the peer may have closed its sending direction only
	}
}

// takeTurn waits for something to do, and does it in a turn. It returns false if the connection is closed.
func (c *Conn) takeTurn(turns *turnQueue) (open bool) {
	backlogged := c.unread.Load() || c.socket.woken.Load()
	woken := c.socket.woken.Load() // the handler's backlog goes before further input
	if woken || !backlogged {
		var err error
		if woken, err = c.socket.awaitReadable(); err != nil {
			return false
		}
	}
	if c.limiter != nil && !c.awaitSent(c.socket.ended, maxUnsentToRead) {
		return false
	}
	buffer := turns.acquire(backlogged, c.socket.ended)
	if buffer == nil {
		return false
	}
	defer turns.release(buffer)
	if woken {
		c.unread.Store(c.socket.hasUnread())
		c.resumeHandler()
		open = true
	} else {
		open = c.readTurn(buffer)
	}
	if c.unread.Load() || c.socket.woken.Load() {
		// Before the next turn begins: peers that send without pause would otherwise keep the processor from everything
		// else for the scheduler's time slice of ten milliseconds.
		runtime.Gosched()
	}
	return open
}

// readTurn reads once, and passes what was read to the handler. It returns false if the connection is closed.
func (c *Conn) readTurn(buffer []byte) (open bool) {
	c.mu.Lock()
	drop := c.closed || c.closing
	c.mu.Unlock()
	if drop {
		more, err := c.socket.discard()
		c.unread.Store(more)
		return err == nil
	}
	n, more, err := c.socket.read(buffer)
	c.unread.Store(more)
	if err != nil {
		return false
	}
	if n > 0 {
		c.passData(buffer[:n])
	}
	return true
}

// resumeHandler calls the handler's Resume, if it has one.
func (c *Conn) resumeHandler() {
	if resumer, ok := c.handler.(Resumer); ok && !c.rejectsData() {
		defer c.recoverPanic()
		resumer.Resume()
	}
}

// Wake lets the handler's Resume be called in the connection's next turn, before more is read.
func (c *Conn) Wake() { c.socket.wake() }

// InputPending reports whether more input has arrived than was read: the peer may even have closed the connection
// behind it.
func (c *Conn) InputPending() bool { return c.unread.Load() }
