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
	OidSUTRS   = base + "5.101"
	OidXML     = base + "5.109.10"
	oidUpdate  = base + "9.5" // database update, in any of its revisions
	oidUpdate1 = base + "9.5.1.1"
)

// Tags of the protocol's units.
const (
	InitRequest     = 20
	InitResponse    = 21
	SearchRequest   = 22
	SearchResponse  = 23
	PresentRequest  = 24
	PresentResponse = 25
	DeleteRequest   = 26
	DeleteResponse  = 27
	TriggerControl  = 32
	EsRequest       = 46
	EsResponse      = 47
	ClosePDU        = 48
)

// Reasons of a Close.
const (
	CloseFinished = 0
	CloseShutdown = 1
	closeProblem  = 2
	CloseLimits   = 4
	CloseProtocol = 6
	CloseIdle     = 7
)

// Options that may be agreed on, by their bits.
const (
	OptSearch  = 0
	OptPresent = 1
	OptDelete  = 2
	OptTrigger = 6
	OptES      = 13
	OptNamed   = 14
)

// bits is a BIT STRING with these bits set.
func Bits(tag int, set ...int) *Node {
	b := []byte{0, 0, 0}
	for _, i := range set {
		b[1+i/8] |= 0x80 >> (i % 8)
	}
	b[0] = 0
	return prim(Context, tag, b)
}

func (n *Node) Bit(i int) bool {
	return n != nil && len(n.Bytes) > 1+i/8 && n.Bytes[1+i/8]&(0x80>>(i%8)) != 0
}

// rpn words a query as an RPNQuery.
func Rpn(n query.Node) (*Node, error) {
	s, err := rpnStructure(query.ExpandAny(n))
	if err != nil {
		return nil, err
	}
	return Ctx(1, Oid(Universal, tagOID, oidBib1), s), nil
}

func rpnStructure(n query.Node) (*Node, error) {
	switch n := n.(type) {
	case *query.Boolean:
		l, err := rpnStructure(n.Left)
		if err != nil {
			return nil, err
		}
		r, err := rpnStructure(n.Right)
		if err != nil {
			return nil, err
		}
		op := map[query.Operator]int{query.And: 0, query.Or: 1, query.Not: 2}[n.Operator]
		return Ctx(1, l, r, Ctx(46, prim(Context, op, nil))), nil
	case *query.ResultSet:
		return Ctx(0, Str(31, n.Name)), nil
	case *query.Clause:
		attrs, term, err := query.Attributes(n)
		if err != nil {
			return nil, err
		}
		list := Ctx(44)
		for _, a := range attrs {
			list.Kids = append(list.Kids, seq(Num(120, a.Type), Num(121, a.Value)))
		}
		return Ctx(0, Ctx(102, list, Str(45, term))), nil
	}
	return nil, errors.New("z3950: no such query")
}

func malformed(what string) error { return &query.Error{SRU: 10, Bib1: 108, Details: what} }

// parseRPN reads the query of a search.
func ParseRPN(q *Node) (query.Node, error) {
	in := q.Only() // the query is a choice inside an explicit tag
	if in == nil {
		return nil, malformed("no query")
	}
	if !in.is(1) {
		return nil, &query.Error{SRU: 11, Bib1: 107, Details: "only type 1"}
	}
	if len(in.Kids) != 2 {
		return nil, malformed("rpn")
	}
	if set := in.Kids[0].Oid(); set != oidBib1 {
		return nil, &query.Error{SRU: 15, Bib1: 121, Details: set}
	}
	n, err := parseStructure(in.Kids[1], 1)
	if err != nil {
		return nil, err
	}
	return n, query.CheckLimits(n)
}

