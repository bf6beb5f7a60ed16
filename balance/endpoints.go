package balance

// This file decides nothing: it applies the endpoint lists that discovery delivers.

import (
	"slices"

	"rooktrestle/internal/control/gossip"
	"rooktrestle/internal/control/suspicion"
)

// updateEndpoints applies an endpoint list, or changes to it.
func (b *Balancer) updateEndpoints(list EndpointList) {
	if list.Kind != ListDelta {
		for _, server := range b.endpoints {
			server.Listed = false
		}
	}
	for _, endpoint := range list.Endpoints {
		b.updateEndpoint(endpoint)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *server) bool {
		removable := !s.Listed && len(s.InFlight) == 0 && !s.probing
		if removable {
			delete(b.servers, s.id)
		}
		return removable
	})
	b.indexEndpoints()
}

// updateEndpoint applies one entry of an endpoint list.
func (b *Balancer) updateEndpoint(endpoint Endpoint) {
	server := b.servers[endpoint.Replica]
	if server == nil {
		server = b.addServer(endpoint.Replica)
	}
	server.zone = endpoint.Zone
	server.cell = endpoint.Cell
	server.Listed = endpoint.State == InService
	server.Path = b.pathTo(endpoint.Zone)
	server.Remote = endpoint.Zone != b.settings.Zone
	server.applyLimits(endpoint.HealthLimits)
	if endpoint.Started > server.SlowStart.Started {
		server.Restart(endpoint.Started, b.rng.Float64())
	}
}

// addServer adds a server that was not listed before.
func (b *Balancer) addServer(id Replica) *server {
	added := &server{id: id, gossipKey: gossip.ServerKey(string(id))}
	added.PerClass = make([]suspicion.Record, len(b.settings.Classes))
	b.servers[id] = added
	b.endpoints = append(b.endpoints, added)
	return added
}

// pathTo returns the network path to a zone.
func (b *Balancer) pathTo(zone int) *suspicion.Path {
	path := b.paths[zone]
	if path == nil {
		path = &suspicion.Path{}
		b.paths[zone] = path
		if zone != b.settings.Zone {
			b.fleet.RemotePaths = append(b.fleet.RemotePaths, path)
		}
	}
	return path
}

// applyLimits replaces the health limits of a server. A half-open request that was granted remains granted
// until it is used or its class is no longer ejected.
func (s *server) applyLimits(limits HealthLimits) {
	halfOpen := s.HalfOpenClasses | limits.HalfOpenClasses
	s.HealthLimits = limits
	s.HalfOpenClasses = halfOpen & limits.EjectedClasses
}
