package balance

import (
	"slices"
	"time"

	"rooktrestle/internal/control/gossip"
	"rooktrestle/internal/control/suspicion"
)

// listRetryInterval is the mean wait after a failed call for the list, as a share of the age within which it must be
// renewed.
const listRetryInterval = 0.5

func (b *Balancer) updateEndpoints(list EndpointList) {
	if list.Kind == ListFailed {
		// Paced, and at random: all balancers poll one discovery service, which may be down or short of capacity.
		maxAge := micros(b.settings.Rules.MaxListAge)
		b.pollAt = b.now + duration(listRetryInterval*(0.5+b.rng.Float64())*maxAge)
		return
	}
	if len(b.endpoints) == 0 && b.settings.ListOnRequest {
		b.emit(WatchEndpoints{})
	}
	if list.Kind != ListDelta {
		for _, s := range b.endpoints {
			s.listed = false
		}
	}
	for _, endpoint := range list.Endpoints {
		b.updateEndpoint(endpoint)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *server) bool {
		gone := !s.listed && len(s.InFlight) == 0 && !s.probing
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
		s = &server{id: e.Replica, perClass: make([]suspicion.Record, len(b.settings.Classes))}
		s.gossipKey = gossip.ServerKey(string(e.Replica))
		b.servers[e.Replica] = s
		b.endpoints = append(b.endpoints, s)
	}
	if b.paths[e.Zone] == nil {
		b.paths[e.Zone] = &suspicion.Path{}
	}
	s.zone, s.path, s.cell, s.listed = e.Zone, b.paths[e.Zone], e.Cell, e.State == InService
	s.applyLimits(e.HealthLimits)
	if e.Started > s.slowStart.Started {
		s.reset(e.Started, b.rng.Float64())
	}
}

// applyLimits takes what others found out about a server. A half-open request once granted stays granted until it is
// used, or its class is no longer ejected.
func (s *server) applyLimits(limits HealthLimits) {
	halfOpen := s.HalfOpenClasses | limits.HalfOpenClasses
	s.HealthLimits = limits
	s.HalfOpenClasses = halfOpen & limits.EjectedClasses
}

// reset forgets what a server's earlier process showed; random is from 0 to 1. The new one had nothing in flight when
// it began: taken for as busy as the mean of the others, it would be avoided while these are full.
func (s *server) reset(started time.Duration, random float64) {
	s.slowStart.Restart(started, random)
	s.measured, s.recent, s.Penalty = false, nil, 0
	s.queue, s.reportedInFlight, s.reportedAt = 0, -1, started
	for i := range s.perClass {
		s.perClass[i].Forget()
	}
}