func parseStructure(s *Node, depth int) (query.Node, error) {
	if depth > query.MaxDepth {
		return nil, &query.Error{SRU: 13, Bib1: 3, Details: "nested too deep"}
	}
	switch {
	case s.is(0):
		return parseOperand(s.Only())
	case s.is(1) && len(s.Kids) == 3:
		l, err := parseStructure(s.Kids[0], depth+1)
		if err != nil {
			return nil, err
		}
		r, err := parseStructure(s.Kids[1], depth+1)
		if err != nil {
			return nil, err
		}
		op := s.Kids[2].Only()
		if !s.Kids[2].is(46) || op == nil || op.Class != Context {
			return nil, malformed("operator")
		}
		ops := []query.Operator{query.And, query.Or, query.Not}
		if op.Tag >= len(ops) {
			return nil, &query.Error{SRU: 37, Bib1: 110, Details: "prox"}
		}
		return &query.Boolean{Operator: ops[op.Tag], Left: l, Right: r}, nil
	}
	return nil, malformed("rpn structure")
}

func parseOperand(o *Node) (query.Node, error) {
	if o == nil {
		return nil, malformed("operand")
	}
	if o.is(31) {
		return &query.ResultSet{Name: o.Text()}, nil
	}
	if !o.is(102) || len(o.Kids) != 2 || !o.Kids[0].is(44) {
		return nil, malformed("operand")
	}
	var attrs []query.Attribute
	for _, a := range o.Kids[0].Kids {
		if set := a.Kid(1); set != nil && set.Oid() != oidBib1 {
			return nil, &query.Error{SRU: 15, Bib1: 121, Details: set.Oid()}
		}
		t, okT := a.Kid(120).integer()
		v, okV := a.Kid(121).integer()
		if !okT || !okV {
			return nil, &query.Error{SRU: 24, Bib1: 113, Details: "attribute"}
		}
		attrs = append(attrs, query.Attribute{Type: t, Value: v})
	}
	term := o.Kids[1]
	if !term.is(45) && !term.is(216) {
		return nil, &query.Error{SRU: 24, Bib1: 229, Details: "term"}
	}
	return query.ClauseFromAttributes(attrs, strings.ToValidUTF8(term.Text(), "\uFFFD"))
}

// diagnostic is a DefaultDiagFormat under a context tag, or a sequence with tag -1.
func Diagnostic(tag, code int, info string) *Node {
	kids := []*Node{
		Oid(Universal, tagOID, oidDiag), prim(Universal, tagInteger, intBytes(code)), prim(Universal, tagGeneral, []byte(info)),
	}
	if tag < 0 {
		return seq(kids...)
	}
	return Ctx(tag, kids...)
}

// parseDiagnostic reads a DefaultDiagFormat.
func ParseDiagnostic(n *Node) *query.Diagnostic {
	if n == nil || len(n.Kids) < 2 {
		return nil
	}
	d := &query.Diagnostic{Bib1: n.Kids[1].IntOr(100)}
	if len(n.Kids) > 2 {
		d.Details = n.Kids[2].Text()
	}
	return d
}

// external is an EXTERNAL of octets.
func external(syntax, text string) *Node {
	return cons(Universal, tagExternal, Oid(Universal, tagOID, syntax), Str(1, text))
}

// sutrs is an EXTERNAL of plain text.
func sutrs(text string) *Node {
	return cons(Universal, tagExternal, Oid(Universal, tagOID, OidSUTRS), Ctx(0, prim(Universal, tagGeneral, []byte(text))))
}

// parseExternal reads an EXTERNAL of octets or of one string.
func parseExternal(n *Node) (syntax, text string) {
	if n == nil || n.Class != Universal || n.Tag != tagExternal {
		return "", ""
	}
	for _, k := range n.Kids {
		switch {
		case k.Class == Universal && k.Tag == tagOID:
			syntax = k.Oid()
		case k.is(0):
			text = k.Only().Text()
		case k.is(1):
			text = k.Text()
		}
	}
	return syntax, text
}

// records is a list of records of a database in a syntax.
func Records(database, syntax string, list []query.Record) *Node {
	out := Ctx(28)
	for _, r := range list {
		e := external(OidXML, r.XML)
		if syntax == OidSUTRS {
			e = sutrs(r.XML)
		}
		out.Kids = append(out.Kids, seq(Str(0, database), Ctx(1, Ctx(1, e))))
	}
	return out
}

