package serialconn

import (
	"errors"
	"fmt"
)

// Fixed causes of an AttemptError and of closing a connection.
var (
	errNoConnection      = errors.New("the server has no address or no codec, or the connection limit is reached")
	errServerUnavailable = errors.New("the server accepts no new requests: it is draining, detached or not listed")
	errNoGreeting        = fmt.Errorf("the server did not answer the greeting within %v", greetingTimeout)
	errEarlyAnswer       = errors.New("the server sent an answer before a request was written")
	errUnexpectedReply   = errors.New("answer received that no waiting request matches")
	errUnexpectedBytes   = errors.New("bytes received beyond the answer")
	errCanceled          = errors.New("attempt canceled")
	errNotNeeded         = errors.New("connection not needed: its attempt was canceled during the dial")
	errServerClosed      = errors.New("the server closed the connection")
	errCloseRequested    = errors.New("the server requested that the connection be closed")
	errBroken            = errors.New("the connection broke")
	errIdle              = errors.New("connection idle for too long")
	errEvicted           = errors.New("idle connection closed: the connection limit is reached")
)
