// Package replica has stand-ins of archive replicas, of SRU 1.2 with its record update and of Z39.50, after the public
// specifications, with injected faults and with health checks that need not tell the truth. They share no code with the
// program, so that a mistake in it is not made twice.
package replica

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Faults: what a replica does with a part in place of serving it. An empty string means that it serves the part.
const (
	FaultHang    = "hang"   // no answer until the client closes the connection
	FaultBreak   = "break"  // the connection breaks
	FaultReject  = "reject" // a correction fails
	FaultError   = "error"  // it fails at once
	FaultCorrupt = "spoil"  // the answer is noise
)

// Event is one part as a replica saw it.
type Event struct {
	At           time.Time // its first byte, or the end of its head where only that is known
	Replica      string
	IsCorrection bool
	Database     string // of searches
	RecordID     string // of corrections
	Fault        string // in place of an answer; empty: it was served
}

// Archive is what the replicas of one test hold, and all that they saw. It is safe for concurrent use, but for the
// fields that are set before the replicas start.
type Archive struct {
	// OnCorrection and OnSearch, if set, choose what a replica does with a correction and with a search of a
	// database: one of the faults, or empty to serve it.
	OnCorrection func(replica, id string) string
	OnSearch     func(database string) string
	// CorrectionBegun and ClientLeft, if set, get the replica's name for each correction that begins, and for each
	// client that closes its connection to a hanging replica. Replicas block until the name is received.
	CorrectionBegun chan string
	ClientLeft      chan string

	mu          sync.Mutex
	corrections map[string]int // by record
	queries     []string
	records     map[string]string // by database
	events      []Event
	release     chan struct{} // closed by Close
	closeOnce   sync.Once
}

// NewArchive returns an archive of so many shards, each with one record.
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

// Close lets hanging replicas go on. It may be called more than once.
func (a *Archive) Close() { a.closeOnce.Do(func() { close(a.release) }) }

// CorrectionCounts are how often each correction was begun, by its record. The caller owns the map.
func (a *Archive) CorrectionCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.corrections)
}

// Queries are the searches as each replica understood them, with the replica's name in front.
func (a *Archive) Queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.queries)
}

// Events are the parts seen from a moment on.
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

// beginCorrection counts a correction and returns the fault that it meets; injected is the replica's own.
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

// beginSearch notes a search and returns the database's record and the fault that the search meets; injected is the
// replica's own.
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

func (a *Archive) clientLeft(name string) {
	if a.ClientLeft != nil {
		a.ClientLeft <- name
	}
}
