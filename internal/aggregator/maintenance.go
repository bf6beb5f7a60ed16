package aggregator

import (
	"time"

	"rooktrestle/balance"
)

// maxRemovedServers limits the number of removed servers whose ids are retained.
const maxRemovedServers = 4096

// maintenance stores which servers operators have detached and attached. It is independent of the endpoint list: a
// server accepts new work only if both allow it.
type maintenance struct {
	detached map[balance.Replica]bool // taken out of service by an operator
	// attached is when servers were attached again. They were usually restarted while detached, which the endpoint list
	// may report with a delay.
	attached map[balance.Replica]time.Time
	removed  []balance.Replica        // ids that were removed from the list, oldest first
	known    map[balance.Replica]bool // ids that are listed (true), or were previously (false)
}

func newMaintenance() maintenance {
	return maintenance{
		detached: map[balance.Replica]bool{},
		attached: map[balance.Replica]time.Time{},
		known:    map[balance.Replica]bool{},
	}
}

// KnowsServer reports whether a server is listed, or was listed before and its id is retained.
func (c *Core) KnowsServer(id balance.Replica) bool {
	_, known := c.maintenance.known[id]
	return known
}

// ClusterSize returns the number of listed servers, and the number of those that receive little or no new work: they
// are draining, detached by an operator, or avoided by the balancer.
func (c *Core) ClusterSize() (listed, avoided int) {
	for id := range c.servers {
		if !c.Available(id) || c.balancer.Avoids(id) {
			avoided++
		}
	}
	return len(c.servers), avoided
}

// maintenanceChanged detaches or attaches a server on behalf of an operator. In the same turn the balancer is notified
// of the server, which is draining while detached.
func (c *Core) maintenanceChanged(changed MaintenanceChanged) {
	m := &c.maintenance
	if m.detached[changed.Server] == changed.Detached {
		return
	}
	c.traceMaintenance(changed)
	if !c.KnowsServer(changed.Server) { // persisted by a previous process, which had the server listed
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

// markListed records that a server is listed.
func (m *maintenance) markListed(id balance.Replica) { m.known[id] = true }

// markRemoved records that a server is no longer listed. Beyond maxRemovedServers the oldest such record is deleted.
func (m *maintenance) markRemoved(id balance.Replica) {
	delete(m.attached, id)
	m.known[id] = false
	m.removed = append(m.removed, id)
	if len(m.removed) > maxRemovedServers {
		m.forget(m.removed[0])
		m.removed = m.removed[1:]
	}
}

// forget deletes the id of a server, unless it is listed or detached.
func (m *maintenance) forget(id balance.Replica) {
	if !m.known[id] && !m.detached[id] {
		delete(m.known, id)
	}
}
