package aggregator

import (
	"cmp"
	"time"

	"rooktrestle/balance"
)

// Server is one server as last listed by discovery.
type Server struct {
	balance.HealthLimits
	ID      balance.Replica
	Addr    string
	Zone    int
	Cell    int
	Weight  float64
	State   balance.EndpointState
	Started time.Time // when its process started; zero: long ago
}

// Available reports whether a server accepts new work: the latest endpoint list has it in service, and no operator has
// detached it.
func (c *Core) Available(id balance.Replica) bool {
	s, ok := c.servers[id]
	return ok && s.State == balance.InService && !c.maintenance.detached[id]
}

// Server returns a server's entry in the endpoint list; for a server that is not listed only the ID is set.
func (c *Core) Server(id balance.Replica) Server {
	s := c.servers[id]
	s.ID = id
	return s
}

// AvailableServers returns the number of servers that accept new work.
func (c *Core) AvailableServers() int {
	available := 0
	for id := range c.servers {
		if c.Available(id) {
			available++
		}
	}
	return available
}

// updateServers applies an endpoint list, or changes to one, and returns it in the form for the balancer.
func (c *Core) updateServers(changed EndpointsChanged) balance.EndpointList {
	var previous map[balance.Replica]Server // from the replaced list; nil if the list is only changed
	if changed.Kind != balance.ListDelta && changed.Kind != balance.ListFailed {
		previous = c.servers
		c.servers = make(map[balance.Replica]Server, len(changed.Servers))
	}
	list := balance.EndpointList{Kind: changed.Kind}
	for _, s := range changed.Servers {
		c.updateServer(s)
		list.Endpoints = append(list.Endpoints, c.endpoint(s))
	}
	for id := range previous {
		if _, listed := c.servers[id]; !listed {
			c.maintenance.markRemoved(id)
			delete(c.starts, id)
		}
	}
	if c.Outliers != nil {
		c.Outliers.Retain(func(id string) bool {
			_, listed := c.servers[balance.Replica(id)]
			return listed
		})
	}
	return list
}

// updateServer applies the list's entry for one server.
func (c *Core) updateServer(server Server) {
	c.traceServer(server)
	if server.State == balance.Removed {
		if _, listed := c.servers[server.ID]; listed {
			c.maintenance.markRemoved(server.ID)
		}
		delete(c.servers, server.ID)
		delete(c.starts, server.ID)
		return
	}
	c.servers[server.ID] = server
	c.recordStart(server)
	c.maintenance.markListed(server.ID)
	if c.Outliers != nil {
		c.Outliers.Add(string(server.ID), c.startedAt(server))
	}
}

// endpoint returns a server in the form for the balancer. A server that an operator has detached is draining, and an
// outlier has a reduced traffic fraction.
func (c *Core) endpoint(server Server) balance.Endpoint {
	endpoint := balance.Endpoint{
		HealthLimits: server.HealthLimits,
		Replica:      server.ID,
		Zone:         server.Zone,
		Cell:         server.Cell,
		Size:         server.Weight,
		State:        server.State,
		Started:      c.startedAt(server),
	}
	if c.maintenance.detached[server.ID] && endpoint.State == balance.InService {
		endpoint.State = balance.Draining
	}
	if c.Outliers == nil {
		return endpoint
	}
	if fraction := c.Outliers.TrafficFraction(string(server.ID)); fraction < 1 {
		endpoint.TrafficFraction = min(fraction, cmp.Or(endpoint.TrafficFraction, 1)) // 0 means 1
	}
	return endpoint
}

// startedAt returns when a server's process started, on the balancer's clock; 0: long ago. A server that an operator
// has attached again counts as started at that time or later: it was usually restarted while it was detached.
func (c *Core) startedAt(s Server) time.Duration {
	started := c.starts[s.ID].clock
	if attached, ok := c.maintenance.attached[s.ID]; ok {
		started = max(started, c.clock(attached))
	}
	return started
}

// recordStart converts the start time of a listed server to the balancer's clock, once for each of its starts: the
// balancer treats a different time as another start.
func (c *Core) recordStart(server Server) {
	if known, ok := c.starts[server.ID]; ok && known.listed.Equal(server.Started) {
		return
	}
	c.starts[server.ID] = serverStart{
		listed: server.Started,
		clock:  c.wallClock.toBalancerClock(c.clock(c.now), c.now, server.Started),
	}
}
