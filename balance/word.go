package balance

import (
	"encoding/binary"
	"time"

	"rooktrestle/internal/decide/words"
)

// WordMost is the longest text of a Tell or a Word, in bytes: longer datagrams are not allowed between gatherers.
const WordMost = words.Most

// A word's body is the sender's zone (8 bits) and its remarks: for each a hash of a replica's name (32 bits) and what is said of it (8 bits).
const (
	wordKind   = 0x52 // letter Q, version 2
	wordHead   = words.Head + 1
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

// queueRemark words a queue: what is longer than a remark can say is said as its most.
func queueRemark(queue float64) byte { return byte(max(0, min(noAnswer-1, queue+0.5))) }

// writeWord words remarks; those beyond what a word holds are left out.
func writeWord(now time.Duration, zone int, remarks []remark) []byte {
	body := []byte{byte(zone)}
	for _, r := range remarks[:min(len(remarks), remarkMost)] {
		body = append(binary.BigEndian.AppendUint32(body, r.key), r.said)
	}
	return words.Write(wordKind, now, body)
}

// ReadsAsWord says whether text is a word at all. One that is not is worth counting, and tells nothing.
func ReadsAsWord(text []byte) bool {
	return words.Is(wordKind, text) && len(text) >= wordHead && (len(text)-wordHead)%remarkSize == 0
}

// readWord reads a word and how long ago it was sent: negative where the sender's clock is ahead. ok is false
// for anything else.
func readWord(now time.Duration, text []byte) (age time.Duration, zone int, remarks []remark, ok bool) {
	if !ReadsAsWord(text) {
		return 0, 0, nil, false
	}
	for rest := text[wordHead:]; len(rest) > 0; rest = rest[remarkSize:] {
		remarks = append(remarks, remark{binary.BigEndian.Uint32(rest), rest[4]})
	}
	return words.Age(now, text), int(text[words.Head]), remarks, true
}
