package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"sync"

	"rooktrestle/balance"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/jsonstream"
)

// maxListBytes is the length of the longest list or change that is read.
const maxListBytes = 4 << 20

// Ways in which a response ends before its time.
var (
	errNoList           = errors.New("the response ended without a list")
	errWatchEnded       = errors.New("the watch ended")
	errConnectionClosed = errors.New("the connection was closed")
)

// phase is how far the responses on a connection have come. Connections that need no complete list start in
// receivingChanges.
type phase int

const (
	receivingChanges phase = iota // the response is the watch's
	awaitingFullList              // the response is to bring the complete list
	fullListReceived              // it has, and has not ended itself
)

// eventStream reads the responses of one connection: the complete list, where that comes first, and then the changes. It
// is the connection's handler; the watcher's goroutine takes its signals and abandons it.
type eventStream struct {
	watcher *Watcher
	parser  http1.Parser
	framer  jsonstream.Framer

	// Signals to the watcher's goroutine. Each has a capacity of 1, and none blocks the connection.
	progress     chan struct{} // something came that shows that the service is alive
	fullListDone chan struct{} // the response that brought the complete list has ended: the watch may be opened
	ended        chan error    // why the connection ended, or is to end

	mu    sync.Mutex // guards the following, and Watcher.Version
	state streamState
}

// streamState is what an eventStream knows of its connection.
type streamState struct {
	phase phase
	// sawProgress says that the bytes in hand showed that the service is alive: a response's head, a complete JSON object,
	// or white space between two objects, which is the heartbeat.
	sawProgress bool
	received    bool // a list or a change was delivered
	abandoned   bool // the watcher has gone on, or the response has a status that fails it: whatever comes is dropped
}

func newEventStream(w *Watcher) *eventStream {
	s := &eventStream{
		watcher:      w,
		progress:     make(chan struct{}, 1),
		fullListDone: make(chan struct{}, 1),
		ended:        make(chan error, 1),
	}
	if w.needsFullList {
		s.state.phase = awaitingFullList
	}
	s.framer.MaxBytes = maxListBytes
	s.parser = http1.Parser{Responses: true, Stream: s.readBody, Head: s.readHead}
	return s
}

// currentVersion returns the version of the list that is held.
func (s *eventStream) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watcher.Version
}

// abandon drops whatever still comes, and says whether a list or a change was delivered before.
func (s *eventStream) abandon() (received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.abandoned = true
	return s.state.received
}

// Data takes bytes off the connection. It implements tcp.Handler.
func (s *eventStream) Data(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.abandoned { // guards the list of a new address against late events of the old one
		return
	}
	s.state.sawProgress = false
	err := s.read(data)
	// A part of a list is no progress. Guards against a list that goes on and on and never ends.
	if s.state.sawProgress {
		s.signalProgress()
	}
	if err != nil {
		s.end(err)
	}
}

// Closed takes the end of the connection. It implements tcp.Handler.
func (s *eventStream) Closed(err error) {
	if err == nil {
		err = errConnectionClosed
	}
	s.end(err)
}

func (s *eventStream) signalProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// end reports why the watch is over. Only the first reason counts.
func (s *eventStream) end(reason error) {
	select {
	case s.ended <- reason:
	default:
	}
}

// read parses what has come, and returns why the watch is over; nil: it is not.
func (s *eventStream) read(data []byte) error {
	s.parser.Feed(data)
	response, err := s.parser.Next()
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	if response == nil {
		return nil
	}
	switch s.state.phase {
	case fullListReceived:
		s.state.phase = receivingChanges
		s.fullListDone <- struct{}{}
		return nil
	case awaitingFullList:
		return errNoList
	default:
		return errWatchEnded
	}
}

// readHead takes a response's head. The parser calls it.
func (s *eventStream) readHead(response *http1.Message) {
	s.state.sawProgress = true
	if response.Status == http.StatusOK {
		return
	}
	s.end(http1.StatusError(response.Status))
	s.state.abandoned = true // its body is no list, whatever it looks like
}

// readBody takes a piece of a response's body as it comes. The parser calls it. A list is complete with its last bracket,
// however the response that it stands in ends.
func (s *eventStream) readBody(data []byte) error {
	if s.state.abandoned {
		return nil
	}
	s.framer.Feed(data)
	for {
		text, err := s.framer.Next()
		if err != nil {
			return err
		}
		if text == nil {
			break
		}
		if err := s.deliver(text); err != nil {
			return err
		}
		s.state.sawProgress = true
	}
	if !s.framer.Inside() {
		s.state.sawProgress = true
	}
	return nil
}

// deliver passes on one list or change.
func (s *eventStream) deliver(text []byte) error {
	w := s.watcher
	version, change, err := Parse(text, w.Zones)
	if err != nil {
		return err
	}
	if s.state.phase == awaitingFullList {
		change.Kind = balance.ListFull
		s.state.phase = fullListReceived
	}
	// Guards against an agent that has gone back to an older list: its changes would bring in again what drains. Its
	// complete list counts, whatever its version: that is how it says so.
	if change.Kind == balance.ListDelta && version < w.Version {
		return errStaleChange
	}
	w.Put(change)
	w.Version = version
	s.state.received = true
	w.received()
	return nil
}
