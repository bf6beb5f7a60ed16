package shardmapsource

import "rooktrestle/internal/protocol/http1"

// response reads one HTTP response. It is the connection's handler. It sends one value in total, to complete or to
// failed, each of which has a capacity of 1.
type response struct {
	parser   http1.Parser
	complete chan *http1.Message
	failed   chan error
	done     bool // the response or an error was sent to its channel
}

func newResponse() *response {
	return &response{
		parser:   http1.Parser{Responses: true, MaxBody: maxMapBytes},
		complete: make(chan *http1.Message, 1),
		failed:   make(chan error, 1),
	}
}

// Data implements tcp.Handler.
func (r *response) Data(b []byte) {
	if r.done {
		return
	}
	r.parser.Feed(b)
	m, err := r.parser.Next()
	switch {
	case err != nil:
		r.done = true
		r.failed <- err
	case m != nil:
		r.done = true
		r.complete <- m
	}
}

// Closed implements tcp.Handler. A response without a stated length ends with its connection.
func (r *response) Closed(err error) {
	if r.done {
		return
	}
	r.done = true
	if m := r.parser.End(); m != nil {
		r.complete <- m
		return
	}
	if err == nil {
		err = errConnectionClosed
	}
	r.failed <- err
}
