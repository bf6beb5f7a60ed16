package tcp

import (
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// CloseGracefully ends the connection once all that is queued is written: it half-closes, reads on for a while without
// passing on what comes, and closes when the peer has closed, too. Guards the last response against the reset that a close
// over unread bytes brings: a reset discards what the peer has not yet received.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	c.closing = true
	idle := !c.writing
	c.mu.Unlock()
	if idle {
		go c.halfClose()
	}
}

// Close closes the connection at once; Handler.Closed is called with the first cause that was given.
func (c *Conn) Close(cause error) {
	c.mu.Lock()
	c.markClosed(cause)
	c.mu.Unlock()
	go c.closeSocket() // it may call Handler.Closed at once, and the caller may hold a lock that Closed needs
}

// CloseAndWait closes the connection and returns when it has ended: a limiter admits another in its place then. The caller
// holds no lock that Handler.Closed needs, and is not the connection's own handler: netpoll closes only once what reads on
// the connection has returned.
func (c *Conn) CloseAndWait() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closeSocket()
	<-c.done
}

// Abort closes the connection at once and discards what the system has not sent yet; done is called, on a goroutine of its
// own, when the socket is closed. Guards against bytes that were written toward a machine behind a network partition: they
// would arrive when it is over, long after what they requested was given up.
func (c *Conn) Abort(cause error, done func()) {
	c.mu.Lock()
	c.markClosed(cause)
	if conn, ok := c.socket.(netpoll.Conn); ok && !c.ended {
		// Without it the system goes on sending after the close. Where it fails, a plain close is all there is.
		_ = syscall.SetsockoptLinger(conn.Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.mu.Unlock()
	go func() {
		c.closeSocket()
		<-c.done // netpoll closes only once what reads on the connection has returned
		done()
	}()
}

// markClosed is called with the lock held.
func (c *Conn) markClosed(cause error) {
	c.closed = true
	if c.cause == nil {
		c.cause = cause
	}
}

// closeSocket has netpoll close the connection, which may call Handler.Closed.
func (c *Conn) closeSocket() {
	_ = c.socket.Close() // it reports nothing: a connection that has ended is closed already
}

// halfClose ends the direction toward the peer, and closes later: when the peer has closed, or after lingerTimeout.
func (c *Conn) halfClose() {
	if c.shutdownWrite() {
		time.AfterFunc(lingerTimeout, c.closeSocket)
		return
	}
	c.closeSocket()
}

// shutdownWrite ends the direction toward the peer. It returns false where the connection has ended or cannot be
// half-closed.
func (c *Conn) shutdownWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.closed {
		return false
	}
	if c.limiter != nil {
		// Before the peer can know, or it may come again and find no capacity; and under the lock: the connection's end, which
		// takes it off the limiter's list, comes after.
		c.limiter.addLingering(c)
	}
	if conn, ok := c.socket.(netpoll.Conn); ok {
		return syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) == nil
	}
	return true
}

// PeerClosed asks the system whether the peer has closed its direction of the connection, and reports whether it has, or
// the connection has ended: Handler.Closed may still be to come, behind whatever else the process has to do.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.ended {
		return true
	}
	conn, ok := c.socket.(netpoll.Conn)
	if !ok {
		return false
	}
	polled := []unix.PollFd{{Fd: int32(conn.Fd()), Events: unix.POLLRDHUP}}
	// Where the system does not answer, or is interrupted, Handler.Closed is to tell.
	ready, err := unix.Poll(polled, 0)
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return err == nil && ready > 0 && polled[0].Revents&ended != 0
}
