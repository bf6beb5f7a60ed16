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

// Problem is one thing that is wrong with a file.
type Problem struct {
	File   string
	Line   int // from 1; 0: of the file as a whole
	Reason string
}

func (p Problem) Error() string {
	if p.Line == 0 {
		return p.File + ": " + p.Reason
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
}

// Problems are all that is wrong with a file, in the order of its lines.
type Problems []Problem

func (ps Problems) Error() string {
	var all []string
	for _, p := range ps {
		all = append(all, p.Error())
	}
	return strings.Join(all, "; ")
}

// places are the lines of a file's keys, by their paths, as "server.2.id"; of a table, "server.2".
type places map[string]int

// locate reads where the keys of a file stand. A file that cannot be read whole has the keys up to there.
func locate(text []byte) places {
	at := places{}
	var p unstable.Parser
	p.Reset(text)
	counts := map[string]int{}
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var path []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 && n.Raw.Length > 0 {
				line = 1 + bytes.Count(text[:n.Raw.Offset], []byte("\n"))
			}
			path = append(path, string(n.Data))
		}
		name := strings.Join(path, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = name + "." + strconv.Itoa(counts[name])
			counts[name]++
			at[table] = line
		case unstable.Table:
			table = name
			at[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			at[name] = line
		}
	}
	return at
}

// line is that of a key, else that of what it would stand in.
func (at places) line(path string) int {
	for {
		if l, ok := at[path]; ok {
			return l
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

// decode reads TOML into v. Keys that v does not have are problems.
func decode(file string, text []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &missing):
		var ps Problems
		for _, e := range missing.Errors {
			row, _ := e.Position()
			ps = append(ps, Problem{file, row, "unknown key " + strings.Join(e.Key(), ".")})
		}
		return ps
	case errors.As(err, &bad):
		row, _ := bad.Position()
		reason := strings.TrimPrefix(bad.Error(), "toml: ")
		if k := bad.Key(); len(k) > 0 {
			reason = strings.Join(k, ".") + ": " + reason
		}
		return Problems{{file, row, strings.ReplaceAll(reason, "\n", " ")}}
	}
	return Problems{{file, 0, strings.ReplaceAll(err.Error(), "\n", " ")}}
}

// checker gathers problems.
type checker struct {
	file string
	at   places
	ps   Problems
}

// bad notes that the key at a path is wrong.
func (c *checker) bad(path, format string, args ...any) {
	c.ps = append(c.ps, Problem{c.file, c.at.line(path), fmt.Sprintf(format, args...)})
}

// least notes a number that is too small.
func (c *checker) least(path string, n, least int) {
	if n < least {
		c.bad(path, "%s must be at least %d, not %d", path, least, n)
	}
}

func (c *checker) result() error {
	if len(c.ps) == 0 {
		return nil
	}
	slices.SortStableFunc(c.ps, func(a, b Problem) int { return a.Line - b.Line })
	return c.ps
}
