package gossip

import "time"

const (
	kindLoad = 0x52 // version 2 of the message; the letter Q, 0x51, stands for version 1

	// Unresponsive is the value of an observation of a server that did not answer a probe; lower values are queue
	// lengths.
	Unresponsive byte = 255
)

// QueueValue returns the value of an observation for a queue length, which is rounded and limited to the valid range.
func QueueValue(queue float64) byte { return byte(max(0, min(float64(Unresponsive)-1, queue+0.5))) }

// EncodeLoad encodes a load message, sent at now from a zone, which contains queue lengths reported by probes and
// servers that did not answer a probe.
func EncodeLoad(now time.Duration, zone int, observations []Observation) []byte {
	return EncodeObservations(kindLoad, now, zone, observations)
}

// IsLoad reports whether message is a valid load message.
func IsLoad(message []byte) bool { return IsObservations(kindLoad, message) }

// DecodeLoad decodes a load message received at now; ok is false if message is not a valid one.
func DecodeLoad(now time.Duration, message []byte) (load Message, ok bool) {
	return DecodeObservations(kindLoad, now, message)
}
