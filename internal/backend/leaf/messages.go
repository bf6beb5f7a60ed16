package leaf

import (
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/tcp"
)

// The messages that the pool's other goroutines post to the loop; Pool.Handle handles them.
type (
	// dialResult is the result of a dial: an open transport, or an error.
	dialResult struct {
		aggregator.AdapterMessage
		conn      *conn
		transport Transport
		err       error
	}
	// framesReceived is the result of one read: complete frames, possibly followed by the beginning of another (partial) or
	// by invalid bytes (err). It is one message, so that nothing is sent on the connection between the handling of an answer
	// and of invalid bytes that follow it.
	framesReceived struct {
		aggregator.AdapterMessage
		conn    *conn
		frames  []Frame
		partial bool
		err     error
	}
	// connectionClosed reports that a socket is closed, by either side. err is nil if the server closed it gracefully.
	connectionClosed struct {
		aggregator.AdapterMessage
		conn *conn
		err  error
	}
	// connectionAborted reports that Transport.Abort is done: the socket is closed.
	connectionAborted struct {
		aggregator.AdapterMessage
		conn *conn
	}
	// writeFinished reports how much of the frame of a call was written.
	writeFinished struct {
		aggregator.AdapterMessage
		conn     *conn
		attempts []*attempt
		result   tcp.WriteResult
	}
	// cancelWritten reports that an attempt's cancel frame was written, or that its connection broke before that.
	cancelWritten struct {
		aggregator.AdapterMessage
		attempt *attempt
	}
)
