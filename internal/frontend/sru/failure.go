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

// failure is the response to a request without results.
type failure struct {
	status      int // of HTTP
	fields      []string
	diagnostics []query.Diagnostic
}

// failureOf returns the response to an outcome without results. Only a rejected request has an HTTP status that is an
// error, so that clients and proxies honour its Retry-After.
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

// diagnosticOf returns the diagnostic of an outcome without results.
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
			diagnostic.SRU = sru.Diag + strconv.Itoa(sru.GeneralSystemError)
			diagnostic.Details = fmt.Sprintf("bib-1 %d %s", diagnostic.Bib1, diagnostic.Details)
		}
		return diagnostic
	}
	return sru.NewDiagnosticError(sru.GeneralSystemError, strings.TrimSpace("failed "+outcome.Details)).Diagnostic()
}
