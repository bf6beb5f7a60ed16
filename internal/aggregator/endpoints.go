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
	Started time.Time // start of its process; zero: long ago
}

// Available says whether a server takes new work, by the endpoint list as last received and by the operators.
func (c *Core) Available(id balance.Replica) bool {
	s, ok := c.servers[id]
	return ok && s.State == balance.InService && !c.maintenance.detached[id]
}

// Server is what the endpoint list says of a server; a server that is not listed has its ID only.
func (c *Core) Server(id balance.Replica) Server {
	s := c.servers[id]
	s.ID = id
	return s
}

// InService is the number of servers that take new work.
func (c *Core) InService() int {
	available := 0
	for id := range c.servers {
		if c.Available(id) {
			available++
		}
	}
	return available
}

// updateServers takes a list of servers, or changes of one, and returns it as the balancer gets it.
func (c *Core) updateServers(changed EndpointsChanged) balance.EndpointList {
	var former map[balance.Replica]Server // that the list need not name any more
	if changed.Kind != balance.ListDelta && changed.Kind != balance.ListFailed {
		former = c.servers
		c.servers = make(map[balance.Replica]Server, len(changed.Servers))
	}
	list := balance.EndpointList{Kind: changed.Kind}
	for _, s := range changed.Servers {
		c.updateServer(s)
		list.Endpoints = append(list.Endpoints, c.endpoint(s))
	}
	for id := range former {
		if _, listed := c.servers[id]; !listed {
			c.maintenance.unlisted(id)
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

// updateServer takes what the list says of one server.
func (c *Core) updateServer(server Server) {
	c.traceServer(server)
	if server.State == balance.Removed {
		if _, listed := c.servers[server.ID]; listed {
			c.maintenance.unlisted(server.ID)
		}
		delete(c.servers, server.ID)
		delete(c.starts, server.ID)
		return
	}
	c.servers[server.ID] = server
	c.noteStart(server)
	c.maintenance.listed(server.ID)
	if c.Outliers != nil {
		c.Outliers.Add(string(server.ID), c.startedAt(server))
	}
}

// endpoint is a server as the balancer gets it. One that an operator has taken out drains, and an outlier has a reduced
// fraction of its traffic.
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
		endpoint.TrafficFraction = min(fraction, cmp.Or(endpoint.TrafficFraction, 1)) // 0 stands for all of it
	}
	return endpoint
}

// startedAt is when a server's process started, by the balancer's clock; 0: long ago. One that an operator has put back
// counts as started then at the earliest: what it was taken out for has restarted it, as a rule.
func (c *Core) startedAt(s Server) time.Duration {
	started := c.starts[s.ID].clock
	if attached, ok := c.maintenance.attached[s.ID]; ok {
		started = max(started, c.clock(attached))
	}
	return started
}

// noteStart finds out when a listed server started, once for each of its starts: the balancer takes another time for another
// start.
func (c *Core) noteStart(server Server) {
	if known, ok := c.starts[server.ID]; ok && known.listed.Equal(server.Started) {
		return
	}
	c.starts[server.ID] = serverStart{
		listed: server.Started,
		clock:  c.wallClock.spanClock(c.clock(c.now), c.now, server.Started),
	}
}
