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

// Print words what a server says.
func (w Word) Print(e Epoch) string {
	switch w {
	case NotMine:
		return notMine + strconv.FormatUint(uint64(e), 10)
	case NotYet:
		return notYet + strconv.FormatUint(uint64(e), 10) + onWord
	}
	return ""
}

// ParseWord reads it. Only the exact form counts: what is worded in another way proves nothing.
func ParseWord(text string) (Word, Epoch, bool) {
	w, rest, ok := NotMine, "", false
	if rest, ok = strings.CutPrefix(text, notMine); !ok {
		w = NotYet
		if rest, ok = strings.CutPrefix(text, notYet); ok {
			rest, ok = strings.CutSuffix(rest, onWord)
		}
	}
	e, err := strconv.ParseUint(rest, 10, 63)
	if !ok || err != nil || e == 0 || rest != strconv.FormatUint(e, 10) {
		return NoWord, 0, false
	}
	return w, Epoch(e), true
}
