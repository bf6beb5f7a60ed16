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

// serveSRU serves an SRU replica and returns how to end it.
func (s *Server) serveSRU(ln net.Listener) (stop func()) {
	server := &http.Server{Handler: http.HandlerFunc(s.serveHTTP)}
	go func() { _ = server.Serve(ln) }() // it ends with stop
	return func() { _ = server.Close() } // nothing is lost with it
}

// write writes an answer. A client that has left gets none: that is no error here.
func write(w http.ResponseWriter, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// hang gives no answer until the client leaves, or the archive closes.
func (s *Server) hang(r *http.Request) (clientLeft bool) {
	select {
	case <-r.Context().Done():
		return true
	case <-s.archive.release:
		return false
	}
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	database := strings.Trim(r.URL.Path, "/")
	switch {
	case r.URL.Path == "/healthz":
		s.serveHealthz(w, r)
	case r.URL.Query().Get("operation") == "explain":
		s.serveExplain(w, r)
	case r.Method == http.MethodPost:
		s.serveUpdate(w, r, at, database)
	default:
		s.serveSearch(w, r, at, database)
	}
}

func (s *Server) serveHealthz(w http.ResponseWriter, r *http.Request) {
	h := s.currentHealth()
	if h.Hang {
		s.hang(r)
		return
	}
	if h.Degraded {
		w.Header().Set("x-envoy-degraded", "1")
	}
	if h.Status > 0 {
		w.WriteHeader(h.Status)
	}
	write(w, "%s", h.Body)
}

func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	h := s.currentHealth()
	switch {
	case h.Hang:
		s.hang(r)
	case h.RejectChecks:
		http.Error(w, "no", http.StatusInternalServerError)
	default:
		write(w, "%s", `<?xml version="1.0"?><explainResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version></explainResponse>`)
	}
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, at time.Time, database string) {
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
	if store := s.currentStore(); store != nil { // before anything runs
		if reason := store.Correct(database, update.ID); reason != "" {
			write(w, `<updateResponse xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version><operationStatus>fail</operationStatus>`+
				`<diagnostics><diagnostic xmlns="http://www.loc.gov/zing/srw/diagnostic/"><uri>info:srw/diagnostic/1/235</uri><details>%s</details></diagnostic></diagnostics></updateResponse>`, reason)
			return
		}
	}
	fault := s.archive.beginCorrection(s, at, update.ID, s.process())
	if s.fail(w, r, fault) {
		return
	}
	status := "success"
	if fault == FaultReject {
		status = "fail"
	}
	write(w, `<updateResponse xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version><operationStatus>%s</operationStatus></updateResponse>`, status)
}

func (s *Server) serveSearch(w http.ResponseWriter, r *http.Request, at time.Time, database string) {
	if store := s.currentStore(); store != nil {
		s.serveStoreSearch(w, r, store, at, database)
		return
	}
	record, fault := s.archive.beginSearch(s, at, database, r.URL.Query().Get("query"), s.process())
	if s.fail(w, r, fault) {
		return
	}
	write(w, `<?xml version="1.0"?><zs:searchRetrieveResponse xmlns:zs="http://www.loc.gov/zing/srw/"><zs:version>1.2</zs:version>`+
		`<zs:numberOfRecords>1</zs:numberOfRecords><zs:records><zs:record><zs:recordSchema>info:srw/schema/1/dc-v1.1</zs:recordSchema>`+
		`<zs:recordPacking>xml</zs:recordPacking><zs:recordData>%s</zs:recordData></zs:record></zs:records></zs:searchRetrieveResponse>`, record)
}

// serveStoreSearch answers a search from the replica's store.
func (s *Server) serveStoreSearch(w http.ResponseWriter, r *http.Request, store Store, at time.Time, database string) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("maximumRecords")) // none: 0
	records, count, reason := store.Search(database, limit)
	if reason != "" {
		write(w, `<searchRetrieveResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version><numberOfRecords>0</numberOfRecords>`+
			`<diagnostics><diagnostic xmlns="http://www.loc.gov/zing/srw/diagnostic/"><uri>info:srw/diagnostic/1/235</uri><details>%s</details></diagnostic></diagnostics></searchRetrieveResponse>`, reason)
		return
	}
	_, fault := s.archive.beginSearch(s, at, database, r.URL.Query().Get("query"), s.process())
	if s.fail(w, r, fault) {
		return
	}
	write(w, `<?xml version="1.0"?><zs:searchRetrieveResponse xmlns:zs="http://www.loc.gov/zing/srw/"><zs:version>1.2</zs:version><zs:numberOfRecords>%d</zs:numberOfRecords><zs:records>`, count)
	for _, record := range records {
		write(w, `<zs:record><zs:recordSchema>info:srw/schema/1/dc-v1.1</zs:recordSchema><zs:recordPacking>xml</zs:recordPacking><zs:recordData>%s</zs:recordData>`+
			`<zs:recordIdentifier>%s</zs:recordIdentifier></zs:record>`, record.XML, record.ID)
	}
	write(w, `</zs:records></zs:searchRetrieveResponse>`)
}

// fail does what a part meets in place of an answer, and says whether it met anything.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, fault string) bool {
	switch fault {
	case FaultHang:
		if s.hang(r) {
			s.archive.clientLeft(s.Name)
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
