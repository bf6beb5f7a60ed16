// Package words frames what mixers tell each other in one datagram: a letter and a version that say what kind of word
// it is (8 bits), when it was sent (milliseconds of the common clock, 16 bits), a check of the rest (16 bits), and the
// word's body, which is its kind's own. It does no I/O and reads no clock.
package words

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

const (
	Most = 256 // bytes of a word: longer datagrams are not allowed between mixers (PROTOCOL)
	Head = 5   // bytes before the body
)

// Key is the hash by which words name a server: FNV-1a of 32 bits.
func Key(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

func check(text []byte) uint16 {
	h := fnv.New32a()
	h.Write(text[:3])
	h.Write(text[Head:])
	sum := h.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}

func stamp(now time.Duration) uint16 { return uint16(now / time.Millisecond) }

// Write frames a body.
func Write(kind byte, now time.Duration, body []byte) []byte {
	text := binary.BigEndian.AppendUint16([]byte{kind}, stamp(now))
	text = append(append(text, 0, 0), body...)
	binary.BigEndian.PutUint16(text[3:], check(text))
	return text
}

// Is says whether text is a word of that kind, whatever its body.
func Is(kind byte, text []byte) bool {
	return len(text) >= Head && len(text) <= Most && text[0] == kind && binary.BigEndian.Uint16(text[3:]) == check(text)
}

// Age is how long ago a word was sent: negative where the sender's clock is ahead. It tells ages of half a minute apart.
func Age(now time.Duration, text []byte) time.Duration {
	return time.Duration(int16(stamp(now)-binary.BigEndian.Uint16(text[1:]))) * time.Millisecond
}
