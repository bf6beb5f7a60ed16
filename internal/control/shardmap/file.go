package shardmap

import (
	"encoding/json"
	"fmt"
)

// mapFile is the JSON form of a map in files and from sources:
//
//	{"archive":"captions","epoch":7,"next_id":13,"blocks":[
//	 {"id":1,"from":"","to":"news@2019","state":"serving","weight":3,"holders":[{"server":"n0"},{"server":"n1"}]}, ...]}
type mapFile struct {
	Archive string   `json:"archive"`
	Epoch   Epoch    `json:"epoch"`
	NextID  ID       `json:"next_id"`
	Shards  []*Shard `json:"blocks"`
}

// maxFileSize is the maximum size of a map's text, in bytes.
const maxFileSize = 1 << 30

// Parse parses the JSON text of a map and validates it as New does.
func Parse(text []byte) (*Map, error) {
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("the map is %d bytes long, more than the allowed %d", len(text), maxFileSize)
	}
	var file mapFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("not a map of blocks in JSON form: %w", err)
	}
	for i, s := range file.Shards {
		if s == nil {
			return nil, fmt.Errorf("blocks[%d] is null, want an object", i)
		}
	}
	return New(file.Archive, file.Epoch, file.NextID, file.Shards)
}

// Encode returns the map as JSON text for Parse, with a trailing line feed. Equal maps have equal texts.
func (m *Map) Encode() []byte {
	file := mapFile{Archive: m.Archive, Epoch: m.Epoch, NextID: m.NextID}
	for s := range m.All {
		file.Shards = append(file.Shards, s)
	}
	text, _ := json.Marshal(file) // a valid map contains no value that JSON cannot express
	return append(text, '\n')
}
