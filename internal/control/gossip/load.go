package gossip

import "time"

const (
	kindLoad = 0x52 // letter Q, version 2

	// Unresponsive is the value observed of a server that did not answer a probe; lower values are queue lengths.
	Unresponsive byte = 255
)

// LoadMessage is a message of queue lengths and unresponsive servers, as probes found them.
type LoadMessage struct {
	Age          time.Duration // since it was sent; negative where the sender's clock is ahead
	Zone         int           // low 8 bits of the sender's zone
	Observations []Observation
}

// QueueValue is the value that stands for a queue length; a longer one than fits is given as the longest that does.
func QueueValue(queue float64) byte { return byte(max(0, min(float64(Unresponsive)-1, queue+0.5))) }

// EncodeLoad encodes a load message sent at now from a zone.
func EncodeLoad(now time.Duration, zone int, observations []Observation) []byte {
	return EncodeObservations(kindLoad, now, zone, observations)
}

// IsLoad reports whether message is an intact load message.
func IsLoad(message []byte) bool { return IsObservations(kindLoad, message) }

// DecodeLoad decodes a load message received at now; ok is false for anything else.
func DecodeLoad(now time.Duration, message []byte) (load LoadMessage, ok bool) {
	load.Age, load.Zone, load.Observations, ok = DecodeObservations(kindLoad, now, message)
	return load, ok
}
