package shardmap

import (
	"strconv"
	"strings"
)

// Mismatch is why a server rejected a part because of its map. A part that was rejected in this way never ran.
type Mismatch int

const (
	// NoMismatch means that the map was not the reason.
	NoMismatch Mismatch = iota
	// NoLongerServed means that the server does not hold the shard any more, since an epoch.
	NoLongerServed
	// NotYetServed means that the server will hold the shard from an epoch on.
	NotYetServed
)

// String returns the beginning of the text that a server sends, without the epoch.
func (m Mismatch) String() string { return [...]string{"", "not mine since", "mine from"}[m] }

// Servers send a mismatch as the details of a diagnostic: "not mine since epoch 7" or "mine from epoch 9 on".
const (
	notHeldPrefix    = "not mine since epoch "
	notHeldYetPrefix = "mine from epoch "
	notHeldYetSuffix = " on"
)

// Diagnostic returns the text that a server sends for a mismatch and the epoch that it names; empty for NoMismatch.
func (m Mismatch) Diagnostic(e Epoch) string {
	switch m {
	case NoLongerServed:
		return notHeldPrefix + strconv.FormatUint(uint64(e), 10)
	case NotYetServed:
		return notHeldYetPrefix + strconv.FormatUint(uint64(e), 10) + notHeldYetSuffix
	}
	return ""
}

// ParseMismatch parses the text of a diagnostic. Only the exact form that Diagnostic returns is accepted: any other text
// does not prove that the part never ran.
func ParseMismatch(text string) (Mismatch, Epoch, bool) {
	mismatch := NoLongerServed
	number, ok := strings.CutPrefix(text, notHeldPrefix)
	if !ok {
		mismatch = NotYetServed
		if number, ok = strings.CutPrefix(text, notHeldYetPrefix); ok {
			number, ok = strings.CutSuffix(number, notHeldYetSuffix)
		}
	}
	epoch, err := strconv.ParseUint(number, 10, 63)
	if !ok || err != nil || epoch == 0 || number != strconv.FormatUint(epoch, 10) {
		return NoMismatch, 0, false
	}
	return mismatch, Epoch(epoch), true
}
