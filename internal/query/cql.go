package query

import "strings"

type token struct {
	text   string
	quoted bool
}

type parser struct {
	in    []token
	at    int
	depth int
}

// Parse reads CQL 1.2 without sorting, proximity and prefix assignments.
func Parse(text string) (Node, error) {
	if len(text) > MaxTextBytes {
		return nil, wrong(12, 3, "over %d characters", MaxTextBytes)
	}
	in, err := scan(text)
	if err != nil {
		return nil, err
	}
	p := &parser{in: in}
	n, err := p.query()
	if err != nil {
		return nil, err
	}
	if p.at < len(p.in) {
		if p.is("sortby") {
			return nil, wrong(80, 207, "sorting is not supported")
		}
		return nil, wrong(10, 108, "%q is left over", p.in[p.at].text)
	}
	return n, CheckLimits(n)
}

func scan(text string) (out []token, err error) {
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case c == '(' || c == ')' || c == '/':
			out = append(out, token{text: text[i : i+1]})
			i++
		case c == '<' || c == '>' || c == '=':
			j := i + 1
			if j < len(text) && (text[j] == '=' || c == '<' && text[j] == '>') {
				j++
			}
			out = append(out, token{text: text[i:j]})
			i = j
		case c == '"':
			var b strings.Builder
			j := i + 1
			for ; j < len(text) && text[j] != '"'; j++ {
				if text[j] == '\\' && j+1 < len(text) {
					if text[j+1] != '"' {
						b.WriteByte('\\')
					}
					j++
				}
				b.WriteByte(text[j])
			}
			if j >= len(text) {
				return nil, wrong(14, 108, "a quote is not closed")
			}
			out = append(out, token{b.String(), true})
			i = j + 1
		default:
			j := i
			for j < len(text) && !strings.ContainsRune(" \t\r\n()/<>=\"", rune(text[j])) {
				j++
			}
			word := text[i:j]
			if strings.HasSuffix(word, `\`) && !masked(word) {
				word += `\` // it masks nothing: the character itself
			}
			out = append(out, token{text: word})
			i = j
		}
	}
	return out, nil
}

func (p *parser) is(word string) bool {
	return p.at < len(p.in) && !p.in[p.at].quoted && strings.EqualFold(p.in[p.at].text, word)
}

func (p *parser) query() (Node, error) {
	if p.depth++; p.depth > MaxDepth { // guards the stack
		return nil, wrong(13, 3, "nested over %d deep", MaxDepth)
	}
	defer func() { p.depth-- }()
	left, err := p.operand()
	for ops := 0; err == nil; ops++ {
		var op Operator
		switch {
		case p.is("and"):
			op = And
		case p.is("or"):
			op = Or
		case p.is("not"):
			op = Not
		case p.is("prox"):
			return nil, wrong(37, 110, "prox is not supported")
		default:
			return left, nil
		}
		if ops >= MaxOperators {
			return nil, wrong(38, 11, "over %d boolean operators", MaxOperators)
		}
		if p.at++; p.is("/") {
			return nil, wrong(46, 110, "boolean modifiers are not supported")
		}
		var right Node
		right, err = p.operand()
		left = &Boolean{op, left, right}
	}
	return nil, err
}

var relations = map[string]Relation{
	"=": Equal, "scr": Equal, "==": Exact, "exact": Exact, "all": All, "any": Any, "<": Less, "<=": LessOrEqual, ">": Greater,
	">=": GreaterOrEqual, "<>": NotEqual,
}

func (p *parser) operand() (Node, error) {
	if p.at >= len(p.in) {
		return nil, wrong(10, 108, "the query ends where a term is due")
	}
	if p.is(">") {
		return nil, wrong(15, 121, "prefix assignments are not supported")
	}
	if p.is("(") {
		p.at++
		n, err := p.query()
		if err != nil {
			return nil, err
		}
		if !p.is(")") {
			return nil, wrong(13, 108, "a parenthesis is not closed")
		}
		p.at++
		return n, nil
	}
	first := p.in[p.at]
	if !first.quoted && strings.Contains(")/<>=<=>=<>==", first.text) {
		return nil, wrong(10, 108, "%q where a term is due", first.text)
	}
	p.at++
	if p.at < len(p.in) && !p.in[p.at].quoted && !first.quoted {
		if rel, ok := relations[strings.ToLower(p.in[p.at].text)]; ok {
			p.at++
			if p.is("/") {
				return nil, wrong(20, 117, "relation modifiers are not supported")
			}
			if p.at >= len(p.in) || !p.in[p.at].quoted && strings.Contains("()/<>=<=>=<>==", p.in[p.at].text) {
				return nil, wrong(10, 108, "no term after %s", rel)
			}
			term := p.in[p.at].text
			p.at++
			return clause(first.text, rel, term)
		}
	}
	return clause("", Equal, first.text)
}

func clause(index string, rel Relation, term string) (Node, error) {
	index = strings.ToLower(index)
	if index == "cql.resultsetid" {
		return &ResultSet{term}, nil
	}
	if index == "cql.serverchoice" {
		index = ""
	}
	if _, known := uses[index]; !known {
		return nil, wrong(16, 114, "%s", index)
	}
	if strings.TrimSpace(strings.Trim(term, "*")) == "" {
		return nil, wrong(27, 125, "an empty term")
	}
	return &Clause{index, rel, term}, nil
}
