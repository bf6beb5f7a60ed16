package serialconn

import (
	"errors"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/query"
)

// Codec encodes attempts for one server in its protocol. Its methods are called on the loop; those of its parsers are not.
type Codec interface {
	// Greeting returns the first bytes to send on a connection, nil if the protocol has no greeting. The server's answer to
	// it is a Reply with Greeting set.
	Greeting() []byte
	// Request returns the encoded request of one attempt. An error means that the protocol cannot express the work.
	Request(attempt aggregator.OutgoingAttempt, work query.Work) ([]byte, error)
	// Answers reports whether a reply may be the answer to the request of an attempt, as far as the protocol can tell.
	Answers(reply Reply, attempt aggregator.OutgoingAttempt, work query.Work) bool
	// IdentifiesAnswers reports whether every answer states which request it answers.
	IdentifiesAnswers() bool
	// Parser returns a parser for one connection.
	Parser() Parser
}

// Parser decodes a server's answers from the byte stream of a connection. It is not called on the loop.
type Parser interface {
	// Feed accepts received bytes and returns the answers that they complete. An error means that the stream is corrupt; the
	// answers returned with it are valid.
	Feed(b []byte) ([]Reply, error)
	// Partial reports whether an answer has begun and is not complete.
	Partial() bool
	// End returns the answer that is completed by the end of the stream, if there is one.
	End() []Reply
}

// MapMismatchError returns the AttemptError of a request for a shard that its server does not serve, if the details of the
// server's diagnostic state that mismatch, and nil otherwise. Such a request did not run.
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

// RequestKind is the kind of a request.
type RequestKind int

// Kinds of requests.
const (
	UnknownRequest RequestKind = iota
	SearchRequest
	UpdateRequest
)

// KindOf returns the kind of the request for some work.
func KindOf(work query.Work) RequestKind {
	if work.Action != "" {
		return UpdateRequest
	}
	return SearchRequest
}

// Reply is one answer of a server.
type Reply struct {
	Greeting bool        // it is the answer to the greeting
	Kind     RequestKind // of the request that it answers; UnknownRequest: it does not state that
	// Request is what it states of the request that it answers, in a form of the protocol's own; empty: nothing.
	Request string
	Err     error // why the attempt or the greeting failed; nil: it succeeded
	Value   string
	Score   float64
	Close   bool // the server accepts no further request on the connection
}
