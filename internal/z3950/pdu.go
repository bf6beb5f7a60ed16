package z3950

import (
	"errors"
	"slices"
	"strings"

	"rooktrestle/internal/query"
)

// Object identifiers.
const (
	base       = "1.2.840.10003."
	oidBib1    = base + "3.1"
	oidDiag    = base + "4.1"
	oidSUTRS   = base + "5.101"
	oidXML     = base + "5.109.10"
	oidUpdate  = base + "9.5" // database update, in any of its revisions
	oidUpdate1 = base + "9.5.1.1"
)

// Tags of the protocol's units.
const (
	initRequest     = 20
	initResponse    = 21
	searchRequest   = 22
	searchResponse  = 23
	presentRequest  = 24
	presentResponse = 25
	deleteRequest   = 26
	deleteResponse  = 27
	triggerControl  = 32
	esRequest       = 46
	esResponse      = 47
	closePDU        = 48
)

// Reasons of a Close.
const (
	closeFinished = 0
	closeShutdown = 1
	closeProblem  = 2
	closeLimits   = 4
	closeProtocol = 6
	closeIdle     = 7
)

// Options that may be agreed on, by their bits.
const (
	optSearch  = 0
	optPresent = 1
	optDelete  = 2
	optTrigger = 6
	optES      = 13
	optNamed   = 14
)

// bits is a BIT STRING with these bits set.
func bits(tag int, set ...int) *Node {
	b := []byte{0, 0, 0}
	for _, i := range set {
		b[1+i/8] |= 0x80 >> (i % 8)
	}
	b[0] = 0
	return prim(Context, tag, b)
}

func (n *Node) bit(i int) bool {
	return n != nil && len(n.Bytes) > 1+i/8 && n.Bytes[1+i/8]&(0x80>>(i%8)) != 0
}

// rpn words a query as an RPNQuery.
func rpn(n query.Node) (*Node, error) {
	s, err := rpnStructure(query.Plain(n))
	if err != nil {
		return nil, err
	}
	return ctx(1, oid(Universal, tagOID, oidBib1), s), nil
}

func rpnStructure(n query.Node) (*Node, error) {
	switch n := n.(type) {
	case *query.Bool:
		l, err := rpnStructure(n.Left)
		if err != nil {
			return nil, err
		}
		r, err := rpnStructure(n.Right)
		if err != nil {
			return nil, err
		}
		op := map[query.Op]int{query.And: 0, query.Or: 1, query.Not: 2}[n.Op]
		return ctx(1, l, r, ctx(46, prim(Context, op, nil))), nil
	case *query.Set:
		return ctx(0, str(31, n.Name)), nil
	case *query.Clause:
		attrs, term, err := query.Attributes(n)
		if err != nil {
			return nil, err
		}
		list := ctx(44)
		for _, a := range attrs {
			list.Kids = append(list.Kids, seq(num(120, a.Type), num(121, a.Value)))
		}
		return ctx(0, ctx(102, list, str(45, term))), nil
	}
	return nil, errors.New("z3950: no such query")
}

func malformed(what string) error { return &query.Error{SRU: 10, Bib1: 108, Details: what} }

// parseRPN reads the query of a search.
func parseRPN(q *Node) (query.Node, error) {
	in := q.only() // the query is a choice inside an explicit tag
	if in == nil {
		return nil, malformed("no query")
	}
	if !in.is(1) {
		return nil, &query.Error{SRU: 11, Bib1: 107, Details: "only type 1"}
	}
	if len(in.Kids) != 2 {
		return nil, malformed("rpn")
	}
	if set := in.Kids[0].oid(); set != oidBib1 {
		return nil, &query.Error{SRU: 15, Bib1: 121, Details: set}
	}
	n, err := parseStructure(in.Kids[1], 1)
	if err != nil {
		return nil, err
	}
	return n, query.Check(n)
}

