package z3950

import (
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
	"rooktrestle/internal/query"
)

// Sizes of a response in bytes, as estimated for the agreed message size.
const (
	responseOverhead = 512
	recordOverhead   = 64 // of each record
)

// Values of fields of a request to delete result sets, and of its response.
const (
	deleteFunctionAll     = 1
	deleteStatusSuccess   = 0
	deleteStatusNoSuchSet = 1
)

// resultSet is the result of a search. It belongs to its association and is dropped with it.
type resultSet struct {
	query     query.Node
	databases []string
	count     int            // records that match the query
	records   []query.Record // the first of them
	fetched   int            // how many records were requested from the servers; all present ones up to it are in records
}

// page returns the fetched records from a position on, which counts from 1.
func (s *resultSet) page(start, number int) []query.Record {
	fetched := gateway.Outcome{Records: s.records}
	return fetched.Page(start, number)
}

// fitting returns as many of the records as the agreed message size has room for, but at least one.
func (a *association) fitting(records []query.Record) []query.Record {
	space := a.messageSize - responseOverhead
	for i, record := range records {
		space -= len(record.XML) + recordOverhead
		if space < 0 && i > 0 {
			return records[:i]
		}
	}
	return records
}

// presentStatus returns the status of a response with fewer or as many records as requested.
func presentStatus(sent, requested int) int {
	if sent < requested {
		return presentStatusPartial
	}
	return presentStatusSuccess
}

// recordSyntax returns the record syntax that a request prefers, XML by default, and whether it is supported.
func recordSyntax(unit *z3950.Node) (oid string, supported bool) {
	field := unit.Child(z3950.FieldRecordSyntax)
	if field == nil {
		return z3950.OidXML, true
	}
	oid = field.OID()
	return oid, oid == z3950.OidXML || oid == z3950.OidSUTRS
}

// deleteResultSets handles a request to delete all result sets or those of a list.
func (a *association) deleteResultSets(unit *z3950.Node) {
	status := deleteStatusSuccess
	if unit.Child(z3950.FieldDeleteFunction).IntOr(-1) == deleteFunctionAll {
		clear(a.sets)
	} else {
		for _, name := range resultSetList(unit) {
			if a.sets[name] == nil {
				status = deleteStatusNoSuchSet
			}
			delete(a.sets, name)
		}
	}
	a.send(z3950.Constructed(z3950.DeleteResponse,
		unit.Child(z3950.FieldReferenceID),
		z3950.Integer(z3950.FieldDeleteOperationStatus, status)))
}

// resultSetList returns the names of result sets in a request to delete them.
func resultSetList(unit *z3950.Node) []string {
	var names []string
	for _, field := range unit.Children {
		if field.Class != z3950.Universal || field.Tag != z3950.TagSequence {
			continue
		}
		for _, name := range field.Children {
			names = append(names, name.Text())
		}
	}
	return names
}
