package outlier

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

const (
	wordKind  = 0x4c // letter L, version 1: of a server how many attempts were lost there (4 bits) and how many answered
	countMost = 15   // (4 bits) since the sender's last word
)

// remark is what one mixer saw itself of one server.
type remark struct {
	key          uint32
	lost, served int
}

func writeWord(now time.Duration, zone int, remarks []remark) []byte {
	var said []gossip.Observation
	for _, r := range remarks {
		said = append(said, gossip.Observation{Key: r.key, Value: byte(min(r.lost, countMost)<<4 | min(r.served, countMost))})
	}
	return gossip.EncodeObservations(wordKind, now, zone, said)
}

// IsMessage says whether text is a word of this kind.
func IsMessage(text []byte) bool { return gossip.IsObservations(wordKind, text) }

// decodeGossip reads a word and how long ago it was sent: negative where the sender's clock is ahead.
func readWord(now time.Duration, text []byte) (age time.Duration, zone int, remarks []remark, ok bool) {
	age, zone, said, ok := gossip.DecodeObservations(wordKind, now, text)
	for _, r := range said {
		remarks = append(remarks, remark{r.Key, int(r.Value >> 4), int(r.Value & countMost)})
	}
	return age, zone, remarks, ok
}
