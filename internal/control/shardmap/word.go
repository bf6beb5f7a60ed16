package shardmap

import (
	"strconv"
	"strings"
)

// Servers word what they say of their blocks as the details of a diagnostic: "not mine since epoch 7", "mine from epoch
// 9 on". Both say that the part never ran.

const (
	notMine = "not mine since epoch "
	notYet  = "mine from epoch "
	onWord  = " on"
)

// Diagnostic words what a server says.
func (w Mismatch) Diagnostic(e Epoch) string {
	switch w {
	case NotHeld:
		return notMine + strconv.FormatUint(uint64(e), 10)
	case NotHeldYet:
		return notYet + strconv.FormatUint(uint64(e), 10) + onWord
	}
	return ""
}

// ParseMismatch reads it. Only the exact form counts: what is worded in another way proves nothing.
func ParseMismatch(text string) (Mismatch, Epoch, bool) {
	w, rest, ok := NotHeld, "", false
	if rest, ok = strings.CutPrefix(text, notMine); !ok {
		w = NotHeldYet
		if rest, ok = strings.CutPrefix(text, notYet); ok {
			rest, ok = strings.CutSuffix(rest, onWord)
		}
	}
	e, err := strconv.ParseUint(rest, 10, 63)
	if !ok || err != nil || e == 0 || rest != strconv.FormatUint(e, 10) {
		return NoMismatch, 0, false
	}
	return w, Epoch(e), true
}
