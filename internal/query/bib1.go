package query

import (
	"slices"
	"strings"
)

// Attribute is a Bib-1 attribute: its type and value.
type Attribute struct{ Type, Value int }

// Types of Bib-1 attributes.
const (
	UseAttr          = 1
	RelationAttr     = 2
	PositionAttr     = 3
	StructureAttr    = 4
	TruncationAttr   = 5
	CompletenessAttr = 6
)

// Values of Bib-1 attributes.
const (
	positionFirstInField = 1
	positionAny          = 3

	structurePhrase   = 1
	structureWord     = 2
	structureYear     = 4
	structureDate     = 5
	structureWordList = 6

	truncationRight = 1
	truncationLeft  = 2
	truncationBoth  = 3
	truncationNone  = 100

	completenessSubfield = 1 // incomplete subfield
	completenessField    = 3 // complete field
)

// useAttributes maps the names of indexes to values of the Use attribute; the empty name is the server's choice.
var useAttributes = map[string]int{
	"":               1016,
	"cql.anywhere":   1035,
	"dc.title":       4,
	"dc.creator":     1003,
	"dc.subject":     21,
	"dc.date":        30,
	"dc.identifier":  12,
	"rec.identifier": 1007,
	"dc.language":    54,
	"dc.description": 62,
	"dc.publisher":   1018,
	"caption.text":   1010,
}

// relationAttributes maps relations to values of the Relation attribute. All, Any and Exact have no value of their own.
var relationAttributes = map[Relation]int{
	Less:           1,
	LessOrEqual:    2,
	Equal:          3,
	GreaterOrEqual: 4,
	Greater:        5,
	NotEqual:       6,
}

var (
	indexesByUse         = inverse(useAttributes)
	relationsByAttribute = inverse(relationAttributes)
)

// inverse returns a map from values to keys. The values must be distinct.
func inverse[K comparable](m map[K]int) map[int]K {
	inverted := make(map[int]K, len(m))
	for key, value := range m {
		inverted[value] = key
	}
	return inverted
}

