package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

// errNoID rejects a list with an entry that cannot be identified.
var errNoID = errors.New("the entry has no id")

// endpointList is the JSON form of a complete list or of a watch event.
type endpointList struct {
	Version int64           `json:"version"`
	Full    bool            `json:"full"` // a complete list; false: changes only
	Servers []endpointEntry `json:"servers"`
}

// endpointEntry is one server of an endpointList.
type endpointEntry struct {
	ID            string  `json:"id"`
	Addr          string  `json:"addr"`
	Zone          string  `json:"zone"`
	Cell          int     `json:"cell"`
	State         string  `json:"state"`
	Weight        float64 `json:"weight"`
	StartedMillis int64   `json:"started_ms"` // Unix time of the server's start; 0: unknown
}

var endpointStates = map[string]balance.EndpointState{
	"SERVING":  balance.InService,
	"DRAINING": balance.Draining,
	"DELETED":  balance.Removed,
}

// Parse decodes a complete list or a watch event and returns it with its version. zones are the names of the zones, in
// the order of their indices. An entry with an unknown state counts as draining, so that no new requests are sent to
// its server. If text cannot be decoded, or an entry has no id, Parse returns an error and no part of the list.
func Parse(text []byte, zones []string) (version int64, change aggregator.EndpointsChanged, err error) {
	var list endpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return 0, aggregator.EndpointsChanged{}, fmt.Errorf("decode the endpoint list: %w", err)
	}
	change.Kind = balance.ListDelta
	if list.Full {
		change.Kind = balance.ListFull
	}
	for i, entry := range list.Servers {
		if entry.ID == "" {
			return 0, aggregator.EndpointsChanged{}, fmt.Errorf("decode the endpoint list: server %d: %w", i, errNoID)
		}
		change.Servers = append(change.Servers, entry.server(zones))
	}
	return list.Version, change, nil
}

// server converts an entry to the aggregator's type.
func (e endpointEntry) server(zones []string) aggregator.Server {
	state, ok := endpointStates[e.State]
	if !ok {
		state = balance.Draining
	}
	server := aggregator.Server{
		ID:     balance.Replica(e.ID),
		Addr:   e.Addr,
		Zone:   zoneIndex(e.Zone, zones),
		Cell:   e.Cell,
		Weight: e.Weight,
		State:  state,
	}
	if e.StartedMillis > 0 {
		server.Started = time.UnixMilli(e.StartedMillis)
	}
	return server
}

// zoneIndex returns the index of a zone. Some agents identify a zone by a letter instead of its configured name: "a" is
// index 0. For any other name it returns len(zones), which is no zone's index.
func zoneIndex(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 {
		return i
	}
	if len(name) == 1 && name[0] >= 'a' && name[0] <= 'z' {
		return int(name[0] - 'a')
	}
	return len(zones)
}
