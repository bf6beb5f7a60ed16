// Package gossip encodes the messages by which aggregators share observations of servers, one message per datagram, and
// limits their volume. A message consists of its kind (8 bits, for a letter and a version), the time of sending
// (milliseconds of the common clock, 16 bits), a checksum of the remainder (16 bits), and a body: the sender's zone (8
// bits) and its observations. The package does no I/O and reads no clock.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// MaxMessageBytes is the maximum length of a message: the protocol forbids longer datagrams between aggregators.
	MaxMessageBytes = 256
	// HeaderBytes is the length of a message before its body.
	HeaderBytes = 5

	timestampOffset = 1
	checksumOffset  = 3
)

// ServerKey returns the hash that identifies a server in messages: 32-bit FNV-1a of its id.
func ServerKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	return h.Sum32()
}

// checksum returns the hash of a message without its checksum, folded to 16 bits.
func checksum(message []byte) uint16 {
	h := fnv.New32a()
	_, _ = h.Write(message[:checksumOffset]) // a hash never returns an error
	_, _ = h.Write(message[HeaderBytes:])
	sum := h.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}

// timestamp is the clock in milliseconds, modulo 65536.
func timestamp(now time.Duration) uint16 { return uint16(now / time.Millisecond) }

// Encode returns a message of a kind with a body, sent at now.
func Encode(kind byte, now time.Duration, body []byte) []byte {
	message := binary.BigEndian.AppendUint16([]byte{kind}, timestamp(now))
	message = append(append(message, 0, 0), body...)
	binary.BigEndian.PutUint16(message[checksumOffset:], checksum(message))
	return message
}

// IsKind reports whether message has a valid length and checksum and is of that kind. It does not decode the body.
func IsKind(kind byte, message []byte) bool {
	return len(message) >= HeaderBytes && len(message) <= MaxMessageBytes && message[0] == kind &&
		binary.BigEndian.Uint16(message[checksumOffset:]) == checksum(message)
}

// Age returns how long ago a message was sent; it is negative if the sender's clock is ahead. The timestamp wraps
// around, so ages beyond about 32 seconds in either direction are ambiguous. The message must have a header.
func Age(now time.Duration, message []byte) time.Duration {
	sent := binary.BigEndian.Uint16(message[timestampOffset:])
	return time.Duration(int16(timestamp(now)-sent)) * time.Millisecond
}
