package z3950

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// Codes of the bib-1 diagnostic set that the target sends.
const (
	diagTemporaryError       = 2
	diagPresentOutOfRange    = 13
	diagPresentSystemError   = 14
	diagResultSetExists      = 21
	diagNoSuchResultSet      = 30
	diagResourcesExhausted   = 31
	diagPartialResults       = 33
	diagUnspecified          = 100
	diagTerminatedByOrigin   = 105
	diagDatabaseUnavailable  = 109
	diagTooManyDatabases     = 111
	diagTooManyResultSets    = 112
	diagIllegalResultSetName = 128
	diagDatabaseAccessDenied = 236
	diagSyntaxNotSupported   = 239
	diagRangesNotSupported   = 243
)

// Values of response fields.
const (
	presentStatusSuccess   = 0
	presentStatusPartial   = 2 // fewer records than requested fit into the message
	presentStatusFailure   = 5
	resultSetStatusSubset  = 1 // the result set contains a valid subset of the results
	resultSetStatusNone    = 3 // there is no result set
	operationStatusDone    = 1 // of an extended service
	operationStatusFailure = 3
	nextPositionNone       = 0 // no record follows those in the response
)

// diagnostic is a bib-1 diagnostic with its additional information.
type diagnostic struct {
	code    int
	details string
}

// operation is a request that an association handles.
type operation struct {
	referenceID *z3950.Node // of the request; nil: none
	requestTag  int
	cancel      gateway.Cancel
	ended       bool // the response was sent, or the operation was canceled
}

// newOperation returns the operation for a request PDU.
func newOperation(pdu *z3950.Node) *operation {
	return &operation{referenceID: pdu.Child(z3950.FieldReferenceID), requestTag: pdu.Tag}
}

// caller returns the gateway's caller for the association's operations.
func (a *association) caller() gateway.Caller {
	return gateway.Caller{User: a.user, Disconnected: func(time.Time) bool { return a.conn.PeerClosed() }}
}

// startFunc starts an operation at the gateway. If the outcome is known at once, it returns the outcome. Otherwise it
// returns a function that cancels the operation, and calls done with the outcome later, on the event loop.
type startFunc func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome)

// start starts an operation. respond is called once with its outcome, with the lock held, unless the operation is
// canceled first.
func (a *association) start(operation *operation, start startFunc, respond func(gateway.Outcome)) {
	a.inFlight = operation
	cancel, immediate := start(func(outcome gateway.Outcome) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if operation.ended || a.closed {
			return
		}
		operation.ended = true
		respond(outcome)
		a.restartIdleTimer()
		a.performPending()
		a.updateEvictionClass()
		a.limitMemory()
	})
	operation.cancel = cancel
	if immediate != nil {
		operation.ended = true
		a.inFlight = nil
		respond(*immediate)
	}
}

// abort marks an operation as ended and cancels it at the gateway.
func (o *operation) abort() {
	o.ended = true
	if o.cancel != nil {
		o.cancel()
	}
}

// cancelInFlight cancels the operation in flight at the origin's request, and then handles the pending PDUs.
func (a *association) cancelInFlight() {
	operation := a.inFlight
	operation.abort()
	a.fail(operation, diagnostic{code: diagTerminatedByOrigin})
	a.performPending()
}

// cancelOperations cancels the operation in flight and discards the pending PDUs.
func (a *association) cancelOperations() {
	if a.inFlight != nil && !a.inFlight.ended {
		a.inFlight.abort()
	}
	a.inFlight, a.pending, a.pendingBytes = nil, nil, 0
}

// fail responds to a request with a diagnostic, in the response PDU of the request's type.
func (a *association) fail(operation *operation, problem diagnostic) {
	switch operation.requestTag {
	case z3950.SearchRequest:
		a.send(z3950.Constructed(z3950.SearchResponse,
			operation.referenceID,
			z3950.Integer(z3950.FieldResultCount, 0),
			z3950.Integer(z3950.FieldRecordsReturned, 0),
			z3950.Integer(z3950.FieldNextPosition, nextPositionNone),
			z3950.Boolean(z3950.FieldSearchStatus, false),
			z3950.Integer(z3950.FieldResultSetStatus, resultSetStatusNone),
			z3950.Diagnostic(z3950.FieldDiagnostic, problem.code, problem.details)))
	case z3950.PresentRequest:
		a.send(z3950.Constructed(z3950.PresentResponse,
			operation.referenceID,
			z3950.Integer(z3950.FieldRecordsReturned, 0),
			z3950.Integer(z3950.FieldNextPosition, nextPositionNone),
			z3950.Integer(z3950.FieldPresentStatus, presentStatusFailure),
			z3950.Diagnostic(z3950.FieldDiagnostic, problem.code, problem.details)))
	case z3950.EsRequest:
		a.send(z3950.Constructed(z3950.EsResponse,
			operation.referenceID,
			z3950.Integer(z3950.FieldEsOperationStatus, operationStatusFailure),
			z3950.Constructed(z3950.FieldEsDiagnostics, z3950.DiagnosticSequence(problem.code, problem.details))))
	}
}

// diagnosticOf returns the diagnostic for an outcome without results.
func diagnosticOf(outcome gateway.Outcome) diagnostic {
	switch outcome.Kind {
	case gateway.Rejected:
		return diagnostic{diagTemporaryError, fmt.Sprintf("refused; asking again is harmless, after %v", outcome.RetryAfter)}
	case gateway.TimedOut:
		return diagnostic{diagResourcesExhausted, "timed out"}
	case gateway.UnknownDatabase:
		return diagnostic{diagDatabaseUnavailable, outcome.Details}
	case gateway.ReadOnly:
		return diagnostic{diagDatabaseAccessDenied, outcome.Details}
	case gateway.ServerDiagnostic:
		if outcome.Diagnostic.Bib1 != 0 {
			return diagnostic{outcome.Diagnostic.Bib1, outcome.Diagnostic.Details}
		}
		return diagnostic{diagUnspecified, strings.TrimSpace(outcome.Diagnostic.SRU + " " + outcome.Diagnostic.Details)}
	}
	return diagnostic{diagUnspecified, strings.TrimSpace("failed " + outcome.Details)}
}

// diagnosticOfError returns the diagnostic for a query that cannot be parsed or resolved.
func diagnosticOfError(err error) diagnostic {
	var queryError *query.Error
	if errors.As(err, &queryError) {
		return diagnostic{queryError.Bib1, queryError.Details}
	}
	return diagnostic{diagUnspecified, err.Error()}
}
