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

// Remark is what a mixer saw itself of one server. What it heard of others it does not pass on, so that no rumour
// outlives what it came from.
type Remark struct {
	Key  uint32 // of the server
	Said byte   // as the word's kind has it
}

const (
	remarkSize  = 5
	remarksHead = Head + 1                          // with the sender's zone
	MostRemarks = (Most - remarksHead) / remarkSize // in one word
)

// Size is the length of a word with so many remarks, in bytes.
func Size(remarks int) int { return remarksHead + remarks*remarkSize }

// WriteRemarks words remarks; those beyond MostRemarks are left out.
func WriteRemarks(kind byte, now time.Duration, zone int, remarks []Remark) []byte {
	body := []byte{byte(zone)}
	for _, r := range remarks[:min(len(remarks), MostRemarks)] {
		body = append(binary.BigEndian.AppendUint32(body, r.Key), r.Said)
	}
	return Write(kind, now, body)
}

// HasRemarks says whether text is a word of that kind whose body is remarks.
func HasRemarks(kind byte, text []byte) bool {
	return Is(kind, text) && len(text) >= remarksHead && (len(text)-remarksHead)%remarkSize == 0
}

// ReadRemarks reads a word and how long ago it was sent: negative where the sender's clock is ahead. ok is false for
// anything else.
func ReadRemarks(kind byte, now time.Duration, text []byte) (age time.Duration, zone int, remarks []Remark, ok bool) {
	if !HasRemarks(kind, text) {
		return 0, 0, nil, false
	}
	for rest := text[remarksHead:]; len(rest) > 0; rest = rest[remarkSize:] {
		remarks = append(remarks, Remark{binary.BigEndian.Uint32(rest), rest[4]})
	}
	return Age(now, text), int(text[Head]), remarks, true
}
