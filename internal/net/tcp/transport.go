package tcp

import (
	"errors"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// transport is the socket of a connection.
type transport interface {
	// Write blocks until all of b is handed to the kernel, or the write fails. Without an error n is len(b). With one,
	// 0 means that the kernel has taken nothing, with certainty.
	Write(b []byte) (n int, err error)
	// Close closes the socket. Closing a closed socket has no effect.
	Close() error
	// IsActive reports whether neither side is known to have closed the connection.
	IsActive() bool
	// control calls f with the descriptor, unless it is closed.
	control(f func(fd int))
}

// dialedSocket is the transport of a dialed connection, which netpoll reads.
type dialedSocket struct{ netpoll.Connection }

// Write implements transport. It does not use netpoll's Writer: netpoll may release the buffers of a connection that is
// closed between WriteBinary and Flush. Write retains them until it returns.
func (s dialedSocket) Write(b []byte) (n int, err error) {
	n, err = s.Connection.Write(b)
	// netpoll counts what it has buffered. EPIPE and ECONNRESET are returned by the first system call only, which has
	// then sent nothing. After any other error the peer may receive any part of the data.
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return 0, err
	}
	return n, err
}

// control implements transport. The caller ensures that netpoll has not released the descriptor.
func (s dialedSocket) control(f func(fd int)) {
	if conn, ok := s.Connection.(netpoll.Conn); ok {
		f(conn.Fd())
	}
}
