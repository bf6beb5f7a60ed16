// Package sru speaks SRU 1.2 and its record update over HTTP: requests, answers and diagnostics, worded and read.
package sru

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

const (
	NsSRW    = "http://www.loc.gov/zing/srw/"
	nsDiag   = "http://www.loc.gov/zing/srw/diagnostic/"
	nsUpdate = "http://www.loc.gov/zing/srw/update/"
	nsSOAP   = "http://schemas.xmlsoap.org/soap/envelope/"
	Diag     = "info:srw/diagnostic/1/"
	action   = "info:srw/action/1/"
	// DefaultSchema of records where none is named.
	DefaultSchema = "info:srw/schema/1/dc-v1.1"
	maxDepth      = 32
)

// Request is a searchRetrieve or explain request.
type Request struct {
	Operation string
	Query     query.Node
	Text      string // of the query
	Start     int
	Most      int // records wanted; -1: not said
	Packing   string
	Schema    string
}

// XMLType is the media type of answers and updates.
const XMLType = "text/xml; charset=utf-8"

// Fault is a diagnostic of this side's own.
type Fault struct {
	Code    int // info:srw/diagnostic/1/
	Details string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("%s%d %s: %s", Diag, f.Code, message(f.Code), f.Details)
}

// NewFault returns the diagnostic of a number, with its details.
func NewFault(code int, details string) *Fault { return &Fault{code, details} }

var messages = map[int]string{
	1: "General system error", 2: "System temporarily unavailable", 4: "Unsupported operation",
	5: "Unsupported version", 6: "Unsupported parameter value", 7: "Mandatory parameter not supplied",
	8: "Unsupported parameter", 10: "Query syntax error", 12: "Too many characters in query",
	13: "Invalid or unsupported use of parentheses", 14: "Invalid or unsupported use of quotes",
	15: "Unsupported context set", 16: "Unsupported index", 19: "Unsupported relation",
	20: "Unsupported relation modifier", 24: "Unsupported combination of relation and term",
	27: "Empty term unsupported", 28: "Masking character not supported", 37: "Unsupported boolean operator",
	38: "Too many boolean operators in query", 46: "Unsupported boolean modifier",
	50: "Result sets not supported", 59: "Result set created with valid partial results available",
	61: "First record position out of range", 66: "Unknown schema for retrieval", 71: "Unsupported record packing",
	80: "Sort not supported", 110: "Stylesheets not supported", 235: "Database does not exist",
}

func message(code int) string { return messages[code] }

// ParseRequest reads the parameters of a request.
func ParseRequest(params url.Values) (Request, error) {
	r := Request{Start: 1, Most: -1, Packing: "xml", Operation: params.Get("operation")}
	if len(params) == 0 {
		r.Operation = "explain"
		return r, nil
	}
	for name, values := range params {
		if len(values) > 1 {
			return r, NewFault(6, name)
		}
	}
	if v := params.Get("version"); v == "" {
		return r, NewFault(7, "version")
	} else if v != "1.1" && v != "1.2" {
		return r, NewFault(5, "1.2")
	}
	switch r.Operation {
	case "explain":
		return r, nil
	case "searchRetrieve":
	case "":
		return r, NewFault(7, "operation")
	default:
		return r, NewFault(4, r.Operation)
	}
	for name, values := range params {
		v := values[0]
		switch name {
		case "version", "operation", "resultSetTTL":
		case "query":
			r.Text = v
		case "startRecord":
			n, err := strconv.Atoi(v)
			if err != nil || n < 1 {
				return r, NewFault(6, name)
			}
			r.Start = n
		case "maximumRecords":
			n, err := strconv.Atoi(v)
			if err != nil || n < 0 {
				return r, NewFault(6, name)
			}
			r.Most = n
		case "recordPacking":
			if v != "xml" && v != "string" {
				return r, NewFault(71, v)
			}
			r.Packing = v
		case "recordSchema":
			r.Schema = v
		case "sortKeys":
			if v != "" {
				return r, NewFault(80, v)
			}
		case "stylesheet":
			return r, NewFault(110, v)
		default:
			if !strings.HasPrefix(name, "x-") {
				return r, NewFault(8, name)
			}
		}
	}
	if r.Text == "" {
		return r, NewFault(7, "query")
	}
	n, err := query.Parse(r.Text)
	if err != nil {
		return r, AsFault(err)
	}
	if _, err := query.ResolveResultSets(n, func(string) (query.Node, error) { return nil, NewFault(50, "cql.resultSetId") }); err != nil {
		return r, err
	}
	r.Query = n
	return r, nil
}

func AsFault(err error) *Fault {
	var q *query.Error
	var f *Fault
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &q):
		return NewFault(q.SRU, q.Details)
	}
	return NewFault(1, err.Error())
}

// Update is a record update request.
type Update struct {
	Action query.Action
	Record query.Record
}

// element is any OIDXML element.
type element struct {
	XMLName  xml.Name
	Attrs    []xml.Attr `xml:",any,attr"`
	Inner    string     `xml:",innerxml"`
	Text     string     `xml:",chardata"`
	Children []element  `xml:",any"`
}

