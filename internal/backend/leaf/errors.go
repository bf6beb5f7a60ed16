package leaf

import "errors"

// The causes of an AttemptError and of closing a connection, where there is no more to say than this.
var (
	errNoConnection      = errors.New("no address, or no connection left")
	errServerDraining    = errors.New("the server is draining")
	errServerReplaced    = errors.New("the server has moved or restarted")
	errBrokenAtOnce      = errors.New("the connection broke at once")
	errBrokenBeforeFrame = errors.New("the connection broke before the frame")
	errBrokenInFrame     = errors.New("the connection broke under the frame")
	errWriteExpired      = errors.New("not written in time")
	errServerClosed      = errors.New("the server closed the connection")
	errUnresponsive      = errors.New("canceled, and nothing was received since the call")
	errIdle              = errors.New("idle")
	errEvicted           = errors.New("idle, and connections run short")
	errDrained           = errors.New("not used any more")
	errExcessAnswer      = errors.New("more came than belongs to an answer")
	errIncompleteFrame   = errors.New("a frame that does not end")
	errUnexpectedBytes   = errors.New("bytes that nothing waits for")
	errUnexpectedProbe   = errors.New("an answer to no probe")
)
