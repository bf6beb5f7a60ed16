package query

import "strings"

// CQL prints a tree as CQL. Parse reads the result as the same tree.
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

// printOperand prints an operand of a boolean operator, in parentheses if it is a boolean itself.
func printOperand(out *strings.Builder, node Node) {
	if _, nested := node.(*Boolean); !nested {
		printNode(out, node)
		return
	}
	out.WriteByte('(')
	printNode(out, node)
	out.WriteByte(')')
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
