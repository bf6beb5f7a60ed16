package query

import (
	"encoding/json"
	"encoding/xml"
	"strings"
)

// Work is what each part of a query has to carry: a search, or a record to be changed.
type Work struct {
	CQL        string `json:"cql,omitempty"`
	MaxRecords int    `json:"most,omitempty"` // records wanted
	Action     Action `json:"action,omitempty"`
	Record     Record `json:"record,omitzero"`
}

// Action is what a correction does to a record.
type Action string

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

// Identifier is the record's own: as it came with it, or as it stands in its Dublin Core; empty if neither says.
func (r Record) Identifier() string {
	if r.ID != "" {
		return r.ID
	}
	d := xml.NewDecoder(strings.NewReader(r.XML))
	for {
		t, err := d.Token()
		if err != nil {
			return ""
		}
		if e, ok := t.(xml.StartElement); ok && e.Name.Local == "identifier" {
			var text string
			if d.DecodeElement(&text, &e) != nil {
				return ""
			}
			return strings.TrimSpace(text)
		}
	}
}

// PartResult is the value of a part.
type PartResult struct {
	Count      int         `json:"count"`
	Records    []Record    `json:"records,omitempty"`
	Diagnostic *Diagnostic `json:"trouble,omitempty"` // the server's word on the query itself
}

// Diagnostic is a server's word on what is wrong with a request.
type Diagnostic struct {
	SRU     string `json:"sru,omitempty"` // whole URI
	Bib1    int    `json:"bib1,omitempty"`
	Details string `json:"details,omitempty"`
}

// Encode prints a value that always can be.
func Encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain strings and numbers: cannot fail
	}
	return string(text)
}
