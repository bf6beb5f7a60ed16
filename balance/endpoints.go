package balance

// This file decides nothing: it takes over the list of replicas as discovery gives it.

import (
	"slices"

	"rooktrestle/internal/control/gossip"
	"rooktrestle/internal/control/suspicion"
)

// updateEndpoints takes in a list of the replicas, or changes to it.
func (b *Balancer) updateEndpoints(list EndpointList) {
	if list.Kind != ListDelta {
		for _, s := range b.endpoints {
			s.Listed = false
		}
	}
	for _, endpoint := range list.Endpoints {
		b.updateEndpoint(endpoint)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *server) bool {
		gone := !s.Listed && len(s.InFlight) == 0 && !s.probing
		if gone {
			delete(b.servers, s.id)
		}
		return gone
	})
	b.indexEndpoints()
}

func (b *Balancer) updateEndpoint(e Endpoint) {
	s := b.servers[e.Replica]
	if s == nil {
		s = &server{id: e.Replica}
		s.PerClass = make([]suspicion.Record, len(b.settings.Classes))
		s.gossipKey = gossip.ServerKey(string(e.Replica))
		b.servers[e.Replica] = s
		b.endpoints = append(b.endpoints, s)
	}
	if b.paths[e.Zone] == nil {
		b.paths[e.Zone] = &suspicion.Path{}
		if e.Zone != b.settings.Zone {
			b.fleet.RemotePaths = append(b.fleet.RemotePaths, b.paths[e.Zone])
		}
	}
	s.zone, s.cell, s.Listed = e.Zone, e.Cell, e.State == InService
	s.Path, s.Remote = b.paths[e.Zone], e.Zone != b.settings.Zone
	s.applyLimits(e.HealthLimits)
	if e.Started > s.SlowStart.Started {
		s.Restart(e.Started, b.rng.Float64())
	}
}

// applyLimits takes what others found out about a server. A half-open request once granted stays granted
// until it is used, or its class is no longer ejected.
func (s *server) applyLimits(limits HealthLimits) {
	halfOpen := s.HalfOpenClasses | limits.HalfOpenClasses
	s.HealthLimits = limits
	s.HalfOpenClasses = halfOpen & limits.EjectedClasses
}
