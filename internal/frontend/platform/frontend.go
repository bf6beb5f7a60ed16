// Package platform is the platform's frontend: queries over HTTP/1.1.
//
// POST /CLASS with a JSON body starts a query; its header fields state the request's id, tenant and deadline. GET /healthz
// reports whether the aggregator is ready, GET /counters returns its counters.
package platform

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/net/httpserve"
)

const (
	healthPath   = "/healthz"
	countersPath = "/counters"
)

// Options configure a Frontend.
type Options struct {
	Vocabulary Vocabulary // applies until SetVocabulary is called
	Shards     int        // a query's parts name shards from 0 to Shards-1
	Timeouts   httpserve.Timeouts
}

// Frontend reads requests from connections and posts them to the aggregator's loop. Its methods may be called on any
// goroutine.
type Frontend struct {
	*httpserve.Server
	options  Options
	put      func(aggregator.Message)
	counters func() string
	ready    atomic.Bool

	vocabulary atomic.Pointer[Vocabulary]
}

// New returns a Frontend that posts its messages with put, which must not block. counters returns the body of
// GET /counters; it is called on a goroutine of its own and may wait for the loop.
func New(options Options, put func(aggregator.Message), now func() time.Time, counters func() string) *Frontend {
	f := &Frontend{options: options, put: put, counters: counters}
	f.vocabulary.Store(&options.Vocabulary)
	f.Server = httpserve.New(options.Timeouts, now, f.handle)
	return f
}

// previousGracePeriod is how long requests may still use names that only the previous vocabulary contains.
const previousGracePeriod = 3 * time.Second

// SetVocabulary replaces the vocabulary. Names of the current one are accepted for previousGracePeriod after now.
func (f *Frontend) SetVocabulary(next Vocabulary, now time.Time) {
	previous := *f.vocabulary.Load()
	previous.Previous = nil // only one previous vocabulary is retained
	next.Previous = &previous
	next.PreviousUntil = now.Add(previousGracePeriod)
	f.vocabulary.Store(&next)
}

// SetReady sets whether GET /healthz answers 200.
func (f *Frontend) SetReady(ready bool) { f.ready.Store(ready) }

func (f *Frontend) handle(exchange *httpserve.Exchange) {
	path, _, _ := strings.Cut(exchange.Target, "?")
	if path == healthPath || path == countersPath {
		f.handleStatus(exchange, path)
		return
	}
	f.handleQuery(exchange, path)
}

// handleStatus answers requests for the aggregator's readiness and counters.
func (f *Frontend) handleStatus(exchange *httpserve.Exchange, path string) {
	switch {
	case exchange.Method != http.MethodGet && exchange.Method != http.MethodHead:
		respondError(exchange, http.StatusMethodNotAllowed, "only GET", "Allow", "GET, HEAD")
	case path == countersPath:
		// The loop may be busy. Nothing waits for the goroutine, which ends once the loop has answered.
		go func() { exchange.Respond(http.StatusOK, []byte(f.counters()+"\n"), "Content-Type", "text/plain") }()
	case f.ready.Load():
		exchange.Respond(http.StatusOK, []byte("ok\n"))
	default:
		exchange.Respond(http.StatusServiceUnavailable, []byte("not ready\n"))
	}
}

// handleQuery posts a query to the loop, or rejects a malformed one.
func (f *Frontend) handleQuery(exchange *httpserve.Exchange, path string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	vocabulary := f.vocabulary.Load()
	class, known := vocabulary.class(name, hasIdempotencyKey(exchange.Header), exchange.FirstByteAt)
	if !known {
		respondError(exchange, http.StatusNotFound, "no such class")
		return
	}
	if exchange.Method != http.MethodPost {
		respondError(exchange, http.StatusMethodNotAllowed, "only POST", "Allow", "POST")
		return
	}
	request, err := f.parseRequest(vocabulary, exchange.Message, class, exchange.FirstByteAt)
	if err != nil {
		respondError(exchange, http.StatusBadRequest, err.Error())
		return
	}
	exchange.Body = nil // the request has what it needs of it
	request.Frontend = responder{exchange}
	request.Disconnected = exchange.Disconnected
	disconnected := func() { f.put(aggregator.ClientDisconnected{Request: request}) }
	// The request is posted first: a disconnect that reached the loop before its request would be ignored.
	f.put(aggregator.RequestArrived{Request: request})
	if !exchange.OnDisconnect(disconnected) {
		disconnected()
	}
}

// respondError rejects a request; reason is the body that the client receives.
func respondError(exchange *httpserve.Exchange, status int, reason string, fields ...string) {
	exchange.Respond(status, []byte(reason+"\n"), append(fields, "Content-Type", "text/plain")...)
}
