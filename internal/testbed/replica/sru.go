package replica

import (
	"context"
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serveSRU serves an SRU node and returns how to end it.
func (n *Server) serveSRU(ln net.Listener) func() {
	s := &http.Server{Handler: http.HandlerFunc(n.sru)}
	go s.Serve(ln)
	return func() { s.Close() }
}

// wait says nothing until the client leaves, or the test ends.
func (n *Server) wait(ctx context.Context, part bool) {
	select {
	case <-ctx.Done():
		if part {
			n.archive.left(n.Name)
		}
	case <-n.archive.release:
	}
}

func (n *Server) sru(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	h := n.says()
	if r.URL.Path == "/healthz" {
		if h.Hang {
			n.wait(r.Context(), false)
			return
		}
		if h.Degraded {
			w.Header().Set("x-envoy-degraded", "1")
		}
		if h.Status > 0 {
			w.WriteHeader(h.Status)
		}
		io.WriteString(w, h.Body)
		return
	}
	if r.URL.Query().Get("operation") == "explain" {
		if h.Hang {
			n.wait(r.Context(), false)
			return
		}
		if h.RejectChecks {
			http.Error(w, "no", 500)
			return
		}
		io.WriteString(w, `<?xml version="1.0"?><explainResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version></explainResponse>`)
		return
	}
	base := strings.Trim(r.URL.Path, "/")
	do, fault := "", ""
	var id, record string
	if r.Method == "POST" {
		var e struct {
			ID string `xml:"Body>updateRequest>recordIdentifier"`
		}
		text, _ := io.ReadAll(r.Body)
		if err := xml.Unmarshal(text, &e); err != nil || e.ID == "" {
			http.Error(w, "no update", 400)
			return
		}
		if s := n.shelved(); s != nil { // before anything runs
			if word := s.Correct(base, e.ID); word != "" {
				fmt.Fprintf(w, `<updateResponse xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version><operationStatus>fail</operationStatus>`+
					`<diagnostics><diagnostic xmlns="http://www.loc.gov/zing/srw/diagnostic/"><uri>info:srw/diagnostic/1/235</uri><details>%s</details></diagnostic></diagnostics></updateResponse>`, word)
				return
			}
		}
		fault = n.take()
		id = e.ID
		do = n.archive.correct(n, at, id, fault)
	} else {
		if s := n.shelved(); s != nil {
			n.shelfSearch(w, r, s, at, base)
			return
		}
		fault = n.take()
		record, do = n.archive.search(n, at, base, r.URL.Query().Get("query"), fault)
	}
	status := "success"
	if n.fault(w, r, do) {
		return
	}
	if do == "reject" {
		status = "fail"
	}
	if r.Method == "POST" {
		fmt.Fprintf(w, `<updateResponse xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version><operationStatus>%s</operationStatus></updateResponse>`, status)
		return
	}
	fmt.Fprintf(w, `<?xml version="1.0"?><zs:searchRetrieveResponse xmlns:zs="http://www.loc.gov/zing/srw/"><zs:version>1.2</zs:version>`+
		`<zs:numberOfRecords>1</zs:numberOfRecords><zs:records><zs:record><zs:recordSchema>info:srw/schema/1/dc-v1.1</zs:recordSchema>`+
		`<zs:recordPacking>xml</zs:recordPacking><zs:recordData>%s</zs:recordData></zs:record></zs:records></zs:searchRetrieveResponse>`, record)
}

// fault does what a part meets in the place of an answer, and says whether it met anything.
func (n *Server) fault(w http.ResponseWriter, r *http.Request, do string) bool {
	switch do {
	case "hang":
		n.wait(r.Context(), true)
	case "break":
		panic(http.ErrAbortHandler)
	case "error":
		http.Error(w, "failing", 500)
	case "spoil":
		io.WriteString(w, "<noise")
	default:
		return false
	}
	return true
}

// shelfSearch answers a search from the node's shelf.
func (n *Server) shelfSearch(w http.ResponseWriter, r *http.Request, s Store, at time.Time, base string) {
	most, _ := strconv.Atoi(r.URL.Query().Get("maximumRecords"))
	records, count, word := s.Search(base, most)
	if word != "" {
		fmt.Fprintf(w, `<searchRetrieveResponse xmlns="http://www.loc.gov/zing/srw/"><version>1.2</version><numberOfRecords>0</numberOfRecords>`+
			`<diagnostics><diagnostic xmlns="http://www.loc.gov/zing/srw/diagnostic/"><uri>info:srw/diagnostic/1/235</uri><details>%s</details></diagnostic></diagnostics></searchRetrieveResponse>`, word)
		return
	}
	fault := n.take()
	_, do := n.archive.search(n, at, base, r.URL.Query().Get("query"), fault)
	if n.fault(w, r, do) {
		return
	}
	fmt.Fprintf(w, `<?xml version="1.0"?><zs:searchRetrieveResponse xmlns:zs="http://www.loc.gov/zing/srw/"><zs:version>1.2</zs:version><zs:numberOfRecords>%d</zs:numberOfRecords><zs:records>`, count)
	for _, rec := range records {
		fmt.Fprintf(w, `<zs:record><zs:recordSchema>info:srw/schema/1/dc-v1.1</zs:recordSchema><zs:recordPacking>xml</zs:recordPacking><zs:recordData>%s</zs:recordData>`+
			`<zs:recordIdentifier>%s</zs:recordIdentifier></zs:record>`, rec.XML, rec.ID)
	}
	io.WriteString(w, `</zs:records></zs:searchRetrieveResponse>`)
}
