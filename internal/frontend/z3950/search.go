package z3950

import (
	"strconv"

	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

const (
	prefetch     = 10 // records fetched with a search, for the first presents
	maxDatabases = 16 // that one search may name
)

// searchRequest is a Search unit. The record counts decide how many records its response carries: all of a small set, some
// of a medium one, none of a large one.
type searchRequest struct {
	setName    string
	replace    bool // an existing result set of the name may be replaced
	databases  []string
	rpn        *z3950.Node
	syntax     string // object identifier of the record syntax
	supported  bool   // the record syntax is supported
	smallMax   int    // most records of a small set
	largeMin   int    // fewest records of a large set
	mediumSent int    // records sent of a medium set
}

// parseSearch reads the fields of a Search unit, all but the query.
func parseSearch(unit *z3950.Node) searchRequest {
	request := searchRequest{
		setName:    unit.Child(z3950.FieldResultSetName).Text(),
		replace:    unit.Child(z3950.FieldReplaceIndicator).Bool(),
		rpn:        unit.Child(z3950.FieldQuery),
		smallMax:   unit.Child(z3950.FieldSmallSetUpperBound).IntOr(0),
		largeMin:   unit.Child(z3950.FieldLargeSetLowerBound).IntOr(1),
		mediumSent: unit.Child(z3950.FieldMediumSetPresentNumber).IntOr(0),
	}
	request.syntax, request.supported = recordSyntax(unit)
	if names := unit.Child(z3950.FieldDatabaseNames); names != nil {
		for _, name := range names.Children {
			request.databases = append(request.databases, name.Text())
		}
	}
	return request
}

// recordsSent returns how many of count records the response should carry.
func (r *searchRequest) recordsSent(count int) int {
	switch {
	case count <= r.smallMax:
		return count
	case count < r.largeMin:
		return min(r.mediumSent, count)
	}
	return 0
}

// search handles a Search unit.
func (a *association) search(unit *z3950.Node) {
	operation := newOperation(unit)
	request := parseSearch(unit)
	if problem := a.checkSearch(&request); problem != nil {
		a.fail(operation, *problem)
		return
	}
	tree, err := a.parseQuery(request.rpn)
	if err != nil {
		a.fail(operation, diagnosticOfError(err))
		return
	}
	fetch := min(a.server.Service.Config.Limits.MaxRecords, max(prefetch, request.smallMax, request.mediumSent))
	a.start(operation, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.server.Service.Search(a.caller(), request.databases, tree, fetch, done)
	}, func(outcome gateway.Outcome) {
		delete(a.sets, request.setName)
		if outcome.Kind != gateway.Complete && outcome.Kind != gateway.Partial {
			a.fail(operation, diagnosticOf(outcome))
			return
		}
		set := &resultSet{
			query:     tree,
			databases: request.databases,
			count:     outcome.Count,
			records:   outcome.Records,
			fetched:   fetch,
		}
		a.sets[request.setName] = set
		if outcome.Kind == gateway.Partial {
			a.sendPartialSearch(operation, outcome)
			return
		}
		a.sendSearch(operation, &request, set)
	})
}

// checkSearch returns the diagnostic of a request that is not allowed, nil if it is.
func (a *association) checkSearch(request *searchRequest) *diagnostic {
	exists := a.sets[request.setName] != nil
	switch {
	case request.setName == "":
		return &diagnostic{code: diagIllegalResultSetName}
	case exists && !request.replace:
		return &diagnostic{diagResultSetExists, request.setName}
	case !exists && len(a.sets) >= a.server.Service.Config.Limits.ResultSets:
		return &diagnostic{diagTooManyResultSets, strconv.Itoa(len(a.sets))}
	case len(request.databases) > maxDatabases:
		return &diagnostic{diagTooManyDatabases, strconv.Itoa(maxDatabases)}
	}
	return nil
}

// parseQuery reads a query and puts the queries of the result sets that it names in their places.
func (a *association) parseQuery(rpn *z3950.Node) (query.Node, error) {
	tree, err := z3950.ParseRPN(rpn)
	if err != nil {
		return nil, err
	}
	tree, err = query.ResolveResultSets(tree, func(name string) (query.Node, error) {
		if set := a.sets[name]; set != nil {
			return set.query, nil
		}
		return nil, &query.Error{SRU: 51, Bib1: diagNoSuchResultSet, Details: name}
	})
	if err != nil {
		return nil, err
	}
	// Checked again: a query of result sets that were made of result sets grows without bound.
	return tree, query.CheckLimits(tree)
}

// sendPartialSearch responds to a search whose results are a valid subset. Its result set may be used; no records are sent.
func (a *association) sendPartialSearch(operation *operation, outcome gateway.Outcome) {
	a.send(z3950.Constructed(z3950.SearchResponse,
		operation.reference,
		z3950.Integer(z3950.FieldResultCount, outcome.Count),
		z3950.Integer(z3950.FieldRecordsReturned, 0),
		z3950.Integer(z3950.FieldNextPosition, 1),
		z3950.Boolean(z3950.FieldSearchStatus, false),
		z3950.Integer(z3950.FieldResultSetStatus, resultSetStatusSubset),
		z3950.Diagnostic(z3950.FieldDiagnostic, diagPartialResults, outcome.Coverage())))
}

// sendSearch responds to a search with complete results.
func (a *association) sendSearch(operation *operation, request *searchRequest, set *resultSet) {
	requested := request.recordsSent(set.count)
	sent := 0
	var records []*z3950.Node
	switch {
	case requested <= 0:
	case !request.supported:
		records = []*z3950.Node{
			z3950.Integer(z3950.FieldPresentStatus, presentStatusFailure),
			z3950.Diagnostic(z3950.FieldDiagnostic, diagSyntaxNotSupported, request.syntax),
		}
	default:
		list := a.fitting(set.page(1, requested))
		sent = len(list)
		records = []*z3950.Node{
			z3950.Integer(z3950.FieldPresentStatus, presentStatus(sent, requested)),
			z3950.Records(set.databases[0], request.syntax, list),
		}
	}
	next := sent + 1
	if sent >= set.count {
		next = nextPositionNone
	}
	fields := []*z3950.Node{
		operation.reference,
		z3950.Integer(z3950.FieldResultCount, set.count),
		z3950.Integer(z3950.FieldRecordsReturned, sent),
		z3950.Integer(z3950.FieldNextPosition, next),
		z3950.Boolean(z3950.FieldSearchStatus, true),
	}
	a.send(z3950.Constructed(z3950.SearchResponse, append(fields, records...)...))
}
