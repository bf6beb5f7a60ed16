package z3950

import (
	"strconv"

	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

const (
	prefetchCount = 10 // minimum number of records fetched by a search, to serve the first Presents
	maxDatabases  = 16 // in one search
)

// searchRequest contains the decoded fields of a Search PDU. The bounds determine how many records the response
// includes: all of a small result set, mediumSent of a medium one, none of a large one.
type searchRequest struct {
	setName    string
	replace    bool // an existing result set of that name may be replaced
	databases  []string
	rpn        *z3950.Node
	syntax     string // object identifier of the record syntax
	supported  bool   // whether syntax is supported
	smallMax   int    // maximum record count of a small set
	largeMin   int    // minimum record count of a large set
	mediumSent int    // records of a medium set in the response
}

// parseSearch decodes the fields of a Search PDU; the query itself is decoded by parseQuery.
func parseSearch(pdu *z3950.Node) searchRequest {
	request := searchRequest{
		setName:    pdu.Child(z3950.FieldResultSetName).Text(),
		replace:    pdu.Child(z3950.FieldReplaceIndicator).Bool(),
		rpn:        pdu.Child(z3950.FieldQuery),
		smallMax:   pdu.Child(z3950.FieldSmallSetUpperBound).IntOr(0),
		largeMin:   pdu.Child(z3950.FieldLargeSetLowerBound).IntOr(1),
		mediumSent: pdu.Child(z3950.FieldMediumSetPresentNumber).IntOr(0),
	}
	request.syntax, request.supported = recordSyntax(pdu)
	if names := pdu.Child(z3950.FieldDatabaseNames); names != nil {
		for _, name := range names.Children {
			request.databases = append(request.databases, name.Text())
		}
	}
	return request
}

// recordsSent returns how many records the response should include if count records match.
func (r *searchRequest) recordsSent(count int) int {
	switch {
	case count <= r.smallMax:
		return count
	case count < r.largeMin:
		return min(r.mediumSent, count)
	}
	return 0
}

// search handles a Search PDU.
func (a *association) search(pdu *z3950.Node) {
	operation := newOperation(pdu)
	request := parseSearch(pdu)
	if problem := a.checkSearch(&request); problem != nil {
		a.fail(operation, *problem)
		return
	}
	tree, err := a.parseQuery(request.rpn)
	if err != nil {
		a.fail(operation, diagnosticOfError(err))
		return
	}
	fetch := min(a.server.Service.Config.Limits.MaxRecords, max(prefetchCount, request.smallMax, request.mediumSent))
	a.start(operation, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.server.Service.Search(a.caller(), request.databases, tree, fetch, done)
	}, func(outcome gateway.Outcome) {
		delete(a.resultSets, request.setName)
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
		a.resultSets[request.setName] = set
		if outcome.Kind == gateway.Partial {
			a.sendPartialSearch(operation, outcome)
			return
		}
		a.sendSearch(operation, &request, set)
	})
}

// checkSearch returns the diagnostic for a request that is not allowed, nil if it is allowed.
func (a *association) checkSearch(request *searchRequest) *diagnostic {
	exists := a.resultSets[request.setName] != nil
	switch {
	case request.setName == "":
		return &diagnostic{code: diagIllegalResultSetName}
	case exists && !request.replace:
		return &diagnostic{diagResultSetExists, request.setName}
	case !exists && len(a.resultSets) >= a.server.Service.Config.Limits.ResultSets:
		return &diagnostic{diagTooManyResultSets, strconv.Itoa(len(a.resultSets))}
	case len(request.databases) > maxDatabases:
		return &diagnostic{diagTooManyDatabases, strconv.Itoa(maxDatabases)}
	}
	return nil
}

// parseQuery parses a type-1 query and replaces each result set that it references with the query of that set.
func (a *association) parseQuery(rpn *z3950.Node) (query.Node, error) {
	tree, err := z3950.ParseRPN(rpn)
	if err != nil {
		return nil, err
	}
	tree, err = query.ResolveResultSets(tree, func(name string) (query.Node, error) {
		if set := a.resultSets[name]; set != nil {
			return set.query, nil
		}
		return nil, &query.Error{SRU: 51, Bib1: diagNoSuchResultSet, Details: name}
	})
	if err != nil {
		return nil, err
	}
	// Checked again after the replacement: a chain of searches, each on the previous one's result set, could otherwise
	// grow a query without bound.
	return tree, query.CheckLimits(tree)
}

// sendPartialSearch responds to a search whose results are a valid subset. The result set is usable, but the response
// includes no records.
func (a *association) sendPartialSearch(operation *operation, outcome gateway.Outcome) {
	a.send(z3950.Constructed(z3950.SearchResponse,
		operation.referenceID,
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
		list := a.limitToMessageSize(set.page(1, requested))
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
		operation.referenceID,
		z3950.Integer(z3950.FieldResultCount, set.count),
		z3950.Integer(z3950.FieldRecordsReturned, sent),
		z3950.Integer(z3950.FieldNextPosition, next),
		z3950.Boolean(z3950.FieldSearchStatus, true),
	}
	a.send(z3950.Constructed(z3950.SearchResponse, append(fields, records...)...))
}
