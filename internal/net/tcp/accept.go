package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptPause is the pause after a failed accept: while the cause lasts, for example when the process has no free
// descriptors, the next accept fails immediately.
const acceptPause = 2 * time.Millisecond

// transientAcceptErrors are the errors that accept(2) documents for connections closed in the accept queue, for
// exhausted resources, and for signals. The listener remains usable after them.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// steadyListener continues to accept after transient errors.
type steadyListener struct {
	net.Listener
	pause func(time.Duration)
}

// Accept waits for the next connection. An error means that the listener is closed or unusable.
func (l steadyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		l.pause(acceptPause)
	}
}

func isTransient(err error) bool {
	for _, transient := range transientAcceptErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
