package balance

import (
	"rooktrestle/internal/control/gossip"
)

// Gossip: one balancer of many meets a server so rarely that what it knows of its queue is old, and that it
// would lose parts of its own at each faulty server. Each therefore shares with the others what its probes
// showed, and nothing else. All of it is a hint: a message that is lost, late, duplicated or forged may cost
// a probe or a worse choice, and breaks no rule.
const (
	gossipInterval = 0.1 // shortest objectives between two messages of a balancer
	gossipLifetime = 0.5 // shortest objectives after which a message is ignored
)

// observe adds what a probe showed to the next message.
func (b *Balancer) observe(s *server, value byte) {
	if b.settings.GossipEnabled() {
		b.outbox.Add(s.gossipKey, value)
	}
}

// observeQueue shares a long queue, the end of one that was shared, and that an unresponsive server is back:
// else each balancer had to find that out itself. Other queues are not shared: where all know the same, all
// send to the shortest queue, which is the longest by the next report.
func (b *Balancer) observeQueue(s *server, report *LoadReport, wasUnanswered bool) {
	if report == nil || report.Queue < 0 {
		return
	}
	if long := b.fleet.IsLongQueue(report.Queue); long || s.QueueWasLong || wasUnanswered {
		b.observe(s, gossip.QueueValue(report.Queue))
		s.QueueWasLong = long
	}
}

// sendGossip sends the pending observations, as far as the parts served have earned their bytes.
func (b *Balancer) sendGossip() {
	interval := duration(gossipInterval * micros(b.minObjective))
	if message := b.outbox.Flush(b.now, interval, b.settings.Zone); message != nil {
		b.emit(SendGossip{Payload: message})
	}
}

// receiveGossip takes in another balancer's message. What was seen here since counts for more: a server that
// answered this balancer after the other's probe went out is up. A message brings no server into the list.
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
		// Only from the own zone: another zone's path there may be cut.
		if sameZone && b.now-server.LastSuccess > age+b.settings.ProbeTimeout {
			server.ProbeFailed = true
			server.ProbeUnanswered = true
		}
	}
}

// receiveQueue takes in a server's queue as another balancer saw it, unless it is short and what is known
// here is no better.
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
