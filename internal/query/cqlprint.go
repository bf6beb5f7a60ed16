package query

import "strings"

// CQL formats a tree as CQL. Parse returns the same tree for the result.
func CQL(tree Node) string {
	var out strings.Builder
	printNode(&out, tree)
	return out.String()
}

func printNode(out *strings.Builder, node Node) {
	switch node := node.(type) {
	case *Boolean:
		printOperand(out, node.Left)
		out.WriteString(" " + string(node.Operator) + " ")
		printOperand(out, node.Right)
	case *Clause:
		if node.Index != "" {
			out.WriteString(node.Index + " " + string(node.Relation) + " ")
		} else if node.Relation != Equal {
			out.WriteString("cql.serverChoice " + string(node.Relation) + " ")
		}
		out.WriteString(quote(node.Term))
	case *ResultSet:
		out.WriteString("cql.resultSetId = " + quote(node.Name))
	}
}

// printOperand prints an operand of a boolean operator, in parentheses if it is a *Boolean itself.
func printOperand(out *strings.Builder, node Node) {
	if _, nested := node.(*Boolean); !nested {
		printNode(out, node)
		return
	}
	out.WriteByte('(')
	printNode(out, node)
	out.WriteByte(')')
}

// quote encloses a term in quotes, unless it is parsed as the same term without them.
func quote(term string) string {
	if isBareTerm(term) {
		return term
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := 0; i < len(term); i++ {
		if term[i] == '"' {
			b.WriteByte('\\')
		} else if term[i] == '\\' && i+1 < len(term) { // an escaped character is copied unchanged
			b.WriteByte(term[i])
			i++
		}
		b.WriteByte(term[i])
	}
	b.WriteByte('"')
	return b.String()
}

// isLetterOrDigit reports whether a byte is an ASCII letter or digit, or part of a non-ASCII character.
func isLetterOrDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// isBareTerm reports whether a term is not empty, consists of letters, digits and non-ASCII characters, and is not a
// CQL keyword.
func isBareTerm(term string) bool {
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
