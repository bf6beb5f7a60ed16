// Package discovery follows the list of leaf servers over HTTP/1.1.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/decide/watch"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
)

const (
	connectTimeout = time.Second
	maxLine        = 4 << 20
)

// list is a message of discovery's.
type list struct {
	Version int64 `json:"version"`
	Full    bool  `json:"full"`
	Servers []struct {
		ID      string  `json:"id"`
		Addr    string  `json:"addr"`
		Zone    string  `json:"zone"`
		Cell    int     `json:"cell"`
		State   string  `json:"state"`
		Weight  float64 `json:"weight"`
		Started int64   `json:"started_ms"`
	} `json:"servers"`
}

var states = map[string]balance.State{
	"SERVING": balance.InService, "DRAINING": balance.Draining, "DELETED": balance.Removed,
}

// Parse reads a list as discovery words it. Entries in a state that is not known count as draining: nothing
// new goes there.
func Parse(text []byte, zones []string) (version int64, m mixer.Members, err error) {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return 0, m, fmt.Errorf("discovery: %w", err)
	}
	m.Kind = balance.ListDelta
	if l.Full {
		m.Kind = balance.ListFull
	}
	for _, e := range l.Servers {
		if e.ID == "" {
			return 0, m, errors.New("discovery: an entry without an id")
		}
		state, ok := states[e.State]
		if !ok {
			state = balance.Draining
		}
		s := mixer.Server{
			ID: balance.Replica(e.ID), Addr: e.Addr, Zone: zone(e.Zone, zones), Cell: e.Cell, Weight: e.Weight, State: state,
		}
		if e.Started > 0 {
			s.Started = time.UnixMilli(e.Started)
		}
		m.List = append(m.List, s)
	}
	return l.Version, m, nil
}

// zone is a zone's index among the settings' names, or one letter's, as some agents give them.
func zone(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 {
		return i
	}
	if len(name) == 1 && name[0] >= 'a' && name[0] <= 'z' {
		return int(name[0] - 'a')
	}
	return len(zones)
}

// Watch follows the list and posts each change, reconnecting and resuming for ever.
type Watch struct {
	Addr    string
	Zones   []string
	Version int64 // as last held
	Put     func(any)
	Log     func(format string, args ...any)
	Mixers  int                                  // that follow the same discovery; 0: one
	Chance  func() float64                       // from 0 to 1, for waits; nil: none
	After   func(time.Duration) <-chan time.Time // nil: time.After
	heard   func()
	calls   *watch.Calls

	moves chan string // the newest address not yet gone to; made by Run or Move, whichever comes first
	made  sync.Once
	fresh bool // versions held may not continue at Addr: take the whole list first
}

func (w *Watch) moved() chan string {
	w.made.Do(func() { w.moves = make(chan string, 1) })
	return w.moves
}

// Move turns the watch to another address at once. It may be called at any time, by one goroutine.
func (w *Watch) Move(addr string) {
	select {
	case <-w.moved(): // not gone to yet, and out of date
	default:
	}
	w.moved() <- addr
}

// Run follows the list until stop is closed. heard is called after each message.
func (w *Watch) Run(stop <-chan struct{}, heard func()) {
	w.heard, w.calls = heard, watch.New(watch.Platform(w.Mixers))
	if w.After == nil {
		w.After = time.After
	}
	for {
		w.calls.Open(time.Now(), w.chance())
		err := w.once(stop)
		if err != nil && err != errMoved {
			w.Log("discovery: %v", err)
		}
		if err == errMoved || err == errSilent {
			continue
		}
		now := time.Now()
		select {
		case <-stop:
			return
		case addr := <-w.moved():
			w.turn(addr)
		case <-w.After(w.calls.Ended(now, w.chance()).Sub(now)):
		}
	}
}

func (w *Watch) chance() float64 {
	if w.Chance == nil {
		return 0.5
	}
	return w.Chance()
}

