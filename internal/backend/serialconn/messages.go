package serialconn

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
	// dataReceived is the result of one read of a connection, or of its end.
	dataReceived struct {
		aggregator.AdapterMessage
		conn    *conn
		replies []Reply
		partial bool   // bytes follow the replies: the beginning of another answer, or none that can be parsed
		reads   uint64 // number of reads of the connection so far
	}
	// connectionClosed reports that a connection is closed, or that bytes received on it cannot be parsed. err is nil if the
	// server closed it gracefully.
	connectionClosed struct {
		aggregator.AdapterMessage
		conn *conn
		err  error
	}
	// writeFinished reports how much of an attempt's request was written.
	writeFinished struct {
		aggregator.AdapterMessage
		attempt *attempt
		result  tcp.WriteResult
	}
)
