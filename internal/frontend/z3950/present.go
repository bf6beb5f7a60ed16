package z3950

import (
	"fmt"

	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
)

// presentRequest contains the decoded fields of a Present PDU.
type presentRequest struct {
	set       *resultSet // nil: unknown
	start     int        // position of the first record, from 1
	number    int        // number of records
	syntax    string     // object identifier of the record syntax
	supported bool       // whether syntax is supported
}

// last returns the position of the last record.
func (r *presentRequest) last() int { return r.start + r.number - 1 }

// present handles a Present PDU. If it requests records that are not cached in the result set, the search is repeated
// to fetch them.
func (a *association) present(pdu *z3950.Node) {
	operation := newOperation(pdu)
	request := presentRequest{
		set:    a.resultSets[pdu.Child(z3950.FieldResultSetID).Text()],
		start:  pdu.Child(z3950.FieldStartPoint).IntOr(0),
		number: pdu.Child(z3950.FieldRecordsRequested).IntOr(-1),
	}
	request.syntax, request.supported = recordSyntax(pdu)
	if problem := a.checkPresent(pdu, &request); problem != nil {
		a.fail(operation, *problem)
		return
	}
	set, last := request.set, request.last()
	if last <= set.fetched {
		a.sendPresent(operation, &request)
		return
	}
	a.start(operation, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.server.Service.Search(a.caller(), set.databases, set.query, last, done)
	}, func(outcome gateway.Outcome) {
		switch outcome.Kind {
		case gateway.Complete:
			set.records, set.fetched = outcome.Records, last
			a.sendPresent(operation, &request)
		case gateway.Partial:
			a.fail(operation, diagnostic{diagPresentSystemError, outcome.Coverage()})
		default:
			a.fail(operation, diagnosticOf(outcome))
		}
	})
}

// checkPresent returns the diagnostic for a request that cannot be served, nil if it can.
func (a *association) checkPresent(pdu *z3950.Node, request *presentRequest) *diagnostic {
	set, start, number := request.set, request.start, request.number
	maxRecords := a.server.Service.Config.Limits.MaxRecords
	switch {
	case set == nil:
		return &diagnostic{diagNoSuchResultSet, pdu.Child(z3950.FieldResultSetID).Text()}
	// The last condition is start+number-1 > set.count, written so that it cannot overflow.
	case start < 1 || number < 0 || number > set.count || start-1 > set.count-number:
		return &diagnostic{diagPresentOutOfRange, fmt.Sprintf("%d records from %d of %d", number, start, set.count)}
	case !request.supported:
		return &diagnostic{diagSyntaxNotSupported, request.syntax}
	case pdu.Child(z3950.FieldAdditionalRanges) != nil:
		return &diagnostic{code: diagRangesNotSupported}
	case request.last() > maxRecords:
		return &diagnostic{diagResourcesExhausted, fmt.Sprintf("records beyond %d are not kept", maxRecords)}
	}
	return nil
}

// sendPresent responds with as many of the requested records as fit into a message. They are cached in the result set.
func (a *association) sendPresent(operation *operation, request *presentRequest) {
	records := a.limitToMessageSize(request.set.page(request.start, request.number))
	next := request.start + len(records)
	if next > request.set.count {
		next = nextPositionNone
	}
	a.send(z3950.Constructed(z3950.PresentResponse,
		operation.referenceID,
		z3950.Integer(z3950.FieldRecordsReturned, len(records)),
		z3950.Integer(z3950.FieldNextPosition, next),
		z3950.Integer(z3950.FieldPresentStatus, presentStatus(len(records), request.number)),
		z3950.Records(request.set.databases[0], request.syntax, records)))
}
