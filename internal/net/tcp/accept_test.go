package tcp

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"
)

// failingListener fails each accept with the next of its errors.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// A listener continues after every transient error, and pauses after each. It returns the errors that state that the
// listener itself is closed or invalid.
func TestSteadyListener_Accept(t *testing.T) {
	for _, end := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK} {
		failing := &failingListener{errs: append(slices.Clone(transientAcceptErrors), end)}
		pauses := 0
		listener := steadyListener{Listener: failing, pause: func(time.Duration) { pauses++ }}
		if conn, err := listener.Accept(); conn != nil || !errors.Is(err, end) {
			t.Errorf("%v: %v, %v", end, conn, err)
		}
		if pauses != len(transientAcceptErrors) || len(failing.errs) != 0 {
			t.Errorf("%v: %d pauses, %d accepts left", end, pauses, len(failing.errs))
		}
	}
}