func parseStructure(s *Node, depth int) (query.Node, error) {
	if depth > query.MaxDepth {
		return nil, &query.Error{SRU: 13, Bib1: 3, Details: "nested too deep"}
	}
	switch {
	case s.is(0):
		return parseOperand(s.only())
	case s.is(1) && len(s.Kids) == 3:
		l, err := parseStructure(s.Kids[0], depth+1)
		if err != nil {
			return nil, err
		}
		r, err := parseStructure(s.Kids[1], depth+1)
		if err != nil {
			return nil, err
		}
		op := s.Kids[2].only()
		if !s.Kids[2].is(46) || op == nil || op.Class != Context {
			return nil, malformed("operator")
		}
		ops := []query.Op{query.And, query.Or, query.Not}
		if op.Tag >= len(ops) {
			return nil, &query.Error{SRU: 37, Bib1: 110, Details: "prox"}
		}
		return &query.Bool{Op: ops[op.Tag], Left: l, Right: r}, nil
	}
	return nil, malformed("rpn structure")
}

func parseOperand(o *Node) (query.Node, error) {
	if o == nil {
		return nil, malformed("operand")
	}
	if o.is(31) {
		return &query.Set{Name: o.text()}, nil
	}
	if !o.is(102) || len(o.Kids) != 2 || !o.Kids[0].is(44) {
		return nil, malformed("operand")
	}
	var attrs []query.Attribute
	for _, a := range o.Kids[0].Kids {
		if set := a.kid(1); set != nil && set.oid() != oidBib1 {
			return nil, &query.Error{SRU: 15, Bib1: 121, Details: set.oid()}
		}
		t, okT := a.kid(120).integer()
		v, okV := a.kid(121).integer()
		if !okT || !okV {
			return nil, &query.Error{SRU: 24, Bib1: 113, Details: "attribute"}
		}
		attrs = append(attrs, query.Attribute{Type: t, Value: v})
	}
	term := o.Kids[1]
	if !term.is(45) && !term.is(216) {
		return nil, &query.Error{SRU: 24, Bib1: 229, Details: "term"}
	}
	return query.FromAttributes(attrs, strings.ToValidUTF8(term.text(), "\uFFFD"))
}

// diagnostic is a DefaultDiagFormat under a context tag, or a sequence with tag -1.
func diagnostic(tag, code int, info string) *Node {
	kids := []*Node{
		oid(Universal, tagOID, oidDiag), prim(Universal, tagInteger, intBytes(code)), prim(Universal, tagGeneral, []byte(info)),
	}
	if tag < 0 {
		return seq(kids...)
	}
	return ctx(tag, kids...)
}

// parseDiagnostic reads a DefaultDiagFormat.
func parseDiagnostic(n *Node) *query.Diagnostic {
	if n == nil || len(n.Kids) < 2 {
		return nil
	}
	d := &query.Diagnostic{Bib1: n.Kids[1].intOr(100)}
	if len(n.Kids) > 2 {
		d.Details = n.Kids[2].text()
	}
	return d
}

// external is an EXTERNAL of octets.
func external(syntax, text string) *Node {
	return cons(Universal, tagExternal, oid(Universal, tagOID, syntax), str(1, text))
}

// sutrs is an EXTERNAL of plain text.
func sutrs(text string) *Node {
	return cons(Universal, tagExternal, oid(Universal, tagOID, oidSUTRS), ctx(0, prim(Universal, tagGeneral, []byte(text))))
}

// parseExternal reads an EXTERNAL of octets or of one string.
func parseExternal(n *Node) (syntax, text string) {
	if n == nil || n.Class != Universal || n.Tag != tagExternal {
		return "", ""
	}
	for _, k := range n.Kids {
		switch {
		case k.Class == Universal && k.Tag == tagOID:
			syntax = k.oid()
		case k.is(0):
			text = k.only().text()
		case k.is(1):
			text = k.text()
		}
	}
	return syntax, text
}