func (e *element) child(name string) *element {
	for i := range e.Children {
		if e.Children[i].XMLName.Local == name {
			return &e.Children[i]
		}
	}
	return nil
}

// content is the markup inside an element at the end of a path. Prefixes that an element on the way declares
// are declared anew on what is inside, which would lose its names otherwise.
func content(path ...*element) string {
	text := strings.TrimSpace(path[len(path)-1].Inner)
	end := strings.IndexAny(text, "> /\t\r\n")
	if !strings.HasPrefix(text, "<") || end < 2 || text[1] == '!' || text[1] == '?' {
		return text
	}
	tag, _, _ := strings.Cut(text, ">")
	declared := map[string]string{}
	var order []string
	for _, e := range path {
		for _, a := range e.Attrs {
			if a.Name.Space == "xmlns" {
				if _, twice := declared[a.Name.Local]; !twice {
					order = append(order, a.Name.Local)
				}
				declared[a.Name.Local] = a.Value
			}
		}
	}
	add := ""
	for _, prefix := range order {
		if !strings.Contains(tag, "xmlns:"+prefix+"=") && strings.Contains(text, prefix+":") {
			add += fmt.Sprintf(` xmlns:%s="%s"`, prefix, Esc(declared[prefix]))
		}
	}
	return text[:end] + add + text[end:]
}

func (e *element) text(path ...string) string {
	for _, name := range path {
		if e = e.child(name); e == nil {
			return ""
		}
	}
	return strings.TrimSpace(e.Text)
}

// parseXML reads a document. Guards the stack and the reader against depth and against entities.
func parseXML(text []byte) (*element, error) {
	d := xml.NewDecoder(strings.NewReader(string(text)))
	for depth := 0; ; {
		t, err := d.Token()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
		switch t.(type) {
		case xml.StartElement:
			if depth++; depth > maxDepth {
				return nil, fmt.Errorf("elements nested over %d deep", maxDepth)
			}
		case xml.EndElement:
			depth--
		case xml.Directive:
			return nil, errors.New("a document type is not taken")
		}
	}
	var e element
	if err := xml.Unmarshal(text, &e); err != nil {
		return nil, err
	}
	if e.XMLName.Local == "Envelope" {
		body := e.child("Body")
		if body == nil || len(body.Children) != 1 {
			return nil, errors.New("an envelope without one message")
		}
		return &body.Children[0], nil
	}
	return &e, nil
}

// ParseUpdate reads an updateRequest, bare or in a SOAP envelope.
func ParseUpdate(text []byte) (u Update, err error) {
	e, err := parseXML(text)
	if err != nil {
		return u, NewFault(6, err.Error())
	}
	if e.XMLName.Local != "updateRequest" {
		return u, NewFault(4, e.XMLName.Local)
	}
	if v := e.text("version"); v != "" && v != "1.0" && v != "1.1" && v != "1.2" {
		return u, NewFault(5, "1.0")
	}
	what := e.text("action")
	u.Action = query.Action(strings.TrimPrefix(what, action))
	if u.Action != query.ActionCreate && u.Action != query.ActionReplace && u.Action != query.ActionDelete {
		return u, NewFault(6, "action "+what)
	}
	u.Record.ID = e.text("recordIdentifier")
	if rec := e.child("record"); rec != nil {
		u.Record.Schema = rec.text("recordSchema")
		if data := rec.child("recordData"); data != nil {
			if u.Record.XML = content(e, rec, data); rec.text("recordPacking") == "string" {
				u.Record.XML = strings.TrimSpace(data.Text)
			}
		}
	}
	if u.Record.ID == "" {
		return u, NewFault(7, "recordIdentifier")
	}
	if u.Record.XML == "" && u.Action != query.ActionDelete {
		return u, NewFault(7, "record")
	}
	return u, nil
}

func Esc(s string) string {
	var b strings.Builder
	xml.EscapeText(&b, []byte(s))
	return b.String()
}

func diagnostics(tag string, ds []query.Diagnostic) string {
	if len(ds) == 0 {
		return ""
	}
	var b strings.Builder
	for _, d := range ds {
		code := 0
		if strings.HasPrefix(d.SRU, Diag) {
			code, _ = strconv.Atoi(d.SRU[len(Diag):])
		}
		fmt.Fprintf(&b, `<diagnostic xmlns="%s"><uri>%s</uri><details>%s</details><message>%s</message></diagnostic>`,
			nsDiag, Esc(d.SRU), Esc(d.Details), Esc(message(code)))
	}
	return "<" + tag + ">" + b.String() + "</" + tag + ">"
}

// Diagnose makes a diagnostic of a fault.
func (f *Fault) Diagnose() query.Diagnostic {
	return query.Diagnostic{SRU: Diag + strconv.Itoa(f.Code), Details: f.Details}
}

const Head = `<?xml version="1.0" encoding="UTF-8"?>` + "\n"

