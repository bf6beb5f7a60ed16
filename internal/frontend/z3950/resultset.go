package z3950

import (
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// Estimated encoding overhead in bytes, subtracted from the negotiated message size.
const (
	responseOverhead = 512
	recordOverhead   = 64 // per record
)

// Values of fields of DeleteResultSetRequest and DeleteResultSetResponse.
const (
	deleteFunctionAll     = 1
	deleteStatusSuccess   = 0
	deleteStatusNoSuchSet = 1
)

// resultSet is the result of a search. It belongs to one association and is discarded with it.
type resultSet struct {
	query     query.Node
	databases []string
	count     int            // records that match the query
	records   []query.Record // cached records, from the first match on
	fetched   int            // position up to which records were requested from the servers; records has all that exist
}

// page returns up to number cached records from position start, which counts from 1.
func (s *resultSet) page(start, number int) []query.Record {
	fetched := gateway.Outcome{Records: s.records}
	return fetched.Page(start, number)
}

// limitToMessageSize returns as many of the records as fit into a message of the negotiated size, but at least one.
func (a *association) limitToMessageSize(records []query.Record) []query.Record {
	space := a.messageSize - responseOverhead
	for i, record := range records {
		space -= len(record.XML) + recordOverhead
		if space < 0 && i > 0 {
			return records[:i]
		}
	}
	return records
}

// presentStatus returns the present status of a response with sent out of requested records.
func presentStatus(sent, requested int) int {
	if sent < requested {
		return presentStatusPartial
	}
	return presentStatusSuccess
}

// recordSyntax returns a request's preferred record syntax, XML by default, and whether it is supported.
func recordSyntax(pdu *z3950.Node) (oid string, supported bool) {
	field := pdu.Child(z3950.FieldRecordSyntax)
	if field == nil {
		return z3950.OidXML, true
	}
	oid = field.OID()
	return oid, oid == z3950.OidXML || oid == z3950.OidSUTRS
}

// deleteResultSets handles a request to delete all result sets or those in a list.
func (a *association) deleteResultSets(pdu *z3950.Node) {
	status := deleteStatusSuccess
	if pdu.Child(z3950.FieldDeleteFunction).IntOr(-1) == deleteFunctionAll {
		clear(a.resultSets)
	} else {
		for _, name := range resultSetList(pdu) {
			if a.resultSets[name] == nil {
				status = deleteStatusNoSuchSet
			}
			delete(a.resultSets, name)
		}
	}
	a.send(z3950.Constructed(z3950.DeleteResponse,
		pdu.Child(z3950.FieldReferenceID),
		z3950.Integer(z3950.FieldDeleteOperationStatus, status)))
}

// resultSetList returns the names of the result sets that a delete request lists.
func resultSetList(pdu *z3950.Node) []string {
	var names []string
	for _, field := range pdu.Children {
		if field.Class != z3950.Universal || field.Tag != z3950.TagSequence {
			continue
		}
		for _, name := range field.Children {
			names = append(names, name.Text())
		}
	}
	return names
}
