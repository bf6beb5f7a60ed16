// Package resharding is the testbed's archive whose shards split, merge and move: replicas that hold records by key range
// and fence by epoch, a source of shard maps, a controller that carries plans out and may be killed before any step, and a
// checker that compares every answer with the archive's known content.
package resharding

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strconv"
	"strings"
	"sync"

	"rooktrestle/internal/testbed/replica"
)

// Content is all records of the archive, in the order of their identifiers. It does not change: corrections are only
// counted.
type Content struct{ IDs []string }

// NewContent makes records of so many programmes, years of each, and lines of each year.
func NewContent(programmes, years, lines int) *Content {
	c := &Content{}
	for p := range programmes {
		for y := range years {
			for l := range lines {
				c.IDs = append(c.IDs, fmt.Sprintf("p%02d@%04d:%03d", p, 2000+y, l))
			}
		}
	}
	sort.Strings(c.IDs)
	return c
}

func keyOf(id string) string { return id[:strings.IndexByte(id, ':')] }

// between are the records of a range of keys; to is not in it, and empty for no bound.
func (c *Content) between(from, to string) []string {
	a := sort.Search(len(c.IDs), func(i int) bool { return keyOf(c.IDs[i]) >= from })
	b := len(c.IDs)
	if to != "" {
		b = sort.Search(len(c.IDs), func(i int) bool { return keyOf(c.IDs[i]) >= to })
	}
	return c.IDs[a:max(a, b)]
}

func record(id string) replica.Record {
	return replica.Record{ID: id, XML: `<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/"><dc:identifier>` + id + `</dc:identifier></dc:dc>`}
}

// shardState is what a replica knows of one shard.
type shardState struct {
	from, to  string
	joining   bool
	remaining int    // of a joining replica: records that are still to be copied
	removedAt uint64 // epoch since which it is another's; 0: it is held
}

// copyChunk is how many records are copied at a time.
const copyChunk = 4

// Store is what one replica holds. It reads maps with code of its own, so that a mistake in the program's is not made twice.
// It is safe for concurrent use.
type Store struct {
	Name    string
	Content *Content

	mu             sync.Mutex
	shards         map[uint64]*shardState
	epoch          uint64
	rejection      string // sent in place of any answer; empty: none
	rejected       int
	correctionRuns map[string]int // by identifier
}

// NewStore returns an empty store of the replica with a name.
func NewStore(name string, c *Content) *Store {
	return &Store{Name: name, Content: c, shards: map[uint64]*shardState{}, correctionRuns: map[string]int{}}
}

// ApplyMap passes a map to the replica. One of an older epoch than it knows changes nothing.
func (s *Store) ApplyMap(text []byte) error {
	var m struct {
		Epoch  uint64 `json:"epoch"`
		Blocks []struct {
			ID      uint64 `json:"id"`
			From    string `json:"from"`
			To      string `json:"to"`
			Holders []struct {
				Server  string `json:"server"`
				Joining bool   `json:"joining"`
			} `json:"holders"`
		} `json:"blocks"`
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Epoch <= s.epoch {
		return nil
	}
	s.epoch = m.Epoch
	mine := map[uint64]bool{}
	for _, b := range m.Blocks {
		for _, h := range b.Holders {
			if h.Server != s.Name {
				continue
			}
			mine[b.ID] = true
			was := s.shards[b.ID]
			if was == nil || was.removedAt > 0 {
				s.shards[b.ID] = &shardState{from: b.From, to: b.To, joining: h.Joining, remaining: len(s.Content.between(b.From, b.To))}
			} else {
				was.joining = h.Joining
			}
		}
	}
	for id, h := range s.shards {
		if !mine[id] && h.removedAt == 0 {
			h.removedAt = m.Epoch
		}
	}
	return nil
}

// SetRejection makes the replica reject everything with a reason, true or not; empty ends it.
func (s *Store) SetRejection(reason string) {
	s.mu.Lock()
	s.rejection = reason
	s.mu.Unlock()
}

// HasCopied says whether a joining replica has all records of a shard.
func (s *Store) HasCopied(shard uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shards[shard]
	return h != nil && (!h.joining || h.remaining <= 0)
}

// CopyChunk copies a few records of a shard that the replica joins, and says whether there are more.
func (s *Store) CopyChunk(shard uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shards[shard]
	if h == nil || !h.joining {
		return false
	}
	h.remaining -= copyChunk
	return h.remaining > 0
}

// Epoch is that of the newest map that the replica knows.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// RejectedParts is how many parts it rejected.
func (s *Store) RejectedParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// find finds a shard by a database's name, block-ID@EPOCH. A reason that is not empty means that the replica does not
// answer for it.
func (s *Store) find(base string) (*shardState, string) {
	text, _, _ := strings.Cut(strings.TrimPrefix(base, "block-"), "@")
	id, _ := strconv.ParseUint(text, 10, 64) // what is no number is no shard of ours: 0
	h := s.shards[id]
	reason := ""
	switch {
	case s.rejection != "":
		reason = s.rejection
	case h == nil:
		reason = fmt.Sprintf("not mine since epoch %d", max(1, s.epoch))
	case h.removedAt > 0:
		reason = fmt.Sprintf("not mine since epoch %d", h.removedAt)
	case h.joining:
		reason = fmt.Sprintf("mine from epoch %d on", s.epoch+1)
	}
	if reason != "" {
		s.rejected++
	}
	return h, reason
}

// Search answers from the records of a shard.
func (s *Store) Search(base string, limit int) (list []replica.Record, count int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, reason := s.find(base)
	if reason != "" {
		return nil, 0, reason
	}
	ids := s.Content.between(h.from, h.to)
	for _, id := range ids[:min(len(ids), limit)] {
		list = append(list, record(id))
	}
	return list, len(ids), ""
}

// Correct runs a correction, or says why not.
func (s *Store) Correct(base, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, reason := s.find(base)
	if reason == "" && (keyOf(id) < h.from || h.to != "" && keyOf(id) >= h.to) {
		reason = "the record is not in this block"
	}
	if reason == "" {
		s.correctionRuns[id]++
	}
	return reason
}

// CorrectionRuns are how often each correction ran here. The caller owns the map.
func (s *Store) CorrectionRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.correctionRuns)
}
