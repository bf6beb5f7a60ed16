package sru

import (
	"encoding/xml"
	"errors"
	"net/url"
	"strings"
	"testing"

	"rooktrestle/internal/query"
)

// The other tests refer to diagnostics by these constants, so only this test detects a wrong code on the wire.
func TestDiagnostics_HaveTheNumbersOfTheSet(t *testing.T) {
	for number, got := range map[int]int{
		1:   GeneralSystemError,
		2:   TemporarilyUnavailable,
		4:   UnsupportedOperation,
		5:   UnsupportedVersion,
		6:   UnsupportedValue,
		7:   MissingParameter,
		8:   UnsupportedParameter,
		50:  ResultSetsUnsupported,
		59:  PartialResults,
		61:  FirstRecordOutOfRange,
		66:  UnknownSchema,
		71:  UnsupportedPacking,
		80:  SortUnsupported,
		110: StylesheetsUnsupported,
		235: DatabaseDoesNotExist,
	} {
		if got != number {
			t.Errorf("diagnostic code %d, want %d", got, number)
		}
		if messages[number] == "" {
			t.Errorf("diagnostic %d has no message", number)
		}
	}
}

func TestParseRequest_Diagnostics(t *testing.T) {
	valid := "operation=searchRetrieve&version=1.2&query=cat"
	for more, want := range map[string]int{
		"": 0,
		"&maximumRecords=0&startRecord=3&recordPacking=string&x-any=1": 0,
		"&startRecord=0":     UnsupportedValue,
		"&maximumRecords=-1": UnsupportedValue,
		"&recordPacking=pdf": UnsupportedPacking,
		"&sortKeys=date":     SortUnsupported,
		"&stylesheet=x":      StylesheetsUnsupported,
		"&nothing=1":         UnsupportedParameter,
		"&version=1.2":       UnsupportedValue,
	} {
		params, err := url.ParseQuery(valid + more)
		if err != nil {
			t.Fatal(err)
		}
		_, err = ParseRequest(params)
		var diagnosticError *DiagnosticError
		if got := errors.As(err, &diagnosticError); got != (want != 0) || got && diagnosticError.Code != want {
			t.Errorf("%s: %v, want %d", more, err, want)
		}
	}
	for text, want := range map[string]int{
		"version=1.2":                                                      MissingParameter,
		"operation=scan&version=1.2":                                       UnsupportedOperation,
		"operation=searchRetrieve":                                         MissingParameter,
		"operation=searchRetrieve&version=3.0":                             UnsupportedVersion,
		"operation=searchRetrieve&version=1.2":                             MissingParameter,
		"operation=searchRetrieve&version=1.2&query=cql.resultSetId+%3D+x": ResultSetsUnsupported,
	} {
		params, _ := url.ParseQuery(text)
		_, err := ParseRequest(params)
		var diagnosticError *DiagnosticError
		if !errors.As(err, &diagnosticError) || diagnosticError.Code != want {
			t.Errorf("%s: %v, want %d", text, err, want)
		}
	}
}

func TestUpdates_RoundTripAndDiagnostics(t *testing.T) {
	for _, u := range []Update{
		{Action: query.ActionReplace, Record: query.Record{ID: `3:<&"`, Schema: DefaultSchema, XML: `<a x="1"><b/></a>`}},
		{Action: query.ActionDelete, Record: query.Record{ID: "1:x"}},
	} {
		if got, err := ParseUpdate(UpdateRequest(u)); err != nil || got != u {
			t.Errorf("%+v encoded and decoded: %+v, %v", u, got, err)
		}
	}
	for text, want := range map[string]int{
		"nonsense": UnsupportedValue,
		"<other/>": UnsupportedOperation,
		"<updateRequest><action>info:srw/action/1/burn</action></updateRequest>":                                         UnsupportedValue,
		"<updateRequest><action>info:srw/action/1/delete</action></updateRequest>":                                       MissingParameter,
		"<updateRequest><action>info:srw/action/1/create</action><recordIdentifier>x</recordIdentifier></updateRequest>": MissingParameter,
		`<!DOCTYPE a [<!ENTITY b "c">]><updateRequest/>`:                                                                 UnsupportedValue,
		strings.Repeat("<a>", maxDepth+1) + strings.Repeat("</a>", maxDepth+1):                                           UnsupportedValue,
		"<updateRequest><version>9</version><action>info:srw/action/1/delete</action></updateRequest>":                   UnsupportedVersion,
	} {
		_, err := ParseUpdate([]byte(text))
		var diagnosticError *DiagnosticError
		if !errors.As(err, &diagnosticError) || diagnosticError.Code != want {
			t.Errorf("%.60s: %v, want %d", text, err, want)
		}
	}
}

// Guards against records whose namespace prefixes are declared outside of recordData and are lost when the record is
// taken out of the response, and against a malformed record that makes the complete response malformed.
func TestRecords_KeepNamespacePrefixes(t *testing.T) {
	in := `<z:searchRetrieveResponse xmlns:z="http://www.loc.gov/zing/srw/" xmlns:dc="http://purl.org/dc/elements/1.1/">` +
		`<z:numberOfRecords>1</z:numberOfRecords><z:records><z:record><z:recordPacking>xml</z:recordPacking>` +
		`<z:recordData><dc:title>x</dc:title></z:recordData></z:record></z:records></z:searchRetrieveResponse>`
	r, err := ParseResponse([]byte(in))
	if err != nil || len(r.Records) != 1 {
		t.Fatal(r, err)
	}
	var title struct{ XMLName xml.Name }
	const dublinCore = "http://purl.org/dc/elements/1.1/"
	if err := xml.Unmarshal([]byte(r.Records[0].XML), &title); err != nil || title.XMLName.Space != dublinCore {
		t.Errorf("%s: %v %v", r.Records[0].XML, title, err)
	}
	out := SearchResponse(SearchResult{
		Count: 2, Records: append(r.Records, query.Record{XML: "<broken"}), StartRecord: 1, Packing: PackingXML,
	})
	again, err := ParseResponse(out)
	if err != nil || len(again.Records) != 2 || again.Records[1].XML != "<broken" || again.Records[0].XML != r.Records[0].XML {
		t.Errorf("%s: %+v %v", out, again, err)
	}
}
