// Package agentcheck words and reads HAProxy's agent-check: one line of words over TCP, after the description of
// agent-check in HAProxy's public configuration manual.
//
// The line ends with the first CR or LF, or with the connection. Words stand in any order, apart by spaces, tabs or
// commas, in any case of letters: a percentage from 0% on sets the weight; maxconn:N the most connections; ready,
// drain and maint the administrative state; up, down, failed and stopped the operating state. What is not named
// stays as it was. Behind a # stands a description for people. Of two words on the same matter the later counts. A
// word of no meaning does no harm beside others and is handed on, so that it can be logged.
package agentcheck

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxLine is the longest line that is read, in bytes.
const MaxLine = 4 << 10

// mostWeight is the highest weight, as a share of the configured one: HAProxy's weights end at 256.
const mostWeight = 2.56

// Admin is an administrative state; empty: not named.
type Admin string

const (
	Ready Admin = "ready"
	Drain Admin = "drain"
	Maint Admin = "maint"
)

// State is an operating state; empty: not named.
type State string

const (
	Up      State = "up"
	Down    State = "down"
	Failed  State = "failed"
	Stopped State = "stopped"
)

// Well says whether a state is that of a server that serves.
func (s State) Well() bool { return s == Up }

// Report is what an agent says.
type Report struct {
	Admin   Admin
	State   State
	Weight  float64  // share of the configured weight; negative: not named
	MaxConn int      // negative: not named
	Why     string   // the description
	Unknown []string // words of no meaning
}

// ErrSilent is the error of a line without a word.
var ErrSilent = errors.New("agent: it says nothing")

// Parse reads a line. It fails if no word of it has a meaning.
func Parse(line string) (Report, error) {
	r := Report{Weight: -1, MaxConn: -1}
	if i := strings.IndexAny(line, "\r\n"); i >= 0 {
		line = line[:i]
	}
	line, why, _ := strings.Cut(line, "#")
	r.Why = strings.TrimSpace(strings.Map(printable, why))
	words := strings.FieldsFunc(line, func(c rune) bool { return c == ' ' || c == '\t' || c == ',' })
	if len(words) == 0 {
		return r, ErrSilent
	}
	for _, w := range words {
		if !r.take(strings.ToLower(w)) {
			r.Unknown = append(r.Unknown, strings.Map(printable, w))
		}
	}
	if len(r.Unknown) == len(words) {
		return r, fmt.Errorf("agent: %.60q", strings.Join(r.Unknown, " "))
	}
	return r, nil
}

func printable(c rune) rune {
	if c < ' ' || c == 0x7f {
		return -1
	}
	return c
}

// take takes one word and says whether it has a meaning.
func (r *Report) take(w string) bool {
	switch {
	case w == "ready" || w == "drain" || w == "maint":
		r.Admin = Admin(w)
	case w == "up" || w == "down" || w == "failed" || w == "stopped":
		r.State = State(w)
	case strings.HasSuffix(w, "%"):
		v, ok := digits(w[:len(w)-1])
		if !ok {
			return false
		}
		r.Weight = min(float64(v)/100, mostWeight)
	case strings.HasPrefix(w, "maxconn:"):
		v, ok := digits(w[len("maxconn:"):])
		if !ok {
			return false
		}
		r.MaxConn = v
	default:
		return false
	}
	return true
}

// digits reads a number that is digits only: no sign, no space, no exponent.
func digits(text string) (int, bool) {
	if text == "" || len(text) > 9 {
		return 0, false
	}
	for _, c := range []byte(text) {
		if c < '0' || c > '9' {
			return 0, false
		}
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}

// Line words a report, with its LF. Parse reads it back.
func (r Report) Line() string {
	var words []string
	if r.State != "" {
		words = append(words, string(r.State))
	}
	if r.Admin != "" {
		words = append(words, string(r.Admin))
	}
	if r.Weight >= 0 {
		words = append(words, strconv.Itoa(int(min(r.Weight, mostWeight)*100+0.5))+"%")
	}
	if r.MaxConn >= 0 {
		words = append(words, "maxconn:"+strconv.Itoa(r.MaxConn))
	}
	line := strings.Join(words, " ")
	if why := strings.TrimSpace(strings.Map(printable, r.Why)); why != "" {
		line += " #" + why
	}
	if len(line) >= MaxLine {
		line = line[:MaxLine-1]
	}
	return line + "\n"
}

// Reader takes a line out of a stream of bytes.
type Reader struct{ line []byte }

// Feed takes bytes. done says that the line is whole, or too long to be one.
func (r *Reader) Feed(b []byte) (rep Report, err error, done bool) {
	r.line = append(r.line, b[:min(len(b), MaxLine+1)]...)
	if i := strings.IndexAny(string(r.line), "\r\n"); i >= 0 && i <= MaxLine {
		rep, err = Parse(string(r.line[:i]))
		return rep, err, true
	}
	if len(r.line) > MaxLine {
		return rep, fmt.Errorf("agent: a line over %d bytes", MaxLine), true
	}
	return rep, nil, false
}

// End takes the end of the stream, which ends the line.
func (r *Reader) End() (Report, error) { return Parse(string(r.line)) }
