package aggregator

import (
	"time"

	"rooktrestle/balance"
)

// maxRemovedServers bounds how many servers that are listed no longer are remembered by their ids.
const maxRemovedServers = 4096

// maintenance is what operators said of servers. It is apart from the endpoint list, which neither changes it nor is
// changed by it: a server takes new work only where both allow it.
type maintenance struct {
	detached map[balance.Replica]bool // taken out of service
	// attached is when servers were put back. They were restarted meanwhile, as a rule, and the list may say so late.
	attached map[balance.Replica]time.Time
	removed  []balance.Replica        // ids that were taken off the list, oldest first
	known    map[balance.Replica]bool // ids that are listed (true), or were once (false)
}

func newMaintenance() maintenance {
	return maintenance{
		detached: map[balance.Replica]bool{},
		attached: map[balance.Replica]time.Time{},
		known:    map[balance.Replica]bool{},
	}
}

// KnowsServer reports whether a server is listed, or was once.
func (c *Core) KnowsServer(id balance.Replica) bool {
	_, known := c.maintenance.known[id]
	return known
}

// ClusterSize is the number of listed servers, and the number of those that get nothing new, or next to nothing: they
// drain, an operator has taken them out, or the balancer avoids them.
func (c *Core) ClusterSize() (listed, avoided int) {
	for id := range c.servers {
		if !c.Available(id) || c.balancer.Avoids(id) {
			avoided++
		}
	}
	return len(c.servers), avoided
}

// maintenanceChanged takes an operator's word on a server. The balancer gets the server as draining while it is out of
// service, in the same turn.
func (c *Core) maintenanceChanged(changed MaintenanceChanged) {
	m := &c.maintenance
	if m.detached[changed.Server] == changed.Detached {
		return
	}
	c.traceMaintenance(changed)
	if !c.KnowsServer(changed.Server) { // of an earlier process: it was listed then
		m.known[changed.Server] = false
	}
	if changed.Detached {
		m.detached[changed.Server] = true
	} else {
		delete(m.detached, changed.Server)
		m.attached[changed.Server] = c.now
	}
	if server, listed := c.servers[changed.Server]; listed {
		c.notify(balance.EndpointList{
			Kind:      balance.ListDelta,
			Endpoints: []balance.Endpoint{c.endpoint(server)},
		})
	}
}

// listed notes that a server is listed.
func (m *maintenance) listed(id balance.Replica) { m.known[id] = true }

// unlisted remembers a server that is listed no longer, in place of the oldest such where there are too many.
func (m *maintenance) unlisted(id balance.Replica) {
	delete(m.attached, id)
	m.known[id] = false
	m.removed = append(m.removed, id)
	if len(m.removed) > maxRemovedServers {
		m.forget(m.removed[0])
		m.removed = m.removed[1:]
	}
}

// forget forgets the id of a server that is not listed and that no operator has taken out.
func (m *maintenance) forget(id balance.Replica) {
	if !m.known[id] && !m.detached[id] {
		delete(m.known, id)
	}
}
