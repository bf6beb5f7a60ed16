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

// message is one line of input: its name and its fields, name=value, separated by tabs. The methods parse fields and
// store the first error in err; the values that they return after an error are undefined.
type message struct {
	name   string
	fields map[string]string
	err    error
}

// parseMessage splits a line into a name and fields.
func parseMessage(text string) (*message, error) {
	name, remainder, _ := strings.Cut(text, "\t")
	m := &message{name: name, fields: map[string]string{}}
	for remainder != "" {
		if env, ok := strings.CutPrefix(remainder, "env="); ok {
			m.fields["env"] = env // extends to the end of the line
			break
		}
		var field string
		field, remainder, _ = strings.Cut(remainder, "\t")
		key, value, ok := strings.Cut(field, "=")
		if !ok || key == "" {
			return nil, fmt.Errorf("%s: %q is not name=value", name, field)
		}
		if _, duplicate := m.fields[key]; duplicate {
			return nil, fmt.Errorf("%s: %s is given twice", name, key)
		}
		m.fields[key] = value
	}
	return m, nil
}

// fail stores an error unless there is one already.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %w", m.name, fmt.Errorf(format, args...))
	}
}

// textOr returns a field, or fallback if it is missing.
func (m *message) textOr(key, fallback string) string {
	if value, ok := m.fields[key]; ok {
		return value
	}
	return fallback
}

// text returns a required field.
func (m *message) text(key string) string {
	value, ok := m.fields[key]
	if !ok {
		m.fail("no %s", key)
	}
	return value
}

// parse parses a required field by parseText; kind states in errors what the field should be.
func parse[T any](message *message, key, kind string, parseText func(string) (T, error)) T {
	text := message.text(key)
	if message.err != nil {
		var zero T
		return zero
	}
	value, err := parseText(text)
	if err != nil {
		message.fail("%s: %q is not %s", key, text, kind)
	}
	return value
}

func (m *message) has(key string) bool {
	_, ok := m.fields[key]
	return ok
}

// unsigned parses an integer of at least 0.
func (m *message) unsigned(key string) uint64 { return parse(m, key, "a number from 0", parseUnsigned) }

func parseUnsigned(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }

// integer parses an integer.
func (m *message) integer(key string) int { return parse(m, key, "a whole number", strconv.Atoi) }

// integerUpTo parses an integer from 0 to a limit.
func (m *message) integerUpTo(key string, limit int) int {
	n := m.integer(key)
	if m.err == nil && (n < 0 || n > limit) {
		m.fail("%s: %d is not within 0 to %d", key, n, limit)
	}
	return n
}

// integerOrZero parses an integer of at least 0, and returns 0 if it is missing.
func (m *message) integerOrZero(key string) int {
	if !m.has(key) {
		return 0
	}
	return m.integerUpTo(key, math.MaxInt32)
}

// number parses a finite number.
func (m *message) number(key string) float64 { return parse(m, key, "a number", parseNumber) }

// numberOr parses a finite number, and returns fallback if it is missing.
func (m *message) numberOr(key string, fallback float64) float64 {
	if !m.has(key) {
		return fallback
	}
	return m.number(key)
}

func parseNumber(text string) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(number) || math.IsInf(number, 0)) {
		err = strconv.ErrRange
	}
	return number, err
}

// time parses a duration in microseconds.
func (m *message) time(key string) time.Duration { return parse(m, key, "a time", parseMicros) }

// maxMicros is the longest time.Duration in microseconds.
const maxMicros = math.MaxInt64 / int64(time.Microsecond)

func parseMicros(text string) (time.Duration, error) {
	micros, err := strconv.ParseInt(text, 10, 64)
	if err == nil && (micros < 0 || micros > maxMicros) {
		err = strconv.ErrRange
	}
	return time.Duration(micros) * time.Microsecond, err
}

// timeOr parses a duration in microseconds, and returns fallback if it is missing.
func (m *message) timeOr(key string, fallback time.Duration) time.Duration {
	if !m.has(key) {
		return fallback
	}
	return m.time(key)
}

// oneOf returns the value for a field that must be one of the given names.
func oneOf[T any](m *message, key string, values map[string]T) T {
	return parse(m, key, "known", func(name string) (T, error) {
		value, ok := values[name]
		if !ok {
			return value, errors.New("unknown")
		}
		return value, nil
	})
}

// report parses a load report, name:number pairs separated by commas; nil if there is none. Unknown names are ignored.
func (m *message) report(key string) *balance.LoadReport {
	text := m.textOr(key, "")
	if text == "" {
		return nil
	}
	report := &balance.LoadReport{Queue: -1, InFlight: -1, Utilization: -1}
	for _, pair := range strings.Split(text, ",") {
		name, text, ok := strings.Cut(pair, ":")
		value, err := parseNumber(text)
		if !ok || err != nil {
			m.fail("%s: %q is not name:number", key, pair)
			return nil
		}
		settings.SetLoadValue(report, name, value)
	}
	return report
}
