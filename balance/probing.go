package balance

import (
	"cmp"
	"slices"

	"rooktrestle/internal/control/gossip"
)

// When replicas are probed for their load.
const (
	probesPerPart    = 0.15  // probes earned by a part
	maxProbesPerPart = 2     // and the most kept for later, for each part of a query
	maxProbeWait     = 0.02  // of the shortest objective: the longest that a query waits for probes
	minProbeInterval = 0.125 // of the shortest objective: least time between two probes of a server
)

// probeReplicas probes the replicas of a new query's parts, as far as the parts have earned it, and reports
// whether to wait for the results. One balancer of many meets a server so rarely that its last load report is
// old.
func (b *Balancer) probeReplicas(q *query) (wait bool) {
	if !b.settings.CanProbe || !b.settings.LoadReportsOnProbe {
		return false
	}
	var candidates []*server
	for _, p := range q.parts {
		candidates = append(candidates, b.candidates(p)...)
	}
	if q.probedAt == 0 {
		q.probedAt = b.now
		parts := float64(len(q.parts))
		b.probeTokens = min(maxProbesPerPart*parts, b.probeTokens) + probesPerPart*parts
		b.probeOldest(candidates)
	}
	return micros(b.now-q.probedAt) < micros(b.minObjective)*maxProbeWait &&
		slices.ContainsFunc(candidates, func(s *server) bool { return s.probing })
}

// probeOldest spends the probe tokens on the servers that were probed longest ago.
func (b *Balancer) probeOldest(servers []*server) {
	servers = slices.Clone(servers)
	slices.SortStableFunc(servers, func(s, t *server) int { return cmp.Compare(s.probedAt, t.probedAt) })
	for _, s := range servers {
		due := micros(b.now-s.probedAt) >= micros(b.minObjective)*minProbeInterval
		if b.probeTokens >= 1 && !s.probing && due {
			b.probeTokens--
			s.probing, s.probedAt = true, b.now
			b.emit(Probe{Replica: s.id})
		}
	}
}

func (b *Balancer) endProbe(e ProbeEnded) {
	s := b.servers[e.Replica]
	if s == nil {
		return
	}
	s.probing = false
	wasUnanswered := s.ProbeUnanswered
	s.ProbeFailed = e.Result != OK
	s.ProbeUnanswered = e.Result != OK && e.Result != Failed
	s.resolveResets(s.ProbeFailed)
	switch {
	case e.Result == OK:
		b.observeQueue(s, e.Report, wasUnanswered)
		b.recordLoad(s, e.Report)
		if e.Report != nil && e.Report.Queue >= 0 {
			s.ProbedQueue, s.ProbedQueueAt = e.Report.Queue, b.now
		}
	case s.ProbeUnanswered && b.now-s.LastSuccess > b.settings.ProbeTimeout:
		b.observe(s, gossip.Unresponsive)
	}
}
