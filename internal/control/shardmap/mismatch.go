package shardmap

import (
	"strconv"
	"strings"
)

// Mismatch is the reason why a server rejected a part if, by its map, it does not serve the shard. Such a part never
// ran.
type Mismatch int

const (
	// NoMismatch means that the part was not rejected because of the map.
	NoMismatch Mismatch = iota
	// NoLongerServed means that the server has not served the shard since an epoch.
	NoLongerServed
	// NotYetServed means that the server will serve the shard from an epoch on.
	NotYetServed
)

// String returns the beginning of the text that a server sends, without the epoch.
func (m Mismatch) String() string { return [...]string{"", "not mine since", "mine from"}[m] }

// Servers send a mismatch as the details of a diagnostic: "not mine since epoch 7" or "mine from epoch 9 on".
const (
	noLongerServedPrefix = "not mine since epoch "
	notYetServedPrefix   = "mine from epoch "
	notYetServedSuffix   = " on"
)

// Diagnostic returns the text that a server sends for a mismatch and the epoch that it names; empty for NoMismatch.
func (m Mismatch) Diagnostic(epoch Epoch) string {
	number := strconv.FormatUint(uint64(epoch), 10)
	switch m {
	case NoLongerServed:
		return noLongerServedPrefix + number
	case NotYetServed:
		return notYetServedPrefix + number + notYetServedSuffix
	}
	return ""
}

// ParseMismatch parses the text of a diagnostic. Only the exact form that Diagnostic returns is accepted: any other
// text does not prove that the part never ran.
func ParseMismatch(text string) (Mismatch, Epoch, bool) {
	mismatch, number := splitDiagnostic(text)
	if mismatch == NoMismatch {
		return NoMismatch, 0, false
	}
	epoch, err := strconv.ParseUint(number, 10, 63)
	if err != nil || epoch == 0 || number != strconv.FormatUint(epoch, 10) {
		return NoMismatch, 0, false
	}
	return mismatch, Epoch(epoch), true
}

// splitDiagnostic returns the mismatch that a diagnostic states, and the text of its epoch.
func splitDiagnostic(text string) (mismatch Mismatch, epoch string) {
	if number, ok := strings.CutPrefix(text, noLongerServedPrefix); ok {
		return NoLongerServed, number
	}
	number, hasPrefix := strings.CutPrefix(text, notYetServedPrefix)
	number, hasSuffix := strings.CutSuffix(number, notYetServedSuffix)
	if hasPrefix && hasSuffix {
		return NotYetServed, number
	}
	return NoMismatch, ""
}
