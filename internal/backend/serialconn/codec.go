package serialconn

import (
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/query"
)

// Codec encodes attempts for one server in its protocol. Its methods are called on the loop, but for those of its parsers.
type Codec interface {
	// Greeting returns what opens a connection, nil if nothing does. The server answers it with a Reply that has Greeting
	// set.
	Greeting() []byte
	// Request returns the bytes of one attempt. An error says that the work cannot be expressed in the protocol.
	Request(call aggregator.Call, work query.Work) ([]byte, error)
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

// Reply is one answer of a server.
type Reply struct {
	Greeting bool  // it answers the greeting
	Err      error // why the attempt, or the greeting, failed; nil: it did not
	Value    string
	Score    float64
	Close    bool // the connection serves no further request
}
