package balance

import (
	"cmp"
	"slices"

	"rooktrestle/internal/control/gossip"
)

// When replicas are probed for their load.
const (
	probesPerPart    = 0.15  // probes that a part earns
	maxProbesPerPart = 2     // most probes kept from earlier queries, for each part of a query
	maxProbeWait     = 0.02  // of the shortest objective: the longest that a query waits for probes
	minProbeInterval = 0.125 // of the shortest objective: least time between two probes of a server
)

// probeReplicas probes the replicas of a new query's parts, as far as the parts have earned it, and reports
// whether to wait for the results. One balancer of many meets a server so rarely that its last load report is
// old.
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
