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

// Faults of a fakeService, beside the statuses that it may answer with.
const (
	abortConnection = 1
	mapTooLong      = 2
)

// fakeService stands in for a service of shard maps.
type fakeService struct {
	behavior atomic.Int64 // a status or a fault
	polls    atomic.Int64
	queries  chan string // of the polls, as long as they are taken
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.polls.Add(1)
	select {
	case s.queries <- r.URL.RawQuery:
	default:
	}
	switch behavior := int(s.behavior.Load()); behavior {
	case http.StatusOK:
		_, _ = io.WriteString(w, "a map") // the client may be gone
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
		_, _ = io.WriteString(w, strings.Repeat("x", maxMapBytes+1)) // the client gives up before its end
	default:
		w.WriteHeader(behavior)
	}
}

// A service is polled for what is newer than the epoch that is held, by long poll; a failing one at growing intervals.
// Whoever wakes the source is not kept waiting by a poll in flight.
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
		// Not with the source's own time-out: on a busy machine it may run out, and the first poll is to succeed.
		Dial: func(addr string, _ time.Duration, handler func(*tcp.Conn) tcp.Handler) (*tcp.Conn, error) {
			dials.Add(1)
			return tcp.Dial(addr, patience, handler)
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
	for q := ""; q != "after=7&wait=0s"; q = <-service.queries { // sent while a poll of an hour is in flight
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	for u := next(t, updates); u.Err != nil || u.Text != nil; u = next(t, updates) { // until there is nothing newer
	}
	stopAndWait()
	// Counted where it dials: the service may see the last poll after Run has returned. Close waits until every poll is
	// over, which a poll of an hour left open would not be.
	n := dials.Load()
	server.Close()
	if dials.Load() != n || n < service.polls.Load() {
		t.Errorf("dialed %d times, %d after the end; polled %d times", n, dials.Load(), service.polls.Load())
	}
}
