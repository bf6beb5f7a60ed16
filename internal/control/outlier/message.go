package outlier

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

const (
	// messageKind is the letter L, version 1 of the message: for each server two counts of four bits each, of
	// attempts that failed there and of attempts that it answered since the sender's last message.
	messageKind = 0x4c
	countBits   = 4
	maxCount    = 1<<countBits - 1 // larger counts are sent as maxCount
)

// observation is what one aggregator saw itself of one server.
type observation struct {
	key      uint32 // gossip.ServerKey of the server's id
	failed   int    // attempts that failed there
	answered int    // attempts that it answered
}

// message is a decoded gossip message.
type message struct {
	age          time.Duration // since it was sent; negative where the sender's clock is ahead
	zone         int           // of the sender, modulo 256
	observations []observation
}

// encodeMessage encodes observations by an aggregator of a zone, at most gossip.MaxObservations of them.
func encodeMessage(now time.Duration, zone int, observations []observation) []byte {
	var encoded []gossip.Observation
	for _, o := range observations {
		counts := byte(min(o.failed, maxCount)<<countBits | min(o.answered, maxCount))
		encoded = append(encoded, gossip.Observation{Key: o.key, Value: counts})
	}
	return gossip.EncodeObservations(messageKind, now, zone, encoded)
}

// IsMessage reports whether a datagram is a message of this package.
func IsMessage(datagram []byte) bool { return gossip.IsObservations(messageKind, datagram) }

// decodeMessage decodes a datagram; ok is false if it is not a message of this package.
func decodeMessage(now time.Duration, datagram []byte) (m message, ok bool) {
	decoded, ok := gossip.DecodeObservations(messageKind, now, datagram)
	if !ok {
		return message{}, false
	}
	m = message{age: decoded.Age, zone: decoded.Zone}
	for _, r := range decoded.Observations {
		m.observations = append(m.observations, observation{
			key:      r.Key,
			failed:   int(r.Value >> countBits),
			answered: int(r.Value & maxCount),
		})
	}
	return m, true
}
