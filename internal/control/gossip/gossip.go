// Package gossip encodes the messages by which aggregators share observations of servers, one message a datagram, and
// limits how much of them is sent. A message is a kind (8 bits, a letter and a version), the time of sending
// (milliseconds of the common clock, 16 bits), a checksum of all else (16 bits), and a body: the sender's zone (8
// bits) and its observations. It does no I/O and reads no clock.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	// MaxMessageBytes is the longest message: longer datagrams are not allowed between aggregators (PROTOCOL).
	MaxMessageBytes = 256
	// HeaderBytes is the length of a message before its body.
	HeaderBytes = 5

	kindBytes = 1 // offset of the time of sending
	sumOffset = 3
)

// ServerKey is the hash by which messages name a server: 32-bit FNV-1a of its id.
func ServerKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	return h.Sum32()
}

// checksum folds the hash of a message, without the checksum itself, to 16 bits.
func checksum(message []byte) uint16 {
	h := fnv.New32a()
	_, _ = h.Write(message[:sumOffset]) // a hash never returns an error
	_, _ = h.Write(message[HeaderBytes:])
	sum := h.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}

// timestamp is the clock in milliseconds, modulo 65536.
func timestamp(now time.Duration) uint16 { return uint16(now / time.Millisecond) }

// Encode frames a body as a message of a kind, sent at now.
func Encode(kind byte, now time.Duration, body []byte) []byte {
	message := binary.BigEndian.AppendUint16([]byte{kind}, timestamp(now))
	message = append(append(message, 0, 0), body...)
	binary.BigEndian.PutUint16(message[sumOffset:], checksum(message))
	return message
}

// IsKind reports whether message is intact and of that kind. It does not look at the body.
func IsKind(kind byte, message []byte) bool {
	return len(message) >= HeaderBytes && len(message) <= MaxMessageBytes && message[0] == kind &&
		binary.BigEndian.Uint16(message[sumOffset:]) == checksum(message)
}

// Age is how long ago a message was sent: negative where the sender's clock is ahead. The timestamp wraps, so ages
// beyond about 32 seconds either way are not told apart. The message must have a header.
func Age(now time.Duration, message []byte) time.Duration {
	sent := binary.BigEndian.Uint16(message[kindBytes:])
	return time.Duration(int16(timestamp(now)-sent)) * time.Millisecond
}
