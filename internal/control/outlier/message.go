package outlier

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

const (
	// messageKind is the letter L, for version 1 of the message. The value of an observation contains two counts of
	// four bits: of attempts that failed at the server and of attempts that it answered, since the sender's previous
	// message.
	messageKind = 0x4c
	countBits   = 4
	maxCount    = 1<<countBits - 1 // larger counts are sent as maxCount
)

// observation is what one aggregator itself recorded of one server.
type observation struct {
	key      uint32 // gossip.ServerKey of the server's id
	failed   int    // attempts that failed there
	answered int    // attempts that it answered
}

// message is a decoded gossip message.
type message struct {
	age          time.Duration // since it was sent; negative if the sender's clock is ahead
	zone         int           // of the sender, modulo 256
	observations []observation
}

// encodeMessage encodes observations of an aggregator in a zone, at most gossip.MaxObservations of them.
func encodeMessage(now time.Duration, zone int, observations []observation) []byte {
	var encoded []gossip.Observation
	for _, o := range observations {
		counts := byte(min(o.failed, maxCount)<<countBits | min(o.answered, maxCount))
		encoded = append(encoded, gossip.Observation{Key: o.key, Value: counts})
	}
	return gossip.EncodeObservations(messageKind, now, zone, encoded)
}

// IsMessage reports whether a datagram is a valid message of this package.
func IsMessage(datagram []byte) bool { return gossip.IsObservations(messageKind, datagram) }

// decodeMessage decodes a datagram; ok is false if it is not a valid message of this package.
func decodeMessage(now time.Duration, datagram []byte) (m message, ok bool) {
	decoded, ok := gossip.DecodeObservations(messageKind, now, datagram)
	if !ok {
		return message{}, false
	}
	m = message{age: decoded.Age, zone: decoded.Zone}
	for _, o := range decoded.Observations {
		m.observations = append(m.observations, observation{
			key:      o.Key,
			failed:   int(o.Value >> countBits),
			answered: int(o.Value & maxCount),
		})
	}
	return m, true
}
