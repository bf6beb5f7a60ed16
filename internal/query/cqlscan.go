package query

import "strings"

// token is a CQL token. Operators and punctuation are never quoted.
type token struct {
	text   string
	quoted bool
}

// isSymbol reports whether a token is punctuation or a relation symbol, and not a term.
func (t token) isSymbol() bool {
	if t.quoted {
		return false
	}
	switch t.text {
	case "(", ")", "/", "<", ">", "=", "<=", ">=", "==", "<>":
		return true
	}
	return false
}

// scan splits CQL text into tokens.
func scan(text string) (tokens []token, err error) {
	for offset := 0; offset < len(text); {
		var next token
		length := 1
		switch text[offset] {
		case ' ', '\t', '\n', '\r':
			offset++
			continue
		case '(', ')', '/':
			next.text = text[offset : offset+1]
		case '<', '>', '=':
			length = relationLength(text[offset:])
			next.text = text[offset : offset+length]
		case '"':
			if next, length, err = scanQuoted(text[offset:]); err != nil {
				return nil, err
			}
		default:
			next, length = scanWord(text[offset:])
		}
		tokens = append(tokens, next)
		offset += length
	}
	return tokens, nil
}

// relationLength returns the length of the relation symbol at the start of text.
func relationLength(text string) int {
	if len(text) > 1 && (text[1] == '=' || text[0] == '<' && text[1] == '>') {
		return 2
	}
	return 1
}

// scanQuoted scans the quoted string at the start of text, and returns its length including the quotes. A backslash
// before a quote is removed; before any other character it is preserved, because it escapes that character in the term.
func scanQuoted(text string) (t token, length int, err error) {
	var b strings.Builder
	offset := 1
	for ; offset < len(text) && text[offset] != '"'; offset++ {
		if text[offset] == '\\' && offset+1 < len(text) {
			if text[offset+1] != '"' {
				b.WriteByte('\\')
			}
			offset++
		}
		b.WriteByte(text[offset])
	}
	if offset >= len(text) {
		return token{}, 0, unclosedQuote.errorf("a quote is not closed")
	}
	return token{text: b.String(), quoted: true}, offset + 1, nil
}

// scanWord scans the word at the start of text, and returns its length in text. A trailing backslash, which escapes
// nothing, is a literal backslash.
func scanWord(text string) (t token, length int) {
	for length < len(text) && !strings.ContainsRune(" \t\r\n()/<>=\"", rune(text[length])) {
		length++
	}
	word := text[:length]
	if strings.HasSuffix(word, `\`) && !endsEscaped(word) {
		word += `\`
	}
	return token{text: word}, length
}
