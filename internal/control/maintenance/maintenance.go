// Package maintenance stores which servers operators have taken out of service. This administrative state is
// independent of the endpoint list and of health, and only an operator's call changes it. Processes that replace each
// other merge their tables. The package does no I/O and reads no clock.
package maintenance

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// maxEntries bounds the size of a table. Entries of servers that are back in service are dropped first.
const maxEntries = 4096

// formatVersion is the version of an encoded table.
const formatVersion = 1

// Errors of a table.
var (
	ErrFull        = errors.New("too many servers are out of service")
	ErrUnsupported = errors.New("unsupported version of the maintenance table")
)

// Entry is the last call of an operator for one server.
type Entry struct {
	Server   string `json:"server"`
	Detached bool   `json:"detached"`
	Revision uint64 `json:"revision"` // of two entries for a server, the higher revision takes precedence
}

// Table stores the entries of all servers for which an operator has made a call. The zero value is empty; it is not
// safe for concurrent use.
type Table struct {
	entries  map[string]Entry
	revision uint64 // highest so far
}

// Detached reports whether an operator has taken a server out of service.
func (t *Table) Detached(server string) bool { return t.entries[server].Detached }

// Set records an operator's call. It reports whether the call changes the server's state: calls may be repeated.
func (t *Table) Set(server string, detached bool) (changed bool, err error) {
	if t.Detached(server) == detached {
		return false, nil
	}
	if _, known := t.entries[server]; !known && len(t.entries) >= maxEntries && !t.dropOldestAttached() {
		return false, ErrFull
	}
	t.put(Entry{Server: server, Detached: detached, Revision: t.revision + 1})
	return true, nil
}

func (t *Table) put(entry Entry) {
	if t.entries == nil {
		t.entries = map[string]Entry{}
	}
	t.entries[entry.Server] = entry
	t.revision = max(t.revision, entry.Revision)
}

// dropOldestAttached drops the entry of the server that has been back in service for longest; it returns false if there
// is none.
func (t *Table) dropOldestAttached() bool {
	var oldest *Entry
	for _, entry := range t.Entries() {
		if !entry.Detached && (oldest == nil || entry.Revision < oldest.Revision) {
			oldest = &entry
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.entries, oldest.Server)
	return true
}

// Merge adds the entries of another process, and returns those that changed a server's state in this table. Of
// conflicting entries with the same revision, the one that is detached takes precedence.
func (t *Table) Merge(entries []Entry) (changed []Entry) {
	for _, entry := range entries {
		own, known := t.entries[entry.Server]
		newer := entry.Revision > own.Revision || entry.Revision == own.Revision && entry.Detached && !own.Detached
		if known && !newer || !known && len(t.entries) >= maxEntries && !t.dropOldestAttached() {
			continue
		}
		if own.Detached != entry.Detached {
			changed = append(changed, entry)
		}
		t.put(entry)
	}
	return changed
}

// Entries returns all entries, sorted by server.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Server, b.Server) })
	return entries
}

// document is the JSON representation of a table.
type document struct {
	Version int     `json:"version"`
	Entries []Entry `json:"entries"`
}

// Encode returns entries in the form that Decode reads.
func Encode(entries []Entry) ([]byte, error) {
	return json.Marshal(document{Version: formatVersion, Entries: entries})
}

// Decode returns the entries of an encoded table.
func Decode(text []byte) ([]Entry, error) {
	var decoded document
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("decode the maintenance table: %w", err)
	}
	if decoded.Version != formatVersion {
		return nil, fmt.Errorf("%w: %d, want %d", ErrUnsupported, decoded.Version, formatVersion)
	}
	return decoded.Entries, nil
}
