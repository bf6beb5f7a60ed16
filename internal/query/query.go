// Package query represents a search as a tree, parses and prints it as CQL, and translates it from and to the Bib-1
// attributes of a Type-1 query. It does not encode them for the wire.
package query

// Limits on a query. They bound the recursion, and the load on the servers that run the query.
const (
	MaxTextBytes = 4 << 10 // of CQL
	MaxDepth     = 24      // of nested operators or parentheses
	MaxOperators = 40      // of the complete query
)

// Node is a query or a part of one: *Boolean, *Clause or *ResultSet.
type Node interface{ node() }

// Operator is a boolean operator.
type Operator string

// Operators, in CQL syntax.
const (
	And Operator = "and"
	Or  Operator = "or"
	Not Operator = "not" // matches left, but not right
)

// Boolean joins two queries.
type Boolean struct {
	Operator    Operator
	Left, Right Node
}

// Relation is the relation of an index to a term.
type Relation string

// Relations, in CQL syntax.
const (
	Equal          Relation = "="
	Exact          Relation = "=="
	All            Relation = "all" // all words of the term
	Any            Relation = "any" // at least one word of the term
	Less           Relation = "<"
	LessOrEqual    Relation = "<="
	Greater        Relation = ">"
	GreaterOrEqual Relation = ">="
	NotEqual       Relation = "<>"
)

// Clause matches the records whose index has the relation to the term.
type Clause struct {
	Index    string // empty: the server's choice
	Relation Relation
	Term     string // * at its start or end is truncation; a backslash escapes the next character
}

// ResultSet refers to a result set of a previous search by its name.
type ResultSet struct{ Name string }

func (*Boolean) node()   {}
func (*Clause) node()    {}
func (*ResultSet) node() {}

// CheckLimits returns an error if a tree exceeds MaxDepth or MaxOperators.
func CheckLimits(tree Node) error {
	operators := 0
	var walk func(node Node, depth int) error
	walk = func(node Node, depth int) error {
		if depth > MaxDepth {
			return nestedTooDeep.errorf("nested over %d deep", MaxDepth)
		}
		boolean, ok := node.(*Boolean)
		if !ok {
			return nil
		}
		operators++
		if operators > MaxOperators {
			return tooManyOperators.errorf("over %d boolean operators", MaxOperators)
		}
		if err := walk(boolean.Left, depth+1); err != nil {
			return err
		}
		return walk(boolean.Right, depth+1)
	}
	return walk(tree, 1)
}

// ResolveResultSets returns a tree in which the references to result sets are replaced by the queries that find returns
// for their names. The argument is not modified; the result may share nodes with it.
func ResolveResultSets(tree Node, find func(name string) (Node, error)) (Node, error) {
	switch tree := tree.(type) {
	case *ResultSet:
		return find(tree.Name)
	case *Boolean:
		left, err := ResolveResultSets(tree.Left, find)
		if err != nil {
			return nil, err
		}
		right, err := ResolveResultSets(tree.Right, find)
		if err != nil {
			return nil, err
		}
		return &Boolean{Operator: tree.Operator, Left: left, Right: right}, nil
	}
	return tree, nil
}
