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
	tellGap   = 0.1 // shortest aims between two words of a gatherer
	tellShare = 0.4 // bytes delivered to all others, as a share of a full word for each part taken
	longQueue = 0.2 // of the shortest aim: what waits longer than that is told
	wordFresh = 0.5 // shortest aims after which a word tells nothing any more
)

// GossipEnabled says whether words are exchanged. Few gatherers see enough themselves.
func (set *Settings) GossipEnabled() bool { return set.PeerMessages && set.Instances > ownMost }

// remark keeps what a probe showed for the next word; the newest counts.
func (b *Balancer) remark(s *server, said byte) {
	if !b.set.GossipEnabled() {
		return
	}
	for i := range b.remarks {
		if b.remarks[i].Key == s.key {
			b.remarks[i].Value = said
			return
		}
	}
	if len(b.remarks) < remarkMost {
		b.remarks = append(b.remarks, remark{Key: s.key, Value: said})
	}
}

// tell sends what there is to tell, as far as parts taken have earned it.
func (b *Balancer) tell() {
	if len(b.remarks) == 0 || b.now < b.tellAt {
		return
	}
	size := float64(gossip.EncodedSize(len(b.remarks)) * (b.set.Instances - 1))
	if b.tellBytes < size {
		return
	}
	b.tellBytes -= size
	b.tellAt = b.now + duration(tellGap*us(b.shortAim))
	b.do(SendGossip{Payload: writeWord(b.now, b.set.Zone, b.remarks)})
	b.remarks = b.remarks[:0]
}

// earnWord counts a part taken toward what may be told.
func (b *Balancer) earnWord() {
	b.tellBytes = min(b.tellBytes+tellShare*MaxGossipBytes, MaxGossipBytes*float64(b.set.Instances))
}

// remarkQueue tells a queue that no part should wait in, and that one so told of is short, or one that was
// silent is there again, or each had to find it so. Others are not told: where all know the same, all send to
// the shortest, which is the longest by the next report.
func (b *Balancer) remarkQueue(s *server, r *LoadReport, silent bool) {
	if r == nil || r.Queue < 0 {
		return
	}
	if long := b.long(r.Queue); long || s.long || silent {
		b.remark(s, queueRemark(r.Queue))
		s.long = long
	}
}

// long says whether what waits takes a good share of the shortest aim.
func (b *Balancer) long(queue float64) bool {
	return b.workOff(queue) >= longQueue*us(b.shortAim)
}

// hear takes another's word. What was seen here since counts for more: a server that answered this gatherer
// after the other's probe went out is there.
func (b *Balancer) hear(w GossipReceived) {
	age, zone, remarks, ok := readWord(b.now, w.Payload)
	fresh := time.Duration(math.Abs(float64(age))) <= duration(wordFresh*us(b.shortAim))
	if !ok || !b.set.GossipEnabled() || !fresh {
		return
	}
	for _, r := range remarks {
		s := b.byKey[r.Key]
		if s == nil {
			continue // not listed here: a word brings no server in
		}
		s.probed = max(s.probed, b.now-max(0, age))
		if r.Value == noAnswer {
			// Of the own zone: the others' way there may be cut.
			if zone == b.set.Zone&0xff && b.now-s.lastOK > max(0, age)+b.set.ProbeTimeout {
				s.noReply, s.dark = true, true
			}
			continue
		}
		s.noReply, s.dark = false, false
		queue := float64(r.Value)
		long := b.long(queue)
		if !long && queue > s.q {
			continue // what is known here is no better
		}
		s.long = long
		b.report(s, &LoadReport{Queue: queue, InFlight: -1, Utilization: -1})
	}
}
