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
func (c *fakeConn) PeerClosed() bool                        { return false }
func (c *fakeConn) InputPending() bool                      { return false }
func (c *fakeConn) Wake()                                   {}

// get performs an HTTP health check and returns the response as written to the connection.
func get(t *testing.T, responder *Responder, target string) string {
	t.Helper()
	conn := &fakeConn{}
	server := httpserve.New(httpserve.Timeouts{}, responder.Now, responder.HTTP)
	server.Attach(conn).Data([]byte("GET " + target + " HTTP/1.1\r\n\r\n"))
	return conn.written.String()
}

// newResponder returns a Responder with a report of the given age.
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

var upResponder = newResponder(0, readiness.Up, false)

var httpTests = []struct {
	name      string
	responder *Responder
	target    string
	want      []string // substrings of the response
}{
	{
		name:      "up",
		responder: upResponder,
		target:    "/readyz",
		want:      []string{"HTTP/1.1 200 ", "up ready 40% #load\n"},
	},
	{
		name:      "degraded",
		responder: newResponder(0, readiness.Degraded, false),
		target:    "/readyz",
		want:      []string{"HTTP/1.1 200 ", "X-Envoy-Degraded: 1\r\n"},
	},
	{
		name:      "draining",
		responder: newResponder(0, readiness.Up, true),
		target:    "/healthz",
		want:      []string{"HTTP/1.1 404 ", "X-Envoy-Immediate-Health-Check-Fail: true\r\n", "up drain"},
	},
	{
		name:      "down",
		responder: newResponder(0, readiness.Down, false),
		target:    "/readyz",
		want:      []string{"HTTP/1.1 503 ", "down #load\n"},
	},
	{
		name:      "a database that is down",
		responder: upResponder,
		target:    "/readyz/coverage",
		want:      []string{"HTTP/1.1 503 ", "down #shard 3\n"},
	},
	{
		name:      "an unknown database",
		responder: upResponder,
		target:    "/readyz/nothing",
		want:      []string{"HTTP/1.1 400 "},
	},
	{
		name:      "every database",
		responder: upResponder,
		target:    "/readyz?verbose",
		want:      []string{"[+] Captions up\n", "[-] Coverage down: shard 3\n"},
	},
	{
		name:      "JSON",
		responder: upResponder,
		target:    "/readyz?format=json",
		want:      []string{"Content-Type: application/json\r\n", `"drain": false`, `"database": "Captions"`},
	},
	{
		name:      "live",
		responder: upResponder,
		target:    "/livez",
		want:      []string{"HTTP/1.1 200 ", "live\n"},
	},
	{
		name:      "live with a report of the maximum age",
		responder: newResponder(maxReportAge, readiness.Up, false),
		target:    "/livez",
		want:      []string{"HTTP/1.1 200 "},
	},
	{
		name:      "not live",
		responder: newResponder(maxReportAge+1, readiness.Up, false),
		target:    "/livez",
		want:      []string{"HTTP/1.1 503 ", "the loop stands still since 700ms\n"},
	},
	{
		name:      "ready with an overdue report",
		responder: newResponder(maxReportAge+1, readiness.Up, false),
		target:    "/readyz",
		want:      []string{"HTTP/1.1 503 "},
	},
	{
		name:      "before the first report",
		responder: &Responder{Now: func() time.Time { return start }},
		target:    "/readyz",
		want:      []string{"HTTP/1.1 503 ", "down #starting\n"},
	},
	{
		name:      "an unknown page is not reported as a drain",
		responder: upResponder,
		target:    "/nothing",
		want:      []string{"HTTP/1.1 400 "},
	},
}

func TestResponder_HTTP(t *testing.T) {
	for _, test := range httpTests {
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