// IndexNames returns the names of all indexes, sorted.
func IndexNames() (names []string) {
	for name := range useAttributes {
		if name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Attributes returns the Bib-1 attributes of a clause, and its term as plain text without truncation. The relation Any
// has no attributes: see ExpandAny. The error is an *Error.
func Attributes(clause *Clause) ([]Attribute, string, error) {
	use, ok := useAttributes[clause.Index]
	if !ok {
		return nil, "", unsupportedIndex.errorf("%s", clause.Index)
	}
	relation := clause.Relation
	structure := 0
	completeness := 0
	switch clause.Relation {
	case All:
		relation = Equal
		structure = structureWordList
	case Exact:
		relation = Equal
		structure = structurePhrase
		completeness = completenessField
	case Any:
		return nil, "", unsupportedRelation.errorf("any")
	case Equal:
		structure = structureWord
		if strings.ContainsAny(clause.Term, " \t") {
			structure = structurePhrase
		}
	}
	term, truncation := trimTruncation(clause.Term)
	attributes := []Attribute{
		{Type: UseAttr, Value: use},
		{Type: RelationAttr, Value: relationAttributes[relation]},
	}
	optionalAttributes := []Attribute{
		{Type: StructureAttr, Value: structure},
		{Type: TruncationAttr, Value: truncation},
		{Type: CompletenessAttr, Value: completeness},
	}
	for _, optional := range optionalAttributes {
		if optional.Value != 0 {
			attributes = append(attributes, optional)
		}
	}
	return attributes, unescape(term), nil
}

// trimTruncation removes an unescaped * at the start and at the end of a term, and returns the corresponding value of
// the Truncation attribute; 0 if there is none.
func trimTruncation(term string) (rest string, truncation int) {
	leftTruncated := false
	rightTruncated := false
	if len(term) > 1 && strings.HasPrefix(term, "*") {
		term = term[1:]
		leftTruncated = true
	}
	if len(term) > 1 && strings.HasSuffix(term, "*") && !endsEscaped(term) {
		term = term[:len(term)-1]
		rightTruncated = true
	}
	switch {
	case leftTruncated && rightTruncated:
		truncation = truncationBoth
	case leftTruncated:
		truncation = truncationLeft
	case rightTruncated:
		truncation = truncationRight
	}
	return term, truncation
}

// ExpandAny replaces each clause with the relation Any by one clause per word, joined by Or: Type-1 queries have no
// corresponding relation.
func ExpandAny(tree Node) Node {
	switch tree := tree.(type) {
	case *Boolean:
		return &Boolean{Operator: tree.Operator, Left: ExpandAny(tree.Left), Right: ExpandAny(tree.Right)}
	case *Clause:
		words := strings.Fields(tree.Term)
		if tree.Relation != Any || len(words) == 0 {
			return tree
		}
		var expanded Node = &Clause{Index: tree.Index, Relation: Equal, Term: words[0]}
		for _, word := range words[1:] {
			clause := &Clause{Index: tree.Index, Relation: Equal, Term: word}
			expanded = &Boolean{Operator: Or, Left: expanded, Right: clause}
		}
		return expanded
	}
	return tree
}

// ClauseFromAttributes returns the clause for Bib-1 attributes and a plain-text term. The error is an *Error.
func ClauseFromAttributes(attributes []Attribute, term string) (*Clause, error) {
	d := attributeDecoder{clause: Clause{Relation: Equal}}
	for _, attribute := range attributes {
		if err := d.add(attribute); err != nil {
			return nil, err
		}
	}
	if strings.TrimSpace(term) == "" {
		return nil, emptyTerm.errorf("an empty term")
	}
	return d.finish(term), nil
}

// attributeDecoder collects the attributes of a clause.
type attributeDecoder struct {
	clause                              Clause
	structure, truncation, completeness int // 0: not given
}

func (d *attributeDecoder) add(attribute Attribute) error {
	switch attribute.Type {
	case UseAttr:
		index, ok := indexesByUse[attribute.Value]
		if !ok {
			return unsupportedIndex.errorf("%d", attribute.Value)
		}
		d.clause.Index = index
	case RelationAttr:
		relation, ok := relationsByAttribute[attribute.Value]
		if !ok {
			return unsupportedRelation.errorf("%d", attribute.Value)
		}
		d.clause.Relation = relation
	case PositionAttr:
		if attribute.Value != positionAny && attribute.Value != positionFirstInField {
			return unsupportedPosition.errorf("%d", attribute.Value)
		}
	case StructureAttr:
		d.structure = attribute.Value
		return checkStructure(attribute.Value)
	case TruncationAttr:
		d.truncation = attribute.Value
		return checkTruncation(attribute.Value)
	case CompletenessAttr:
		d.completeness = attribute.Value
		if attribute.Value < completenessSubfield || attribute.Value > completenessField {
			return unsupportedCompleteness.errorf("%d", attribute.Value)
		}
	default:
		return unsupportedAttribute.errorf("%d", attribute.Type)
	}
	return nil
}

func checkTruncation(value int) error {
	if value != truncationNone && (value < truncationRight || value > truncationBoth) {
		return unsupportedTruncation.errorf("%d", value)
	}
	return nil
}

func checkStructure(value int) error {
	switch value {
	case structurePhrase, structureWord, structureYear, structureDate, structureWordList:
		return nil
	}
	return unsupportedStructure.errorf("%d", value)
}

// finish returns the clause with its term. CQL represents a word list and a complete field by relations, and truncation
// within the term.
func (d *attributeDecoder) finish(term string) *Clause {
	c := d.clause
	if c.Relation == Equal {
		if d.structure == structureWordList {
			c.Relation = All
		} else if d.completeness == completenessField {
			c.Relation = Exact
		}
	}
	c.Term = escape(term)
	if d.truncation == truncationRight || d.truncation == truncationBoth {
		c.Term += "*"
	}
	if d.truncation == truncationLeft || d.truncation == truncationBoth {
		c.Term = "*" + c.Term
	}
	return &c
}
