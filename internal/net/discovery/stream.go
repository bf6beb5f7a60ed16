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

// maxListBytes is the maximum length of a list or change.
const maxListBytes = 4 << 20

// Errors of a response that ends prematurely.
var (
	errNoList           = errors.New("the response ended without a list")
	errWatchEnded       = errors.New("the service ended the response of the watch")
	errConnectionClosed = errors.New("the service closed the connection")
)

// phase is the state of the responses on a connection. A connection that needs no complete list starts in
// receivingChanges.
type phase int

const (
	receivingChanges phase = iota // the response is that of the watch
	awaitingFullList              // the response is expected to contain the complete list
	fullListReceived              // the complete list was received; the end of its response was not
)

// eventStream reads the responses of one connection: the complete list, if it was requested, and then the changes. It
// is the connection's handler; the watcher's goroutine receives its signals, and abandons it at the end of the watch.
type eventStream struct {
	watcher *Watcher
	parser  http1.Parser
	framer  jsonstream.Framer

	// Signals to the watcher's goroutine. Each has a capacity of 1, and none blocks the connection.
	progress     chan struct{} // data arrived that shows that the service is responsive
	fullListDone chan struct{} // the response with the complete list has ended: the watch may be opened
	ended        chan error    // why the watch ended or must end

	mu    sync.Mutex // guards the following, and Watcher.Version
	state streamState
}

// streamState is the state of an eventStream.
type streamState struct {
	phase phase
	// sawProgress reports that the bytes being handled show that the service is responsive: a response's head, a
	// complete JSON object, or white space between two objects, which is the heartbeat.
	sawProgress bool
	received    bool // a list or a change was delivered
	abandoned   bool // further data is dropped: the watcher no longer uses the stream, or the status is not 200
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

// currentVersion returns the version of the current list.
func (s *eventStream) currentVersion() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watcher.Version
}

// abandon makes the stream drop further data, and reports whether a list or a change was delivered before.
func (s *eventStream) abandon() (received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.abandoned = true
	return s.state.received
}

// Data handles bytes from the connection. It implements tcp.Handler.
func (s *eventStream) Data(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.abandoned { // delayed events of a previous address must not change the list of the current one
		return
	}
	s.state.sawProgress = false
	err := s.read(data)
	// A part of a list does not count as progress, or an endless list would keep the watch open.
	if s.state.sawProgress {
		s.signalProgress()
	}
	if err != nil {
		s.end(err)
	}
}

// Closed handles the close of the connection. It implements tcp.Handler.
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

// end reports why the watch ended. Only the first reason counts.
func (s *eventStream) end(reason error) {
	select {
	case s.ended <- reason:
	default:
	}
}

// read parses data, and returns why the watch must end; nil: it continues.
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

// readHead handles a response's head. The parser calls it.
func (s *eventStream) readHead(response *http1.Message) {
	s.state.sawProgress = true
	if response.Status == http.StatusOK {
		return
	}
	s.end(http1.StatusError(response.Status))
	s.state.abandoned = true // the body of a failed response is not a list, even if it can be parsed as one
}

// readBody handles the next bytes of a response's body. The parser calls it. A list is complete with its closing
// bracket, however its response ends.
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
	// An agent that was reset to an older list sends changes that would put draining servers back in service. Its
	// complete list is accepted whatever its version: that is how an agent announces such a reset.
	if change.Kind == balance.ListDelta && version < w.Version {
		return errStaleChange
	}
	w.Put(change)
	w.Version = version
	s.state.received = true
	w.received()
	return nil
}
