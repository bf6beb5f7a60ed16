package sru

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// failure describes the HTTP response to a request that has no results.
type failure struct {
	status      int      // HTTP status code
	fields      []string // header fields, as pairs of name and value
	diagnostics []query.Diagnostic
}

// failureOf returns the response to an outcome without results. The HTTP status is 200, except for a rejected request:
// that has an error status, so that clients and proxies honor its Retry-After header.
func failureOf(outcome gateway.Outcome) failure {
	f := failure{
		status:      200,
		fields:      []string{"Content-Type", sru.XMLType},
		diagnostics: []query.Diagnostic{diagnosticOf(outcome)},
	}
	if outcome.Kind == gateway.Rejected {
		f.status = 503
		if outcome.RetryAfter > 0 {
			seconds := int(math.Ceil(outcome.RetryAfter.Seconds()))
			f.fields = append(f.fields, "Retry-After", strconv.Itoa(seconds))
		}
	}
	return f
}

// diagnosticOf returns the diagnostic for an outcome without results.
func diagnosticOf(outcome gateway.Outcome) query.Diagnostic {
	switch outcome.Kind {
	case gateway.Rejected:
		details := fmt.Sprintf("refused; asking again is harmless, after %v", outcome.RetryAfter)
		return sru.NewDiagnosticError(sru.TemporarilyUnavailable, details).Diagnostic()
	case gateway.TimedOut:
		return sru.NewDiagnosticError(sru.GeneralSystemError, "timed out").Diagnostic()
	case gateway.UnknownDatabase:
		return sru.NewDiagnosticError(sru.DatabaseDoesNotExist, outcome.Details).Diagnostic()
	case gateway.ReadOnly:
		return sru.NewDiagnosticError(sru.UnsupportedOperation, "update of "+outcome.Details).Diagnostic()
	case gateway.ServerDiagnostic:
		diagnostic := *outcome.Diagnostic
		if diagnostic.SRU == "" { // from a Z39.50 server
			diagnostic.SRU = sru.DiagnosticPrefix + strconv.Itoa(sru.GeneralSystemError)
			diagnostic.Details = fmt.Sprintf("bib-1 %d %s", diagnostic.Bib1, diagnostic.Details)
		}
		return diagnostic
	}
	return sru.NewDiagnosticError(sru.GeneralSystemError, strings.TrimSpace("failed "+outcome.Details)).Diagnostic()
}
