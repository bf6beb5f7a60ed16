package leaf

import (
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// The messages that the pool's other goroutines post to the loop; Pool.Handle takes them.
type (
	// dialResult ends a dial: with an open transport, or with an error.
	dialResult struct {
		aggregator.AdapterMessage
		conn      *conn
		transport Transport
		err       error
	}
	// framesReceived is what one read brought: complete frames, and then perhaps the beginning of another, or bytes that
	// cannot be parsed. It is one message, so that nothing is sent on the connection between an answer and invalid bytes
	// that follow it.
	framesReceived struct {
		aggregator.AdapterMessage
		conn    *conn
		frames  []Frame
		partial bool
		err     error
	}
	// connectionClosed says that a socket is closed, by either side. err is nil if the server closed it in order.
	connectionClosed struct {
		aggregator.AdapterMessage
		conn *conn
		err  error
	}
	// connectionAborted says that Transport.Abort is done: the socket is closed.
	connectionAborted struct {
		aggregator.AdapterMessage
		conn *conn
	}
	// writeFinished says how far the frame of a call was written.
	writeFinished struct {
		aggregator.AdapterMessage
		conn     *conn
		attempts []*attempt
		result   tcp.WriteResult
	}
	// cancelWritten says that an attempt's cancel frame was written, or that its connection broke before.
	cancelWritten struct {
		aggregator.AdapterMessage
		attempt *attempt
	}
)
