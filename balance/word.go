package balance

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

// MaxGossipBytes is the longest text of a Tell or a Word, in bytes: longer datagrams are not allowed between gatherers.
const MaxGossipBytes = gossip.MaxMessageBytes

const (
	wordKind   = 0x52 // letter Q, version 2: of a replica its queue is said, or noAnswer
	remarkMost = gossip.MaxObservations
	noAnswer   = 255 // said of a replica that did not answer a probe; less is its queue
)

type remark = gossip.Observation

// queueRemark words a queue: what is longer than a remark can say is said as its most.
func queueRemark(queue float64) byte { return byte(max(0, min(noAnswer-1, queue+0.5))) }

func writeWord(now time.Duration, zone int, remarks []remark) []byte {
	return gossip.EncodeObservations(wordKind, now, zone, remarks)
}

// IsGossip says whether text is a word at all. One that is not is worth counting, and tells nothing.
func IsGossip(text []byte) bool { return gossip.IsObservations(wordKind, text) }

func readWord(now time.Duration, text []byte) (age time.Duration, zone int, remarks []remark, ok bool) {
	return gossip.DecodeObservations(wordKind, now, text)
}
