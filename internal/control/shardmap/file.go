package shardmap

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"rooktrestle/internal/control/persistentmap"
)

// Files of maps are JSON:
//
//	{"archive":"captions","epoch":7,"next_id":13,"blocks":[
//	 {"id":1,"from":"","to":"news@2019","state":"serving","weight":3,"holders":[{"server":"n0"},{"server":"n1"}]}, ...]}

type file struct {
	Archive string   `json:"archive"`
	Epoch   Epoch    `json:"epoch"`
	NextID  ID       `json:"next_id"`
	Blocks  []*Shard `json:"blocks"`
}

// maxFile is the longest text of a map that is read, in bytes.
const maxFile = 1 << 30

// Parse reads a map.
func Parse(text []byte) (*Map, error) {
	if len(text) > maxFile {
		return nil, fmt.Errorf("a map over %d bytes", maxFile)
	}
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("not a map: %w", err)
	}
	for _, b := range f.Blocks {
		if b == nil {
			return nil, errors.New("a block that is null")
		}
	}
	return New(f.Archive, f.Epoch, f.NextID, f.Blocks)
}

// Encode words a map as Parse reads it. Equal maps have equal text.
func (m *Map) Encode() []byte {
	f := file{Archive: m.Archive, Epoch: m.Epoch, NextID: m.NextID}
	m.All(func(b *Shard) bool {
		f.Blocks = append(f.Blocks, b)
		return true
	})
	text, _ := json.Marshal(f) // nothing in it can fail
	return append(text, '\n')
}

// ShardChange is what changed of one block between two maps.
type ShardChange struct {
	ID       ID
	Was, Is  *Shard // nil: not there
	Joined   []string
	Left     []string
	Promoted []string // served not, and do now
}

// Diff lists what changed from one map to another, by id.
func Diff(old, now *Map) (list []ShardChange) {
	persistentmap.Diff(old.all, now.all, func(id ID, inOld, inNow bool, was, b *Shard) bool {
		switch {
		case !inNow:
			list = append(list, ShardChange{ID: id, Was: was})
		case !inOld:
			list = append(list, difference(nil, b))
		case !was.equal(b):
			list = append(list, difference(was, b))
		}
		return true
	})
	return list
}

func difference(was, b *Shard) ShardChange {
	d := ShardChange{ID: b.ID, Was: was, Is: b}
	for _, h := range b.Replicas {
		had, served := false, false
		if was != nil {
			had = slices.ContainsFunc(was.Replicas, func(o Replica) bool { return o.Server == h.Server })
			served = was.ServedBy(h.Server)
		}
		switch {
		case !had:
			d.Joined = append(d.Joined, h.Server)
		case !served && !h.Joining:
			d.Promoted = append(d.Promoted, h.Server)
		}
	}
	if was != nil {
		for _, o := range was.Replicas {
			if !slices.ContainsFunc(b.Replicas, func(h Replica) bool { return h.Server == o.Server }) {
				d.Left = append(d.Left, o.Server)
			}
		}
	}
	return d
}
