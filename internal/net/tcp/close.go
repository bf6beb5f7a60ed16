package tcp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseGracefully closes the connection once all queued writes are sent: it half-closes the connection, discards what
// still arrives, and closes when the peer has closed, or after lingerTimeout. A plain close with unread bytes in the
// socket would send a reset, and a reset discards the part of the last response that the peer has not yet received.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	c.closing = true
	idle := !c.writing
	c.mu.Unlock()
	if idle {
		go c.halfClose()
	}
}

// Close closes the connection immediately. Handler.Closed is called with the first non-nil cause.
func (c *Conn) Close(cause error) {
	c.mu.Lock()
	c.markClosed(cause)
	c.mu.Unlock()
	c.closeSocket()
}

// CloseAndWait closes the connection and returns when Handler.Closed has returned; from then on its limiter can admit
// another connection. The caller must not hold a lock that Handler.Closed acquires, and must not be the connection's
// own handler: a connection is closed only once its handler has returned.
func (c *Conn) CloseAndWait() {
	c.mu.Lock()
	c.closed = true
	c.notifySent()
	c.mu.Unlock()
	c.closeSocket()
	<-c.done
}

// Abort closes the connection immediately and discards what the kernel has not sent yet; done is called, on its own
// goroutine, when the socket is closed. Without the discard, requests written to a server behind a network partition
// would arrive when the partition heals, long after they were canceled.
func (c *Conn) Abort(cause error, done func()) {
	c.mu.Lock()
	c.markClosed(cause)
	if !c.fdReleased {
		c.socket.control(func(fd int) {
			// A zero linger time discards unsent data at the close. If setting it fails, the close is a plain one.
			_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		})
	}
	c.mu.Unlock()
	go func() {
		c.closeSocket()
		<-c.done // closed only once the connection's handler has returned
		done()
	}()
}

// markClosed records the close, and its cause unless one is recorded already. It is called with the lock held.
func (c *Conn) markClosed(cause error) {
	c.closed = true
	c.notifySent()
	if c.cause == nil {
		c.cause = cause
	}
}

// closeSocket closes the socket, which ends the connection's goroutine.
func (c *Conn) closeSocket() {
	_ = c.socket.Close() // closing a closed connection has no effect
}

// halfClose shuts down the sending direction. The connection is closed when the peer closes, or after lingerTimeout.
func (c *Conn) halfClose() {
	if c.shutdownWrite() {
		time.AfterFunc(lingerTimeout, c.closeSocket)
		return
	}
	c.closeSocket()
}

// shutdownWrite shuts down the sending direction. It returns false if the connection is closed or cannot be
// half-closed.
func (c *Conn) shutdownWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fdReleased || c.closed {
		return false
	}
	if c.limiter != nil {
		// Before the shutdown, or the peer could see it, reconnect, and find no capacity. With the lock held, so that
		// handleClosed, which removes the connection from the limiter's list, runs after it was added.
		c.limiter.addLingering(c)
	}
	err := errPeerClosed // if the socket is closed
	c.socket.control(func(fd int) { err = syscall.Shutdown(fd, syscall.SHUT_WR) })
	return err == nil
}

// PeerClosed reports whether the connection is closed, or the peer has closed its sending direction. It queries the
// kernel, because the call of Handler.Closed may be delayed while the process is busy.
func (c *Conn) PeerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.fdReleased {
		return true
	}
	ended := true // if the socket is closed
	c.socket.control(func(fd int) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		// If poll fails or is interrupted, the caller relies on Handler.Closed.
		ready, err := unix.Poll(polled, 0)
		const endEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
		ended = err == nil && ready > 0 && polled[0].Revents&endEvents != 0
	})
	return ended
}
