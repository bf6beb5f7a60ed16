package tcp

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
)

// failingListener fails each accept with the next of its errors.
type failingListener struct {
	netpoll.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// A listener continues after every transient error, and pauses after each; netpoll receives none of them. It returns
// the errors that state that the listener itself is closed or invalid.
func TestSteadyListener_Accept(t *testing.T) {
	failing := &failingListener{errs: append([]error{}, transientAcceptErrors...)}
	pauses := 0
	listener := steadyListener{Listener: failing, pause: func(time.Duration) { pauses++ }}
	for _, cause := range transientAcceptErrors {
		if conn, err := listener.Accept(); conn != nil || err != nil {
			t.Errorf("%v: %v, %v", cause, conn, err)
		}
	}
	if pauses != len(transientAcceptErrors) {
		t.Errorf("%d pauses", pauses)
	}
	for _, end := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		failing.errs = []error{end}
		if _, err := listener.Accept(); !errors.Is(err, end) {
			t.Errorf("%v: %v", end, err)
		}
	}
}
