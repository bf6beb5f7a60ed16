// Package sru is the SRU front: a server.
package sru

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"

	"rooktrestle/internal/config"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// Server is the SRU front.
type Server struct{ Service *gateway.Service }

// Handle answers one request: /DATABASE with the parameters of SRU, or an update in a POST of OIDXML.
func (s *Server) Handle(x *httpserve.Exchange) {
	path, text, _ := strings.Cut(x.Target, "?")
	name, err := url.PathUnescape(strings.Trim(path, "/"))
	if err != nil {
		x.Respond(400, []byte("path\n"))
		return
	}
	if name == "" {
		name = s.Service.Config.Databases[0].Name
	}
	base := s.Service.Database(name)
	kind, _, _ := strings.Cut(x.Header.Get("Content-Type"), ";")
	switch {
	case x.Method == "POST" && strings.HasSuffix(strings.TrimSpace(kind), "xml"):
		s.update(x, name)
		return
	case x.Method == "POST" && strings.TrimSpace(kind) == "application/x-www-form-urlencoded":
		text = string(x.Body)
	case x.Method != "GET" && x.Method != "HEAD":
		x.Respond(405, []byte("GET or POST\n"), "Allow", "GET, HEAD, POST")
		return
	}
	params, err := url.ParseQuery(text)
	if err != nil {
		s.refuse(x, sru.NewFault(6, "the query string cannot be read"))
		return
	}
	r, err := sru.ParseRequest(params)
	if err != nil {
		s.refuse(x, sru.AsFault(err))
		return
	}
	if base == nil {
		s.refuse(x, sru.NewFault(235, name))
		return
	}
	if r.Operation == "explain" {
		x.Respond(200, s.explain(base), "Content-Type", sru.XMLType)
		return
	}
	s.search(x, base, r)
}

func (s *Server) refuse(x *httpserve.Exchange, f *sru.Fault) {
	x.Respond(200, sru.SearchResponse(0, nil, 1, 0, "xml", []query.Diagnostic{f.Diagnose()}), "Content-Type", sru.XMLType)
}

func (s *Server) search(x *httpserve.Exchange, base *config.Database, r sru.Request) {
	limit := s.Service.Config.Limits.MaxRecords
	if r.Most < 0 {
		r.Most = min(10, limit)
	}
	if r.Schema != "" && r.Schema != "dc" && r.Schema != sru.DefaultSchema {
		s.refuse(x, sru.NewFault(66, r.Schema))
		return
	}
	if r.Start > limit {
		s.refuse(x, sru.NewFault(61, strconv.Itoa(r.Start)))
		return
	}
	r.Most = min(r.Most, limit-r.Start+1)
	answer := func(o gateway.Outcome) {
		if o.Kind != gateway.Complete && o.Kind != gateway.Partial {
			status, ds, fields := troubles(o)
			x.Respond(status, sru.SearchResponse(0, nil, 1, 0, "xml", ds), fields...)
			return
		}
		var ds []query.Diagnostic
		if o.Kind == gateway.Partial {
			ds = append(ds, sru.NewFault(59, o.Coverage()).Diagnose())
		}
		if r.Start > 1 && r.Start > o.Count {
			ds = append(ds, sru.NewFault(61, strconv.Itoa(r.Start)).Diagnose())
		}
		records := o.Page(r.Start, r.Most)
		next := 0
		if end := r.Start + len(records); len(records) > 0 && end <= o.Count {
			next = end
		}
		x.Respond(200, sru.SearchResponse(o.Count, records, r.Start, next, r.Packing, ds), "Content-Type", sru.XMLType)
	}
	cancel, known := s.Service.Search(gateway.Caller{}, []string{base.Name}, r.Query, r.Start-1+r.Most, answer)
	wait(x, cancel, known, answer)
}

// wait leaves a request to its outcome, or gives it up if the client has left.
func wait(x *httpserve.Exchange, cancel gateway.Cancel, known *gateway.Outcome, answer func(gateway.Outcome)) {
	if known != nil {
		answer(*known)
	} else if !x.OnDisconnect(cancel) {
		cancel() // answered already, or the client is gone: nothing of it is left to give up, or all of it
	}
}

