package serialconn

import (
	"errors"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/query"
)

// Codec encodes attempts for one server in its protocol. Its methods are called on the loop, but for those of its parsers.
type Codec interface {
	// Greeting returns what opens a connection, nil if nothing does. The server answers it with a Reply that has Greeting
	// set.
	Greeting() []byte
	// Request returns the bytes of one attempt. An error says that the work cannot be expressed in the protocol.
	Request(call aggregator.OutgoingAttempt, work query.Work) ([]byte, error)
	// Parser returns a parser for one connection.
	Parser() Parser
}

// Parser parses a server's answers out of a connection's stream of bytes, off the loop.
type Parser interface {
	// Feed takes bytes and returns the answers that are complete with them. An error says that the stream is corrupt; the
	// answers returned with it are good.
	Feed(b []byte) ([]Reply, error)
	// End returns the answer that the end of the stream completes, if there is one.
	End() []Reply
}

// MapMismatchError returns the AttemptError of a request for a shard that its server does not hold, if the details of the
// server's diagnostic say that, and nil if they do not. Such a request did not run.
func MapMismatchError(details string) error {
	mismatch, epoch, ok := shardmap.ParseMismatch(details)
	if !ok {
		return nil
	}
	return &aggregator.AttemptError{
		Progress:  aggregator.Answered,
		Rejected:  true,
		MapStatus: mismatch,
		Epoch:     epoch,
		Cause:     errors.New(details),
	}
}

// Reply is one answer of a server.
type Reply struct {
	Greeting bool  // it answers the greeting
	Err      error // why the attempt, or the greeting, failed; nil: it did not
	Value    string
	Score    float64
	Close    bool // the connection serves no further request
}
