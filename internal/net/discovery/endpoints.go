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
var errNoID = errors.New("an entry without an id")

// endpointList is the JSON of a complete list or of a watch event, as discovery publishes it.
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
	StartedMillis int64   `json:"started_ms"` // Unix time of the server's start; 0: not known
}

var endpointStates = map[string]balance.EndpointState{
	"SERVING":  balance.InService,
	"DRAINING": balance.Draining,
	"DELETED":  balance.Removed,
}

// Parse decodes a complete list or a watch event and returns its version beside it. zones are the names of the zones, in
// the order of their indices. An entry whose state is not known counts as draining, so that nothing new is sent there. An
// error means that text is no such list; nothing of it is to be used then.
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

// zoneIndex returns the index of a zone. Some agents name zones by a letter instead of by the configured name: "a" is 0.
// A name that is neither has the index behind the last zone.
func zoneIndex(name string, zones []string) int {
	if i := slices.Index(zones, name); i >= 0 {
		return i
	}
	if len(name) == 1 && name[0] >= 'a' && name[0] <= 'z' {
		return int(name[0] - 'a')
	}
	return len(zones)
}
