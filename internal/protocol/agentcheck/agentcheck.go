// Package agentcheck parses and formats the line that HAProxy's agent-check reads over TCP, as described under
// agent-check in HAProxy's public configuration manual. It does no I/O.
//
// The line ends at the first CR or LF, or at the end of the connection. Its words are case-insensitive, in any order,
// and separated by spaces, tabs or commas: a percentage, from 0%, sets the weight; maxconn:N sets the connection limit;
// ready, drain and maint set the administrative state; up, down, failed and stopped set the operational state. Settings
// that the line does not mention are unchanged. Text after a # is a description for operators. If two words set the
// same thing, the later one applies. Unknown words next to known ones are ignored, but reported so that they can be
// logged.
package agentcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxLine is the maximum length in bytes of a line that Reader accepts or Report.Line returns.
const MaxLine = 4 << 10

// maxWeight is the maximum weight, as a fraction of the configured one: HAProxy's weights end at 256.
const maxWeight = 2.56

// Admin is an administrative state; empty: not given.
type Admin string

// Administrative states.
const (
	Ready Admin = "ready"
	Drain Admin = "drain"
	Maint Admin = "maint" // in maintenance
)

// State is an operational state; empty: not given.
type State string

// Operational states.
const (
	Up      State = "up"
	Down    State = "down"
	Failed  State = "failed"
	Stopped State = "stopped"
)

// IsUp reports whether a server in this state can serve requests.
func (s State) IsUp() bool { return s == Up }

// Report contains the settings that an agent's line gives.
type Report struct {
	Admin       Admin
	State       State
	Weight      float64  // fraction of the configured weight, 0 to 2.56; negative: not given
	MaxConn     int      // connection limit; negative: not given
	Description string   // text after the #, for operators
	Unknown     []string // unknown words
}

// ErrEmptyReport is the error for a line without words. Its text is shown to operators.
var ErrEmptyReport = errors.New("agent: it says nothing")

const maxConnPrefix = "maxconn:"

// Parse parses a line and ignores any text after its line end. The error is ErrEmptyReport if the line has no words,
// and another one if all of its words are unknown.
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

// dropControl is a strings.Map function that removes control characters, so that a peer's text can be logged on one
// line.
func dropControl(c rune) rune {
	if c < ' ' || c == 0x7f {
		return -1
	}
	return c
}

// set applies one word, which is in lower case, and returns whether it is known.
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

// parseDigits parses a number of one to nine digits, without a sign, spaces or an exponent.
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

// Line formats the report as a line with its LF. Parse restores the report from it, except for the unknown words. A
// line over MaxLine is truncated in its description.
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

// Feed adds bytes of the stream. done is true once the line is complete or too long. The other results are those of
// Parse, or an error for a line over MaxLine; they are valid only if done is true.
//
//nolint:revive // done is last, as ok would be: it tells whether the other results are valid
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

// End ends the line at the end of the stream and returns the results of Parse.
func (r *Reader) End() (Report, error) { return Parse(string(r.line)) }
