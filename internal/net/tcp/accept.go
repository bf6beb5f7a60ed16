package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// acceptPause is the pause after a failed accept. It blocks the poller: while the cause lasts, for example when the
// process has no free descriptors, the listener is reported as readable again immediately.
const acceptPause = 2 * time.Millisecond

// transientAcceptErrors are the errors that accept(2) documents for connections closed in the accept queue, for
// exhausted resources, and for signals. The listener remains usable after them.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// steadyListener continues to accept after transient errors. netpoll itself logs each of them without a pause, and
// stops polling the listener for up to a second when the process has no free descriptors.
type steadyListener struct {
	netpoll.Listener
	pause func(time.Duration)
}

// Accept returns neither a connection nor an error if there is nothing to accept at present, as netpoll expects.
func (l steadyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && isTransient(err) {
		l.pause(acceptPause)
		return nil, nil
	}
	return conn, err
}

func isTransient(err error) bool {
	for _, transient := range transientAcceptErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
