package query

import "strings"

// token is a token of CQL. Operators and punctuation are unquoted.
type token struct {
	text   string
	quoted bool
}

// isSymbol says whether a token is punctuation or the symbol of a relation, and not a term.
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

// scan cuts CQL into tokens.
func scan(text string) (tokens []token, err error) {
	for at := 0; at < len(text); {
		var next token
		length := 1
		switch text[at] {
		case ' ', '\t', '\n', '\r':
			at++
			continue
		case '(', ')', '/':
			next.text = text[at : at+1]
		case '<', '>', '=':
			length = relationLength(text[at:])
			next.text = text[at : at+length]
		case '"':
			if next, length, err = scanQuoted(text[at:]); err != nil {
				return nil, err
			}
		default:
			next, length = scanWord(text[at:])
		}
		tokens = append(tokens, next)
		at += length
	}
	return tokens, nil
}

// relationLength is the length of the symbol of a relation at the start of text.
func relationLength(text string) int {
	if len(text) > 1 && (text[1] == '=' || text[0] == '<' && text[1] == '>') {
		return 2
	}
	return 1
}

// scanQuoted reads the quoted string at the start of text, and returns its length with the quotes. A backslash before a
// quote is dropped; before any other character it stays, as it escapes that in the term.
func scanQuoted(text string) (t token, length int, err error) {
	var b strings.Builder
	at := 1
	for ; at < len(text) && text[at] != '"'; at++ {
		if text[at] == '\\' && at+1 < len(text) {
			if text[at+1] != '"' {
				b.WriteByte('\\')
			}
			at++
		}
		b.WriteByte(text[at])
	}
	if at >= len(text) {
		return token{}, 0, unclosedQuote.errorf("a quote is not closed")
	}
	return token{text: b.String(), quoted: true}, at + 1, nil
}

// scanWord reads the word at the start of text, and returns its length in text. A backslash at its end, which escapes
// nothing, stands for itself.
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
