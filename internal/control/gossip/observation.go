package gossip

import (
	"encoding/binary"
	"time"
)

// Observation is what an aggregator measured itself of one server. What it received from others it does not pass on,
// so that no report outlives what it came from.
type Observation struct {
	Key   uint32 // ServerKey of the server
	Value byte   // meaning depends on the message's kind
}

const (
	observationBytes = 5
	zoneOffset       = HeaderBytes
	bodyOffset       = HeaderBytes + 1 // of the observations, after the sender's zone

	// MaxObservations is the most observations in one message.
	MaxObservations = (MaxMessageBytes - bodyOffset) / observationBytes
)

// EncodedSize is the length in bytes of a message with so many observations.
func EncodedSize(observations int) int { return bodyOffset + observations*observationBytes }

// EncodeObservations encodes observations as a message of a kind; those beyond MaxObservations are left out. Of the
// zone the low 8 bits are kept.
func EncodeObservations(kind byte, now time.Duration, zone int, observations []Observation) []byte {
	body := []byte{byte(zone)}
	for _, o := range observations[:min(len(observations), MaxObservations)] {
		body = append(binary.BigEndian.AppendUint32(body, o.Key), o.Value)
	}
	return Encode(kind, now, body)
}

// IsObservations reports whether message is intact, of that kind, and holds whole observations.
func IsObservations(kind byte, message []byte) bool {
	return IsKind(kind, message) && len(message) >= bodyOffset && (len(message)-bodyOffset)%observationBytes == 0
}

// Message is a decoded message of observations.
type Message struct {
	Age          time.Duration // since it was sent; negative where the sender's clock is ahead
	Zone         int           // low 8 bits of the sender's zone
	Observations []Observation
}

// DecodeObservations decodes a message of a kind received at now; ok is false for anything else.
func DecodeObservations(kind byte, now time.Duration, message []byte) (m Message, ok bool) {
	if !IsObservations(kind, message) {
		return Message{}, false
	}
	m = Message{Age: Age(now, message), Zone: int(message[zoneOffset])}
	for rest := message[bodyOffset:]; len(rest) > 0; rest = rest[observationBytes:] {
		m.Observations = append(m.Observations, Observation{binary.BigEndian.Uint32(rest), rest[4]})
	}
	return m, true
}
