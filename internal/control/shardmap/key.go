// Package blocks decides which servers hold which part of the archive, while that changes. A Map is one epoch: blocks,
// each a range of keys with a stable id, their holders and states. Only legal successions are accepted. Views pin an
// epoch for each query; flight.go says what becomes of parts in flight when the map moves on; plan.go makes the
// successions that split, merge and move blocks safely. It does no I/O, reads no clock and starts no goroutine.
package shardmap

import (
	"fmt"
	"strconv"
	"strings"
)

// Key places a record: its programme, then the year of its broadcast. Keys are ordered as text; the empty Key is the
// beginning of all keys and, as the end of a range, the end of all.
type Key string

// yearDigits is how wide a year stands in a key.
const yearDigits = 4

// MakeKey is the key of a programme's year, 0 to 9999.
func MakeKey(programme string, year int) (Key, error) {
	if programme == "" || strings.ContainsAny(programme, "@:\x00 \t\r\n") || year < 0 || year > 9999 {
		return "", fmt.Errorf("key %q %d: a programme without @, : and spaces, and a year of four digits", programme, year)
	}
	return Key(fmt.Sprintf("%s@%0*d", programme, yearDigits, year)), nil
}

// ParseKey reads "programme@year"; "" is the end of all keys on either side.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return "", nil
	}
	programme, year, ok := strings.Cut(text, "@")
	if n, err := strconv.Atoi(year); ok && err == nil && len(year) == yearDigits {
		return MakeKey(programme, n)
	}
	return "", fmt.Errorf("key %q: not programme@year", text)
}

// KeyOf is the key in a record's identifier, programme@year:rest. An identifier of another form is a key by its own
// text, so that every record has a place.
func KeyOf(record string) Key {
	head, _, _ := strings.Cut(record, ":")
	if k, err := ParseKey(head); err == nil && k != "" {
		return k
	}
	return Key(record)
}
