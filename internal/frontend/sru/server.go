// Package sru is the SRU frontend: a server of searches, record updates and explain on the databases of a gateway.
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

// defaultMaxRecords is the number of records in a response if the request gives none.
const defaultMaxRecords = 10

// Server is the SRU frontend. It has no state of its own.
type Server struct{ Service *gateway.Service }

// Handle answers one request, now or when its outcome is known: /DATABASE with the parameters of SRU in the query string
// or in a form, or an update in a POST of XML. Without a database it is for the first one.
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

// query answers a search or an explain.
func (s *Server) query(exchange *httpserve.Exchange, name, paramsText string) {
	params, err := url.ParseQuery(paramsText)
	if err != nil {
		respondFault(exchange, sru.NewDiagnosticError(sru.UnsupportedValue, "the query string cannot be read"))
		return
	}
	request, err := sru.ParseRequest(params)
	if err != nil {
		respondFault(exchange, sru.AsDiagnosticError(err))
		return
	}
	database := s.Service.Database(name)
	if database == nil {
		respondFault(exchange, sru.NewDiagnosticError(sru.DatabaseDoesNotExist, name))
		return
	}
	if request.Operation == sru.OperationExplain {
		respondXML(exchange, s.explain(database))
		return
	}
	s.search(exchange, database, request)
}

// respondXML answers with a document.
func respondXML(exchange *httpserve.Exchange, body []byte) {
	exchange.Respond(200, body, "Content-Type", sru.XMLType)
}

// respondFault answers with a diagnostic in the response to a search, whatever the operation was.
func respondFault(exchange *httpserve.Exchange, fault *sru.DiagnosticError) {
	respondXML(exchange, failedSearch([]query.Diagnostic{fault.Diagnostic()}))
}

// failedSearch prints the response to a search without results.
func failedSearch(diagnostics []query.Diagnostic) []byte {
	return sru.SearchResponse(sru.SearchResult{StartRecord: 1, Packing: sru.PackingXML, Diagnostics: diagnostics})
}

// search answers a search.
func (s *Server) search(exchange *httpserve.Exchange, database *config.Database, request sru.Request) {
	limit := s.Service.Config.Limits.MaxRecords
	if request.MaxRecords < 0 {
		request.MaxRecords = min(defaultMaxRecords, limit)
	}
	if request.Schema != "" && request.Schema != "dc" && request.Schema != sru.DefaultSchema {
		respondFault(exchange, sru.NewDiagnosticError(sru.UnknownSchema, request.Schema))
		return
	}
	if request.StartRecord > limit {
		respondFault(exchange, sru.NewDiagnosticError(sru.FirstRecordOutOfRange, strconv.Itoa(request.StartRecord)))
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

// searchResult returns the page of an outcome that a request is for. A partial outcome and a page beyond the results are
// marked by diagnostics.
func searchResult(request *sru.Request, outcome *gateway.Outcome) sru.SearchResult {
	result := sru.SearchResult{
		Count:       outcome.Count,
		Records:     outcome.Page(request.StartRecord, request.MaxRecords),
		StartRecord: request.StartRecord,
		Packing:     request.Packing,
	}
	if outcome.Kind == gateway.Partial {
		fault := sru.NewDiagnosticError(sru.PartialResults, outcome.Coverage())
		result.Diagnostics = append(result.Diagnostics, fault.Diagnostic())
	}
	if request.StartRecord > 1 && request.StartRecord > outcome.Count {
		fault := sru.NewDiagnosticError(sru.FirstRecordOutOfRange, strconv.Itoa(request.StartRecord))
		result.Diagnostics = append(result.Diagnostics, fault.Diagnostic())
	}
	next := request.StartRecord + len(result.Records)
	if len(result.Records) > 0 && next <= outcome.Count {
		result.NextRecord = next
	}
	return result
}

// update answers an update of a record in a database.
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

// await responds at once if the outcome is known, and otherwise cancels the request if the client disconnects before it is.
func await(exchange *httpserve.Exchange, cancel gateway.Cancel, immediate *gateway.Outcome, respond func(gateway.Outcome)) {
	if immediate != nil {
		respond(*immediate)
	} else if !exchange.OnDisconnect(cancel) {
		cancel() // the client has disconnected, or was answered meanwhile: cancelling then does nothing
	}
}
