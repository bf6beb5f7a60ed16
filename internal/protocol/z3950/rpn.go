package z3950

import (
	"errors"
	"slices"
	"strings"

	"rooktrestle/internal/query"
)

// rpnOperators contains the operators of a type-1 query, indexed by context tag.
var rpnOperators = []query.Operator{0: query.And, 1: query.Or, 2: query.Not}

// Errors of queries that cannot be parsed, with their codes in the diagnostic sets of both SRU and Z39.50.

func malformedQuery(details string) error {
	return &query.Error{SRU: 10, Bib1: 108, Details: details}
}

func unsupportedQueryType(details string) error {
	return &query.Error{SRU: 11, Bib1: 107, Details: details}
}

func nestedTooDeep() error {
	return &query.Error{SRU: 13, Bib1: 3, Details: "nested too deep"}
}

func unsupportedAttributeSet(oid string) error {
	return &query.Error{SRU: 15, Bib1: 121, Details: oid}
}

func unsupportedAttribute() error {
	return &query.Error{SRU: 24, Bib1: 113, Details: "attribute"}
}

func unsupportedTerm() error {
	return &query.Error{SRU: 24, Bib1: 229, Details: "term"}
}

func unsupportedOperator(details string) error {
	return &query.Error{SRU: 37, Bib1: 110, Details: details}
}

// EncodeRPN encodes a query as a type-1 query (RPN) with bib-1 attributes. The error is a *query.Error if the query has
// no such form.
func EncodeRPN(n query.Node) (*Node, error) {
	structure, err := rpnStructure(query.ExpandAny(n))
	if err != nil {
		return nil, err
	}
	return Constructed(queryType1, OID(Universal, tagOID, oidBib1), structure), nil
}

func rpnStructure(tree query.Node) (*Node, error) {
	switch tree := tree.(type) {
	case *query.Boolean:
		left, err := rpnStructure(tree.Left)
		if err != nil {
			return nil, err
		}
		right, err := rpnStructure(tree.Right)
		if err != nil {
			return nil, err
		}
		tag := max(0, slices.Index(rpnOperators, tree.Operator))
		return Constructed(rpnOperation, left, right, Constructed(rpnOperator, primitive(Context, tag, nil))), nil
	case *query.ResultSet:
		return Constructed(rpnOperand, String(operandResultSet, tree.Name)), nil
	case *query.Clause:
		attributes, term, err := query.Attributes(tree)
		if err != nil {
			return nil, err
		}
		list := Constructed(clauseAttributes)
		for _, attribute := range attributes {
			element := sequence(Integer(attributeType, attribute.Type), Integer(attributeValue, attribute.Value))
			list.Children = append(list.Children, element)
		}
		return Constructed(rpnOperand, Constructed(operandClause, list, String(clauseGeneralTerm, term))), nil
	}
	return nil, errors.New("z3950: no such query")
}

// ParseRPN decodes the query field of a Search PDU. The error is a *query.Error with the reason for the rejection.
func ParseRPN(field *Node) (query.Node, error) {
	rpn := field.OnlyChild() // the query is a choice inside an explicit tag
	if rpn == nil {
		return nil, malformedQuery("no query")
	}
	if !rpn.hasTag(queryType1) {
		return nil, unsupportedQueryType("only type 1")
	}
	if len(rpn.Children) != 2 {
		return nil, malformedQuery("rpn")
	}
	if set := rpn.Children[0].OID(); set != oidBib1 {
		return nil, unsupportedAttributeSet(set)
	}
	tree, err := parseStructure(rpn.Children[1], 1)
	if err != nil {
		return nil, err
	}
	return tree, query.CheckLimits(tree)
}

func parseStructure(structure *Node, depth int) (query.Node, error) {
	if depth > query.MaxDepth {
		return nil, nestedTooDeep()
	}
	if structure.hasTag(rpnOperand) {
		return parseOperand(structure.OnlyChild())
	}
	if !structure.hasTag(rpnOperation) || len(structure.Children) != 3 {
		return nil, malformedQuery("rpn structure")
	}
	left, err := parseStructure(structure.Children[0], depth+1)
	if err != nil {
		return nil, err
	}
	right, err := parseStructure(structure.Children[1], depth+1)
	if err != nil {
		return nil, err
	}
	operator, err := parseOperator(structure.Children[2])
	if err != nil {
		return nil, err
	}
	return &query.Boolean{Operator: operator, Left: left, Right: right}, nil
}

func parseOperator(field *Node) (query.Operator, error) {
	operator := field.OnlyChild()
	if !field.hasTag(rpnOperator) || operator == nil || operator.Class != Context {
		return "", malformedQuery("operator")
	}
	if operator.Tag >= len(rpnOperators) {
		return "", unsupportedOperator("prox")
	}
	return rpnOperators[operator.Tag], nil
}

func parseOperand(operand *Node) (query.Node, error) {
	if operand == nil {
		return nil, malformedQuery("operand")
	}
	if operand.hasTag(operandResultSet) {
		return &query.ResultSet{Name: operand.Text()}, nil
	}
	if !operand.hasTag(operandClause) || len(operand.Children) != 2 || !operand.Children[0].hasTag(clauseAttributes) {
		return nil, malformedQuery("operand")
	}
	attributes, err := parseAttributes(operand.Children[0])
	if err != nil {
		return nil, err
	}
	term := operand.Children[1]
	if !term.hasTag(clauseGeneralTerm) && !term.hasTag(clauseCharacterTerm) {
		return nil, unsupportedTerm()
	}
	return query.ClauseFromAttributes(attributes, strings.ToValidUTF8(term.Text(), "\uFFFD"))
}

func parseAttributes(list *Node) ([]query.Attribute, error) {
	var attributes []query.Attribute
	for _, attribute := range list.Children {
		if set := attribute.Child(attributeSet); set != nil && set.OID() != oidBib1 {
			return nil, unsupportedAttributeSet(set.OID())
		}
		kind, hasKind := attribute.Child(attributeType).integer()
		value, hasValue := attribute.Child(attributeValue).integer()
		if !hasKind || !hasValue {
			return nil, unsupportedAttribute()
		}
		attributes = append(attributes, query.Attribute{Type: kind, Value: value})
	}
	return attributes, nil
}
