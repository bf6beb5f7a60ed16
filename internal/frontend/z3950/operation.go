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

// Diagnostics of the bib-1 diagnostic set that the target sends.
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

// Values of fields in responses.
const (
	presentStatusSuccess   = 0
	presentStatusPartial   = 2 // fewer records than requested fit into the message
	presentStatusFailure   = 5
	resultSetStatusSubset  = 1 // the result set holds a valid part of the results
	resultSetStatusNone    = 3 // there is no result set
	operationStatusDone    = 1 // of an extended service
	operationStatusFailure = 3
	nextPositionNone       = 0 // there is no record after those that were sent
)

// diagnostic is a bib-1 diagnostic with its additional information.
type diagnostic struct {
	code    int
	details string
}

// operation is a request that an association performs.
type operation struct {
	reference *z3950.Node // reference ID of the request, nil if it has none
	request   int         // tag of the request
	cancel    gateway.Cancel
	finished  bool // its response was sent, or it was cancelled
}

// newOperation returns the operation of a request.
func newOperation(unit *z3950.Node) *operation {
	return &operation{reference: unit.Child(z3950.FieldReferenceID), request: unit.Tag}
}

// caller is who the association's operations are for.
func (a *association) caller() gateway.Caller {
	return gateway.Caller{User: a.user, Disconnected: func(time.Time) bool { return a.conn.PeerClosed() }}
}

// starter starts an operation at the gateway. It returns either its outcome, if that is known at once, or how to cancel
// it, and then done is called later with the outcome, on the event loop.
type starter func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome)

// start puts an operation in flight. respond is called with its outcome and with the lock held, once, unless the operation
// is cancelled before.
func (a *association) start(operation *operation, start starter, respond func(gateway.Outcome)) {
	a.inFlight = operation
	cancel, immediate := start(func(outcome gateway.Outcome) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if operation.finished || a.closed {
			return
		}
		operation.finished = true
		respond(outcome)
		a.restartIdleTimer()
		a.performPending()
		a.updateEvictionClass()
	})
	operation.cancel = cancel
	if immediate != nil {
		operation.finished = true
		a.inFlight = nil
		respond(*immediate)
	}
}

// abort marks an operation as finished and cancels it at the gateway.
func (o *operation) abort() {
	o.finished = true
	if o.cancel != nil {
		o.cancel()
	}
}

// cancelInFlight cancels the operation in flight as the origin requested, and goes on with the pending units.
func (a *association) cancelInFlight() {
	operation := a.inFlight
	operation.abort()
	a.fail(operation, diagnostic{code: diagTerminatedByOrigin})
	a.performPending()
}

// cancelOperations cancels the operation in flight and drops the pending units.
func (a *association) cancelOperations() {
	if a.inFlight != nil && !a.inFlight.finished {
		a.inFlight.abort()
	}
	a.inFlight, a.pending = nil, nil
}

// fail responds to a request with a diagnostic.
func (a *association) fail(operation *operation, problem diagnostic) {
	switch operation.request {
	case z3950.SearchRequest:
		a.send(z3950.Constructed(z3950.SearchResponse,
			operation.reference,
			z3950.Integer(z3950.FieldResultCount, 0),
			z3950.Integer(z3950.FieldRecordsReturned, 0),
			z3950.Integer(z3950.FieldNextPosition, nextPositionNone),
			z3950.Boolean(z3950.FieldSearchStatus, false),
			z3950.Integer(z3950.FieldResultSetStatus, resultSetStatusNone),
			z3950.Diagnostic(z3950.FieldDiagnostic, problem.code, problem.details)))
	case z3950.PresentRequest:
		a.send(z3950.Constructed(z3950.PresentResponse,
			operation.reference,
			z3950.Integer(z3950.FieldRecordsReturned, 0),
			z3950.Integer(z3950.FieldNextPosition, nextPositionNone),
			z3950.Integer(z3950.FieldPresentStatus, presentStatusFailure),
			z3950.Diagnostic(z3950.FieldDiagnostic, problem.code, problem.details)))
	case z3950.EsRequest:
		a.send(z3950.Constructed(z3950.EsResponse,
			operation.reference,
			z3950.Integer(z3950.FieldEsOperationStatus, operationStatusFailure),
			z3950.Constructed(z3950.FieldEsDiagnostics, z3950.DiagnosticSequence(problem.code, problem.details))))
	}
}

// diagnosticOf returns the diagnostic of an outcome without results.
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

// diagnosticOfError returns the diagnostic of a query that cannot be read or performed.
func diagnosticOfError(err error) diagnostic {
	var queryError *query.Error
	if errors.As(err, &queryError) {
		return diagnostic{queryError.Bib1, queryError.Details}
	}
	return diagnostic{diagUnspecified, err.Error()}
}
