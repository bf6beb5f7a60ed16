// Package discovery follows the list of leaf servers over HTTP/1.1.
package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/http1"
	"rooktrestle/internal/mixer"
	"rooktrestle/internal/net/tcp"
)

const (
	connectTimeout = time.Second
	// silence after which a watch is opened anew: a live one says something every 2 s.
	silence = 5 * time.Second
	again   = 200 * time.Millisecond // before the next try
	maxLine = 4 << 20
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
	heard   func()
}

// Run follows the list until stop is closed. heard is called after each message.
func (w *Watch) Run(stop <-chan struct{}, heard func()) {
	w.heard = heard
	for {
		if err := w.once(stop); err != nil {
			w.Log("discovery: %v", err)
		}
		select {
		case <-stop:
			return
		case <-time.After(again):
		}
	}
}

func (w *Watch) once(stop <-chan struct{}) error {
	s := &stream{w: w, alive: make(chan struct{}, 1), over: make(chan error, 1)}
	s.parser = http1.Parser{Responses: true, Stream: s.body}
	link, err := tcp.Dial(w.Addr, connectTimeout, func(*tcp.Link) tcp.Handler { return s })
	if err != nil {
		return err
	}
	defer link.Close(nil)
	target := fmt.Sprintf("/v1/servers?stream=1&index=%d", w.Version)
	link.Write(http1.Request("GET", target, w.Addr, nil), nil)
	for {
		timer := time.NewTimer(silence)
		select {
		case <-s.alive:
			timer.Stop()
		case err := <-s.over:
			timer.Stop()
			return err
		case <-timer.C:
			return errors.New("nothing said for too long")
		case <-stop:
			timer.Stop()
			return nil
		}
	}
}

// stream reads one watch's answer. It runs on its connection.
type stream struct {
	w      *Watch
	parser http1.Parser
	line   []byte
	alive  chan struct{}
	over   chan error
}

func (s *stream) Data(b []byte) {
	select {
	case s.alive <- struct{}{}:
	default:
	}
	s.parser.Feed(b)
	m, err := s.parser.Next()
	if err == nil && m != nil {
		if err = errors.New("the watch ended"); m.Status != 200 {
			err = fmt.Errorf("status %d", m.Status)
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

func (s *stream) body(b []byte) error {
	s.line = append(s.line, b...)
	for {
		i := bytes.IndexByte(s.line, '\n')
		if i < 0 {
			break
		}
		text := bytes.TrimSpace(s.line[:i])
		s.line = s.line[i+1:]
		if len(text) == 0 {
			continue
		}
		version, m, err := Parse(text, s.w.Zones)
		if err != nil {
			return err
		}
		s.w.Put(m)
		s.w.Version = version
		s.w.heard()
	}
	if len(s.line) > maxLine {
		return fmt.Errorf("a line over %d bytes", maxLine)
	}
	return nil
}