// records is a list of records of a database in a syntax.
func records(database, syntax string, list []query.Record) *Node {
	out := ctx(28)
	for _, r := range list {
		e := external(oidXML, r.XML)
		if syntax == oidSUTRS {
			e = sutrs(r.XML)
		}
		out.Kids = append(out.Kids, seq(str(0, database), ctx(1, ctx(1, e))))
	}
	return out
}

// parseRecords reads what came with a response: records, or a diagnostic.
func parseRecords(n *Node) (list []query.Record, d *query.Diagnostic) {
	if d = parseDiagnostic(n.kid(130)); d != nil {
		return nil, d
	}
	if many := n.kid(205); many != nil && len(many.Kids) > 0 {
		return nil, parseDiagnostic(many.Kids[0])
	}
	in := n.kid(28)
	if in == nil {
		return nil, nil
	}
	for _, k := range in.Kids {
		choice := k.kid(1).only()
		if choice == nil {
			continue
		}
		if choice.is(2) {
			if d == nil {
				d = parseDiagnostic(choice.only())
			}
			continue
		}
		if _, text := parseExternal(choice.only()); text != "" {
			list = append(list, query.Record{XML: text})
		}
	}
	return list, d
}

var actions = map[int]query.Action{1: query.Create, 2: query.Change, 3: query.Delete}

// update words a database update as an extended services request.
func update(ref, database string, a query.Action, r query.Record) *Node {
	code := 0
	for n, name := range actions {
		if name == a {
			code = n
		}
	}
	var rec *Node
	if r.XML != "" {
		rec = ctx(4, external(oidXML, r.XML))
	}
	params := ctx(1,
		ctx(1, seq(num(1, code), str(2, database))),
		ctx(2, seq(seq(ctx(1, str(2, r.ID)), rec))))
	return ctx(esRequest, str(2, ref), num(3, 1), oid(Context, 4, oidUpdate1),
		ctx(10, oid(Universal, tagOID, oidUpdate1), ctx(0, params)), num(11, 1))
}

// inside steps through a sequence where one stands inside an explicit tag.
func inside(n *Node) *Node {
	if k := n.only(); k != nil && k.Class == Universal && k.Tag == tagSequence {
		return k
	}
	return n
}

// parseUpdate reads a database update. code is the diagnostic if it cannot be taken.
func parseUpdate(n *Node) (database string, a query.Action, r query.Record, code int, info string) {
	if n.kid(3).intOr(0) != 1 {
		return "", "", r, 223, "function"
	}
	if !strings.HasPrefix(n.kid(4).oid(), oidUpdate) {
		return "", "", r, 221, n.kid(4).oid()
	}
	ext := n.kid(10)
	if k := ext.only(); k != nil && k.Class == Universal && k.Tag == tagExternal {
		ext = k
	}
	es := ext.kid(0).only()
	if es == nil || !es.is(1) {
		return "", "", r, 228, "task parameters"
	}
	keep, supplied := es.kid(1), es.kid(2)
	if keep == nil || supplied == nil {
		return "", "", r, 228, "task parameters"
	}
	keep = inside(keep)
	a, known := actions[keep.kid(1).intOr(0)]
	if !known {
		return "", "", r, 228, "action"
	}
	database = keep.kid(2).text()
	list := supplied
	if k := inside(supplied); !slices.ContainsFunc(k.Kids, func(r *Node) bool { return r.Class != Universal }) {
		list = k // the sequence of records itself stands inside the tag
	}
	// One record is one query: an answer for several could not say which of them was changed.
	if len(list.Kids) != 1 {
		return database, a, r, 228, "one record a request"
	}
	one := list.Kids[0]
	id := one.kid(1)
	if id = id.only(); id != nil && id.is(1) {
		r.ID = itoa(id.intOr(0))
	} else {
		r.ID = id.text()
	}
	if _, text := parseExternal(one.kid(4).only()); text != "" {
		r.XML = text
	}
	if r.ID == "" || r.XML == "" && a != query.Delete {
		return database, a, r, 228, "no record id, or no record"
	}
	return database, a, r, 0, ""
}
