// Package replica implements stand-ins for archive replicas, with SRU 1.2 and its record update and with Z39.50, from
// the public specifications. They can inject faults, and their health checks can give false reports. They share no code
// with the program, so that a mistake in the program is not repeated in its tests.
package replica

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Faults: what a replica does with a part instead of serving it. An empty string means that it serves the part.
const (
	FaultHang    = "hang"   // no answer until the client closes the connection
	FaultBreak   = "break"  // the connection is closed without an answer
	FaultReject  = "reject" // a correction fails
	FaultError   = "error"  // the part fails immediately
	FaultCorrupt = "spoil"  // the answer is corrupt
)

// Event is one part that a replica received.
type Event struct {
	At           time.Time // of its first byte; for SRU of the end of the request's header
	Replica      string
	IsCorrection bool
	Database     string // of searches
	RecordID     string // of corrections
	Fault        string // in place of an answer; empty: it was served
}

// Archive stores the records of the replicas of one test, and records the parts that they receive. It is safe for
// concurrent use, except for the exported fields, which are set before the replicas start.
type Archive struct {
	// OnCorrection and OnSearch, if set, choose the fault of a correction and of a search of a database; empty: the
	// replica serves it.
	OnCorrection func(replica, id string) string
	OnSearch     func(database string) string
	// CorrectionBegun and ClientDisconnected, if set, receive the replica's name for each correction that begins, and for
	// each client that disconnects from a replica that does not answer. Replicas block until the name is received.
	CorrectionBegun    chan string
	ClientDisconnected chan string

	mu          sync.Mutex
	corrections map[string]int // by record
	queries     []string
	records     map[string]string // by database
	events      []Event
	release     chan struct{} // closed by Close
	closeOnce   sync.Once
}

// NewArchive returns an archive with a number of shards, each with one record.
func NewArchive(shards int) *Archive {
	a := &Archive{
		corrections: map[string]int{},
		records:     map[string]string{},
		release:     make(chan struct{}),
	}
	for i := range shards {
		database := fmt.Sprintf("block-%d", i)
		a.records[database] = `<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/">` +
			`<dc:title>line of ` + database + `</dc:title></dc:dc>`
	}
	return a
}

// Close releases the requests that replicas leave unanswered. It may be called more than once.
func (a *Archive) Close() { a.closeOnce.Do(func() { close(a.release) }) }

// CorrectionCounts returns how often each correction was begun, by its record. The caller owns the map.
func (a *Archive) CorrectionCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.corrections)
}

// Queries returns the searches as the replicas parsed them, each after the replica's name.
func (a *Archive) Queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.queries)
}

// Events returns the parts that were received at or after a moment.
func (a *Archive) Events(since time.Time) (list []Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.events {
		if !e.At.Before(since) {
			list = append(list, e)
		}
	}
	return list
}

func (a *Archive) record(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = append(a.events, e)
}

// beginCorrection counts a correction and returns its fault: injected, which the replica has drawn, or else that of
// OnCorrection.
func (a *Archive) beginCorrection(s *Server, at time.Time, id, injected string) (fault string) {
	a.mu.Lock()
	a.corrections[id]++
	choose := a.OnCorrection
	a.mu.Unlock()
	if a.CorrectionBegun != nil {
		a.CorrectionBegun <- s.Name
	}
	fault = injected
	if choose != nil && fault == "" {
		fault = choose(s.Name, id)
	}
	a.record(Event{At: at, Replica: s.Name, IsCorrection: true, RecordID: id, Fault: fault})
	return fault
}

// beginSearch records a search and returns the database's record and the fault of the search: injected, which the
// replica has drawn, or else that of OnSearch.
func (a *Archive) beginSearch(s *Server, at time.Time, database, query, injected string) (record, fault string) {
	a.mu.Lock()
	a.queries = append(a.queries, s.Name+" "+query)
	record = a.records[database]
	choose := a.OnSearch
	a.mu.Unlock()
	fault = injected
	if choose != nil && fault == "" {
		fault = choose(database)
	}
	a.record(Event{At: at, Replica: s.Name, Database: database, Fault: fault})
	return record, fault
}

// SetOnSearch changes OnSearch while replicas run.
func (a *Archive) SetOnSearch(choose func(database string) string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.OnSearch = choose
}

func (a *Archive) reportDisconnect(name string) {
	if a.ClientDisconnected != nil {
		a.ClientDisconnected <- name
	}
}
