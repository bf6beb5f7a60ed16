package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one error in a configuration file.
type Problem struct {
	File   string
	Line   int    // from 1; 0: the problem is not at a particular line
	Key    string // dotted path of the key or table, with indexes, as "server.2.id"; empty: none
	Reason string
}

// Error formats the problem as "file:line: reason".
func (p Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Problems are all problems of a file, in the order of its lines.
type Problems []Problem

// Error formats all problems on one line.
func (ps Problems) Error() string {
	var all []string
	for _, p := range ps {
		all = append(all, p.Error())
	}
	return strings.Join(all, "; ")
}

// keyLines maps the path of each key ("server.2.id") and table ("server.2") of a file to its line.
type keyLines map[string]int

// locateKeys finds the lines of a file's keys. If the file is not valid TOML it returns the keys before the error.
func locateKeys(text []byte) keyLines {
	lines := keyLines{}
	var parser unstable.Parser
	parser.Reset(text)
	elements := map[string]int{} // number of elements of each array of tables so far
	table := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := keyOf(expression, text)
		switch expression.Kind {
		case unstable.ArrayTable:
			table = name + "." + strconv.Itoa(elements[name])
			elements[name]++
			lines[table] = line
		case unstable.Table:
			table = name
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
		}
	}
	return lines
}

// keyOf returns the dotted key of an expression, and its line.
func keyOf(expression *unstable.Node, text []byte) (name string, line int) {
	var path []string
	for key := expression.Key(); key.Next(); {
		node := key.Node()
		if line == 0 && node.Raw.Length > 0 {
			line = 1 + bytes.Count(text[:node.Raw.Offset], []byte("\n"))
		}
		path = append(path, string(node.Data))
	}
	return strings.Join(path, "."), line
}

// line returns the line of a key, or of its innermost enclosing table if the key is not in the file; 0: neither is.
func (lines keyLines) line(path string) int {
	for {
		if line, ok := lines[path]; ok {
			return line
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return 0
		}
		path = path[:dot]
	}
}

// decode decodes TOML into target, a pointer. Keys that target lacks are problems. Its error is of type Problems.
func decode(file string, text []byte, target any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown):
		var problems Problems
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			problems = append(problems, Problem{File: file, Line: row, Key: key, Reason: "unknown key " + key})
		}
		return problems
	case errors.As(err, &invalid):
		row, _ := invalid.Position()
		key := strings.Join(invalid.Key(), ".")
		reason := strings.TrimPrefix(invalid.Error(), "toml: ")
		if key != "" {
			reason = key + ": " + reason
		}
		return Problems{{File: file, Line: row, Key: key, Reason: oneLine(reason)}}
	}
	return Problems{{File: file, Reason: oneLine(err.Error())}}
}

func oneLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// validator collects the problems of a file.
type validator struct {
	file     string
	lines    keyLines
	problems Problems
}

// addf adds a problem with the key at a path.
func (v *validator) addf(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{
		File:   v.file,
		Line:   v.lines.line(path),
		Key:    path,
		Reason: fmt.Sprintf(format, args...),
	})
}

// requireMin adds a problem if the number at a path is below a minimum.
func (v *validator) requireMin(path string, number, minimum int) {
	if number < minimum {
		v.addf(path, "%s must be at least %d, not %d", path, minimum, number)
	}
}

// err returns the problems as Problems, in the order of lines; nil: there are none.
func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(v.problems, func(a, b Problem) int { return a.Line - b.Line })
	return v.problems
}
