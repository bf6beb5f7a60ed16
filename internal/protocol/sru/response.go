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
	query.PartResult // Diagnostic: of an update, too
	Update           bool
	Succeeded        bool   // of an update: it succeeded
	ID               string // of an update: the record's identifier
}

// ParseResponse reads a server's response, bare or in a SOAP envelope. An error means that it is not one; a diagnostic in
// it is no error.
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
			return response, fmt.Errorf("numberOfRecords %q", count)
		}
		response.Records = parseRecords(root)
	case "updateResponse":
		response.Update = true
		response.Succeeded = root.text("operationStatus") == statusSuccess
		response.ID = root.text("recordIdentifier")
	default:
		return response, fmt.Errorf("an answer of the kind %q", root.XMLName.Local)
	}
	if diagnostics := root.child("diagnostics"); diagnostics != nil && len(diagnostics.Children) > 0 {
		first := &diagnostics.Children[0]
		response.Diagnostic = &query.Diagnostic{SRU: first.text("uri"), Details: first.text("details")}
	}
	return response, nil
}

// parseRecords returns the records in the response to a search.
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
