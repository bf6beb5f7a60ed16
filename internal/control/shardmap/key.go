package shardmap

import (
	"fmt"
	"strconv"
	"strings"
)

// Key places a record in the order of an archive: its programme, then the year of its broadcast, as "programme@year".
// Keys are ordered as text. The empty Key is the beginning of all keys and, as the end of a range, the end of all.
type Key string

// yearDigits is the width of a year in a key, and maxYear the latest year that has as many digits.
const (
	yearDigits = 4
	maxYear    = 9999
)

// MakeKey returns the key of a programme and a year from 0 to 9999. The programme must not be empty and must not
// contain @, : or white space.
func MakeKey(programme string, year int) (Key, error) {
	validProgramme := programme != "" && !strings.ContainsAny(programme, "@:\x00 \t\r\n")
	if !validProgramme || year < 0 || year > maxYear {
		return "", fmt.Errorf("key %q %d: a programme without @, : and spaces, and a year of four digits",
			programme, year)
	}
	return Key(fmt.Sprintf("%s@%0*d", programme, yearDigits, year)), nil
}

// ParseKey parses "programme@year". The empty text is the empty Key: the beginning or the end of all keys.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return "", nil
	}
	programme, year, ok := strings.Cut(text, "@")
	if number, err := strconv.Atoi(year); ok && err == nil && len(year) == yearDigits {
		return MakeKey(programme, number)
	}
	return "", fmt.Errorf("key %q: not programme@year", text)
}

// KeyOf returns the key in a record's identifier, "programme@year:number". The text of an identifier of any other form
// is a key itself, so that every record has a place.
func KeyOf(record string) Key {
	head, _, _ := strings.Cut(record, ":")
	if key, err := ParseKey(head); err == nil && key != "" {
		return key
	}
	return Key(record)
}
