// Package words frames what mixers tell each other in one datagram: a letter and a version that say what kind of word
// it is (8 bits), when it was sent (milliseconds of the common clock, 16 bits), a check of the rest (16 bits), and the
// word's body: the sender's zone (8 bits) and its remarks on servers. It does no I/O and reads no clock.
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	MaxMessageBytes = 256 // bytes of a word: longer datagrams are not allowed between mixers (PROTOCOL)
	HeaderBytes     = 5   // bytes before the body
)

// ServerKey is the hash by which words name a server: FNV-1a of 32 bits.
func ServerKey(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func check(text []byte) uint16 {
	h := fnv.New32a()
	h.Write(text[:3])
	h.Write(text[HeaderBytes:])
	sum := h.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}

func stamp(now time.Duration) uint16 { return uint16(now / time.Millisecond) }

// Encode frames a body.
func Encode(kind byte, now time.Duration, body []byte) []byte {
	text := binary.BigEndian.AppendUint16([]byte{kind}, stamp(now))
	text = append(append(text, 0, 0), body...)
	binary.BigEndian.PutUint16(text[3:], check(text))
	return text
}

// IsKind says whether text is a word of that kind, whatever its body.
func IsKind(kind byte, text []byte) bool {
	return len(text) >= HeaderBytes && len(text) <= MaxMessageBytes && text[0] == kind && binary.BigEndian.Uint16(text[3:]) == check(text)
}

// Age is how long ago a word was sent: negative where the sender's clock is ahead. It tells ages of half a minute apart.
func Age(now time.Duration, text []byte) time.Duration {
	return time.Duration(int16(stamp(now)-binary.BigEndian.Uint16(text[1:]))) * time.Millisecond
}

// Observation is what a mixer saw itself of one server. What it heard of others it does not pass on, so that no rumour
// outlives what it came from.
type Observation struct {
	Key   uint32 // of the server
	Value byte   // as the word's kind has it
}

const (
	remarkSize      = 5
	remarksHead     = HeaderBytes + 1                              // with the sender's zone
	MaxObservations = (MaxMessageBytes - remarksHead) / remarkSize // in one word
)

// EncodedSize is the length of a word with so many remarks, in bytes.
func EncodedSize(remarks int) int { return remarksHead + remarks*remarkSize }

// EncodeObservations words remarks; those beyond MaxObservations are left out.
func EncodeObservations(kind byte, now time.Duration, zone int, remarks []Observation) []byte {
	body := []byte{byte(zone)}
	for _, r := range remarks[:min(len(remarks), MaxObservations)] {
		body = append(binary.BigEndian.AppendUint32(body, r.Key), r.Value)
	}
	return Encode(kind, now, body)
}

// IsObservations says whether text is a word of that kind whose body is remarks.
func IsObservations(kind byte, text []byte) bool {
	return IsKind(kind, text) && len(text) >= remarksHead && (len(text)-remarksHead)%remarkSize == 0
}

// DecodeObservations reads a word and how long ago it was sent: negative where the sender's clock is ahead. ok is false for
// anything else.
func DecodeObservations(kind byte, now time.Duration, text []byte) (age time.Duration, zone int, remarks []Observation, ok bool) {
	if !IsObservations(kind, text) {
		return 0, 0, nil, false
	}
	for rest := text[remarksHead:]; len(rest) > 0; rest = rest[remarkSize:] {
		remarks = append(remarks, Observation{binary.BigEndian.Uint32(rest), rest[4]})
	}
	return Age(now, text), int(text[HeaderBytes]), remarks, true
}