// parseRecords reads what came with a response: records, or a diagnostic.
func ParseRecords(n *Node) (list []query.Record, d *query.Diagnostic) {
	if d = ParseDiagnostic(n.Kid(130)); d != nil {
		return nil, d
	}
	if many := n.Kid(205); many != nil && len(many.Kids) > 0 {
		return nil, ParseDiagnostic(many.Kids[0])
	}
	in := n.Kid(28)
	if in == nil {
		return nil, nil
	}
	for _, k := range in.Kids {
		choice := k.Kid(1).Only()
		if choice == nil {
			continue
		}
		if choice.is(2) {
			if d == nil {
				d = ParseDiagnostic(choice.Only())
			}
			continue
		}
		if _, text := parseExternal(choice.Only()); text != "" {
			list = append(list, query.Record{XML: text})
		}
	}
	return list, d
}

var actions = map[int]query.Action{1: query.ActionCreate, 2: query.ActionReplace, 3: query.ActionDelete}

// update words a database update as an extended services request.
func Update(ref, database string, a query.Action, r query.Record) *Node {
	code := 0
	for n, name := range actions {
		if name == a {
			code = n
		}
	}
	var rec *Node
	if r.XML != "" {
		rec = Ctx(4, external(OidXML, r.XML))
	}
	params := Ctx(1,
		Ctx(1, seq(Num(1, code), Str(2, database))),
		Ctx(2, seq(seq(Ctx(1, Str(2, r.ID)), rec))))
	return Ctx(EsRequest, Str(2, ref), Num(3, 1), Oid(Context, 4, oidUpdate1),
		Ctx(10, Oid(Universal, tagOID, oidUpdate1), Ctx(0, params)), Num(11, 1))
}

// inside steps through a sequence where one stands inside an explicit tag.
func inside(n *Node) *Node {
	if k := n.Only(); k != nil && k.Class == Universal && k.Tag == TagSequence {
		return k
	}
	return n
}

// parseUpdate reads a database update. code is the diagnostic if it cannot be taken.
func ParseUpdate(n *Node) (database string, a query.Action, r query.Record, code int, info string) {
	if n.Kid(3).IntOr(0) != 1 {
		return "", "", r, 223, "function"
	}
	if !strings.HasPrefix(n.Kid(4).Oid(), oidUpdate) {
		return "", "", r, 221, n.Kid(4).Oid()
	}
	ext := n.Kid(10)
	if k := ext.Only(); k != nil && k.Class == Universal && k.Tag == tagExternal {
		ext = k
	}
	es := ext.Kid(0).Only()
	if es == nil || !es.is(1) {
		return "", "", r, 228, "task parameters"
	}
	keep, supplied := es.Kid(1), es.Kid(2)
	if keep == nil || supplied == nil {
		return "", "", r, 228, "task parameters"
	}
	keep = inside(keep)
	a, known := actions[keep.Kid(1).IntOr(0)]
	if !known {
		return "", "", r, 228, "action"
	}
	database = keep.Kid(2).Text()
	list := supplied
	if k := inside(supplied); !slices.ContainsFunc(k.Kids, func(r *Node) bool { return r.Class != Universal }) {
		list = k // the sequence of records itself stands inside the tag
	}
	// One record is one query: an answer for several could not say which of them was changed.
	if len(list.Kids) != 1 {
		return database, a, r, 228, "one record a request"
	}
	one := list.Kids[0]
	id := one.Kid(1)
	if id = id.Only(); id != nil && id.is(1) {
		r.ID = itoa(id.IntOr(0))
	} else {
		r.ID = id.Text()
	}
	if _, text := parseExternal(one.Kid(4).Only()); text != "" {
		r.XML = text
	}
	if r.ID == "" || r.XML == "" && a != query.ActionDelete {
		return database, a, r, 228, "no record id, or no record"
	}
	return database, a, r, 0, ""
}