var (
	errMoved  = errors.New("moved")
	errSilent = errors.New("the watch fell silent")
)

// turn notes the address to go to. Guards against a list that is patched with another discovery's changes:
// its versions need not continue those held.
func (w *Watch) turn(addr string) {
	w.Addr, w.fresh = addr, true
	w.Log("discovery: moved to %s", addr)
}

func (w *Watch) once(stop <-chan struct{}) error {
	s := &stream{w: w, whole: w.fresh, alive: make(chan struct{}, 1), over: make(chan error, 1), listed: make(chan struct{}, 1)}
	s.parser = http1.Parser{Responses: true, Stream: s.body}
	link, err := tcp.Dial(w.Addr, connectTimeout, func(*tcp.Link) tcp.Handler { return s })
	if err != nil {
		return err
	}
	defer link.Close(nil)
	defer s.leave()
	follow := func() {
		link.Write(http1.Request("GET", fmt.Sprintf("/v1/servers?stream=1&index=%d", w.version(s)), w.Addr, nil), nil)
	}
	if w.fresh {
		link.Write(http1.Request("GET", "/v1/servers", w.Addr, nil), nil)
	} else {
		follow()
	}
	for {
		select {
		case <-s.alive:
			w.calls.Heard(time.Now())
		case <-s.listed:
			w.fresh = false
			follow()
		case err := <-s.over:
			return err
		case addr := <-w.moved():
			w.turn(addr)
			return errMoved
		case <-w.After(time.Until(w.calls.Broken())):
			return errSilent
		case <-stop:
			return nil
		}
	}
}

func (w *Watch) version(s *stream) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.Version
}

// stream reads one watch's answers: the whole list, where it has to come first, and then the changes. It runs
// on its connection.
type stream struct {
	w      *Watch
	parser http1.Parser
	line   []byte
	alive  chan struct{}
	over   chan error
	listed chan struct{} // the whole list has come

	mu    sync.Mutex
	whole bool // what comes is the whole list
	good  bool // it brought word
	left  bool // the watch has gone on: what still comes here is for nobody
}

func (s *stream) leave() {
	s.mu.Lock()
	if s.left = true; s.good {
		s.w.calls.Good()
	}
	s.mu.Unlock()
}

func (s *stream) Data(b []byte) {
	select {
	case s.alive <- struct{}{}:
	default:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left { // guards the new list against late word from the old discovery
		return
	}
	s.parser.Feed(b)
	m, err := s.parser.Next()
	if err == nil && m != nil {
		switch {
		case m.Status != 200:
			err = fmt.Errorf("status %d", m.Status)
		case s.whole:
			if err = s.take(s.line); err == nil {
				s.whole, s.line = false, nil
				s.listed <- struct{}{}
			}
		default:
			err = errors.New("the watch ended")
		}
	}
	if err != nil {
		s.Closed(err)
	}
}

func (s *stream) Closed(err error) {
	if err == nil {
		err = errors.New("the connection ended")
	}
	select {
	case s.over <- err:
	default:
	}
}

// take passes on one message.
func (s *stream) take(text []byte) error {
	version, m, err := Parse(text, s.w.Zones)
	if err != nil {
		return err
	}
	if s.whole {
		m.Kind = balance.ListFull
	}
	s.w.Put(m)
	s.w.Version = version
	s.good = true
	s.w.heard()
	return nil
}

func (s *stream) body(b []byte) error {
	s.line = append(s.line, b...)
	for !s.whole {
		i := bytes.IndexByte(s.line, '\n')
		if i < 0 {
			break
		}
		text := bytes.TrimSpace(s.line[:i])
		s.line = s.line[i+1:]
		if len(text) == 0 {
			continue
		}
		if err := s.take(text); err != nil {
			return err
		}
	}
	if len(s.line) > maxLine {
		return fmt.Errorf("a line over %d bytes", maxLine)
	}
	return nil
}
