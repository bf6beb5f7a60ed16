// Package query holds a search as a tree, reads and prints it as CQL, and translates it to and from the
// Bib-1 attributes of a Type-1 query. It knows no encoding of these on the wire.
package query

import (
	"fmt"
	"strings"
)

// Limits on a query. They guard the recursion and the servers behind.
const (
	MaxTextBytes = 4 << 10
	MaxDepth     = 24
	MaxOperators = 40
)

// Node is *Bool, *Clause or *Set.
type Node interface{ node() }

// Operator joins two queries.
type Operator string

const (
	And Operator = "and"
	Or  Operator = "or"
	Not Operator = "not" // and-not
)

// Boolean joins two queries.
type Boolean struct {
	Operator    Operator
	Left, Right Node
}

// Relation of an index to a term.
type Relation string

const (
	Equal          Relation = "="
	Exact          Relation = "=="
	All            Relation = "all"
	Any            Relation = "any"
	Less           Relation = "<"
	LessOrEqual    Relation = "<="
	Greater        Relation = ">"
	GreaterOrEqual Relation = ">="
	NotEqual       Relation = "<>"
)

// Clause asks for a term. The term may begin and end with * for truncation.
type Clause struct {
	Index    string // empty: the server's choice
	Relation Relation
	Term     string
}

// ResultSet is an earlier result set by its name.
type ResultSet struct{ Name string }

func (*Boolean) node()   {}
func (*Clause) node()    {}
func (*ResultSet) node() {}

// Error says what is wrong with a query, with the code for either protocol.
type Error struct {
	SRU     int // info:srw/diagnostic/1/
	Bib1    int
	Details string
}

func (e *Error) Error() string {
	return fmt.Sprintf("query: %s (srw %d, bib-1 %d)", e.Details, e.SRU, e.Bib1)
}

func wrong(sru, bib1 int, format string, args ...any) *Error {
	return &Error{sru, bib1, fmt.Sprintf(format, args...)}
}

// CheckLimits says whether a tree keeps to the limits.
func CheckLimits(n Node) error {
	ops := 0
	var walk func(n Node, depth int) error
	walk = func(n Node, depth int) error {
		if depth > MaxDepth {
			return wrong(13, 3, "nested over %d deep", MaxDepth)
		}
		b, ok := n.(*Boolean)
		if !ok {
			return nil
		}
		if ops++; ops > MaxOperators {
			return wrong(38, 11, "over %d boolean operators", MaxOperators)
		}
		if err := walk(b.Left, depth+1); err != nil {
			return err
		}
		return walk(b.Right, depth+1)
	}
	return walk(n, 1)
}

// ResolveResultSets puts the queries of result sets in the place of their names.
func ResolveResultSets(n Node, find func(name string) (Node, error)) (Node, error) {
	switch n := n.(type) {
	case *ResultSet:
		return find(n.Name)
	case *Boolean:
		l, err := ResolveResultSets(n.Left, find)
		if err != nil {
			return nil, err
		}
		r, err := ResolveResultSets(n.Right, find)
		if err != nil {
			return nil, err
		}
		return &Boolean{n.Operator, l, r}, nil
	}
	return n, nil
}

// CQL prints a tree as CQL.
func CQL(n Node) string {
	var b strings.Builder
	write(&b, n)
	return b.String()
}

func write(b *strings.Builder, n Node) {
	switch n := n.(type) {
	case *Boolean:
		side := func(s Node) {
			if _, nested := s.(*Boolean); nested {
				b.WriteByte('(')
				write(b, s)
				b.WriteByte(')')
				return
			}
			write(b, s)
		}
		side(n.Left)
		b.WriteString(" " + string(n.Operator) + " ")
		side(n.Right)
	case *Clause:
		if n.Index != "" {
			b.WriteString(n.Index + " " + string(n.Relation) + " ")
		} else if n.Relation != Equal {
			b.WriteString("cql.serverChoice " + string(n.Relation) + " ")
		}
		b.WriteString(quote(n.Term))
	case *ResultSet:
		b.WriteString("cql.resultSetId = " + quote(n.Name))
	}
}

func quote(term string) string {
	plain := term != ""
	for i := range len(term) {
		c := term[i]
		plain = plain && (c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80)
	}
	switch strings.ToLower(term) {
	case "and", "or", "not", "prox", "sortby", "all", "any":
		plain = false
	}
	if plain {
		return term
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := 0; i < len(term); i++ {
		if term[i] == '"' {
			b.WriteByte('\\')
		} else if term[i] == '\\' && i+1 < len(term) { // a pair, which masks: as it stands
			b.WriteByte(term[i])
			i++
		}
		b.WriteByte(term[i])
	}
	b.WriteByte('"')
	return b.String()
}

// In a term a backslash masks the character behind it. mask makes such a term of plain text.
func mask(text string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `^`, `\^`).Replace(text)
}

// unmask makes plain text of a term.
func unmask(term string) string {
	var b strings.Builder
	for i := 0; i < len(term); i++ {
		if term[i] == '\\' && i+1 < len(term) {
			i++
		}
		b.WriteByte(term[i])
	}
	return b.String()
}

// masked says whether the last character of a term is.
func masked(term string) bool {
	n := 0
	for i := len(term) - 2; i >= 0 && term[i] == '\\'; i-- {
		n++
	}
	return n%2 == 1
}
