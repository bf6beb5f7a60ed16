package z3950

import "rooktrestle/internal/query"

// diagUnspecified is the bib-1 diagnostic of an unspecified error.
const diagUnspecified = 100

// Context tags of the records in a response, and of the encodings of an EXTERNAL.
const (
	recordDatabase            = 0
	recordContent             = 1
	recordRetrieved           = 1 // within recordContent
	recordSurrogateDiagnostic = 2 // within recordContent: why the record is missing
	externalSingleType        = 0
	externalOctets            = 1
)

// Diagnostic returns a diagnostic of the bib-1 set (DefaultDiagFormat) with a context tag.
func Diagnostic(tag, code int, details string) *Node {
	return Constructed(tag, diagnosticFields(code, details)...)
}

// DiagnosticSequence returns a diagnostic of the bib-1 set (DefaultDiagFormat) as a SEQUENCE.
func DiagnosticSequence(code int, details string) *Node {
	return sequence(diagnosticFields(code, details)...)
}

func diagnosticFields(code int, details string) []*Node {
	return []*Node{
		OID(Universal, tagOID, oidDiag),
		primitive(Universal, tagInteger, encodeInteger(code)),
		primitive(Universal, tagGeneral, []byte(details)),
	}
}

// ParseDiagnostic decodes a DefaultDiagFormat. It returns nil if n is absent or not a DefaultDiagFormat.
func ParseDiagnostic(n *Node) *query.Diagnostic {
	if n == nil || len(n.Children) < 2 {
		return nil
	}
	d := &query.Diagnostic{Bib1: n.Children[1].IntOr(diagUnspecified)}
	if len(n.Children) > 2 {
		d.Details = n.Children[2].Text()
	}
	return d
}

// externalXML returns an EXTERNAL that contains XML as octets.
func externalXML(text string) *Node {
	return constructed(Universal, tagExternal, OID(Universal, tagOID, OidXML), String(externalOctets, text))
}

// externalSUTRS returns an EXTERNAL that contains plain text (SUTRS) as one GeneralString.
func externalSUTRS(text string) *Node {
	return constructed(Universal, tagExternal,
		OID(Universal, tagOID, OidSUTRS),
		Constructed(externalSingleType, primitive(Universal, tagGeneral, []byte(text))))
}

// parseExternal returns the text of an EXTERNAL that contains octets or one string; empty if n is absent or not an
// EXTERNAL.
func parseExternal(n *Node) (text string) {
	if n == nil || n.Class != Universal || n.Tag != tagExternal {
		return ""
	}
	for _, child := range n.Children {
		switch {
		case child.hasTag(externalSingleType):
			text = child.OnlyChild().Text()
		case child.hasTag(externalOctets):
			text = child.Text()
		}
	}
	return text
}

// Records returns the response field with records of a database. The record syntax is OidSUTRS or, for any other value,
// OidXML.
func Records(database, syntax string, list []query.Record) *Node {
	records := Constructed(FieldRecords)
	for _, r := range list {
		external := externalXML(r.XML)
		if syntax == OidSUTRS {
			external = externalSUTRS(r.XML)
		}
		records.Children = append(records.Children, sequence(
			String(recordDatabase, database),
			Constructed(recordContent, Constructed(recordRetrieved, external))))
	}
	return records
}

// ParseRecords returns the records in a response and a diagnostic: the one of the complete response or else the first
// surrogate diagnostic, which replaces a missing record; nil if there is none.
func ParseRecords(response *Node) (list []query.Record, d *query.Diagnostic) {
	if d = ParseDiagnostic(response.Child(FieldDiagnostic)); d != nil {
		return nil, d
	}
	if diagnostics := response.Child(fieldMultiDiagnostics); diagnostics != nil && len(diagnostics.Children) > 0 {
		return nil, ParseDiagnostic(diagnostics.Children[0])
	}
	records := response.Child(FieldRecords)
	if records == nil {
		return nil, nil
	}
	for _, record := range records.Children {
		content := record.Child(recordContent).OnlyChild()
		if content == nil {
			continue
		}
		if content.hasTag(recordSurrogateDiagnostic) {
			if d == nil {
				d = ParseDiagnostic(content.OnlyChild())
			}
			continue
		}
		if text := parseExternal(content.OnlyChild()); text != "" {
			list = append(list, query.Record{XML: text})
		}
	}
	return list, d
}
