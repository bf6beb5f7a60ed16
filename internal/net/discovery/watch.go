// Package discovery follows the list of leaf servers over HTTP/1.1.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/http1"
	"rooktrestle/internal/protocol/jsonstream"
)

const (
	connectTimeout = time.Second
	maxList        = 4 << 20 // bytes of one list
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

var states = map[string]balance.EndpointState{
	"SERVING": balance.InService, "DRAINING": balance.Draining, "DELETED": balance.Removed,
}

// Parse reads a list as discovery words it. Entries in a state that is not known count as draining: nothing
// new goes there.
func Parse(text []byte, zones []string) (version int64, m aggregator.EndpointsChanged, err error) {
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
		s := aggregator.Server{
			ID: balance.Replica(e.ID), Addr: e.Addr, Zone: zone(e.Zone, zones), Cell: e.Cell, Weight: e.Weight, State: state,
		}
		if e.Started > 0 {
			s.Started = time.UnixMilli(e.Started)
		}
		m.Servers = append(m.Servers, s)
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

// Watcher follows the list and posts each change, reconnecting and resuming for ever.
type Watcher struct {
	Addr      string
	Zones     []string
	Version   int64 // as last held
	Put       func(aggregator.Message)
	Log       func(format string, args ...any)
	FleetSize int                                  // that follow the same discovery; 0: one
	Random    func() float64                       // from 0 to 1, for waits; nil: none
	After     func(time.Duration) <-chan time.Time // nil: time.After
	heard     func()
	calls     *listwatch.Reconnector

	moves chan string // the newest address not yet gone to; made by Run or Move, whichever comes first
	made  sync.Once
	fresh bool // versions held may not continue at Addr: take the whole list first

	Dial tcp.Dialer // nil: tcp.Dial
}

func (w *Watcher) moved() chan string {
	w.made.Do(func() { w.moves = make(chan string, 1) })
	return w.moves
}

// SwitchTo turns the watch to another address at once. It may be called at any time, by one goroutine.
func (w *Watcher) SwitchTo(addr string) {
	select {
	case <-w.moved(): // not gone to yet, and out of date
	default:
	}
	w.moved() <- addr
}

// Run follows the list until stop is closed. heard is called after each message.
func (w *Watcher) Run(stop <-chan struct{}, heard func()) {
	w.heard, w.calls = heard, listwatch.New(listwatch.PlatformConfig(w.FleetSize))
	if w.After == nil {
		w.After = time.After
	}
	if w.Dial == nil {
		w.Dial = tcp.Dial
	}
	for {
		w.calls.Opened(time.Now(), w.chance())
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

func (w *Watcher) chance() float64 {
	if w.Random == nil {
		return 0.5
	}
	return w.Random()
}

var (
	errMoved  = errors.New("moved")
	errSilent = errors.New("the watch fell silent")
	errBack   = errors.New("a change of an older version than the list that is held")
)

// turn notes the address to go to. Guards against a list that is patched with another discovery's changes:
// its versions need not continue those held.
func (w *Watcher) turn(addr string) {
	w.Addr, w.fresh = addr, true
	w.Log("discovery: moved to %s", addr)
}

func (w *Watcher) once(stop <-chan struct{}) error {
	s := &stream{w: w, whole: w.fresh, alive: make(chan struct{}, 1), over: make(chan error, 1), ready: make(chan struct{}, 1)}
	s.framer.Most = maxList
	s.parser = http1.Parser{Responses: true, Stream: s.body, Head: s.head}
	addr, err := w.follow(s, stop)
	// From here on what still comes on the connection is for nobody, so that the next call may begin.
	if s.leave(); s.good {
		w.calls.Succeeded()
	}
	switch {
	case err == errMoved:
		w.turn(addr)
	case errors.Is(err, errBack):
		w.fresh = true
	case s.good:
		w.fresh = false
	}
	return err
}

// follow makes one call and takes what comes until it ends, for whatever reason. Where that is a move, addr is where to.
func (w *Watcher) follow(s *stream, stop <-chan struct{}) (addr string, err error) {
	type dialed struct {
		link *tcp.Conn
		err  error
	}
	up := make(chan dialed, 1)
	// Off this goroutine: guards a move and the end against waiting for a connection that never comes up.
	go func(addr string) {
		link, err := w.Dial(addr, connectTimeout, func(*tcp.Conn) tcp.Handler { return s })
		up <- dialed{link, err}
	}(w.Addr)
	drop := func() {
		if d := <-up; d.link != nil {
			d.link.Close(nil)
		}
	}
	var link *tcp.Conn
	select {
	case d := <-up:
		if d.err != nil {
			return "", d.err
		}
		link = d.link
	case addr := <-w.moved():
		go drop()
		return addr, errMoved
	case <-stop:
		go drop()
		return "", nil
	}
	defer link.Close(nil)
	changes := func() {
		link.Write(http1.Request("GET", fmt.Sprintf("/v1/servers?stream=1&index=%d", w.version(s)), w.Addr, nil), nil)
	}
	if w.fresh {
		link.Write(http1.Request("GET", "/v1/servers", w.Addr, nil), nil)
	} else {
		changes()
	}
	for {
		select {
		case <-s.alive:
			w.calls.Received(time.Now())
		case <-s.ready:
			changes()
		case err := <-s.over:
			return "", err
		case addr := <-w.moved():
			return addr, errMoved
		case <-w.After(time.Until(w.calls.SilenceDeadline())):
			return "", errSilent
		case <-stop:
			return "", nil
		}
	}
}

func (w *Watcher) version(s *stream) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.Version
}

// stream reads one call's answers: the whole list, where it has to come first, and then the changes. It runs on its
// connection.
type stream struct {
	w      *Watcher
	parser http1.Parser
	framer jsonstream.Framer
	alive  chan struct{}
	over   chan error
	ready  chan struct{} // the answer that brought the whole list has ended: the changes may be asked for

	mu    sync.Mutex
	whole bool // what comes is the whole list
	ends  bool // it has come, and its answer has not ended
	word  bool // what is in hand brought word: a head, a list or an empty line
	good  bool // a list came
	left  bool // the watch has gone on: what still comes here is for nobody
}

func (s *stream) leave() {
	s.mu.Lock()
	s.left = true
	s.mu.Unlock()
}

func (s *stream) Data(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left { // guards the new list against late word from the old discovery
		return
	}
	s.word = false
	err := s.read(b)
	// Part of a list is no word. Guards against one that goes on and on and never ends.
	if s.word {
		select {
		case s.alive <- struct{}{}:
		default:
		}
	}
	if err != nil {
		s.Closed(err)
	}
}

func (s *stream) read(b []byte) error {
	s.parser.Feed(b)
	m, err := s.parser.Next()
	switch {
	case err != nil || m == nil:
		return err
	case s.ends:
		s.ends = false
		s.ready <- struct{}{}
		return nil
	case s.whole:
		return errors.New("an answer without a list")
	}
	return errors.New("the watch ended")
}

// head takes an answer's head.
func (s *stream) head(m *http1.Message) {
	if s.word = true; m.Status != 200 {
		s.Closed(fmt.Errorf("status %d", m.Status))
		s.left = true // its body is no list, whatever it looks like
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

// body takes a piece of an answer's body, as it comes. A list is whole with its last bracket, however the answer that it
// stands in ends.
func (s *stream) body(b []byte) error {
	if s.left {
		return nil
	}
	s.framer.Feed(b)
	for {
		text, err := s.framer.Next()
		if err != nil {
			return err
		}
		if text == nil {
			break
		}
		if err := s.take(text); err != nil {
			return err
		}
		s.word = true
	}
	s.word = s.word || !s.framer.Inside()
	return nil
}

// take passes on one list.
func (s *stream) take(text []byte) error {
	version, m, err := Parse(text, s.w.Zones)
	if err != nil {
		return err
	}
	if s.whole {
		m.Kind = balance.ListFull
		s.whole, s.ends = false, true
	}
	// Guards against an agent that has gone back: its changes would bring in again what drains. Its whole list counts,
	// whatever its version: that is how it says so.
	if m.Kind == balance.ListDelta && version < s.w.Version {
		return errBack
	}
	s.w.Put(m)
	s.w.Version = version
	s.good = true
	s.w.heard()
	return nil
}
