// Package sru is the SRU frontend: it serves searches, record updates and explain requests on a gateway's databases.
package sru

import (
	"net/url"
	"strconv"
	"strings"

	"rooktrestle/internal/config"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// defaultMaxRecords is the maximum number of records in a response if the request sets none.
const defaultMaxRecords = 10

// Server is the SRU frontend. It stores no state between requests.
type Server struct{ Service *gateway.Service }

// Handle handles one request and responds when its outcome is known, which may be after Handle returns. The request
// target is /DATABASE, with the SRU parameters in the query string or in a form body; a POST with an XML body is an
// update. An empty database name selects the first configured database.
func (s *Server) Handle(exchange *httpserve.Exchange) {
	path, paramsText, _ := strings.Cut(exchange.Target, "?")
	database, err := url.PathUnescape(strings.Trim(path, "/"))
	if err != nil {
		exchange.Respond(400, []byte("path\n"))
		return
	}
	if database == "" {
		database = s.Service.Config.Databases[0].Name
	}
	contentType, _, _ := strings.Cut(exchange.Header.Get("Content-Type"), ";")
	contentType = strings.TrimSpace(contentType)
	switch {
	case exchange.Method == "POST" && strings.HasSuffix(contentType, "xml"):
		s.update(exchange, database)
		return
	case exchange.Method == "POST" && contentType == "application/x-www-form-urlencoded":
		paramsText = string(exchange.Body)
	case exchange.Method != "GET" && exchange.Method != "HEAD":
		exchange.Respond(405, []byte("GET or POST\n"), "Allow", "GET, HEAD, POST")
		return
	}
	s.query(exchange, database, paramsText)
}

// query handles a search or an explain request.
func (s *Server) query(exchange *httpserve.Exchange, name, paramsText string) {
	params, err := url.ParseQuery(paramsText)
	if err != nil {
		respondDiagnostic(exchange, sru.NewDiagnosticError(sru.UnsupportedValue, "the query string cannot be read"))
		return
	}
	request, err := sru.ParseRequest(params)
	if err != nil {
		respondDiagnostic(exchange, sru.AsDiagnosticError(err))
		return
	}
	database := s.Service.Database(name)
	if database == nil {
		respondDiagnostic(exchange, sru.NewDiagnosticError(sru.DatabaseDoesNotExist, name))
		return
	}
	if request.Operation == sru.OperationExplain {
		respondXML(exchange, s.explain(database))
		return
	}
	s.search(exchange, database, request)
}

// respondXML sends an XML document with status 200.
func respondXML(exchange *httpserve.Exchange, body []byte) {
	exchange.Respond(200, body, "Content-Type", sru.XMLType)
}

// respondDiagnostic sends a search response that carries the diagnostic of err, whichever operation was requested.
func respondDiagnostic(exchange *httpserve.Exchange, err *sru.DiagnosticError) {
	respondXML(exchange, failedSearch([]query.Diagnostic{err.Diagnostic()}))
}

// failedSearch returns a search response with diagnostics and no records.
func failedSearch(diagnostics []query.Diagnostic) []byte {
	return sru.SearchResponse(sru.SearchResult{StartRecord: 1, Packing: sru.PackingXML, Diagnostics: diagnostics})
}

// search handles a search request.
func (s *Server) search(exchange *httpserve.Exchange, database *config.Database, request sru.Request) {
	limit := s.Service.Config.Limits.MaxRecords
	if request.MaxRecords < 0 {
		request.MaxRecords = min(defaultMaxRecords, limit)
	}
	if request.Schema != "" && request.Schema != "dc" && request.Schema != sru.DefaultSchema {
		respondDiagnostic(exchange, sru.NewDiagnosticError(sru.UnknownSchema, request.Schema))
		return
	}
	if request.StartRecord > limit {
		respondDiagnostic(exchange, sru.NewDiagnosticError(sru.FirstRecordOutOfRange, strconv.Itoa(request.StartRecord)))
		return
	}
	request.MaxRecords = min(request.MaxRecords, limit-request.StartRecord+1)
	respond := func(outcome gateway.Outcome) {
		if outcome.Kind != gateway.Complete && outcome.Kind != gateway.Partial {
			f := failureOf(outcome)
			exchange.Respond(f.status, failedSearch(f.diagnostics), f.fields...)
			return
		}
		respondXML(exchange, sru.SearchResponse(searchResult(&request, &outcome)))
	}
	lastRecord := request.StartRecord - 1 + request.MaxRecords
	caller := gateway.Caller{Disconnected: exchange.Disconnected}
	cancel, immediate := s.Service.Search(caller, []string{database.Name}, request.Query, lastRecord, respond)
	await(exchange, cancel, immediate, respond)
}

// searchResult returns the requested page of an outcome. Diagnostics mark a partial outcome and a page that starts
// beyond the last result.
func searchResult(request *sru.Request, outcome *gateway.Outcome) sru.SearchResult {
	result := sru.SearchResult{
		Count:       outcome.Count,
		Records:     outcome.Page(request.StartRecord, request.MaxRecords),
		StartRecord: request.StartRecord,
		Packing:     request.Packing,
	}
	if outcome.Kind == gateway.Partial {
		partial := sru.NewDiagnosticError(sru.PartialResults, outcome.Coverage())
		result.Diagnostics = append(result.Diagnostics, partial.Diagnostic())
	}
	if request.StartRecord > 1 && request.StartRecord > outcome.Count {
		outOfRange := sru.NewDiagnosticError(sru.FirstRecordOutOfRange, strconv.Itoa(request.StartRecord))
		result.Diagnostics = append(result.Diagnostics, outOfRange.Diagnostic())
	}
	next := request.StartRecord + len(result.Records)
	if len(result.Records) > 0 && next <= outcome.Count {
		result.NextRecord = next
	}
	return result
}

// update handles an update of one record in a database.
func (s *Server) update(exchange *httpserve.Exchange, database string) {
	update, err := sru.ParseUpdate(exchange.Body)
	if err != nil {
		diagnostics := []query.Diagnostic{sru.AsDiagnosticError(err).Diagnostic()}
		respondXML(exchange, sru.UpdateResponse(false, update.Record.ID, diagnostics))
		return
	}
	respond := func(outcome gateway.Outcome) {
		if outcome.Kind != gateway.Complete {
			f := failureOf(outcome)
			exchange.Respond(f.status, sru.UpdateResponse(false, update.Record.ID, f.diagnostics), f.fields...)
			return
		}
		respondXML(exchange, sru.UpdateResponse(true, update.Record.ID, nil))
	}
	caller := gateway.Caller{Disconnected: exchange.Disconnected}
	cancel, immediate := s.Service.Correct(caller, database, update.Action, update.Record, respond)
	await(exchange, cancel, immediate, respond)
}

// await responds if the outcome is already known; otherwise it has the request canceled if the client disconnects
// before it completes.
func await(exchange *httpserve.Exchange, cancel gateway.Cancel, immediate *gateway.Outcome, respond func(gateway.Outcome)) {
	if immediate != nil {
		respond(*immediate)
	} else if !exchange.OnDisconnect(cancel) {
		cancel() // the client has disconnected; no effect if the response was sent in the meantime
	}
}
