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

// uses are the indexes with their Use attributes.
var uses = map[string]int{
	"": 1016, "cql.anywhere": 1035, "dc.title": 4, "dc.creator": 1003, "dc.subject": 21, "dc.date": 30,
	"dc.identifier": 12, "rec.identifier": 1007, "dc.language": 54, "dc.description": 62, "dc.publisher": 1018,
	"caption.text": 1010,
}

var indexes = func() map[int]string {
	m := map[int]string{}
	for name, use := range uses {
		m[use] = name
	}
	return m
}()

var relationValues = map[Relation]int{Less: 1, LessOrEqual: 2, Equal: 3, GreaterOrEqual: 4, Greater: 5, NotEqual: 6}

// Attributes returns the attributes and the bare term that stand for a clause. Any has none: see Plain.
func Attributes(c *Clause) ([]Attribute, string, error) {
	use, ok := uses[c.Index]
	if !ok {
		return nil, "", wrong(16, 114, "%s", c.Index)
	}
	attrs := []Attribute{{UseAttr, use}}
	rel, structure, complete := c.Relation, 0, 0
	switch c.Relation {
	case All:
		rel, structure = Equal, 6 // word list
	case Exact:
		rel, structure, complete = Equal, 1, 3
	case Any:
		return nil, "", wrong(19, 117, "any")
	case Equal:
		if structure = 2; strings.ContainsAny(c.Term, " \t") {
			structure = 1 // phrase
		}
	}
	attrs = append(attrs, Attribute{RelationAttr, relationValues[rel]})
	if structure != 0 {
		attrs = append(attrs, Attribute{StructureAttr, structure})
	}
	term, left, right := c.Term, false, false
	if len(term) > 1 && strings.HasPrefix(term, "*") {
		term, left = term[1:], true
	}
	if len(term) > 1 && strings.HasSuffix(term, "*") && !masked(term) {
		term, right = term[:len(term)-1], true
	}
	switch {
	case left && right:
		attrs = append(attrs, Attribute{TruncationAttr, 3})
	case left:
		attrs = append(attrs, Attribute{TruncationAttr, 2})
	case right:
		attrs = append(attrs, Attribute{TruncationAttr, 1})
	}
	if complete != 0 {
		attrs = append(attrs, Attribute{CompletenessAttr, complete})
	}
	return attrs, unmask(term), nil
}

// ExpandAny turns each clause with Any into clauses joined by Or, as a Type-1 query cannot say it otherwise.
func ExpandAny(n Node) Node {
	switch n := n.(type) {
	case *Boolean:
		return &Boolean{n.Operator, ExpandAny(n.Left), ExpandAny(n.Right)}
	case *Clause:
		words := strings.Fields(n.Term)
		if n.Relation != Any || len(words) == 0 {
			return n
		}
		var all Node
		for _, w := range words {
			one := &Clause{n.Index, Equal, w}
			if all == nil {
				all = one
			} else {
				all = &Boolean{Or, all, one}
			}
		}
		return all
	}
	return n
}

// ClauseFromAttributes returns the clause that attributes and a term stand for.
func ClauseFromAttributes(attrs []Attribute, term string) (*Clause, error) {
	c := &Clause{Relation: Equal}
	structure, trunc, complete := 0, 0, 0
	for _, a := range attrs {
		switch a.Type {
		case UseAttr:
			index, ok := indexes[a.Value]
			if !ok {
				return nil, wrong(16, 114, "%d", a.Value)
			}
			c.Index = index
		case RelationAttr:
			found := false
			for rel, v := range relationValues {
				if v == a.Value {
					c.Relation, found = rel, true
				}
			}
			if !found {
				return nil, wrong(19, 117, "%d", a.Value)
			}
		case PositionAttr:
			if a.Value != 3 && a.Value != 1 {
				return nil, wrong(19, 119, "%d", a.Value)
			}
		case StructureAttr:
			if structure = a.Value; a.Value != 1 && a.Value != 2 && a.Value != 6 && a.Value != 4 && a.Value != 5 {
				return nil, wrong(24, 118, "%d", a.Value)
			}
		case TruncationAttr:
			if trunc = a.Value; trunc != 100 && (trunc < 1 || trunc > 3) {
				return nil, wrong(28, 120, "%d", a.Value)
			}
		case CompletenessAttr:
			if complete = a.Value; complete < 1 || complete > 3 {
				return nil, wrong(24, 122, "%d", a.Value)
			}
		default:
			return nil, wrong(24, 113, "%d", a.Type)
		}
	}
	if strings.TrimSpace(term) == "" {
		return nil, wrong(27, 125, "an empty term")
	}
	if c.Relation == Equal {
		if structure == 6 {
			c.Relation = All
		} else if complete == 3 {
			c.Relation = Exact
		}
	}
	c.Term = mask(term)
	if trunc == 1 || trunc == 3 {
		c.Term += "*"
	}
	if trunc == 2 || trunc == 3 {
		c.Term = "*" + c.Term
	}
	return c, nil
}

// IndexNames returns the names of all indexes, sorted.
func IndexNames() (names []string) {
	for name := range uses {
		if name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
