// Package platform is the platform's frontend: queries over HTTP/1.1.
//
// POST /CLASS with a JSON body starts a query; its headers state the request's id, tenant and deadline. GET /healthz
// answers whether the aggregator is ready, GET /counters with its counters.
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

// Options are what a Frontend needs to know. Classes, Tenants and MaxTimeout hold until SetVocabulary.
type Options struct {
	Classes    []string // names of the request classes, in the order of their indices
	Tenants    []string // names of the tenants, in the order of their indices; empty: requests state none
	Shards     int      // a query's slices are numbered from 0 to Shards-1
	MaxTimeout time.Duration
	Timeouts   httpserve.Timeouts
}

// Frontend reads requests from connections and posts them to the aggregator's loop. Its methods may be called by any
// goroutine.
type Frontend struct {
	*httpserve.Server
	options  Options
	put      func(aggregator.Message)
	counters func() string
	ready    atomic.Bool

	vocabulary atomic.Pointer[Vocabulary]
}

// New returns a Frontend that posts to put, which must not block. counters returns the text that GET /counters shows; it
// is called on a goroutine of its own and may wait for the loop.
func New(options Options, put func(aggregator.Message), now func() time.Time, counters func() string) *Frontend {
	f := &Frontend{options: options, put: put, counters: counters}
	f.vocabulary.Store(newVocabulary(options.Classes, options.Tenants, options.MaxTimeout))
	f.Server = httpserve.New(options.Timeouts, now, f.handle)
	return f
}

// formerPeriod is for how long requests may name what a new vocabulary does not have any more.
const formerPeriod = 3 * time.Second

// SetVocabulary sets what requests may name from now on.
func (f *Frontend) SetVocabulary(next Vocabulary, now time.Time) {
	former := *f.vocabulary.Load()
	former.Previous = nil // one generation back is enough
	next.Previous = &former
	next.PreviousUntil = now.Add(formerPeriod)
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

// handleStatus answers requests for the aggregator's own state.
func (f *Frontend) handleStatus(exchange *httpserve.Exchange, path string) {
	switch {
	case exchange.Method != http.MethodGet && exchange.Method != http.MethodHead:
		rejectBad(exchange, http.StatusMethodNotAllowed, "only GET", "Allow", "GET, HEAD")
	case path == countersPath:
		// The loop may be busy. Nobody waits for the goroutine, which ends with the loop's answer.
		go func() { exchange.Respond(http.StatusOK, []byte(f.counters()+"\n"), "Content-Type", "text/plain") }()
	case f.ready.Load():
		exchange.Respond(http.StatusOK, []byte("ok\n"))
	default:
		exchange.Respond(http.StatusServiceUnavailable, []byte("not ready\n"))
	}
}

// handleQuery posts a query to the loop, or rejects it where it is malformed.
func (f *Frontend) handleQuery(exchange *httpserve.Exchange, path string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	vocabulary := f.vocabulary.Load()
	class, known := vocabulary.class(name, exchange.FirstByteAt)
	if !known {
		rejectBad(exchange, http.StatusNotFound, "no such class")
		return
	}
	if exchange.Method != http.MethodPost {
		rejectBad(exchange, http.StatusMethodNotAllowed, "only POST", "Allow", "POST")
		return
	}
	request, err := f.parseRequest(vocabulary, exchange.Message, class, exchange.FirstByteAt)
	if err != nil {
		rejectBad(exchange, http.StatusBadRequest, err.Error())
		return
	}
	request.Frontend = responder{exchange}
	request.Disconnected = exchange.Disconnected
	disconnected := func() { f.put(aggregator.ClientDisconnected{Request: request}) }
	// In this order: a disconnect in between would reach the loop before its request, and be forgotten.
	f.put(aggregator.RequestArrived{Request: request})
	if !exchange.OnDisconnect(disconnected) {
		disconnected()
	}
}

func rejectBad(exchange *httpserve.Exchange, status int, reason string, fields ...string) {
	exchange.Respond(status, []byte(reason+"\n"), append(fields, "Content-Type", "text/plain")...)
}
