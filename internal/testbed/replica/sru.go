package replica

import (
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Responses of SRU 1.2 and of its record update, and formats of their pieces.
const (
	explainResponse = `<?xml version="1.0"?><explainResponse xmlns="http://www.loc.gov/zing/srw/">` +
		`<version>1.2</version></explainResponse>`

	searchBeginFormat = `<?xml version="1.0"?><zs:searchRetrieveResponse xmlns:zs="http://www.loc.gov/zing/srw/">` +
		`<zs:version>1.2</zs:version><zs:numberOfRecords>%d</zs:numberOfRecords><zs:records>`
	recordBeginFormat = `<zs:record><zs:recordSchema>info:srw/schema/1/dc-v1.1</zs:recordSchema>` +
		`<zs:recordPacking>xml</zs:recordPacking><zs:recordData>%s</zs:recordData>`
	recordIdentifierFormat = `<zs:recordIdentifier>%s</zs:recordIdentifier>`
	recordEnd              = `</zs:record>`
	searchEnd              = `</zs:records></zs:searchRetrieveResponse>`

	// diagnosticsFormat is diagnostic 235 of SRU, database does not exist, with its details.
	diagnosticsFormat = `<diagnostics><diagnostic xmlns="http://www.loc.gov/zing/srw/diagnostic/">` +
		`<uri>info:srw/diagnostic/1/235</uri><details>%s</details></diagnostic></diagnostics>`
	rejectedSearchFormat = `<searchRetrieveResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version>` +
		`<numberOfRecords>0</numberOfRecords>` + diagnosticsFormat + `</searchRetrieveResponse>`

	updateBegin          = `<updateResponse xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version>`
	updateFormat         = updateBegin + `<operationStatus>%s</operationStatus></updateResponse>`
	rejectedUpdateFormat = updateBegin + `<operationStatus>fail</operationStatus>` +
		diagnosticsFormat + `</updateResponse>`
)

// serveSRU serves SRU in the background; stop closes the listener and all connections.
func (s *Server) serveSRU(listener net.Listener) (stop func()) {
	server := &http.Server{Handler: http.HandlerFunc(s.serveHTTP)}
	go func() { _ = server.Serve(listener) }() // stop ends it
	return func() { _ = server.Close() }       // no written data depends on it
}

// write writes an answer. An error means that the client has disconnected, and is ignored.
func write(w http.ResponseWriter, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// hang blocks until the client disconnects, which it reports, or the archive is closed.
func (s *Server) hang(r *http.Request) (disconnected bool) {
	select {
	case <-r.Context().Done():
		return true
	case <-s.archive.release:
		return false
	}
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	database := strings.Trim(r.URL.Path, "/")
	switch {
	case r.URL.Path == "/healthz":
		s.serveHealthz(w, r)
	case r.URL.Query().Get("operation") == "explain":
		s.serveExplain(w, r)
	case r.Method == http.MethodPost:
		s.serveUpdate(w, r, begin, database)
	default:
		s.serveSearch(w, r, begin, database)
	}
}

func (s *Server) serveHealthz(w http.ResponseWriter, r *http.Request) {
	health := s.currentHealth()
	if health.Hang {
		s.hang(r)
		return
	}
	if health.Degraded {
		w.Header().Set("x-envoy-degraded", "1")
	}
	if health.Status > 0 {
		w.WriteHeader(health.Status)
	}
	write(w, "%s", health.Body)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	health := s.currentHealth()
	switch {
	case health.Hang:
		s.hang(r)
	case health.RejectChecks:
		http.Error(w, "no", http.StatusInternalServerError)
	default:
		write(w, explainResponse)
	}
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, begin time.Time, database string) {
	var update struct {
		ID string `xml:"Body>updateRequest>recordIdentifier"`
	}
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = xml.Unmarshal(text, &update)
	}
	if err != nil || update.ID == "" {
		http.Error(w, "no update", http.StatusBadRequest)
		return
	}
	if store := s.currentStore(); store != nil { // a rejection has no effect
		if reason := store.Correct(database, update.ID); reason != "" {
			write(w, rejectedUpdateFormat, reason)
			return
		}
	}
	fault := s.archive.beginCorrection(s, begin, update.ID, s.process())
	if s.fail(w, r, fault) {
		return
	}
	status := "success"
	if fault == FaultReject {
		status = "fail"
	}
	write(w, updateFormat, status)
}

func (s *Server) serveSearch(w http.ResponseWriter, r *http.Request, begin time.Time, database string) {
	if store := s.currentStore(); store != nil {
		s.serveStoreSearch(w, r, store, begin, database)
		return
	}
	record, fault := s.archive.beginSearch(s, begin, database, r.URL.Query().Get("query"), s.process())
	if s.fail(w, r, fault) {
		return
	}
	write(w, searchBeginFormat, 1)
	write(w, recordBeginFormat, record)
	write(w, recordEnd)
	write(w, searchEnd)
}

// serveStoreSearch answers a search from the replica's store.
func (s *Server) serveStoreSearch(
	w http.ResponseWriter, r *http.Request, store Store, begin time.Time, database string,
) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("maximumRecords")) // missing or invalid: 0
	records, count, reason := store.Search(database, limit)
	if reason != "" {
		write(w, rejectedSearchFormat, reason)
		return
	}
	_, fault := s.archive.beginSearch(s, begin, database, r.URL.Query().Get("query"), s.process())
	if s.fail(w, r, fault) {
		return
	}
	write(w, searchBeginFormat, count)
	for _, record := range records {
		write(w, recordBeginFormat, record.XML)
		write(w, recordIdentifierFormat, record.ID)
		write(w, recordEnd)
	}
	write(w, searchEnd)
}

// fail carries out a fault instead of an answer. It returns false if there is no fault that replaces the answer.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, fault string) bool {
	switch fault {
	case FaultHang:
		if s.hang(r) {
			s.archive.reportDisconnect(s.Name)
		}
	case FaultBreak:
		panic(http.ErrAbortHandler)
	case FaultError:
		http.Error(w, "failing", http.StatusInternalServerError)
	case FaultCorrupt:
		write(w, "<noise")
	default:
		return false
	}
	return true
}
