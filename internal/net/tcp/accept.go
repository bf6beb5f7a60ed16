package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// acceptPause is the pause after an accept that the system failed. The poller holds it: where the cause lasts, as with
// descriptors that ran out, the listener is reported as readable again at once.
const acceptPause = 2 * time.Millisecond

// transientAcceptErrors are those that accept(2) documents for connections that have ended in the queue, for resources that
// ran out, and for signals: the listener is as good as before.
var transientAcceptErrors = []error{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// steadyListener goes on listening whatever transient error an accept has. Guards against netpoll, which logs each of them
// without a pause, and turns away from the listener for up to a second where descriptors have run out.
type steadyListener struct {
	netpoll.Listener
	pause func(time.Duration)
}

// Accept returns neither a connection nor an error where there is nothing to accept now, as netpoll expects it.
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
