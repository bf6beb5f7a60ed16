package query

import "strings"

// CQL prints a tree as CQL. Parse reads the result as the same tree.
func CQL(n Node) string {
	var b strings.Builder
	printNode(&b, n)
	return b.String()
}

func printNode(b *strings.Builder, n Node) {
	switch n := n.(type) {
	case *Boolean:
		printOperand(b, n.Left)
		b.WriteString(" " + string(n.Operator) + " ")
		printOperand(b, n.Right)
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

// printOperand prints an operand of a boolean operator, in parentheses if it is a boolean itself.
func printOperand(b *strings.Builder, n Node) {
	if _, nested := n.(*Boolean); !nested {
		printNode(b, n)
		return
	}
	b.WriteByte('(')
	printNode(b, n)
	b.WriteByte(')')
}

// quote puts a term into quotes, unless it reads as the same term without.
func quote(term string) string {
	if readsUnquoted(term) {
		return term
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := 0; i < len(term); i++ {
		if term[i] == '"' {
			b.WriteByte('\\')
		} else if term[i] == '\\' && i+1 < len(term) { // an escaped character stays as it is
			b.WriteByte(term[i])
			i++
		}
		b.WriteByte(term[i])
	}
	b.WriteByte('"')
	return b.String()
}

// isLetterOrDigit says whether a byte is an ASCII letter or digit, or belongs to a character that is not ASCII.
func isLetterOrDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// readsUnquoted says whether a term has letters, digits and non-ASCII characters only, and is no keyword of CQL.
func readsUnquoted(term string) bool {
	if term == "" {
		return false
	}
	for i := range len(term) {
		if !isLetterOrDigit(term[i]) {
			return false
		}
	}
	switch strings.ToLower(term) {
	case "and", "or", "not", "prox", "sortby", "all", "any":
		return false
	}
	return true
}
