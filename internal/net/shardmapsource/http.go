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
	responseTimeout = 10 * time.Second // beyond the wait that was requested
	maxMapBytes     = 64 << 20         // of the longest map that is read

	pollPathFormat = "/v1/blocks?after=%d&wait=%s"
)

// Ways in which a source gives no response.
var (
	errNoResponse       = errors.New("no response in time")
	errConnectionClosed = errors.New("the connection was closed without a response")
)

// HTTP polls a service: GET /v1/blocks?after=EPOCH&wait=10s returns 200 with a map newer than EPOCH as soon as there is
// one, or 304 when the wait is over.
type HTTP struct {
	Addr string        // host:port
	Wait time.Duration // of a long poll

	// MinInterval is the mean interval between two polls, and the backoff after the first failure, which doubles up to
	// MaxInterval. Each is drawn between half and one and a half of it.
	MinInterval time.Duration
	MaxInterval time.Duration

	Put          func(Update)    // takes each report, on Run's goroutine, and must not block
	CurrentEpoch func() uint64   // the epoch of the map that is held; called on Run's goroutine
	Wake         <-chan struct{} // poll now, without a wait
	Dial         tcp.Dialer
}

// Run polls until stop is closed; its caller waits for it.
func (h *HTTP) Run(stop <-chan struct{}) {
	interval := h.MinInterval
	wait := time.Duration(0) // the first poll is answered at once
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
		// A random time, or all aggregators would come back to a source together.
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

// pollOutcome says how a poll ended.
type pollOutcome int

const (
	pollDone        pollOutcome = iota // with an update, which may be an error
	pollInterrupted                    // somebody wants to know at once
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
		wake = nil // the source answers at once
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

// update is the report of a response.
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
