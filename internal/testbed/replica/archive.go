// Package node has stand-ins of archive nodes, of SRU 1.2 with its record update and of Z39.50, after the public
// specifications, with faults by plan and with checks that lie in both directions. They share no code with the
// program.
package replica

import (
	"fmt"
	"sync"
	"time"
)

// Event is one part as a node saw it.
type Event struct {
	At           time.Time // its first byte, or the end of its head where only that is known
	Replica      string
	IsCorrection bool
	Database     string // of searches
	RecordID     string // of corrections
	Fault        string // how it ended: "" served, else the fault
}

// Archive is what the nodes of one test hold, and all that they saw.
type Archive struct {
	// Act, if set, says what a node does with a correction, and Find with a search of a database: "" serves it, "hang"
	// says nothing until the client leaves, "break" breaks the connection, "reject" fails it.
	OnCorrection func(node, id string) string
	OnSearch     func(base string) string
	// CorrectionBegun and Left, if set, are told of each correction begun, and of each client that left a hanging node.
	CorrectionBegun, ClientLeft chan string

	mu      sync.Mutex
	changed map[string]int
	queries []string
	hits    map[string]string
	events  []Event
	release chan struct{}
	once    sync.Once
}

// NewArchive returns an archive of so many blocks, each with one record.
func NewArchive(blocks int) *Archive {
	a := &Archive{changed: map[string]int{}, hits: map[string]string{}, release: make(chan struct{})}
	for i := range blocks {
		base := fmt.Sprintf("block-%d", i)
		a.hits[base] = fmt.Sprintf(`<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/"><dc:title>line of %s</dc:title></dc:dc>`, base)
	}
	return a
}

// Close lets hanging nodes go on.
func (a *Archive) Close() { a.once.Do(func() { close(a.release) }) }

// CorrectionCounts is how often each correction was begun, by its record.
func (a *Archive) CorrectionCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := map[string]int{}
	for id, n := range a.changed {
		all[id] = n
	}
	return all
}

// Queries are the searches as each node understood them.
func (a *Archive) Queries() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.queries...)
}

// Events are the parts seen from a time on.
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

func (a *Archive) saw(e Event) {
	a.mu.Lock()
	a.events = append(a.events, e)
	a.mu.Unlock()
}

// correct notes that a correction has begun and says what is to be done with it.
func (a *Archive) correct(n *Server, at time.Time, id, fault string) string {
	a.mu.Lock()
	a.changed[id]++
	act := a.OnCorrection
	a.mu.Unlock()
	if a.CorrectionBegun != nil {
		a.CorrectionBegun <- n.Name
	}
	do := fault
	if act != nil && do == "" {
		do = act(n.Name, id)
	}
	a.saw(Event{At: at, Replica: n.Name, IsCorrection: true, RecordID: id, Fault: do})
	return do
}

func (a *Archive) search(n *Server, at time.Time, base, query, fault string) (record, do string) {
	a.mu.Lock()
	a.queries = append(a.queries, n.Name+" "+query)
	record, find := a.hits[base], a.OnSearch
	a.mu.Unlock()
	do = fault
	if find != nil && do == "" {
		do = find(base)
	}
	a.saw(Event{At: at, Replica: n.Name, Database: base, Fault: do})
	return record, do
}

// SetOnSearch changes Find while nodes run.
func (a *Archive) SetOnSearch(f func(base string) string) {
	a.mu.Lock()
	a.OnSearch = f
	a.mu.Unlock()
}

func (a *Archive) left(name string) {
	if a.ClientLeft != nil {
		a.ClientLeft <- name
	}
}
