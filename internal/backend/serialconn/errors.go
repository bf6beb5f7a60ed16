package serialconn

import "errors"

// The causes of an AttemptError and of closing a connection, where there is no more to say than this.
var (
	errNoConnection    = errors.New("no connection left, or the server is gone")
	errServerDraining  = errors.New("the server is draining")
	errNoGreeting      = errors.New("the server does not answer the greeting")
	errEarlyAnswer     = errors.New("the server answered before the request")
	errUnexpectedReply = errors.New("an answer that nobody waits for")
	errCanceled        = errors.New("canceled")
	errNotNeeded       = errors.New("not needed any more")
	errServerClosed    = errors.New("the server closed the connection")
	errCloseRequested  = errors.New("the server wants the connection closed")
	errBroken          = errors.New("the connection broke")
	errIdle            = errors.New("idle")
	errEvicted         = errors.New("idle, and connections run short")
)
