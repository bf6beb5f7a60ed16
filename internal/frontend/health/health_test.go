package health

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/net/tcp"
)

var start = time.Unix(1000, 0)

// fakeConn records what is written to a connection.
type fakeConn struct{ written bytes.Buffer }

func (c *fakeConn) Write(b []byte, _ func(tcp.WriteResult)) { c.written.Write(b) }
func (c *fakeConn) CloseGracefully()                        {}
func (c *fakeConn) CloseAndWait()                           {}
func (c *fakeConn) Close(error)                             {}

// get makes a health check and returns the response as it is written.
func get(t *testing.T, responder *Responder, target string) string {
	t.Helper()
	conn := &fakeConn{}
	server := httpserve.New(httpserve.Timeouts{}, responder.Now, responder.HTTP)
	server.Attach(conn).Data([]byte("GET " + target + " HTTP/1.1\r\n\r\n"))
	return conn.written.String()
}

// newResponder returns a Responder whose report was made some time ago.
func newResponder(age time.Duration, state readiness.State, draining bool) *Responder {
	responder := &Responder{Now: func() time.Time { return start.Add(age) }}
	responder.Set(readiness.Report{
		At:       start,
		State:    state,
		Draining: draining,
		Weight:   40,
		Reasons:  []string{"load"},
		Databases: []readiness.DatabaseReport{
			{Name: "Captions", State: readiness.Up, StateText: "up"},
			{Name: "Coverage", State: readiness.Down, StateText: "down", Reason: "shard 3"},
		},
	})
	return responder
}

func TestResponder_HTTP(t *testing.T) {
	up := newResponder(0, readiness.Up, false)
	for _, test := range []struct {
		name      string
		responder *Responder
		target    string
		want      []string // all are in the response
	}{
		{"up", up, "/readyz", []string{"HTTP/1.1 200 ", "up ready 40% #load\n"}},
		{"degraded", newResponder(0, readiness.Degraded, false), "/readyz", []string{"HTTP/1.1 200 ", "X-Envoy-Degraded: 1\r\n"}},
		{"draining", newResponder(0, readiness.Up, true), "/healthz", []string{"HTTP/1.1 404 ", "X-Envoy-Immediate-Health-Check-Fail: true\r\n", "up drain"}},
		{"down", newResponder(0, readiness.Down, false), "/readyz", []string{"HTTP/1.1 503 ", "down #load\n"}},
		{"a database that is down", up, "/readyz/coverage", []string{"HTTP/1.1 503 ", "down #shard 3\n"}},
		{"an unknown database", up, "/readyz/nothing", []string{"HTTP/1.1 400 "}},
		{"every database", up, "/readyz?verbose", []string{"[+] Captions up\n", "[-] Coverage down: shard 3\n"}},
		{"JSON", up, "/readyz?format=json", []string{"Content-Type: application/json\r\n", `"drain": false`, `"database": "Captions"`}},
		{"live", up, "/livez", []string{"HTTP/1.1 200 ", "live\n"}},
		{"live with a report that is just in time", newResponder(maxReportAge, readiness.Up, false), "/livez", []string{"HTTP/1.1 200 "}},
		{"not live", newResponder(maxReportAge+1, readiness.Up, false), "/livez", []string{"HTTP/1.1 503 ", "the loop stands still since 700ms\n"}},
		{"ready with an overdue report", newResponder(maxReportAge+1, readiness.Up, false), "/readyz", []string{"HTTP/1.1 503 "}},
		{"before the first report", &Responder{Now: func() time.Time { return start }}, "/readyz", []string{"HTTP/1.1 503 ", "down #starting\n"}},
		{"an unknown page is no drain", up, "/nothing", []string{"HTTP/1.1 400 "}},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := get(t, test.responder, test.target)
			for _, want := range test.want {
				if !strings.Contains(response, want) {
					t.Errorf("%q is not in %q", want, response)
				}
			}
		})
	}
}
