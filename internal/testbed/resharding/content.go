// Package reshape is the laboratory's archive whose blocks split, merge and move: nodes that hold records by range and
// fence by epoch, a source of maps, a controller that carries plans out and may be killed at any step, and a checker
// that compares every answer with the archive's known content.
package resharding

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"

	"rooktrestle/internal/testbed/replica"
)

// Content is all records of the archive, in the order of their identifiers. It does not change: corrections are only
// counted.
type Content struct{ IDs []string }

// NewContent makes lines of programmes and years.
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

// in are the records of a range of keys.
func (c *Content) in(from, to string) []string {
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

// holding is what a node knows of one block.
type holding struct {
	from, to string
	joining  bool
	left     int    // joining: records that are still to be copied
	gone     uint64 // since this epoch it is not its; 0: it is
}

// chunk is how many records are copied at a time.
const chunk = 4

// Store is a node's part of the archive. It reads maps with code of its own.
type Store struct {
	Name    string
	Content *Content

	mu    sync.Mutex
	held  map[uint64]*holding
	epoch uint64
	lie   string // said in the place of any answer
	away  int
	runs  map[string]int // corrections run here
}

// NewStore returns an empty shelf.
func NewStore(name string, c *Content) *Store {
	return &Store{Name: name, Content: c, held: map[uint64]*holding{}, runs: map[string]int{}}
}

// ApplyMap tells the node a map. An older one than it knows changes nothing.
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
			was := s.held[b.ID]
			if was == nil || was.gone > 0 {
				s.held[b.ID] = &holding{from: b.From, to: b.To, joining: h.Joining, left: len(s.Content.in(b.From, b.To))}
			} else {
				was.joining = h.Joining
			}
		}
	}
	for id, h := range s.held {
		if !mine[id] && h.gone == 0 {
			h.gone = m.Epoch
		}
	}
	return nil
}

// SetRejection makes the node say something in the place of any answer; empty ends it.
func (s *Store) SetRejection(word string) {
	s.mu.Lock()
	s.lie = word
	s.mu.Unlock()
}

// HasCopied says whether a joining node has all of a block.
func (s *Store) HasCopied(block uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[block]
	return h != nil && (!h.joining || h.left <= 0)
}

// CopyChunk copies a few records of a block that the node joins, and says whether there are more.
func (s *Store) CopyChunk(block uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.held[block]
	if h == nil || !h.joining {
		return false
	}
	h.left -= chunk
	return h.left > 0
}

// Epoch is the epoch that the node knows.
func (s *Store) Epoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// RejectedParts is how many parts it turned away.
func (s *Store) RejectedParts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// find looks for a block by its name, block-Part@EPOCH. With a word there is none to answer from.
func (s *Store) find(base string) (*holding, string) {
	text, _, _ := strings.Cut(strings.TrimPrefix(base, "block-"), "@")
	id, _ := strconv.ParseUint(text, 10, 64)
	h := s.held[id]
	word := ""
	switch {
	case s.lie != "":
		word = s.lie
	case h == nil:
		word = fmt.Sprintf("not mine since epoch %d", max(1, s.epoch))
	case h.gone > 0:
		word = fmt.Sprintf("not mine since epoch %d", h.gone)
	case h.joining:
		word = fmt.Sprintf("mine from epoch %d on", s.epoch+1)
	}
	if word != "" {
		s.away++
	}
	return h, word
}

// Search answers from the records of a block.
func (s *Store) Search(base string, most int) (list []replica.Record, count int, word string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, word := s.find(base)
	if word != "" {
		return nil, 0, word
	}
	ids := s.Content.in(h.from, h.to)
	for _, id := range ids[:min(len(ids), most)] {
		list = append(list, record(id))
	}
	return list, len(ids), ""
}

// Correct runs a correction.
func (s *Store) Correct(base, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, word := s.find(base)
	if word == "" && (keyOf(id) < h.from || h.to != "" && keyOf(id) >= h.to) {
		word = "the record is not in this block"
	}
	if word == "" {
		s.runs[id]++
	}
	return word
}

// CorrectionRuns are the corrections that ran here.
func (s *Store) CorrectionRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]int{}
	for id, n := range s.runs {
		all[id] = n
	}
	return all
}
