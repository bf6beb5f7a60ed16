// Package sru encodes and decodes requests, responses and diagnostics of SRU 1.2 (Search/Retrieve via URL) and of SRU
// Record Update. It does no I/O.
package sru

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

// XMLType is the media type of responses and of updates.
const XMLType = "text/xml; charset=utf-8"

// XML namespaces and identifier prefixes.
const (
	NamespaceSRW        = "http://www.loc.gov/zing/srw/"
	namespaceDiagnostic = "http://www.loc.gov/zing/srw/diagnostic/"
	namespaceUpdate     = "http://www.loc.gov/zing/srw/update/"
	namespaceSOAP       = "http://schemas.xmlsoap.org/soap/envelope/"
	DiagnosticPrefix    = "info:srw/diagnostic/1/" // prefix of diagnostic identifiers
	actionPrefix        = "info:srw/action/1/"     // prefix of update actions

	// DefaultSchema is the schema of records without one.
	DefaultSchema = "info:srw/schema/1/dc-v1.1"
)

// Record packings.
const (
	PackingXML    = "xml"    // as markup
	PackingString = "string" // as escaped text
)

// Codes of the SRU diagnostic set that this program sends.
const (
	GeneralSystemError     = 1
	TemporarilyUnavailable = 2
	UnsupportedOperation   = 4
	UnsupportedVersion     = 5
	UnsupportedValue       = 6 // of a parameter
	MissingParameter       = 7
	UnsupportedParameter   = 8
	ResultSetsUnsupported  = 50
	PartialResults         = 59
	FirstRecordOutOfRange  = 61
	UnknownSchema          = 66
	UnsupportedPacking     = 71
	SortUnsupported        = 80
	StylesheetsUnsupported = 110
	DatabaseDoesNotExist   = 235
)

// messages maps diagnostic codes to their messages, including the codes of package query.
var messages = map[int]string{
	1:   "General system error",
	2:   "System temporarily unavailable",
	4:   "Unsupported operation",
	5:   "Unsupported version",
	6:   "Unsupported parameter value",
	7:   "Mandatory parameter not supplied",
	8:   "Unsupported parameter",
	10:  "Query syntax error",
	12:  "Too many characters in query",
	13:  "Invalid or unsupported use of parentheses",
	14:  "Invalid or unsupported use of quotes",
	15:  "Unsupported context set",
	16:  "Unsupported index",
	19:  "Unsupported relation",
	20:  "Unsupported relation modifier",
	24:  "Unsupported combination of relation and term",
	27:  "Empty term unsupported",
	28:  "Masking character not supported",
	37:  "Unsupported boolean operator",
	38:  "Too many boolean operators in query",
	46:  "Unsupported boolean modifier",
	50:  "Result sets not supported",
	59:  "Result set created with valid partial results available",
	61:  "First record position out of range",
	66:  "Unknown schema for retrieval",
	71:  "Unsupported record packing",
	80:  "Sort not supported",
	110: "Stylesheets not supported",
	235: "Database does not exist",
}

// DiagnosticError is the error for a request that is rejected with a diagnostic.
type DiagnosticError struct {
	Code    int // of the SRU diagnostic set
	Details string
}

// NewDiagnosticError returns the error for a diagnostic code with details.
func NewDiagnosticError(code int, details string) *DiagnosticError {
	return &DiagnosticError{code, details}
}

// Error returns the diagnostic's identifier, message and details.
func (e *DiagnosticError) Error() string {
	return fmt.Sprintf("%s%d %s: %s", DiagnosticPrefix, e.Code, messages[e.Code], e.Details)
}

// Diagnostic returns the diagnostic to send.
func (e *DiagnosticError) Diagnostic() query.Diagnostic {
	return query.Diagnostic{SRU: DiagnosticPrefix + strconv.Itoa(e.Code), Details: e.Details}
}

// AsDiagnosticError returns the *DiagnosticError that err wraps, or one converted from the *query.Error that err wraps,
// or else a general system error with err's text.
func AsDiagnosticError(err error) *DiagnosticError {
	var queryError *query.Error
	var diagnosticError *DiagnosticError
	switch {
	case errors.As(err, &diagnosticError):
		return diagnosticError
	case errors.As(err, &queryError):
		return NewDiagnosticError(queryError.SRU, queryError.Details)
	}
	return NewDiagnosticError(GeneralSystemError, err.Error())
}

// diagnosticsElement encodes diagnostics; the result is empty if there are none.
func diagnosticsElement(diagnostics []query.Diagnostic) string {
	if len(diagnostics) == 0 {
		return ""
	}
	var b strings.Builder
	for _, d := range diagnostics {
		code := 0
		if number, ok := strings.CutPrefix(d.SRU, DiagnosticPrefix); ok {
			code, _ = strconv.Atoi(number) // an unknown code has no message
		}
		fmt.Fprintf(&b, `<diagnostic xmlns="%s"><uri>%s</uri><details>%s</details><message>%s</message></diagnostic>`,
			namespaceDiagnostic, EscapeText(d.SRU), EscapeText(d.Details), EscapeText(messages[code]))
	}
	return "<diagnostics>" + b.String() + "</diagnostics>"
}
