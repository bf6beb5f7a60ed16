package balance

import (
	"math"
	"time"

	"rooktrestle/internal/control/gossip"
)

// What gatherers tell each other, and what of it is trusted. One of many meets a server so rarely that what
// it knows of its queue is old, and that it must find out each bad server by parts of its own. So each tells
// the others what its probes showed, and nothing else. All of it is a hint: a word lost, late, doubled or
// forged may cost a probe or a choice, and moves no rule.

const (
	gossipInterval     = 0.1 // shortest aims between two words of a gatherer
	gossipBytesPerPart = 0.4 // bytes delivered to all others, as a share of a full word for each part taken
	longQueueDelay     = 0.2 // of the shortest aim: what waits longer than that is told
	gossipLifetime     = 0.5 // shortest aims after which a word tells nothing any more
)

// GossipEnabled says whether words are exchanged. Few gatherers see enough themselves.
func (set *Settings) GossipEnabled() bool { return set.PeerMessages && set.Instances > maxExtrapolated }

// observe keeps what a probe showed for the next word; the newest counts.
func (b *Balancer) observe(s *server, said byte) {
	if !b.settings.GossipEnabled() {
		return
	}
	for i := range b.pendingGossip {
		if b.pendingGossip[i].Key == s.gossipKey {
			b.pendingGossip[i].Value = said
			return
		}
	}
	if len(b.pendingGossip) < maxObservations {
		b.pendingGossip = append(b.pendingGossip, observation{Key: s.gossipKey, Value: said})
	}
}

// sendGossip sends what there is to tell, as far as parts taken have earned it.
func (b *Balancer) sendGossip() {
	if len(b.pendingGossip) == 0 || b.now < b.nextGossip {
		return
	}
	size := float64(gossip.EncodedSize(len(b.pendingGossip)) * (b.settings.Instances - 1))
	if b.gossipBytes < size {
		return
	}
	b.gossipBytes -= size
	b.nextGossip = b.now + duration(gossipInterval*micros(b.minObjective))
	b.emit(SendGossip{Payload: encodeGossip(b.now, b.settings.Zone, b.pendingGossip)})
	b.pendingGossip = b.pendingGossip[:0]
}

// earnGossip counts a part taken toward what may be told.
func (b *Balancer) earnGossip() {
	b.gossipBytes = min(b.gossipBytes+gossipBytesPerPart*MaxGossipBytes, MaxGossipBytes*float64(b.settings.Instances))
}

// observeQueue tells a queue that no part should wait in, and that one so told of is short, or one that was
// silent is there again, or each had to find it so. Others are not told: where all know the same, all send to
// the shortest, which is the longest by the next report.
func (b *Balancer) observeQueue(s *server, r *LoadReport, silent bool) {
	if r == nil || r.Queue < 0 {
		return
	}
	if long := b.isLongQueue(r.Queue); long || s.queueWasLong || silent {
		b.observe(s, encodeQueue(r.Queue))
		s.queueWasLong = long
	}
}

// isLongQueue says whether what waits takes a good share of the shortest aim.
func (b *Balancer) isLongQueue(queue float64) bool {
	return b.drainTime(queue) >= longQueueDelay*micros(b.minObjective)
}

// receiveGossip takes another's word. What was seen here since counts for more: a server that answered this gatherer
// after the other's probe went out is there.
func (b *Balancer) receiveGossip(w GossipReceived) {
	age, zone, remarks, ok := decodeGossip(b.now, w.Payload)
	fresh := time.Duration(math.Abs(float64(age))) <= duration(gossipLifetime*micros(b.minObjective))
	if !ok || !b.settings.GossipEnabled() || !fresh {
		return
	}
	for _, r := range remarks {
		s := b.byGossipKey[r.Key]
		if s == nil {
			continue // not listed here: a word brings no server in
		}
		s.probedAt = max(s.probedAt, b.now-max(0, age))
		if r.Value == unresponsiveValue {
			// Of the own zone: the others' way there may be cut.
			if zone == b.settings.Zone&0xff && b.now-s.LastSuccess > max(0, age)+b.settings.ProbeTimeout {
				s.probeFailed, s.probeUnanswered = true, true
			}
			continue
		}
		s.probeFailed, s.probeUnanswered = false, false
		queue := float64(r.Value)
		long := b.isLongQueue(queue)
		if !long && queue > s.queue {
			continue // what is known here is no better
		}
		s.queueWasLong = long
		b.recordLoad(s, &LoadReport{Queue: queue, InFlight: -1, Utilization: -1})
	}
}
