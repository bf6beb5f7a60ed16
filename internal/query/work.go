package query

import (
	"encoding/json"
	"encoding/xml"
	"strings"
)

// Work is what each part of a query carries to a server: a search (CQL and MaxRecords), or a correction (Action and
// Record).
type Work struct {
	CQL        string `json:"cql,omitempty"`
	MaxRecords int    `json:"most,omitempty"` // records requested
	Action     Action `json:"action,omitempty"`
	Record     Record `json:"record,omitzero"`
}

// Action is what a correction does to a record; empty: the work is a search.
type Action string

// Actions, as named by SRU Record Update.
const (
	ActionCreate  Action = "create"
	ActionReplace Action = "replace"
	ActionDelete  Action = "delete"
)

// Record is one record.
type Record struct {
	ID     string `json:"id,omitempty"`
	Schema string `json:"schema,omitempty"`
	XML    string `json:"xml,omitempty"`
}

// Identifier returns the record's ID or, if that is empty, the first identifier element of its XML (Dublin Core); empty
// if there is neither.
func (r Record) Identifier() string {
	if r.ID != "" {
		return r.ID
	}
	decoder := xml.NewDecoder(strings.NewReader(r.XML))
	for {
		next, err := decoder.Token()
		if err != nil {
			return ""
		}
		if element, ok := next.(xml.StartElement); ok && element.Name.Local == "identifier" {
			var text string
			if decoder.DecodeElement(&text, &element) != nil {
				return ""
			}
			return strings.TrimSpace(text)
		}
	}
}

// PartResult is a server's answer to a part.
type PartResult struct {
	Count      int         `json:"count"` // records found, of which Records may contain fewer
	Records    []Record    `json:"records,omitempty"`
	Diagnostic *Diagnostic `json:"trouble,omitempty"` // set if the server rejected the request
}

// Diagnostic is a diagnostic that a server returned for a request.
type Diagnostic struct {
	SRU     string `json:"sru,omitempty"` // URI
	Bib1    int    `json:"bib1,omitempty"`
	Details string `json:"details,omitempty"`
}

// Encode returns the JSON of a part's work or result.
func Encode[T Work | PartResult](value T) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // strings and numbers only: cannot fail
	}
	return string(text)
}
