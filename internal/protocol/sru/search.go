package sru

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

// Values of Request.Operation.
const (
	OperationExplain = "explain"
	OperationSearch  = "searchRetrieve"
)

// Request is a decoded searchRetrieve or explain request.
type Request struct {
	Operation   string
	Query       query.Node
	CQL         string // unparsed text of Query
	StartRecord int    // position of the first record, from 1
	MaxRecords  int    // maximum number of records in the response; negative: not given
	Packing     string // PackingXML or PackingString
	Schema      string // of records; empty: not given
}

// ParseRequest decodes the parameters of a request; no parameters mean explain. The error is a *DiagnosticError.
func ParseRequest(params url.Values) (Request, error) {
	request := Request{StartRecord: 1, MaxRecords: -1, Packing: PackingXML, Operation: params.Get("operation")}
	if len(params) == 0 {
		request.Operation = OperationExplain
		return request, nil
	}
	for name, values := range params {
		if len(values) > 1 {
			return request, NewDiagnosticError(UnsupportedValue, name)
		}
	}
	if err := checkVersion(params.Get("version")); err != nil {
		return request, err
	}
	switch request.Operation {
	case OperationExplain:
		return request, nil
	case OperationSearch:
	case "":
		return request, NewDiagnosticError(MissingParameter, "operation")
	default:
		return request, NewDiagnosticError(UnsupportedOperation, request.Operation)
	}
	for name, values := range params {
		if err := request.setParameter(name, values[0]); err != nil {
			return request, err
		}
	}
	if request.CQL == "" {
		return request, NewDiagnosticError(MissingParameter, "query")
	}
	if err := request.parseQuery(); err != nil {
		return request, err
	}
	return request, nil
}

func checkVersion(version string) error {
	switch version {
	case "1.1", "1.2":
		return nil
	case "":
		return NewDiagnosticError(MissingParameter, "version")
	}
	return NewDiagnosticError(UnsupportedVersion, "1.2")
}

// setParameter applies one parameter of a search.
func (r *Request) setParameter(name, value string) error {
	switch name {
	case "version", "operation", "resultSetTTL":
	case "query":
		r.CQL = value
	case "startRecord":
		return setNumber(&r.StartRecord, name, value, 1)
	case "maximumRecords":
		return setNumber(&r.MaxRecords, name, value, 0)
	case "recordPacking":
		if value != PackingXML && value != PackingString {
			return NewDiagnosticError(UnsupportedPacking, value)
		}
		r.Packing = value
	case "recordSchema":
		r.Schema = value
	case "sortKeys":
		if value != "" {
			return NewDiagnosticError(SortUnsupported, value)
		}
	case "stylesheet":
		return NewDiagnosticError(StylesheetsUnsupported, value)
	default:
		if !strings.HasPrefix(name, "x-") { // extension parameters are ignored
			return NewDiagnosticError(UnsupportedParameter, name)
		}
	}
	return nil
}

// setNumber parses the value of an integer parameter, which must be at least minimum, into field.
func setNumber(field *int, name, value string, minimum int) error {
	number, err := strconv.Atoi(value)
	if err != nil || number < minimum {
		return NewDiagnosticError(UnsupportedValue, name)
	}
	*field = number
	return nil
}

// parseQuery parses the query and rejects references to result sets, which are not supported over SRU.
func (r *Request) parseQuery() error {
	tree, err := query.Parse(r.CQL)
	if err != nil {
		return AsDiagnosticError(err)
	}
	_, err = query.ResolveResultSets(tree, func(string) (query.Node, error) {
		return nil, NewDiagnosticError(ResultSetsUnsupported, "cql.resultSetId")
	})
	if err != nil {
		return err
	}
	r.Query = tree
	return nil
}

// SearchTarget returns the request target of a GET that searches a database.
func SearchTarget(database, cql string, startRecord, maxRecords int) string {
	params := url.Values{
		"operation": {OperationSearch}, "version": {"1.2"}, "query": {cql}, "recordPacking": {PackingXML},
		"startRecord": {strconv.Itoa(startRecord)}, "maximumRecords": {strconv.Itoa(maxRecords)},
	}
	return "/" + url.PathEscape(database) + "?" + params.Encode()
}

// SearchResult is the content of a search response.
type SearchResult struct {
	Count       int // number of matching records
	Records     []query.Record
	StartRecord int    // position of the first of Records, from 1
	NextRecord  int    // position of the record after Records; 0: none
	Packing     string // PackingXML or PackingString
	Diagnostics []query.Diagnostic
}

// SearchResponse encodes the response to a search.
func SearchResponse(result SearchResult) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, XMLHeader+
		`<searchRetrieveResponse xmlns="%s"><version>1.2</version><numberOfRecords>%d</numberOfRecords>`,
		NamespaceSRW, result.Count)
	if len(result.Records) > 0 {
		b.WriteString("<records>")
		for i, record := range result.Records {
			b.WriteString(recordElement(record, result.Packing, result.StartRecord+i))
		}
		b.WriteString("</records>")
	}
	if result.NextRecord > 0 {
		fmt.Fprintf(&b, "<nextRecordPosition>%d</nextRecordPosition>", result.NextRecord)
	}
	b.WriteString(diagnosticsElement(result.Diagnostics))
	b.WriteString("</searchRetrieveResponse>\n")
	return []byte(b.String())
}

// recordElement encodes one record of a response.
func recordElement(record query.Record, packing string, position int) string {
	data := record.XML
	// A record that is not well-formed XML would make the complete response malformed.
	if _, err := parseXML([]byte(data)); err != nil {
		packing = PackingString
	}
	if packing == PackingString {
		data = EscapeText(data)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<record><recordSchema>%s</recordSchema><recordPacking>%s</recordPacking><recordData>%s</recordData>",
		EscapeText(schemaOf(record)), packing, data)
	if record.ID != "" {
		fmt.Fprintf(&b, "<recordIdentifier>%s</recordIdentifier>", EscapeText(record.ID))
	}
	fmt.Fprintf(&b, "<recordPosition>%d</recordPosition></record>", position)
	return b.String()
}

// schemaOf returns a record's schema, or DefaultSchema if it has none.
func schemaOf(record query.Record) string {
	if record.Schema == "" {
		return DefaultSchema
	}
	return record.Schema
}
