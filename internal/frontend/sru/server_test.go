package sru

import (
	"bytes"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/config"
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
	"rooktrestle/internal/protocol/sru"
	"rooktrestle/internal/query"
)

// fakeConn records what is written to a connection.
type fakeConn struct{ written bytes.Buffer }

func (c *fakeConn) Write(b []byte, _ func(tcp.WriteResult)) { c.written.Write(b) }
func (c *fakeConn) CloseGracefully()                        {}
func (c *fakeConn) CloseAndWait()                           {}
func (c *fakeConn) Close(error)                             {}
func (c *fakeConn) PeerClosed() bool                        { return false }
func (c *fakeConn) InputPending() bool                      { return false }
func (c *fakeConn) Wake()                                   {}

// client is a client's connection to a frontend with two databases, of which the second is read-only.
type client struct {
	*fakeConn
	t        *testing.T
	handler  tcp.Handler
	requests []*aggregator.Request // posted to the core
	canceled []*aggregator.Request // whose client disconnected
}

func newClient(t *testing.T) *client {
	t.Helper()
	c := &client{fakeConn: &fakeConn{}, t: t}
	conf := &config.Partners{
		Classes: []config.Class{{Name: "search"}, {Name: "correction"}},
		Tenants: []config.Tenant{{Name: "tenant"}},
		Databases: []config.Database{
			{Name: "captions", Shards: []int{0, 1}, SearchClass: "search", CorrectionClass: "correction", Tenant: "tenant"},
			{Name: "coverage", Title: "News & more", Shards: []int{1}, SearchClass: "search", Tenant: "tenant"},
		},
	}
	conf.Limits.MaxRecords = 20
	now := func() time.Time { return time.Unix(1000, 0) }
	service := &gateway.Service{Config: conf, Now: now, Post: func(message aggregator.Message) {
		switch message := message.(type) {
		case aggregator.RequestArrived:
			c.requests = append(c.requests, message.Request)
		case aggregator.ClientDisconnected:
			c.canceled = append(c.canceled, message.Request)
		}
	}}
	server := httpserve.New(httpserve.Timeouts{}, now, (&Server{Service: service}).Handle)
	c.handler = server.Attach(c.fakeConn)
	return c
}

