package gossip

import (
	"encoding/binary"
	"time"
)

// Observation is what an aggregator itself measured of one server. Observations received from others are not forwarded,
// so that none outlives its cause.
type Observation struct {
	Key   uint32 // ServerKey of the server
	Value byte   // its meaning depends on the message's kind
}

const (
	observationBytes = 5
	zoneOffset       = HeaderBytes
	listOffset       = HeaderBytes + 1 // of the observations, after the sender's zone

	// MaxObservations is the maximum number of observations in one message.
	MaxObservations = (MaxMessageBytes - listOffset) / observationBytes
)

// EncodedSize is the length in bytes of a message with so many observations.
func EncodedSize(observations int) int { return listOffset + observations*observationBytes }

// EncodeObservations encodes observations as a message of a kind, without those beyond MaxObservations and with the low
// 8 bits of the zone.
func EncodeObservations(kind byte, now time.Duration, zone int, observations []Observation) []byte {
	body := []byte{byte(zone)}
	for _, o := range observations[:min(len(observations), MaxObservations)] {
		body = append(binary.BigEndian.AppendUint32(body, o.Key), o.Value)
	}
	return Encode(kind, now, body)
}

// IsObservations reports whether message is valid, of that kind, and contains only complete observations.
func IsObservations(kind byte, message []byte) bool {
	return IsKind(kind, message) && len(message) >= listOffset && (len(message)-listOffset)%observationBytes == 0
}

// Message is a decoded message of observations.
type Message struct {
	Age          time.Duration // since it was sent; negative if the sender's clock is ahead
	Zone         int           // low 8 bits of the sender's zone
	Observations []Observation
}

// DecodeObservations decodes a message of a kind received at now; ok is false if message is not a valid one.
func DecodeObservations(kind byte, now time.Duration, message []byte) (m Message, ok bool) {
	if !IsObservations(kind, message) {
		return Message{}, false
	}
	m = Message{Age: Age(now, message), Zone: int(message[zoneOffset])}
	for remainder := message[listOffset:]; len(remainder) > 0; remainder = remainder[observationBytes:] {
		m.Observations = append(m.Observations, Observation{binary.BigEndian.Uint32(remainder), remainder[4]})
	}
	return m, true
}