// troubles words an outcome that is no answer. Refusals also say so in the status, with when to come back.
func troubles(o gateway.Outcome) (status int, ds []query.Diagnostic, fields []string) {
	fields = []string{"Content-Type", sru.XMLType}
	one := func(f *sru.Fault) []query.Diagnostic { return []query.Diagnostic{f.Diagnose()} }
	switch o.Kind {
	case gateway.Rejected:
		if o.RetryAfter > 0 {
			fields = append(fields, "Retry-After", strconv.Itoa(int(math.Ceil(o.RetryAfter.Seconds()))))
		}
		return 503, one(sru.NewFault(2, fmt.Sprintf("refused; asking again is harmless, after %v", o.RetryAfter))), fields
	case gateway.TimedOut:
		return 200, one(sru.NewFault(1, "timed out")), fields
	case gateway.UnknownDatabase:
		return 200, one(sru.NewFault(235, o.Details)), fields
	case gateway.ReadOnly:
		return 200, one(sru.NewFault(4, "update of "+o.Details)), fields
	case gateway.ServerDiagnostic:
		d := *o.Diagnostic
		if d.SRU == "" {
			d.SRU, d.Details = sru.Diag+"1", fmt.Sprintf("bib-1 %d %s", d.Bib1, d.Details)
		}
		return 200, []query.Diagnostic{d}, fields
	}
	return 200, one(sru.NewFault(1, strings.TrimSpace("failed "+o.Details))), fields
}

func (s *Server) update(x *httpserve.Exchange, name string) {
	u, err := sru.ParseUpdate(x.Body)
	if err != nil {
		x.Respond(200, sru.UpdateResponse(false, u.Record.ID, []query.Diagnostic{sru.AsFault(err).Diagnose()}), "Content-Type", sru.XMLType)
		return
	}
	answer := func(o gateway.Outcome) {
		if o.Kind == gateway.Complete {
			x.Respond(200, sru.UpdateResponse(true, u.Record.ID, nil), "Content-Type", sru.XMLType)
			return
		}
		status, ds, fields := troubles(o)
		x.Respond(status, sru.UpdateResponse(false, u.Record.ID, ds), fields...)
	}
	cancel, known := s.Service.Correct(gateway.Caller{}, name, u.Action, u.Record, answer)
	wait(x, cancel, known, answer)
}

func (s *Server) explain(d *config.Database) []byte {
	host, port, _ := strings.Cut(s.Service.Config.Listen.SRU, ":")
	title := d.Title
	if title == "" {
		title = d.Name
	}
	var idx strings.Builder
	for _, name := range query.IndexNames() {
		set, short, _ := strings.Cut(name, ".")
		fmt.Fprintf(&idx, `<index search="true" scan="false" sort="false"><title>%s</title><map><name set="%s">%s</name></map></index>`,
			sru.Esc(name), sru.Esc(set), sru.Esc(short))
	}
	return fmt.Appendf(nil, sru.Head+`<explainResponse xmlns="%s"><version>1.2</version><record>`+
		`<recordSchema>http://explain.z3950.org/dtd/2.0/</recordSchema><recordPacking>xml</recordPacking><recordData>`+
		`<explain xmlns="http://explain.z3950.org/dtd/2.0/"><serverInfo protocol="SRU" version="1.2" transport="http" method="GET POST">`+
		`<host>%s</host><port>%s</port><database>%s</database></serverInfo><databaseInfo><title>%s</title></databaseInfo>`+
		`<indexInfo>%s</indexInfo><schemaInfo><schema identifier="%s" name="dc"><title>Dublin Core</title></schema></schemaInfo>`+
		`<configInfo><default type="numberOfRecords">10</default><setting type="maximumRecords">%d</setting></configInfo>`+
		`</explain></recordData></record></explainResponse>`+"\n",
		sru.NsSRW, sru.Esc(host), sru.Esc(port), sru.Esc(d.Name), sru.Esc(title), idx.String(), sru.DefaultSchema, s.Service.Config.Limits.MaxRecords)
}