// SearchResponse prints the answer to a search. next is the position after the last record, or 0.
func SearchResponse(count int, records []query.Record, start, next int, packing string, ds []query.Diagnostic) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, Head+`<searchRetrieveResponse xmlns="%s"><version>1.2</version><numberOfRecords>%d</numberOfRecords>`, NsSRW, count)
	if len(records) > 0 {
		b.WriteString("<records>")
		for i, r := range records {
			data, packing := r.XML, packing
			// Guards the whole answer against a record that a server gave in a form that is not OIDXML.
			if _, err := parseXML([]byte(data)); err != nil {
				packing = "string"
			}
			if packing == "string" {
				data = Esc(data)
			}
			schema := r.Schema
			if schema == "" {
				schema = DefaultSchema
			}
			fmt.Fprintf(&b, "<record><recordSchema>%s</recordSchema><recordPacking>%s</recordPacking><recordData>%s</recordData>",
				Esc(schema), packing, data)
			if r.ID != "" {
				fmt.Fprintf(&b, "<recordIdentifier>%s</recordIdentifier>", Esc(r.ID))
			}
			fmt.Fprintf(&b, "<recordPosition>%d</recordPosition></record>", start+i)
		}
		b.WriteString("</records>")
	}
	if next > 0 {
		fmt.Fprintf(&b, "<nextRecordPosition>%d</nextRecordPosition>", next)
	}
	b.WriteString(diagnostics("diagnostics", ds) + "</searchRetrieveResponse>\n")
	return []byte(b.String())
}

// UpdateResponse prints the answer to an update.
func UpdateResponse(good bool, id string, ds []query.Diagnostic) []byte {
	status := "fail"
	if good {
		status = "success"
	}
	return fmt.Appendf(nil, Head+`<soap:Envelope xmlns:soap="%s"><soap:Body><updateResponse xmlns="%s"><version>1.0</version>`+
		"<operationStatus>%s</operationStatus><recordIdentifier>%s</recordIdentifier>%s</updateResponse></soap:Body></soap:Envelope>\n",
		nsSOAP, nsUpdate, status, Esc(id), diagnostics("diagnostics", ds))
}

// UpdateRequest prints an update in a SOAP envelope.
func UpdateRequest(u Update) []byte {
	schema := u.Record.Schema
	if schema == "" {
		schema = DefaultSchema
	}
	record := ""
	if u.Record.XML != "" {
		record = fmt.Sprintf("<record><recordSchema>%s</recordSchema><recordPacking>xml</recordPacking><recordData>%s</recordData></record>",
			Esc(schema), u.Record.XML)
	}
	return fmt.Appendf(nil, Head+`<soap:Envelope xmlns:soap="%s"><soap:Body><updateRequest xmlns="%s"><version>1.0</version>`+
		"<action>%s%s</action><recordIdentifier>%s</recordIdentifier>%s</updateRequest></soap:Body></soap:Envelope>\n",
		nsSOAP, nsUpdate, action, u.Action, Esc(u.Record.ID), record)
}

// SearchTarget is the target of a GET for a search on a database.
func SearchTarget(database, cql string, start, most int) string {
	v := url.Values{
		"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {cql}, "recordPacking": {"xml"},
		"startRecord": {strconv.Itoa(start)}, "maximumRecords": {strconv.Itoa(most)},
	}
	return "/" + url.PathEscape(database) + "?" + v.Encode()
}

// Response is what a server answered, to a search or an update.
type Response struct {
	query.PartResult
	Update bool
	Good   bool // update: it succeeded
	ID     string
}

// ParseResponse reads a server's answer.
func ParseResponse(text []byte) (r Response, err error) {
	e, err := parseXML(text)
	if err != nil {
		return r, err
	}
	switch e.XMLName.Local {
	case "searchRetrieveResponse":
		if r.Count, err = strconv.Atoi(e.text("numberOfRecords")); err != nil || r.Count < 0 {
			return r, fmt.Errorf("numberOfRecords %q", e.text("numberOfRecords"))
		}
		if list := e.child("records"); list != nil {
			for i := range list.Children {
				rec := &list.Children[i]
				if rec.XMLName.Local != "record" {
					continue
				}
				one := query.Record{ID: rec.text("recordIdentifier"), Schema: rec.text("recordSchema")}
				if data := rec.child("recordData"); data != nil {
					if one.XML = content(e, list, rec, data); rec.text("recordPacking") == "string" {
						one.XML = strings.TrimSpace(data.Text)
					}
				}
				r.Records = append(r.Records, one)
			}
		}
	case "updateResponse":
		r.Update, r.Good, r.ID = true, e.text("operationStatus") == "success", e.text("recordIdentifier")
	default:
		return r, fmt.Errorf("an answer of the kind %q", e.XMLName.Local)
	}
	if ds := e.child("diagnostics"); ds != nil && len(ds.Children) > 0 {
		d := &ds.Children[0]
		r.Diagnostic = &query.Diagnostic{SRU: d.text("uri"), Details: d.text("details")}
	}
	return r, nil
}
