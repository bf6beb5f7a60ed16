package outlier

import (
	"encoding/binary"
	"time"

	"rooktrestle/internal/decide/words"
)

// A word's body is the sender's zone (8 bits) and its remarks: for each a hash of a server's name (32 bits), how many
// attempts were lost there (4 bits) and how many answered (4 bits) since the sender's last word.
const (
	wordKind   = 0x4c // letter L, version 1
	wordHead   = words.Head + 1
	remarkSize = 5
	remarkMost = (words.Most - wordHead) / remarkSize
	countMost  = 15
)

// remark is what one mixer saw itself of one server. What it heard it does not pass on.
type remark struct {
	key          uint32
	lost, served int
}

func writeWord(now time.Duration, zone int, remarks []remark) []byte {
	body := []byte{byte(zone)}
	for _, r := range remarks {
		body = binary.BigEndian.AppendUint32(body, r.key)
		body = append(body, byte(min(r.lost, countMost)<<4|min(r.served, countMost)))
	}
	return words.Write(wordKind, now, body)
}

// Reads says whether text is a word of this kind.
func Reads(text []byte) bool {
	return words.Is(wordKind, text) && len(text) >= wordHead && (len(text)-wordHead)%remarkSize == 0
}

// readWord reads a word and how long ago it was sent: negative where the sender's clock is ahead.
func readWord(now time.Duration, text []byte) (age time.Duration, zone int, remarks []remark, ok bool) {
	if !Reads(text) {
		return 0, 0, nil, false
	}
	for rest := text[wordHead:]; len(rest) > 0; rest = rest[remarkSize:] {
		remarks = append(remarks, remark{binary.BigEndian.Uint32(rest), int(rest[4] >> 4), int(rest[4] & countMost)})
	}
	return words.Age(now, text), int(text[words.Head]), remarks, true
}