// send sends an HTTP request.
func (c *client) send(method, target, contentType, body string) {
	c.handler.Data(fmt.Appendf(nil, "%s %s HTTP/1.1\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, contentType, len(body), body))
}

// search sends a search by GET. more contains further parameters, as pairs of name and value.
func (c *client) search(target, cql string, more ...string) {
	params := url.Values{"operation": {"searchRetrieve"}, "version": {"1.2"}, "query": {cql}}
	for pair := range slices.Chunk(more, 2) {
		params.Set(pair[0], pair[1])
	}
	c.send("GET", target+"?"+params.Encode(), "", "")
}

// request returns the only request that was posted to the core.
func (c *client) request() *aggregator.Request {
	c.t.Helper()
	if len(c.requests) != 1 {
		c.t.Fatalf("%d requests posted to the core, want 1; response %s", len(c.requests), c.written.String())
	}
	return c.requests[0]
}

// expect checks the status of the response and that the response contains each of the texts.
func (c *client) expect(status int, texts ...string) {
	c.t.Helper()
	response := c.written.String()
	if want := fmt.Sprintf("HTTP/1.1 %d ", status); !strings.HasPrefix(response, want) {
		c.t.Errorf("response does not start with %q: %s", want, response)
	}
	for _, text := range texts {
		if !strings.Contains(response, text) {
			c.t.Errorf("response does not contain %q: %s", text, response)
		}
	}
}

// served returns a final answer with count records from shard 0.
func served(count int, complete bool, missing ...int) aggregator.FinalAnswer {
	result := query.PartResult{Count: count}
	for i := range count {
		result.Records = append(result.Records, query.Record{XML: fmt.Sprintf("<line>%d</line>", i+1)})
	}
	return aggregator.FinalAnswer{
		Status:        aggregator.StatusServed,
		Complete:      complete,
		Items:         []aggregator.Item{{Shard: 0, Value: query.Encode(result)}},
		MissingShards: missing,
		TotalParts:    1 + len(missing),
	}
}

func TestServer_Search_RequestToTheCore(t *testing.T) {
	c := newClient(t)
	c.search("/captions", `dc.title = "budget"`, "startRecord", "3", "maximumRecords", "4")
	request := c.request()
	want := query.Encode(query.Work{CQL: `dc.title = budget`, MaxRecords: 6})
	if request.Payload != want {
		t.Errorf("payload %s, want %s", request.Payload, want)
	}
	if request.Class != 0 || request.Tenant != 0 || len(request.Parts) != 2 {
		t.Errorf("%+v", request)
	}
	if c.written.Len() > 0 {
		t.Errorf("response sent before the core answered: %s", c.written.String())
	}
}

func TestServer_Search_FormWithoutADatabaseIsForTheFirst(t *testing.T) {
	c := newClient(t)
	c.send("POST", "/", "application/x-www-form-urlencoded; charset=utf-8", "operation=searchRetrieve&version=1.2&query=x")
	if parts := c.request().Parts; len(parts) != 2 {
		t.Errorf("%+v", parts)
	}
}

func TestServer_Search_PageOfTheRecords(t *testing.T) {
	c := newClient(t)
	c.search("/captions", "x", "startRecord", "2", "maximumRecords", "2")
	c.request().Frontend.Answer(served(5, true))
	c.expect(200, "<numberOfRecords>5<", "<line>2</line>", "<line>3</line>", "<nextRecordPosition>4<")
	for _, other := range []string{"<line>1</line>", "<line>4</line>", "<diagnostic "} {
		if strings.Contains(c.written.String(), other) {
			t.Errorf("response contains %q: %s", other, c.written.String())
		}
	}
}

// diagnosticURI returns the end of a diagnostic's URI in a response, including the < of the closing tag.
func diagnosticURI(code int) string { return fmt.Sprintf("diagnostic/1/%d<", code) }

func TestServer_Search_OutcomesOfTheCore(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer aggregator.FinalAnswer
		status int
		texts  []string
	}{
		{
			name:   "a partial answer lists the missing shards",
			answer: served(1, false, 1),
			status: 200,
			texts:  []string{"<line>1</line>", diagnosticURI(sru.PartialResults), "1 of 2 blocks", "not in: 1"},
		},
		{
			name:   "a rejection is an HTTP error with Retry-After in whole seconds",
			answer: aggregator.FinalAnswer{Status: aggregator.StatusRejected, RetryAfter: 1100 * time.Millisecond},
			status: 503,
			texts:  []string{"Retry-After: 2\r\n", "refused; asking again is harmless"},
		},
		{
			name:   "an expired deadline",
			answer: aggregator.FinalAnswer{Status: aggregator.StatusFailed, DeadlineExceeded: true},
			status: 200,
			texts:  []string{diagnosticURI(sru.GeneralSystemError), "<details>timed out<", "<numberOfRecords>0<"},
		},
		{
			name:   "a failed query",
			answer: aggregator.FinalAnswer{Status: aggregator.StatusFailed},
			status: 200,
			texts:  []string{diagnosticURI(sru.GeneralSystemError), "<details>failed"},
		},
		{
			name: "a diagnostic from a Z39.50 server",
			answer: aggregator.FinalAnswer{
				Status:   aggregator.StatusServed,
				Complete: true,
				Items: []aggregator.Item{
					{
						Shard: 0,
						Value: query.Encode(query.PartResult{
							Diagnostic: &query.Diagnostic{Bib1: 114, Details: "use"},
						}),
					},
				},
			},
			status: 200,
			texts:  []string{diagnosticURI(sru.GeneralSystemError), "bib-1 114 use"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClient(t)
			c.search("/captions", "x")
			c.request().Frontend.Answer(test.answer)
			c.expect(test.status, test.texts...)
		})
	}
}

func TestServer_Search_RejectedWithoutTheCore(t *testing.T) {
	for _, test := range []struct {
		name   string
		target string
		params []string
		want   string
	}{
		{name: "an unknown database", target: "/nowhere", want: diagnosticURI(sru.DatabaseDoesNotExist)},
		{
			name:   "an unknown schema",
			target: "/captions",
			params: []string{"recordSchema", "marcxml"},
			want:   diagnosticURI(sru.UnknownSchema),
		},
		{
			name:   "a start at record 0",
			target: "/captions",
			params: []string{"startRecord", "0"},
			want:   diagnosticURI(sru.UnsupportedValue),
		},
		{
			name:   "a start beyond the limit",
			target: "/captions",
			params: []string{"startRecord", "21"},
			want:   diagnosticURI(sru.FirstRecordOutOfRange),
		},
		{
			name:   "a query that cannot be parsed",
			target: "/captions",
			params: []string{"query", "a and"},
			want:   "diagnostic/1/10<",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClient(t)
			c.search(test.target, "x", test.params...)
			c.expect(200, test.want)
			if len(c.requests) > 0 {
				t.Errorf("request posted to the core: %+v", c.requests[0])
			}
		})
	}
}

func TestServer_Method_NotAllowed(t *testing.T) {
	c := newClient(t)
	c.send("PUT", "/captions", "text/plain", "x")
	c.expect(405, "Allow: GET, HEAD, POST\r\n")
}

func TestServer_Explain_EscapesAndNamesIndexes(t *testing.T) {
	c := newClient(t)
	c.send("GET", "/coverage", "", "")
	c.expect(200, "<explainResponse", "<title>News &amp; more</title>", `<name set="dc">title</name>`)
}

func TestServer_ClientDisconnects_SearchIsCanceled(t *testing.T) {
	c := newClient(t)
	c.search("/captions", "x")
	request := c.request()
	c.handler.Closed(nil)
	if !slices.Equal(c.canceled, []*aggregator.Request{request}) {
		t.Errorf("%d requests canceled, want the one that was posted", len(c.canceled))
	}
}

func TestServer_Update_InvalidXML(t *testing.T) {
	c := newClient(t)
	c.send("POST", "/captions", "text/xml", "<nonsense")
	c.expect(200, "<operationStatus>fail<", "diagnostic/")
	if len(c.requests) > 0 {
		t.Errorf("request posted to the core: %+v", c.requests[0])
	}
}
