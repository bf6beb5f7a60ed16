package health

import (
	"encoding/json"
	"fmt"
	"strings"

	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/net/httpserve"
	"rooktrestle/internal/protocol/httpcheck"
)

// plainText contains the header fields of replies in plain text.
var plainText = []string{"Content-Type", "text/plain; charset=utf-8"}

// databaseMarks are the marks of databases by their state in a verbose reply.
var databaseMarks = map[readiness.State]string{readiness.Up: "+", readiness.Degraded: "~", readiness.Down: "-"}

// HTTP answers an HTTP health check.
//
//	/livez             200 while the event loop creates reports, 503 otherwise
//	/readyz, /healthz  200 while queries are accepted; 404 while draining, which load balancers treat as a drain; 503
//	                   while down. Followed by /DATABASE, the same for that database.
//	?verbose           adds the state and the reason of every database; ?format=json returns the report as JSON
//	/servers           the health of the backend servers, as JSON
//	/metrics           the counters
//
// Degraded and draining are also reported in Envoy's health check headers.
func (r *Responder) HTTP(exchange *httpserve.Exchange) {
	r.count.http.Add(1)
	path, query, _ := strings.Cut(exchange.Target, "?")
	if exchange.Method != "GET" && exchange.Method != "HEAD" && exchange.Method != "OPTIONS" {
		exchange.Respond(405, nil, "Allow", "GET, HEAD, OPTIONS")
		return
	}
	page, database, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	report := r.Report()
	switch page {
	case "livez":
		r.respondLive(exchange, report)
	case "readyz", "healthz":
		respondReady(exchange, report, database, query)
	case "servers":
		if r.Servers == nil {
			exchange.Respond(404, []byte("no such page\n"))
			return
		}
		exchange.Respond(200, r.Servers(), "Content-Type", "application/json")
	case "metrics":
		if r.Metrics == nil {
			exchange.Respond(404, []byte("no such page\n"))
			return
		}
		exchange.Respond(200, []byte(r.Metrics()), plainText...)
	default:
		// Not 404, which load balancers would treat as a drain.
		exchange.Respond(400, []byte("no such page\n"), plainText...)
	}
}

// respondLive reports whether the event loop creates reports: the latest is not overdue.
func (r *Responder) respondLive(exchange *httpserve.Exchange, report readiness.Report) {
	if report.At.IsZero() || r.Now().Sub(report.At) > maxReportAge {
		exchange.Respond(503, []byte(strings.Join(report.Reasons, "; ")+"\n"), plainText...)
		return
	}
	exchange.Respond(200, []byte("live\n"), plainText...)
}

// respondReady reports whether queries are accepted, by the aggregator or, if database is not empty, for that database.
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

// databaseLines returns a line for each database with its state and reason.
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
