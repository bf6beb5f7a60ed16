package health

import (
	"encoding/json"
	"fmt"
	"strings"

	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/protocol/httpcheck"
)

// plainText is the header of replies in plain text.
var plainText = []string{"Content-Type", "text/plain; charset=utf-8"}

// databaseMarks are the marks of databases in a verbose reply.
var databaseMarks = map[readiness.State]string{readiness.Up: "+", readiness.Degraded: "~", readiness.Down: "-"}

// HTTP answers an HTTP health check.
//
//	/livez             200 while the event loop makes reports, 503 otherwise
//	/readyz, /healthz  200 while queries are accepted; 404 while draining, which load balancers take as a drain; 503
//	                   while down. Followed by /DATABASE, it is the state of that database.
//	?verbose           adds every database and its reason; ?format=json is the same for scripts
//	/servers           the health of the backend servers, as JSON
//	/metrics           the counters
//
// Degraded and draining are also sent as Envoy's health check headers.
func (t *Responder) HTTP(exchange *httpserve.Exchange) {
	t.count.http.Add(1)
	path, query, _ := strings.Cut(exchange.Target, "?")
	if exchange.Method != "GET" && exchange.Method != "HEAD" && exchange.Method != "OPTIONS" {
		exchange.Respond(405, nil, "Allow", "GET, HEAD, OPTIONS")
		return
	}
	page, database, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	report := t.Report()
	switch page {
	case "livez":
		t.respondLive(exchange, report)
	case "readyz", "healthz":
		respondReady(exchange, report, database, query)
	case "servers":
		if t.Servers == nil {
			exchange.Respond(404, []byte("no such page\n"))
			return
		}
		exchange.Respond(200, t.Servers(), "Content-Type", "application/json")
	case "metrics":
		if t.Metrics == nil {
			exchange.Respond(404, []byte("no such page\n"))
			return
		}
		exchange.Respond(200, []byte(t.Metrics()), plainText...)
	default:
		// Not 404, which load balancers would take as a drain.
		exchange.Respond(400, []byte("no such page\n"), plainText...)
	}
}

// respondLive says whether the event loop has made a report lately.
func (t *Responder) respondLive(exchange *httpserve.Exchange, report readiness.Report) {
	if report.At.IsZero() || t.Now().Sub(report.At) > maxReportAge {
		exchange.Respond(503, []byte(strings.Join(report.Reasons, "; ")+"\n"), plainText...)
		return
	}
	exchange.Respond(200, []byte("live\n"), plainText...)
}

// respondReady says whether queries are accepted, by the aggregator or, if database is not empty, for that one.
func respondReady(exchange *httpserve.Exchange, report readiness.Report, database, query string) {
	state := report.State
	if database != "" {
		found := report.Database(database)
		if found == nil {
			exchange.Respond(400, []byte("no such database\n"), plainText...)
			return
		}
		state = found.State
	}
	status, fields := 200, append([]string{}, plainText...)
	switch {
	case state == readiness.Down:
		status = 503
	case report.Draining:
		status = 404
		fields = append(fields, httpcheck.ImmediateHeader, "true")
	case state == readiness.Degraded:
		fields = append(fields, httpcheck.DegradedHeader, "1")
	}
	body := agentReport(report, database).Line()
	switch {
	case strings.Contains(query, "format=json"):
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			exchange.Respond(500, nil)
			return
		}
		body, fields[1] = string(text)+"\n", "application/json"
	case strings.Contains(query, "verbose"):
		body += databaseLines(report.Databases)
	}
	exchange.Respond(status, []byte(body), fields...)
}

// databaseLines prints the state of each database on a line.
func databaseLines(databases []readiness.DatabaseReport) string {
	var lines strings.Builder
	for _, database := range databases {
		fmt.Fprintf(&lines, "[%s] %s %s", databaseMarks[database.State], database.Name, database.StateText)
		if database.Reason != "" {
			lines.WriteString(": " + database.Reason)
		}
		lines.WriteString("\n")
	}
	return lines.String()
}
