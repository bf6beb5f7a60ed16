package shardmapsource

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

const (
	connectTimeout  = time.Second
	responseTimeout = 10 * time.Second // in addition to the requested wait
	maxMapBytes     = 64 << 20         // maximum length of a map

	pollPathFormat = "/v1/blocks?after=%d&wait=%s"
)

// Errors of a source that does not respond.
var (
	errNoResponse       = errors.New("no response before the timeout")
	errConnectionClosed = errors.New("the service closed the connection without a response")
)

// HTTP polls a service: GET /v1/blocks?after=EPOCH&wait=10s returns 200 with a map newer than EPOCH as soon as there is
// one, or 304 when the wait has elapsed.
type HTTP struct {
	Addr string        // host:port
	Wait time.Duration // of a long poll

	// MinInterval is the mean interval between two polls. It doubles with each failure in a row, up to MaxInterval.
	// Each interval is drawn at random between 0.5 and 1.5 times the mean.
	MinInterval time.Duration
	MaxInterval time.Duration

	Put          func(Update)    // receives each report, on Run's goroutine, and must not block
	CurrentEpoch func() uint64   // returns the epoch of the current map; called on Run's goroutine
	Wake         <-chan struct{} // each receive starts a poll immediately, without a wait
	Dial         tcp.Dialer
}

// Run polls until stop is closed; its caller waits for it.
func (h *HTTP) Run(stop <-chan struct{}) {
	interval := h.MinInterval
	wait := time.Duration(0) // the service responds to the first poll immediately
	for {
		update, outcome := h.poll(stop, h.CurrentEpoch(), wait)
		switch outcome {
		case pollStopped:
			return
		case pollInterrupted:
			interval = h.MinInterval
			wait = 0
			continue
		}
		h.Put(update)
		if update.Err != nil {
			interval = min(2*interval, h.MaxInterval)
		} else {
			interval = h.MinInterval
			wait = h.Wait
		}
		// Random, or all aggregators would poll a service at the same time.
		pause := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-stop:
			pause.Stop()
			return
		case <-h.Wake:
			wait = 0
		case <-pause.C:
		}
		pause.Stop()
	}
}

// pollOutcome is the outcome of a poll.
type pollOutcome int

const (
	pollDone        pollOutcome = iota // with an update, which may be an error
	pollInterrupted                    // by Wake: the next poll is sent immediately
	pollStopped
)

// poll sends one request and waits for its response.
func (h *HTTP) poll(stop <-chan struct{}, after uint64, wait time.Duration) (Update, pollOutcome) {
	response := newResponse()
	conn, err := h.Dial(h.Addr, connectTimeout, func(*tcp.Conn) tcp.Handler { return response })
	if err != nil {
		return h.failed(fmt.Errorf("connect: %w", err)), pollDone
	}
	defer conn.Close(nil)
	path := fmt.Sprintf(pollPathFormat, after, wait)
	conn.Write(http1.Request("GET", path, h.Addr, nil, "Connection", "close"), nil)
	timeout := time.NewTimer(wait + responseTimeout)
	defer timeout.Stop()
	wake := h.Wake
	if wait == 0 {
		wake = nil // the service responds to this poll immediately
	}
	select {
	case <-stop:
		return Update{}, pollStopped
	case <-wake:
		return Update{}, pollInterrupted
	case <-timeout.C:
		return h.failed(errNoResponse), pollDone
	case err := <-response.failed:
		return h.failed(err), pollDone
	case m := <-response.complete:
		return h.update(m), pollDone
	}
}

// update returns the report of a response.
func (h *HTTP) update(m *http1.Message) Update {
	switch m.Status {
	case http.StatusOK:
		return Update{Source: h.Addr, Text: m.Body}
	case http.StatusNotModified:
		return Update{Source: h.Addr}
	default:
		return h.failed(http1.StatusError(m.Status))
	}
}

func (h *HTTP) failed(err error) Update {
	return Update{Source: h.Addr, Err: fmt.Errorf("poll for a shard map: %w", err)}
}
