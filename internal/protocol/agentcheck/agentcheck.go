// Package agentcheck parses and prints the line that HAProxy's agent-check reads over TCP, after the description of
// agent-check in HAProxy's public configuration manual. It does no I/O.
//
// The line ends with the first CR or LF, or with the connection. Its words are separated by spaces, tabs or commas, in any
// order and in any case: a percentage, from 0%, sets the weight; maxconn:N the limit of connections; ready, drain and
// maint the administrative state; up, down, failed and stopped the operational state. What the line does not name stays
// as it was. A description for people follows a #. Of two words that set the same, the later one counts. An unknown word
// beside known ones is ignored, but reported so that it can be logged.
package agentcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxLine is the longest line that is parsed or printed, in bytes.
const MaxLine = 4 << 10

// maxWeight is the highest weight, as a fraction of the configured one: HAProxy's weights end at 256.
const maxWeight = 2.56

// Admin is an administrative state; empty: not named.
type Admin string

// Administrative states.
const (
	Ready Admin = "ready"
	Drain Admin = "drain"
	Maint Admin = "maint" // in maintenance
)

// State is an operational state; empty: not named.
type State string

// Operational states.
const (
	Up      State = "up"
	Down    State = "down"
	Failed  State = "failed"
	Stopped State = "stopped"
)

// IsUp returns whether a server in the state serves.
func (s State) IsUp() bool { return s == Up }

// Report is what an agent reports in a line.
type Report struct {
	Admin       Admin
	State       State
	Weight      float64  // fraction of the configured weight, 0 to 2.56; negative: not named
	MaxConn     int      // limit of connections; negative: not named
	Description string   // for people: what follows the #
	Unknown     []string // unknown words
}

// ErrEmptyReport is the error of a line without a word. Its text is shown to operators.
var ErrEmptyReport = errors.New("agent: it says nothing")

const maxConnPrefix = "maxconn:"

// Parse parses a line; what follows its end is ignored. The error is ErrEmptyReport if the line has no word, and another
// one if none of its words is known.
func Parse(line string) (Report, error) {
	report := Report{Weight: -1, MaxConn: -1}
	if end := strings.IndexAny(line, "\r\n"); end >= 0 {
		line = line[:end]
	}
	line, description, _ := strings.Cut(line, "#")
	report.Description = strings.TrimSpace(strings.Map(dropControl, description))
	words := strings.FieldsFunc(line, isSeparator)
	if len(words) == 0 {
		return report, ErrEmptyReport
	}
	for _, word := range words {
		if !report.set(strings.ToLower(word)) {
			report.Unknown = append(report.Unknown, strings.Map(dropControl, word))
		}
	}
	if len(report.Unknown) == len(words) {
		return report, fmt.Errorf("agent: %.60q", strings.Join(report.Unknown, " "))
	}
	return report, nil
}

func isSeparator(c rune) bool { return c == ' ' || c == '\t' || c == ',' }

// dropControl maps control characters to none, so that a peer's text can be printed in one line.
func dropControl(c rune) rune {
	if c < ' ' || c == 0x7f {
		return -1
	}
	return c
}

// set takes one word in lower case, and returns whether it is known.
func (r *Report) set(word string) bool {
	switch word {
	case string(Ready), string(Drain), string(Maint):
		r.Admin = Admin(word)
		return true
	case string(Up), string(Down), string(Failed), string(Stopped):
		r.State = State(word)
		return true
	}
	if percentage, ok := strings.CutSuffix(word, "%"); ok {
		percent, ok := parseDigits(percentage)
		if ok {
			r.Weight = min(float64(percent)/100, maxWeight)
		}
		return ok
	}
	if limit, ok := strings.CutPrefix(word, maxConnPrefix); ok {
		conns, ok := parseDigits(limit)
		if ok {
			r.MaxConn = conns
		}
		return ok
	}
	return false
}

// parseDigits parses a number that consists of at most nine digits: no sign, no space, no exponent.
func parseDigits(text string) (number int, ok bool) {
	const maxDigits = 9
	if text == "" || len(text) > maxDigits {
		return 0, false
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	number, err := strconv.Atoi(text)
	return number, err == nil
}

// Line prints the report as a line with its LF, which Parse parses back, all but the unknown words. A description that is
// too long is cut.
func (r Report) Line() string {
	var words []string
	if r.State != "" {
		words = append(words, string(r.State))
	}
	if r.Admin != "" {
		words = append(words, string(r.Admin))
	}
	if r.Weight >= 0 {
		percent := int(min(r.Weight, maxWeight)*100 + 0.5)
		words = append(words, strconv.Itoa(percent)+"%")
	}
	if r.MaxConn >= 0 {
		words = append(words, maxConnPrefix+strconv.Itoa(r.MaxConn))
	}
	line := strings.Join(words, " ")
	if description := strings.TrimSpace(strings.Map(dropControl, r.Description)); description != "" {
		line += " #" + description
	}
	if len(line) >= MaxLine {
		line = line[:MaxLine-1]
	}
	return line + "\n"
}

// Reader parses the first line of a stream. The zero value is ready for use.
type Reader struct{ line []byte }

// Feed adds bytes of the stream. Once done is true, the line has ended or is too long, and the other results are those of
// Parse; before, they mean nothing.
//
//nolint:revive // done comes last, as ok does: it says whether the others count
func (r *Reader) Feed(b []byte) (report Report, err error, done bool) {
	r.line = append(r.line, b[:min(len(b), MaxLine+1)]...)
	if end := strings.IndexAny(string(r.line), "\r\n"); end >= 0 && end <= MaxLine {
		report, err = Parse(string(r.line[:end]))
		return report, err, true
	}
	if len(r.line) > MaxLine {
		return report, fmt.Errorf("agent: a line over %d bytes", MaxLine), true
	}
	return report, nil, false
}

// End ends the stream, which ends the line, and returns the results of Parse.
func (r *Reader) End() (Report, error) { return Parse(string(r.line)) }
