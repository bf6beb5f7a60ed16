package balance

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

// MaxGossipBytes is the longest text of a Tell or a Word, in bytes: longer datagrams are not allowed between gatherers.
const MaxGossipBytes = gossip.MaxMessageBytes

const (
	loadMessageKind   = 0x52 // letter Q, version 2: of a replica its queue is said, or unresponsiveValue
	maxObservations   = gossip.MaxObservations
	unresponsiveValue = 255 // said of a replica that did not answer a probe; less is its queue
)

type observation = gossip.Observation

// encodeQueue words a queue: what is longer than a remark can say is said as its most.
func encodeQueue(queue float64) byte { return byte(max(0, min(unresponsiveValue-1, queue+0.5))) }

func encodeGossip(now time.Duration, zone int, remarks []observation) []byte {
	return gossip.EncodeObservations(loadMessageKind, now, zone, remarks)
}

// IsGossip says whether text is a word at all. One that is not is worth counting, and tells nothing.
func IsGossip(text []byte) bool { return gossip.IsObservations(loadMessageKind, text) }

func decodeGossip(now time.Duration, text []byte) (age time.Duration, zone int, remarks []observation, ok bool) {
	return gossip.DecodeObservations(loadMessageKind, now, text)
}
