package balance

import (
	"rooktrestle/internal/control/gossip"
)

// One of many balancers contacts a server so rarely that its information on the server's queue is out of
// date, and that it would lose parts of its own at each faulty server. Balancers therefore share the results
// of their probes, and nothing else. These are hints: a message that is lost, delayed, duplicated or forged
// may cost a probe or a worse choice, but violates no rule.
const (
	gossipInterval = 0.1 // time between two messages of a balancer, in shortest objectives
	gossipLifetime = 0.5 // age beyond which a message is ignored, in shortest objectives
)

// observe adds an observation by a probe to the next message.
func (b *Balancer) observe(s *server, value byte) {
	if b.settings.GossipEnabled() {
		b.outbox.Add(s.gossipKey, value)
	}
}

// observeQueue shares a long queue, the end of one that was shared, and the recovery of an unresponsive
// server: otherwise each balancer would have to find them out itself. Other queues are not shared: with equal
// information, all balancers would send to the shortest queue, which would be the longest by the next report.
func (b *Balancer) observeQueue(s *server, report *LoadReport, wasUnanswered bool) {
	if report == nil || report.Queue < 0 {
		return
	}
	if long := b.fleet.IsLongQueue(report.Queue); long || s.QueueWasLong || wasUnanswered {
		b.observe(s, gossip.QueueValue(report.Queue))
		s.QueueWasLong = long
	}
}

// sendGossip sends the pending observations if gossipInterval has elapsed and the budget suffices.
func (b *Balancer) sendGossip() {
	interval := duration(gossipInterval * micros(b.minObjective))
	if message := b.outbox.Flush(b.now, interval, b.settings.Zone); message != nil {
		b.emit(SendGossip{Payload: message})
	}
}

// receiveGossip applies another balancer's message. Newer observations of this balancer take precedence: a
// server that answered this one after the other sent its probe is up. A message adds no server to the list.
func (b *Balancer) receiveGossip(received GossipReceived) {
	load, ok := gossip.DecodeLoad(b.now, received.Payload)
	fresh := load.Age.Abs() <= duration(gossipLifetime*micros(b.minObjective))
	if !ok || !b.settings.GossipEnabled() || !fresh {
		return
	}
	age := max(0, load.Age)
	sameZone := load.Zone == b.settings.Zone&0xff
	for _, observation := range load.Observations {
		server := b.byGossipKey[observation.Key]
		if server == nil {
			continue
		}
		server.probedAt = max(server.probedAt, b.now-age)
		if observation.Value != gossip.Unresponsive {
			b.receiveQueue(server, float64(observation.Value))
			continue
		}
		// Only from the own zone: the path from another zone to the server may be cut.
		if sameZone && b.now-server.LastSuccess > age+b.settings.ProbeTimeout {
			server.ProbeFailed = true
			server.ProbeUnanswered = true
		}
	}
}

// receiveQueue records a server's queue as observed by another balancer, unless that queue is short and
// longer than the one recorded here.
func (b *Balancer) receiveQueue(s *server, queue float64) {
	s.ProbeFailed = false
	s.ProbeUnanswered = false
	long := b.fleet.IsLongQueue(queue)
	if !long && queue > s.Queue {
		return
	}
	s.QueueWasLong = long
	b.recordLoad(s, &LoadReport{Queue: queue, InFlight: -1, Utilization: -1})
}
