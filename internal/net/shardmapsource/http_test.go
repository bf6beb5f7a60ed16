package shardmapsource

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rooktrestle/internal/net/tcp"
)

// Faults of a fakeService, which it can produce instead of responding with a status.
const (
	abortConnection = 1
	mapTooLong      = 2
)

// fakeService is a fake HTTP service of shard maps.
type fakeService struct {
	behavior atomic.Int64 // a status or a fault
	polls    atomic.Int64
	queries  chan string // of the polls; dropped when the channel is full
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls.Add(1)
	select {
	case s.queries <- r.URL.RawQuery:
	default:
	}
	switch behavior := int(s.behavior.Load()); behavior {
	case http.StatusOK:
		_, _ = io.WriteString(w, "a map") // the client may have disconnected
	case http.StatusNotModified:
		wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
		if err != nil {
			wait = 0
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		w.WriteHeader(http.StatusNotModified)
	case abortConnection:
		panic(http.ErrAbortHandler)
	case mapTooLong:
		_, _ = io.WriteString(w, strings.Repeat("x", maxMapBytes+1)) // the client closes the connection before the end
	default:
		w.WriteHeader(behavior)
	}
}

// A service is long-polled for maps newer than the current epoch, and a failing one at growing intervals. Waking the
// source interrupts a poll in flight.
func TestHTTP_LongPoll(t *testing.T) {
	var epoch atomic.Uint64
	var dials atomic.Int64
	service := &fakeService{queries: make(chan string, 1000)}
	service.behavior.Store(http.StatusOK)
	server := httptest.NewServer(service)
	defer server.Close()
	updates, wake := make(chan Update, 1000), make(chan struct{}, 1)
	h := &HTTP{
		Addr:         strings.TrimPrefix(server.URL, "http://"),
		Wait:         time.Hour,
		MinInterval:  5 * time.Millisecond,
		MaxInterval:  20 * time.Millisecond,
		Put:          func(u Update) { updates <- u },
		CurrentEpoch: epoch.Load,
		Wake:         wake,
		// Not the source's own timeout: on a busy machine it may elapse, and the first poll must succeed.
		Dial: func(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
			dials.Add(1)
			return tcp.Dial(addr, testTimeout, handler)
		},
	}
	stopAndWait := start(t, h.Run)
	if u := next(t, updates); u.Err != nil || string(u.Text) != "a map" {
		t.Errorf("%+v", u)
	}
	if q := <-service.queries; q != "after=0&wait=0s" {
		t.Errorf("the first poll is %s", q)
	}
	epoch.Store(7)
	for q := ""; q != "after=7&wait=1h0m0s"; q = <-service.queries {
	}
	for _, behavior := range []int64{http.StatusInternalServerError, abortConnection, mapTooLong} {
		service.behavior.Store(behavior)
		for next(t, updates).Err == nil {
		}
	}
	service.behavior.Store(http.StatusNotModified)
	for q := ""; q != "after=7&wait=0s"; q = <-service.queries { // sent while a poll with a wait of 1 h is in flight
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	for u := next(t, updates); u.Err != nil || u.Text != nil; u = next(t, updates) { // until there is nothing newer
	}
	stopAndWait()
	// Counted where it dials: the service may receive the last poll after Run has returned. server.Close waits until
	// every poll has ended, so it would block if Run left a poll with a wait of 1 h open.
	n := dials.Load()
	server.Close()
	if dials.Load() != n || n < service.polls.Load() {
		t.Errorf("dialed %d times, %d after the end; polled %d times", n, dials.Load(), service.polls.Load())
	}
}
