package resharding

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// MapSource is a stand-in of an HTTP source of shard maps with long polling, and with faults. It is safe for concurrent
// use.
type MapSource struct {
	listener net.Listener
	web      *http.Server

	mu      sync.Mutex
	text    []byte                           // the current map
	epoch   uint64                           // of the current map; 0: there is none
	changed chan struct{}                    // closed with each change of the map or the fault
	fault   func() (status int, body []byte) // answers in place of the map; nil: no fault
	polls   int
}

// NewMapSource starts a source without a map.
func NewMapSource() (*MapSource, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &MapSource{listener: listener, changed: make(chan struct{})}
	s.web = &http.Server{Handler: s}
	go func() { _ = s.web.Serve(listener) }() // it ends with Close
	return s, nil
}

// Addr is where the source listens.
func (s *MapSource) Addr() string { return s.listener.Addr().String() }

// Close ends the source.
func (s *MapSource) Close() { _ = s.web.Close() } // nothing is lost with it

// Publish makes a text the current map.
func (s *MapSource) Publish(epoch uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = text
	s.epoch = epoch
	s.notifyChange()
}

// notifyChange wakes the polls that wait. It is called with the lock held.
func (s *MapSource) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault makes the source answer with what answer returns; nil ends it.
func (s *MapSource) SetFault(answer func() (status int, body []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = answer
	s.notifyChange()
}

// Polls is how often the source was polled.
func (s *MapSource) Polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}

// ServeHTTP answers a long poll.
func (s *MapSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A parameter that cannot be read is 0: the current map is sent at once, or the poll does not wait.
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(wait)
	s.mu.Lock()
	s.polls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		text := s.text
		epoch := s.epoch
		changed := s.changed
		fault := s.fault
		s.mu.Unlock()
		switch {
		case fault != nil:
			status, body := fault()
			w.WriteHeader(status)
			_, _ = w.Write(body) // a client that has left needs none
			return
		case epoch > after:
			_, _ = w.Write(text) // a client that has left needs none
			return
		}
		select {
		case <-changed:
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}
