package simadapter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/settings"
)

// message is one line of input: its name and its fields, name=value, separated by tabs. The methods read fields; the
// first error is kept in err, and what they return from then on means nothing.
type message struct {
	name   string
	fields map[string]string
	err    error
}

// parseMessage splits a line.
func parseMessage(text string) (*message, error) {
	name, remainder, _ := strings.Cut(text, "\t")
	m := &message{name: name, fields: map[string]string{}}
	for remainder != "" {
		if env, ok := strings.CutPrefix(remainder, "env="); ok {
			m.fields["env"] = env // takes all that follows on the line
			break
		}
		var field string
		field, remainder, _ = strings.Cut(remainder, "\t")
		key, value, ok := strings.Cut(field, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("%s: %q is not name=value", name, field)
		}
		if _, twice := m.fields[key]; twice {
			return nil, fmt.Errorf("%s: %s is given twice", name, key)
		}
		m.fields[key] = value
	}
	return m, nil
}

// fail keeps an error, unless there is one already.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: "+format, append([]any{m.name}, args...)...)
	}
}

func (m *message) textOr(key, fallback string) string {
	if v, ok := m.fields[key]; ok {
		return v
	}
	return fallback
}

func (m *message) text(key string) string {
	v, ok := m.fields[key]
	if !ok {
		m.fail("no %s", key)
	}
	return v
}

// parse reads a required field with f; kind says in errors what the field should be.
func parse[T any](m *message, key, kind string, f func(string) (T, error)) T {
	text := m.text(key)
	if m.err != nil {
		var zero T
		return zero
	}
	v, err := f(text)
	if err != nil {
		m.fail("%s: %q is not %s", key, text, kind)
	}
	return v
}

func (m *message) has(key string) bool { _, ok := m.fields[key]; return ok }

func (m *message) unsigned(key string) uint64 {
	return parse(m, key, "a number from 0", func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
}

func (m *message) integer(key string) int { return parse(m, key, "a whole number", strconv.Atoi) }

// wholeNumber reads a whole number from 0 to a highest one.
func (m *message) wholeNumber(key string, highest int) int {
	n := m.integer(key)
	if m.err == nil && (n < 0 || n > highest) {
		m.fail("%s: %d is not within 0 to %d", key, n, highest)
	}
	return n
}

// wholeNumberOrZero is 0 where the field is missing.
func (m *message) wholeNumberOrZero(key string) int {
	if !m.has(key) {
		return 0
	}
	return m.wholeNumber(key, math.MaxInt32)
}

// number reads a finite number.
func (m *message) number(key string) float64 { return parse(m, key, "a number", parseNumber) }

func (m *message) numberOr(key string, fallback float64) float64 {
	if !m.has(key) {
		return fallback
	}
	return m.number(key)
}

func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = strconv.ErrRange
	}
	return v, err
}

// time reads a duration in microseconds.
func (m *message) time(key string) time.Duration {
	return parse(m, key, "a time", func(s string) (time.Duration, error) {
		v, err := strconv.ParseInt(s, 10, 64)
		if err == nil && (v < 0 || v > math.MaxInt64/1000) {
			err = strconv.ErrRange
		}
		return time.Duration(v) * time.Microsecond, err
	})
}

func (m *message) timeOr(key string, fallback time.Duration) time.Duration {
	if !m.has(key) {
		return fallback
	}
	return m.time(key)
}

// oneOf reads a field whose value is one of the protocol's words.
func oneOf[T any](m *message, key string, values map[string]T) T {
	return parse(m, key, "known", func(s string) (T, error) {
		v, ok := values[s]
		if !ok {
			return v, errors.New("unknown")
		}
		return v, nil
	})
}

// report reads a load report, name:number pairs separated by commas; nil where there is none. Unknown names are skipped.
func (m *message) report(key string) *balance.LoadReport {
	text := m.textOr(key, "")
	if text == "" {
		return nil
	}
	report := &balance.LoadReport{Queue: -1, InFlight: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := parseNumber(value)
		if !ok || err != nil {
			m.fail("%s: %q is not name:number", key, pair)
			return nil
		}
		settings.SetLoadValue(report, name, v)
	}
	return report
}
