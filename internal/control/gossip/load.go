package gossip

import "time"

const (
	kindLoad = 0x52 // letter Q, version 2

	// Unresponsive is the value observed of a server that did not answer a probe; lower values are queue lengths.
	Unresponsive byte = 255
)

// QueueValue is the value that stands for a queue length; a longer one than fits is given as the longest that does.
func QueueValue(queue float64) byte { return byte(max(0, min(float64(Unresponsive)-1, queue+0.5))) }

// EncodeLoad encodes a load message, which states queue lengths and unresponsive servers as probes found them,
// sent at now from a zone.
func EncodeLoad(now time.Duration, zone int, observations []Observation) []byte {
	return EncodeObservations(kindLoad, now, zone, observations)
}

// IsLoad reports whether message is an intact load message.
func IsLoad(message []byte) bool { return IsObservations(kindLoad, message) }

// DecodeLoad decodes a load message received at now; ok is false for anything else.
func DecodeLoad(now time.Duration, message []byte) (load Message, ok bool) {
	return DecodeObservations(kindLoad, now, message)
}
