package query

import "fmt"

// Error is the reason why a query is rejected, with a diagnostic code for each of the two protocols. Details is sent to
// the client.
type Error struct {
	SRU     int // info:srw/diagnostic/1/
	Bib1    int // of the Bib-1 diagnostic set
	Details string
}

// Error returns the details and the codes of both protocols, for logs.
func (e *Error) Error() string {
	return fmt.Sprintf("query: %s (srw %d, bib-1 %d)", e.Details, e.SRU, e.Bib1)
}

// diagnosticCodes are the codes of one kind of error.
type diagnosticCodes struct{ sru, bib1 int }

var (
	syntaxError                 = diagnosticCodes{10, 108}
	queryTooLong                = diagnosticCodes{12, 3}
	nestedTooDeep               = diagnosticCodes{13, 3}
	unclosedParenthesis         = diagnosticCodes{13, 108}
	unclosedQuote               = diagnosticCodes{14, 108}
	unsupportedPrefix           = diagnosticCodes{15, 121}
	unsupportedIndex            = diagnosticCodes{16, 114}
	unsupportedRelation         = diagnosticCodes{19, 117}
	unsupportedPosition         = diagnosticCodes{19, 119}
	unsupportedRelationModifier = diagnosticCodes{20, 117}
	unsupportedAttribute        = diagnosticCodes{24, 113}
	unsupportedStructure        = diagnosticCodes{24, 118}
	unsupportedCompleteness     = diagnosticCodes{24, 122}
	emptyTerm                   = diagnosticCodes{27, 125}
	unsupportedTruncation       = diagnosticCodes{28, 120}
	unsupportedProximity        = diagnosticCodes{37, 110}
	tooManyOperators            = diagnosticCodes{38, 11}
	unsupportedBooleanModifier  = diagnosticCodes{46, 110}
	unsupportedSort             = diagnosticCodes{80, 207}
)

// errorf returns an error of this kind.
func (c diagnosticCodes) errorf(format string, args ...any) *Error {
	return &Error{SRU: c.sru, Bib1: c.bib1, Details: fmt.Sprintf(format, args...)}
}
