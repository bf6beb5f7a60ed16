package sru

import (
	"fmt"
	"strings"

	"rooktrestle/internal/query"
)

// Update is a request to create, replace or delete a record.
type Update struct {
	Action query.Action
	Record query.Record
}

// ParseUpdate decodes an updateRequest, bare or in a SOAP envelope. The error is a *DiagnosticError; the returned
// update then contains the fields that were decoded before it.
func ParseUpdate(text []byte) (Update, error) {
	var update Update
	request, err := parseXML(text)
	if err != nil {
		return update, NewDiagnosticError(UnsupportedValue, err.Error())
	}
	if request.XMLName.Local != "updateRequest" {
		return update, NewDiagnosticError(UnsupportedOperation, request.XMLName.Local)
	}
	switch request.text("version") {
	case "", "1.0", "1.1", "1.2":
	default:
		return update, NewDiagnosticError(UnsupportedVersion, "1.0")
	}
	action := request.text("action")
	update.Action = query.Action(strings.TrimPrefix(action, actionPrefix))
	switch update.Action {
	case query.ActionCreate, query.ActionReplace, query.ActionDelete:
	default:
		return update, NewDiagnosticError(UnsupportedValue, "action "+action)
	}
	update.Record.ID = request.text("recordIdentifier")
	if record := request.child("record"); record != nil {
		update.Record.Schema = record.text("recordSchema")
		update.Record.XML = recordData(request, record)
	}
	if update.Record.ID == "" {
		return update, NewDiagnosticError(MissingParameter, "recordIdentifier")
	}
	if update.Record.XML == "" && update.Action != query.ActionDelete {
		return update, NewDiagnosticError(MissingParameter, "record")
	}
	return update, nil
}

// UpdateRequest encodes an update in a SOAP envelope.
func UpdateRequest(update Update) []byte {
	record := ""
	if update.Record.XML != "" {
		record = fmt.Sprintf("<record><recordSchema>%s</recordSchema><recordPacking>xml</recordPacking>"+
			"<recordData>%s</recordData></record>",
			EscapeText(schemaOf(update.Record)), update.Record.XML)
	}
	return fmt.Appendf(nil, XMLHeader+
		`<soap:Envelope xmlns:soap="%s"><soap:Body><updateRequest xmlns="%s"><version>1.0</version>`+
		"<action>%s%s</action><recordIdentifier>%s</recordIdentifier>%s</updateRequest></soap:Body></soap:Envelope>\n",
		namespaceSOAP, namespaceUpdate, actionPrefix, update.Action, EscapeText(update.Record.ID), record)
}

// UpdateResponse encodes the response to an update of the record id in a SOAP envelope.
func UpdateResponse(succeeded bool, id string, diagnostics []query.Diagnostic) []byte {
	status := statusFail
	if succeeded {
		status = statusSuccess
	}
	return fmt.Appendf(nil, XMLHeader+
		`<soap:Envelope xmlns:soap="%s"><soap:Body><updateResponse xmlns="%s"><version>1.0</version>`+
		"<operationStatus>%s</operationStatus><recordIdentifier>%s</recordIdentifier>%s"+
		"</updateResponse></soap:Body></soap:Envelope>\n",
		namespaceSOAP, namespaceUpdate, status, EscapeText(id), diagnosticsElement(diagnostics))
}
