package serialconn

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
	// replyReceived is one answer that came on a connection.
	replyReceived struct {
		aggregator.AdapterMessage
		conn  *conn
		reply Reply
	}
	// connectionClosed says that a connection has ended, or that what came on it cannot be parsed. err is nil if the server
	// closed it in order.
	connectionClosed struct {
		aggregator.AdapterMessage
		conn *conn
		err  error
	}
	// writeFinished says how far an attempt's request was written.
	writeFinished struct {
		aggregator.AdapterMessage
		attempt *attempt
		result  tcp.WriteResult
	}
)
