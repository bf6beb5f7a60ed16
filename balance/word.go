package balance

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// WordMost is the longest text of a Tell or a Word, in bytes: longer datagrams are not allowed between gatherers.
const WordMost = 256

// A word is a letter and a version, when it was sent (milliseconds of the common clock, 16 bits), a check of the
// rest (16 bits), and its remarks: for each a hash of a replica's name (32 bits) and what is said of it (8 bits).
const (
	wordKind   = 0x51 // letter Q, version 1
	wordHead   = 5
	remarkSize = 5
	remarkMost = (WordMost - wordHead) / remarkSize
	noAnswer   = 255 // said of a replica that did not answer a probe; less is its queue
)

// remark is what one gatherer saw itself of one replica. What it heard of others it does not pass on, so that
// no rumour outlives what it came from.
type remark struct {
	key  uint32
	said byte
}

// nameKey is the hash by which words name a replica.
func nameKey(id Replica) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// queueRemark words a queue: what is longer than a remark can say is said as its most.
func queueRemark(queue float64) byte { return byte(max(0, min(noAnswer-1, queue+0.5))) }

func wordCheck(text []byte) uint16 {
	h := fnv.New32a()
	h.Write(text)
	sum := h.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}

func stamp(now time.Duration) uint16 { return uint16(now / time.Millisecond) }

// writeWord words remarks; those beyond what a word holds are left out.
func writeWord(now time.Duration, remarks []remark) []byte {
	text := binary.BigEndian.AppendUint16([]byte{wordKind}, stamp(now))
	text = append(text, 0, 0)
	for _, r := range remarks[:min(len(remarks), remarkMost)] {
		text = append(binary.BigEndian.AppendUint32(text, r.key), r.said)
	}
	binary.BigEndian.PutUint16(text[3:], wordCheck(append(text[:3:3], text[wordHead:]...)))
	return text
}

// ReadsAsWord says whether text is a word at all. One that is not is worth counting, and tells nothing.
func ReadsAsWord(text []byte) bool {
	return len(text) >= wordHead && len(text) <= WordMost && (len(text)-wordHead)%remarkSize == 0 &&
		text[0] == wordKind && binary.BigEndian.Uint16(text[3:]) == wordCheck(append(text[:3:3], text[wordHead:]...))
}

// readWord reads a word and how long ago it was sent: negative where the sender's clock is ahead. ok is false
// for anything else.
func readWord(now time.Duration, text []byte) (age time.Duration, remarks []remark, ok bool) {
	if !ReadsAsWord(text) {
		return 0, nil, false
	}
	age = time.Duration(int16(stamp(now)-binary.BigEndian.Uint16(text[1:]))) * time.Millisecond
	for rest := text[wordHead:]; len(rest) > 0; rest = rest[remarkSize:] {
		remarks = append(remarks, remark{binary.BigEndian.Uint32(rest), rest[4]})
	}
	return age, remarks, true
}
