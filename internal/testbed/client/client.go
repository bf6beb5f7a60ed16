// Package client implements the testbed's clients: SRU over the standard library's HTTP client, Z39.50 over the
// testbed's BER package, and the health protocols. They share no code with the program.
package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"rooktrestle/internal/testbed/ber"
)

// Outcome is the outcome of one call, as its client sees it.
type Outcome int

// The outcomes of calls.
const (
	Complete     Outcome = iota // an answer with every part
	Partial                     // an answer that reports missing parts
	Rejected                    // rejected before any effect: a retry is safe
	Failed                      // an answer that reports a failure
	Disconnected                // no answer: the connection was closed, or the call timed out
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"complete", "partial", "rejected", "failed", "disconnected"}[o]
}

// SRU is a client of one SRU server. It is safe for concurrent use.
type SRU struct {
	addr string
	http *http.Client
}

// NewSRU returns a client of the server at addr; timeout applies to each call.
func NewSRU(addr string, timeout time.Duration) *SRU {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext:         dialer.DialContext,
	}
	return &SRU{
		addr: addr,
		http: &http.Client{Timeout: timeout, Transport: transport},
	}
}

// Close closes the idle connections.
func (c *SRU) Close() { c.http.CloseIdleConnections() }

// SearchURL returns the URL of a search.
func (c *SRU) SearchURL(base, cql string) string {
	parameters := url.Values{
		"operation":      {"searchRetrieve"},
		"version":        {"1.2"},
		"query":          {cql},
		"maximumRecords": {"10"},
	}
	return "http://" + c.addr + "/" + base + "?" + parameters.Encode()
}

// Search searches a database.
func (c *SRU) Search(base, cql string) Outcome {
	resp, err := c.http.Get(c.SearchURL(base, cql))
	return outcomeOf(resp, err, "<numberOfRecords>")
}

// Correct changes a record.
func (c *SRU) Correct(base, id string) Outcome {
	resp, err := c.http.Post("http://"+c.addr+"/"+base, "text/xml", strings.NewReader(UpdateXML(id)))
	return outcomeOf(resp, err, "<operationStatus>success<")
}

// outcomeOf reads a response and classifies it; success is a text that every complete answer contains.
func outcomeOf(resp *http.Response, err error, success string) Outcome {
	if err != nil {
		return Disconnected
	}
	defer func() { _ = resp.Body.Close() }() // read only: nothing is lost
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return Disconnected
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		return Rejected
	case resp.StatusCode != 200:
		return Failed
	case strings.Contains(string(text), "diagnostic/1/59<"):
		return Partial
	case strings.Contains(string(text), "<diagnostic "), !strings.Contains(string(text), success):
		return Failed
	}
	return Complete
}

// UpdateXML returns the body of a record update.
func UpdateXML(id string) string {
	return `<updateRequest xmlns="http://www.loc.gov/zing/srw/update/"><version>1.0</version>` +
		`<action>info:srw/action/1/replace</action>` +
		`<recordIdentifier>` + id + `</recordIdentifier>` +
		`<record><recordPacking>xml</recordPacking><recordData><line/></recordData></record></updateRequest>`
}

// Z39.50 values that the client sends or receives.
const (
	useTitle = 4 // Bib-1 use attribute
	taskDone = 1 // task status of an extended service
)

// Bib-1 diagnostics.
const (
	noDiagnostic         = 0
	temporaryError       = 2
	validSubsetAvailable = 33
)

// Origin is a Z39.50 client with one association. It is not safe for concurrent use.
type Origin struct {
	conn    net.Conn
	reader  *bufio.Reader
	timeout time.Duration
}

// Dial opens an association; user, if not empty, is sent as its authentication. timeout applies to connecting and to
// each round trip.
func Dial(addr, user string, timeout time.Duration) (*Origin, error) {
	o, err := DialWithoutInit(addr, timeout)
	if err != nil {
		return nil, err
	}
	response, err := o.RoundTrip(ber.InitAPDU(user))
	if err == nil && !initAccepted(response) {
		err = fmt.Errorf("init rejected by %s: the response APDU has tag %d", addr, response.Tag)
	}
	if err != nil {
		o.Close()
		return nil, err
	}
	return o, nil
}

func initAccepted(response ber.TLV) bool {
	result := response.Child(12).Body
	return response.Tag == ber.InitResponse && len(result) == 1 && result[0] != 0
}

// DialWithoutInit opens a connection without sending Init.
func DialWithoutInit(addr string, timeout time.Duration) (*Origin, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Origin{conn: conn, reader: bufio.NewReader(conn), timeout: timeout}, nil
}

// Send sends an APDU without waiting for a response.
func (o *Origin) Send(apdu string) error {
	_, err := io.WriteString(o.conn, apdu)
	return err
}

// Close ends the association by closing its connection.
func (o *Origin) Close() { _ = o.conn.Close() } // no written data depends on it

// RoundTrip sends an APDU and reads the response APDU.
func (o *Origin) RoundTrip(apdu string) (ber.TLV, error) {
	if err := o.conn.SetDeadline(time.Now().Add(o.timeout)); err != nil {
		return ber.TLV{}, err
	}
	if _, err := io.WriteString(o.conn, apdu); err != nil {
		return ber.TLV{}, err
	}
	return ber.Read(o.reader)
}

// Search searches a database.
func (o *Origin) Search(set, base, text string) Outcome {
	response, err := o.RoundTrip(ber.SearchAPDU(set, base, ber.TermOperand(useTitle, text)))
	if err != nil || response.Tag != ber.SearchResponse {
		return Disconnected
	}
	switch ber.DiagnosticCode(response) {
	case noDiagnostic:
		return Complete
	case validSubsetAvailable:
		return Partial
	case temporaryError:
		return Rejected
	}
	return Failed
}

// Correct changes a record of the database captions.
func (o *Origin) Correct(id string) Outcome {
	response, err := o.RoundTrip(ber.UpdateAPDU(id))
	if err != nil || response.Tag != ber.ExtendedServicesResponse {
		return Disconnected
	}
	code := ber.DiagnosticCode(response)
	taskStatus := response.Child(3).Int()
	switch {
	case code == temporaryError:
		return Rejected
	case code != noDiagnostic || taskStatus != taskDone:
		return Failed
	}
	return Complete
}

// AgentCheck performs an agent-check and returns the agent's line, which is empty if the agent closed the connection
// without sending one. greeting, if not empty, is sent first.
func AgentCheck(addr, greeting string, timeout time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }() // read only: nothing is lost
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if greeting != "" {
		_, _ = io.WriteString(conn, greeting) // the agent may have answered and closed already
	}
	text, err := io.ReadAll(conn)
	return strings.TrimSpace(string(text)), err
}

// Get fetches a page over HTTP on a new connection.
func Get(rawURL string, timeout time.Duration) (status int, header http.Header, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", rawURL, nil)
	if err != nil {
		return 0, nil, "", err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = resp.Body.Close() }() // read only: nothing is lost
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(text), err
}
