package query

import "strings"

// parser is a recursive-descent parser of CQL.
type parser struct {
	tokens   []token
	position int // index of the next token
	depth    int // of open parentheses
}

// Parse parses CQL 1.2, except for sorting, proximity and prefix assignments. The error is an *Error.
func Parse(text string) (Node, error) {
	if len(text) > MaxTextBytes {
		return nil, queryTooLong.errorf("over %d characters", MaxTextBytes)
	}
	tokens, err := scan(text)
	if err != nil {
		return nil, err
	}
	p := &parser{tokens: tokens}
	tree, err := p.parseQuery()
	if err != nil {
		return nil, err
	}
	if !p.atEnd() {
		if p.nextIs("sortby") {
			return nil, unsupportedSort.errorf("sorting is not supported")
		}
		return nil, syntaxError.errorf("%q is left over", p.next().text)
	}
	return tree, CheckLimits(tree)
}

func (p *parser) atEnd() bool { return p.position >= len(p.tokens) }

// next returns the next token; there must be one.
func (p *parser) next() token { return p.tokens[p.position] }

// nextIs reports whether the next token is the given keyword or symbol, unquoted.
func (p *parser) nextIs(keyword string) bool {
	return !p.atEnd() && !p.next().quoted && strings.EqualFold(p.next().text, keyword)
}

// parseQuery parses operands joined by boolean operators, which are left-associative.
func (p *parser) parseQuery() (Node, error) {
	p.depth++
	if p.depth > MaxDepth { // bounds the recursion
		return nil, nestedTooDeep.errorf("nested over %d deep", MaxDepth)
	}
	defer func() { p.depth-- }()
	left, err := p.parseOperand()
	for operators := 0; err == nil; operators++ {
		operator, ok, err := p.nextOperator()
		if err != nil {
			return nil, err
		}
		if !ok {
			return left, nil
		}
		if operators >= MaxOperators {
			return nil, tooManyOperators.errorf("over %d boolean operators", MaxOperators)
		}
		p.position++
		if p.nextIs("/") {
			return nil, unsupportedBooleanModifier.errorf("boolean modifiers are not supported")
		}
		right, err := p.parseOperand()
		if err != nil {
			return nil, err
		}
		left = &Boolean{Operator: operator, Left: left, Right: right}
	}
	return nil, err
}

// nextOperator returns the next token as a boolean operator; ok is false if it is none.
func (p *parser) nextOperator() (operator Operator, ok bool, err error) {
	switch {
	case p.nextIs("and"):
		return And, true, nil
	case p.nextIs("or"):
		return Or, true, nil
	case p.nextIs("not"):
		return Not, true, nil
	case p.nextIs("prox"):
		return "", false, unsupportedProximity.errorf("prox is not supported")
	}
	return "", false, nil
}

// relations maps CQL keywords and symbols to relations.
var relations = map[string]Relation{
	"=":     Equal,
	"scr":   Equal,
	"==":    Exact,
	"exact": Exact,
	"all":   All,
	"any":   Any,
	"<":     Less,
	"<=":    LessOrEqual,
	">":     Greater,
	">=":    GreaterOrEqual,
	"<>":    NotEqual,
}

// parseOperand parses a parenthesized query or a clause.
func (p *parser) parseOperand() (Node, error) {
	switch {
	case p.atEnd():
		return nil, syntaxError.errorf("the query ends where a term is due")
	case p.nextIs(">"):
		return nil, unsupportedPrefix.errorf("prefix assignments are not supported")
	case p.nextIs("("):
		return p.parseParenthesized()
	}
	return p.parseClause()
}

func (p *parser) parseParenthesized() (Node, error) {
	p.position++
	tree, err := p.parseQuery()
	if err != nil {
		return nil, err
	}
	if !p.nextIs(")") {
		return nil, unclosedParenthesis.errorf("a parenthesis is not closed")
	}
	p.position++
	return tree, nil
}

// parseClause parses a term, or an index with a relation and a term.
func (p *parser) parseClause() (Node, error) {
	first := p.next()
	if first.isSymbol() {
		return nil, syntaxError.errorf("%q where a term is due", first.text)
	}
	p.position++
	if p.atEnd() || p.next().quoted || first.quoted {
		return newClause("", Equal, first.text)
	}
	relation, ok := relations[strings.ToLower(p.next().text)]
	if !ok {
		return newClause("", Equal, first.text)
	}
	p.position++
	if p.nextIs("/") {
		return nil, unsupportedRelationModifier.errorf("relation modifiers are not supported")
	}
	if p.atEnd() || p.next().isSymbol() {
		return nil, syntaxError.errorf("no term after %s", relation)
	}
	term := p.next().text
	p.position++
	return newClause(first.text, relation, term)
}

// newClause returns a clause, or a reference to a result set, which has the syntax of a clause.
func newClause(index string, relation Relation, term string) (Node, error) {
	index = strings.ToLower(index)
	switch index {
	case "cql.resultsetid":
		return &ResultSet{Name: term}, nil
	case "cql.serverchoice":
		index = ""
	}
	if _, supported := useAttributes[index]; !supported {
		return nil, unsupportedIndex.errorf("%s", index)
	}
	if strings.TrimSpace(strings.Trim(term, "*")) == "" {
		return nil, emptyTerm.errorf("an empty term")
	}
	return &Clause{Index: index, Relation: relation, Term: term}, nil
}
