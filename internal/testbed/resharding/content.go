// Package resharding is the testbed's archive whose shards split, merge and move: replicas that hold records by key
// range and fence by epoch, a source of shard maps, a controller that carries plans out and may be killed before any
// step, and a checker that compares every answer with the archive's known content.
package resharding

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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
	for programme := range programmes {
		for year := range years {
			for line := range lines {
				c.IDs = append(c.IDs, fmt.Sprintf("p%02d@%04d:%03d", programme, 2000+year, line))
			}
		}
	}
	slices.Sort(c.IDs)
	return c
}

// keyOf is the key of a record: its identifier without the line.
func keyOf(id string) string { return id[:strings.IndexByte(id, ':')] }

// keys are the keys of all records, in order, each once.
func (c *Content) keys() (list []string) {
	for _, id := range c.IDs {
		list = append(list, keyOf(id))
	}
	return slices.Compact(list)
}

// between are the records of a range of keys; to is not in it, and empty for no bound.
func (c *Content) between(from, to string) []string {
	begin := c.indexOf(from)
	end := len(c.IDs)
	if to != "" {
		end = c.indexOf(to)
	}
	return c.IDs[begin:max(begin, end)]
}

// indexOf is the index of the first record whose key is not before a key.
func (c *Content) indexOf(key string) int {
	return sort.Search(len(c.IDs), func(i int) bool { return keyOf(c.IDs[i]) >= key })
}

// recordOf is the record with an identifier, which is all of its content.
func recordOf(id string) replica.Record {
	return replica.Record{
		ID: id,
		XML: `<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/">` +
			`<dc:identifier>` + id + `</dc:identifier></dc:dc>`,
	}
}

// shardState is what a replica knows of one shard.
type shardState struct {
	from      string // first key
	to        string // key after the last; empty: no bound
	joining   bool
	remaining int    // of a joining replica: records that are still to be copied
	removedAt uint64 // epoch since which it is another's; 0: it is held
}

// copyChunk is how many records are copied at a time.
const copyChunk = 4

// Store is what one replica holds. It reads maps with code of its own, so that a mistake in the program's is not made
// twice. It is safe for concurrent use.
type Store struct {
	Name    string
	Content *Content

	mu             sync.Mutex
	shards         map[uint64]*shardState
	epoch          uint64
	rejection      string         // reason for which everything is rejected; empty: none
	rejected       int            // parts
	correctionRuns map[string]int // by identifier
}

// NewStore returns an empty store of the replica with a name.
func NewStore(name string, c *Content) *Store {
	return &Store{
		Name:           name,
		Content:        c,
		shards:         map[uint64]*shardState{},
		correctionRuns: map[string]int{},
	}
}

// mapDocument is what a replica reads of a shard map.
type mapDocument struct {
	Epoch  uint64 `json:"epoch"`
	Shards []struct {
		ID       uint64 `json:"id"`
		From     string `json:"from"`
		To       string `json:"to"`
		Replicas []struct {
			Server  string `json:"server"`
			Joining bool   `json:"joining"`
		} `json:"holders"`
	} `json:"blocks"`
}

// ApplyMap passes a map to the replica. One of an older epoch than it knows changes nothing.
func (s *Store) ApplyMap(text []byte) error {
	var document mapDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if document.Epoch <= s.epoch {
		return nil
	}
	s.epoch = document.Epoch
	held := map[uint64]bool{}
	for _, shard := range document.Shards {
		for _, holder := range shard.Replicas {
			if holder.Server == s.Name {
				held[shard.ID] = true
				s.hold(shard.ID, shard.From, shard.To, holder.Joining)
			}
		}
	}
	for id, shard := range s.shards {
		if !held[id] && shard.removedAt == 0 {
			shard.removedAt = document.Epoch
		}
	}
	return nil
}

// hold notes that the replica holds a shard, or joins it. It is called with the lock held.
func (s *Store) hold(id uint64, from, to string, joining bool) {
	shard := s.shards[id]
	if shard != nil && shard.removedAt == 0 {
		shard.joining = joining
		return
	}
	s.shards[id] = &shardState{
		from:      from,
		to:        to,
		joining:   joining,
		remaining: len(s.Content.between(from, to)),
	}
}

// SetRejection makes the replica reject everything with a reason, true or not; empty ends it.
func (s *Store) SetRejection(reason string) {
	s.mu.Lock()
	s.rejection = reason
	s.mu.Unlock()
}

// HasCopied says whether a joining replica has all records of a shard.
func (s *Store) HasCopied(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[id]
	return shard != nil && (!shard.joining || shard.remaining <= 0)
}

// CopyChunk copies a few records of a shard that the replica joins, and says whether there are more.
func (s *Store) CopyChunk(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[id]
	if shard == nil || !shard.joining {
		return false
	}
	shard.remaining -= copyChunk
	return shard.remaining > 0
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
// answer for it; such a part is counted as rejected. It is called with the lock held.
func (s *Store) find(database string) (shard *shardState, reason string) {
	number, _, _ := strings.Cut(strings.TrimPrefix(database, "block-"), "@")
	id, _ := strconv.ParseUint(number, 10, 64) // what is no number is 0, which no shard has
	shard = s.shards[id]
	if reason = s.rejectionOf(shard); reason != "" {
		s.rejected++
	}
	return shard, reason
}

// rejectionOf is the reason for which the replica does not answer for a shard; empty: it does.
func (s *Store) rejectionOf(shard *shardState) string {
	switch {
	case s.rejection != "":
		return s.rejection
	case shard == nil:
		return fmt.Sprintf("not mine since epoch %d", max(1, s.epoch))
	case shard.removedAt > 0:
		return fmt.Sprintf("not mine since epoch %d", shard.removedAt)
	case shard.joining:
		return fmt.Sprintf("mine from epoch %d on", s.epoch+1)
	}
	return ""
}

// Search answers from the records of a shard.
func (s *Store) Search(database string, limit int) (records []replica.Record, count int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard, reason := s.find(database)
	if reason != "" {
		return nil, 0, reason
	}
	ids := s.Content.between(shard.from, shard.to)
	for _, id := range ids[:min(len(ids), limit)] {
		records = append(records, recordOf(id))
	}
	return records, len(ids), ""
}

// Correct runs a correction, or says why not.
func (s *Store) Correct(database, id string) (reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard, reason := s.find(database)
	if reason != "" {
		return reason
	}
	if !shard.contains(keyOf(id)) {
		return "the record is not in this block"
	}
	s.correctionRuns[id]++
	return ""
}

// contains says whether a key is in the shard's range.
func (s *shardState) contains(key string) bool { return key >= s.from && (s.to == "" || key < s.to) }

// CorrectionRuns are how often each correction ran here. The caller owns the map.
func (s *Store) CorrectionRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.correctionRuns)
}
