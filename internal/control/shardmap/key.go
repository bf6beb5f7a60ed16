package shardmap

import (
	"fmt"
	"strconv"
	"strings"
)

// Key is the position of a record in an archive: its programme and the year of its broadcast, as "programme@year". Keys
// are ordered as strings. The empty Key comes before all others; as the end of a range it means that there is no end.
type Key string

// yearDigits is the number of digits of a year in a key, and maxYear the latest year that has no more.
const (
	yearDigits = 4
	maxYear    = 9999
)

// MakeKey returns the key of a programme and a year from 0 to 9999. The programme must not be empty and must not
// contain @, :, NUL or white space.
func MakeKey(programme string, year int) (Key, error) {
	validProgramme := programme != "" && !strings.ContainsAny(programme, "@:\x00 \t\r\n")
	if !validProgramme || year < 0 || year > maxYear {
		return "", fmt.Errorf("key of programme %q and year %d: the programme must not be empty "+
			"or contain @, :, NUL or white space, and the year must be from 0 to %d", programme, year, maxYear)
	}
	return Key(fmt.Sprintf("%s@%0*d", programme, yearDigits, year)), nil
}

// ParseKey parses "programme@year". The empty text is the empty Key.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return "", nil
	}
	programme, year, ok := strings.Cut(text, "@")
	if number, err := strconv.Atoi(year); ok && err == nil && len(year) == yearDigits {
		return MakeKey(programme, number)
	}
	return "", fmt.Errorf("key %q is not of the form programme@year with a year of %d digits", text, yearDigits)
}

// KeyOf returns the key in a record's identifier, "programme@year:number". An identifier of any other form is itself
// used as the key, so that every record belongs to a shard.
func KeyOf(record string) Key {
	head, _, _ := strings.Cut(record, ":")
	if key, err := ParseKey(head); err == nil && key != "" {
		return key
	}
	return Key(record)
}
