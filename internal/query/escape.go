package query

import "strings"

var termEscaper = strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `^`, `\^`)

// escape converts plain text to a CQL term: each character with a special meaning in a term is escaped by a backslash.
func escape(text string) string { return termEscaper.Replace(text) }

// unescape converts a CQL term to plain text.
func unescape(term string) string {
	var b strings.Builder
	for i := 0; i < len(term); i++ {
		if term[i] == '\\' && i+1 < len(term) {
			i++
		}
		b.WriteByte(term[i])
	}
	return b.String()
}

// endsEscaped reports whether the last character of a term is escaped, by an odd number of backslashes before it.
func endsEscaped(term string) bool {
	backslashes := 0
	for i := len(term) - 2; i >= 0 && term[i] == '\\'; i-- {
		backslashes++
	}
	return backslashes%2 == 1
}
