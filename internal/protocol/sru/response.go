package sru

import (
	"fmt"
	"strconv"

	"rooktrestle/internal/query"
)

// Values of operationStatus in the response to an update.
const (
	statusSuccess = "success"
	statusFail    = "fail"
)

// Response is a server's response to a search or an update.
type Response struct {
	query.PartResult        // the results of a search; Diagnostic is also set for an update
	Update           bool   // the response is to an update
	Succeeded        bool   // whether the update succeeded
	ID               string // identifier of the updated record
	EchoedQuery      string // query of the search, if the response repeats it
}

// ParseResponse decodes a server's response, bare or in a SOAP envelope. It returns an error if the text is not a valid
// response; a diagnostic in the response is not an error.
func ParseResponse(text []byte) (Response, error) {
	var response Response
	root, err := parseXML(text)
	if err != nil {
		return response, err
	}
	switch root.XMLName.Local {
	case "searchRetrieveResponse":
		count := root.text("numberOfRecords")
		if response.Count, err = strconv.Atoi(count); err != nil || response.Count < 0 {
			return response, fmt.Errorf("sru: invalid numberOfRecords %q", count)
		}
		response.Records = parseRecords(root)
		response.EchoedQuery = root.text("echoedSearchRetrieveRequest", "query")
	case "updateResponse":
		response.Update = true
		response.Succeeded = root.text("operationStatus") == statusSuccess
		response.ID = root.text("recordIdentifier")
	default:
		return response, fmt.Errorf("sru: unexpected response element %q", root.XMLName.Local)
	}
	if diagnostics := root.child("diagnostics"); diagnostics != nil && len(diagnostics.Children) > 0 {
		first := &diagnostics.Children[0]
		response.Diagnostic = &query.Diagnostic{SRU: first.text("uri"), Details: first.text("details")}
	}
	return response, nil
}

// parseRecords returns the records in a search response.
func parseRecords(response *element) []query.Record {
	list := response.child("records")
	if list == nil {
		return nil
	}
	var records []query.Record
	for i := range list.Children {
		record := &list.Children[i]
		if record.XMLName.Local != "record" {
			continue
		}
		records = append(records, query.Record{
			ID:     record.text("recordIdentifier"),
			Schema: record.text("recordSchema"),
			XML:    recordData(response, list, record),
		})
	}
	return records
}
