package balance

import (
	"cmp"
	"slices"

	"rooktrestle/internal/control/gossip"
)

// Limits for load probes.
const (
	probesPerPart    = 0.15  // probe tokens that a part earns
	maxProbesPerPart = 2     // maximum number of probe tokens retained between queries, per part of a query
	maxProbeWait     = 0.02  // longest wait of a query for probes, in shortest objectives
	minProbeInterval = 0.125 // minimum time between two probes of a server, in shortest objectives
)

// probeReplicas probes the replicas of a new query's parts, as far as probe tokens allow, and reports whether
// to wait for the results. One of many balancers contacts a server so rarely that its last load report from
// there is out of date.
func (b *Balancer) probeReplicas(query *query) (wait bool) {
	if !b.settings.CanProbe || !b.settings.LoadReportsOnProbe {
		return false
	}
	var candidates []*server
	for _, part := range query.parts {
		candidates = append(candidates, b.candidates(part)...)
	}
	if query.probedAt == 0 {
		query.probedAt = b.now
		parts := float64(len(query.parts))
		b.probeTokens = min(maxProbesPerPart*parts, b.probeTokens) + probesPerPart*parts
		b.probeOldest(candidates)
	}
	return micros(b.now-query.probedAt) < micros(b.minObjective)*maxProbeWait &&
		slices.ContainsFunc(candidates, func(s *server) bool { return s.probing })
}

// probeOldest spends the probe tokens on the servers that were probed longest ago.
func (b *Balancer) probeOldest(servers []*server) {
	servers = slices.Clone(servers)
	slices.SortStableFunc(servers, func(s, t *server) int { return cmp.Compare(s.probedAt, t.probedAt) })
	for _, server := range servers {
		due := micros(b.now-server.probedAt) >= micros(b.minObjective)*minProbeInterval
		if b.probeTokens >= 1 && !server.probing && due {
			b.probeTokens--
			server.probing = true
			server.probedAt = b.now
			b.emit(Probe{Replica: server.id})
		}
	}
}

func (b *Balancer) endProbe(ended ProbeEnded) {
	server := b.servers[ended.Replica]
	if server == nil {
		return
	}
	server.probing = false
	wasUnanswered := server.ProbeUnanswered
	server.ProbeFailed = ended.Result != OK
	server.ProbeUnanswered = ended.Result != OK && ended.Result != Failed
	server.resolveResets(server.ProbeFailed)
	switch {
	case ended.Result == OK:
		b.observeQueue(server, ended.Report, wasUnanswered)
		b.recordLoad(server, ended.Report)
		if ended.Report != nil && ended.Report.Queue >= 0 {
			server.ProbedQueue = ended.Report.Queue
			server.ProbedQueueAt = b.now
		}
	case server.ProbeUnanswered && b.now-server.LastSuccess > b.settings.ProbeTimeout:
		b.observe(server, gossip.Unresponsive)
	}
}
