// Package resharding runs an archive whose shards are split, merged and moved: replicas that store key ranges and
// reject parts for shards they do not hold at their epoch, a source of shard maps, a controller that carries out plans
// and can be killed before any step, and a checker that compares every answer with the archive's content.
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

// Content lists all records of the archive, in the order of their identifiers. It does not change, because corrections
// are only counted.
type Content struct{ IDs []string }

// NewContent returns the records of a number of programmes, with years per programme and lines per year.
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

// keyOf returns the key of a record, which is its identifier without the line.
func keyOf(id string) string { return id[:strings.IndexByte(id, ':')] }

// keys returns the keys of all records in order, without duplicates.
func (c *Content) keys() (list []string) {
	for _, id := range c.IDs {
		list = append(list, keyOf(id))
	}
	return slices.Compact(list)
}

// between returns the records with keys from from, inclusive, to to, exclusive. An empty to means no upper bound.
func (c *Content) between(from, to string) []string {
	begin := c.indexOf(from)
	end := len(c.IDs)
	if to != "" {
		end = c.indexOf(to)
	}
	return c.IDs[begin:max(begin, end)]
}

// indexOf returns the index of the first record whose key is not less than a key.
func (c *Content) indexOf(key string) int {
	return sort.Search(len(c.IDs), func(i int) bool { return keyOf(c.IDs[i]) >= key })
}

// recordOf returns the record with an identifier, which is its only content.
func recordOf(id string) replica.Record {
	return replica.Record{
		ID: id,
		XML: `<dc:dc xmlns:dc="http://purl.org/dc/elements/1.1/">` +
			`<dc:identifier>` + id + `</dc:identifier></dc:dc>`,
	}
}

// shardState is a replica's state of one shard.
type shardState struct {
	from      string // first key
	to        string // upper bound of the keys, exclusive; empty: none
	joining   bool
	remaining int    // records still to be copied, while joining
	removedAt uint64 // epoch that removed the shard from the replica; 0: the replica holds it
}

// copyChunk is the number of records in one chunk.
const copyChunk = 4

// Store is the store of one replica. It parses shard maps without the program's code, so that a mistake in the program
// is not repeated here. It is safe for concurrent use.
type Store struct {
	Name    string
	Content *Content

	mu             sync.Mutex
	shards         map[uint64]*shardState
	epoch          uint64
	rejection      string         // reason with which every request is rejected; empty: none
	rejected       int            // number of rejected parts
	correctionRuns map[string]int // by identifier
}

// NewStore returns an empty store for the replica with a name.
func NewStore(name string, c *Content) *Store {
	return &Store{
		Name:           name,
		Content:        c,
		shards:         map[uint64]*shardState{},
		correctionRuns: map[string]int{},
	}
}

// mapDocument contains the fields of a shard map that a replica reads.
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

// ApplyMap applies a shard map. It ignores a map whose epoch is not newer than the current one.
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
	assigned := map[uint64]bool{}
	for _, shard := range document.Shards {
		for _, holder := range shard.Replicas {
			if holder.Server == s.Name {
				assigned[shard.ID] = true
				s.assignShard(shard.ID, shard.From, shard.To, holder.Joining)
			}
		}
	}
	for id, shard := range s.shards {
		if !assigned[id] && shard.removedAt == 0 {
			shard.removedAt = document.Epoch
		}
	}
	return nil
}

// assignShard records that the replica holds or joins a shard. The caller must hold the lock.
func (s *Store) assignShard(id uint64, from, to string, joining bool) {
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

// SetRejection makes the replica reject every request with a reason, which may be a false report; empty ends it.
func (s *Store) SetRejection(reason string) {
	s.mu.Lock()
	s.rejection = reason
	s.mu.Unlock()
}

// HasCopied reports whether the replica has all records of a shard.
func (s *Store) HasCopied(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := s.shards[id]
	return shard != nil && (!shard.joining || shard.remaining <= 0)
}

// CopyChunk copies one chunk of a shard that the replica joins, and reports whether records remain.
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

// Epoch returns the epoch of the newest map that was applied.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// RejectedParts returns the number of parts that the replica rejected.
func (s *Store) RejectedParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// find finds a shard by a database's name, block-ID@EPOCH. If reason is not empty, the replica rejects the part, which
// is counted. The caller must hold the lock.
func (s *Store) find(database string) (shard *shardState, reason string) {
	number, _, _ := strings.Cut(strings.TrimPrefix(database, "block-"), "@")
	id, _ := strconv.ParseUint(number, 10, 64) // an invalid number gives 0, which is not the ID of any shard
	shard = s.shards[id]
	if reason = s.rejectionOf(shard); reason != "" {
		s.rejected++
	}
	return shard, reason
}

// rejectionOf returns the reason to reject a part for a shard; empty: the replica serves it.
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

// Search returns records of a shard, as described by replica.Store.
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

// Correct runs a correction, or returns the reason to reject it.
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

// contains reports whether a key is in the shard's range.
func (s *shardState) contains(key string) bool { return key >= s.from && (s.to == "" || key < s.to) }

// CorrectionRuns returns how often each correction ran at this replica. The caller owns the map.
func (s *Store) CorrectionRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.correctionRuns)
}
