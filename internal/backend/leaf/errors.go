package leaf

import (
	"errors"
	"fmt"
)

// Fixed causes of an AttemptError and of closing a connection.
var (
	errNoConnection          = errors.New("no address of the server, or connection limit reached and no connection idle")
	errServerUnavailable     = errors.New("the server accepts no new calls: it is draining, detached or not listed")
	errServerReplaced        = errors.New("the server moved or restarted while the attempt waited for a connection")
	errClosedBeforeUse       = errors.New("the connection was closed right after it was opened")
	errBrokenBeforeWrite     = errors.New("the connection broke before any byte of the call was written")
	errBrokenDuringWrite     = errors.New("the connection broke while the call was being written")
	errWriteExpired          = errors.New("the call was not written in time, or its attempt was abandoned")
	errServerClosed          = errors.New("the server closed the connection")
	errUnresponsive          = errors.New("attempt canceled, and no sign that the server has read the cancel frame")
	errIdle                  = errors.New("connection idle for too long")
	errEvicted               = errors.New("idle connection closed: the connection limit is reached")
	errDrained               = errors.New("connection drained after a duplicate answer")
	errDuplicateAnswer       = errors.New("duplicate answer, and no attempt in flight on the connection")
	errIncompleteFrame       = fmt.Errorf("frame still incomplete after %v", maxPartialFrameAge)
	errUnexpectedBytes       = errors.New("bytes received with no attempt in flight and no probe answer awaited on the connection")
	errUnexpectedProbeAnswer = errors.New("probe answer received with no probe in flight on the connection")
)
