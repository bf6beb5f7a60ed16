package resharding

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// MapSource is a stand-in for an HTTP source of shard maps with long polling, which can inject faults. It is safe for
// concurrent use.
type MapSource struct {
	listener net.Listener
	web      *http.Server

	mu      sync.Mutex
	text    []byte                           // the current map
	epoch   uint64                           // of the current map; 0: there is none
	changed chan struct{}                    // closed and replaced when the map or the fault changes
	fault   func() (status int, body []byte) // returns the answer instead of the map; nil: no fault
	polls   int
}

// NewMapSource starts a source that has no map yet.
func NewMapSource() (*MapSource, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &MapSource{listener: listener, changed: make(chan struct{})}
	s.web = &http.Server{Handler: s}
	go func() { _ = s.web.Serve(listener) }() // Close ends it
	return s, nil
}

// Addr returns the address of the listener.
func (s *MapSource) Addr() string { return s.listener.Addr().String() }

// Close stops the source.
func (s *MapSource) Close() { _ = s.web.Close() } // no written data depends on it

// Publish replaces the current map by an encoded map.
func (s *MapSource) Publish(epoch uint64, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = text
	s.epoch = epoch
	s.notifyChange()
}

// notifyChange wakes the waiting polls. The caller must hold the lock.
func (s *MapSource) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault makes the source send the result of answer instead of the map; nil ends the fault.
func (s *MapSource) SetFault(answer func() (status int, body []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = answer
	s.notifyChange()
}

// Polls returns the number of polls that the source has received.
func (s *MapSource) Polls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.polls
}

// ServeHTTP answers a long poll: it waits for an epoch newer than the parameter after, for at most the parameter wait.
func (s *MapSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A missing or invalid parameter is 0: the current map is sent immediately, or the poll does not wait.
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
			_, _ = w.Write(body) // an error means that the client has disconnected
			return
		case epoch > after:
			_, _ = w.Write(text) // an error means that the client has disconnected
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
