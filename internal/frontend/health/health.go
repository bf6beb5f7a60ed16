// Package health serves the aggregator's own health to load balancers and orchestrators, by HAProxy's agent-check and
// by HTTP health checks. The event loop creates the readiness report; this package only encodes it. An overdue report
// means that the event loop is blocked, and is served as down.
package health

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"rooktrestle/internal/control/readiness"
	"rooktrestle/internal/protocol/agentcheck"
)

// maxReportAge is the age beyond which a report is overdue. The event loop creates a new one every 50 ms.
const maxReportAge = 700 * time.Millisecond

// Responder serves the latest readiness report. Its exported fields must be set before the first call and not be
// changed afterwards. All methods may be called from any goroutine.
type Responder struct {
	Now func() time.Time
	// Wait is how long the reply to an agent-check waits for the name of a database; 0: no name is read, and the reply
	// is sent at once.
	Wait time.Duration
	// Servers, if set, returns the health of the backend servers as JSON. It is called outside the event loop and may
	// wait for it.
	Servers func() []byte
	// Metrics, if set, returns the counters as text.
	Metrics func() string

	latest atomic.Pointer[readiness.Report] // nil until the first Set
	count  struct{ agent, http, overdue atomic.Uint64 }
}

// Set replaces the report. The event loop calls it with each new report.
func (r *Responder) Set(report readiness.Report) { r.latest.Store(&report) }

// Report returns the latest report. Before the first one, and when the latest is overdue, it returns a report that is
// down and gives this as its reason. The slices of the result are shared and must not be changed.
func (r *Responder) Report() readiness.Report {
	latest := r.latest.Load()
	if latest == nil {
		return readiness.Report{State: readiness.Down, StateText: "down", Reasons: []string{"starting"}, Weight: 1}
	}
	if age := r.Now().Sub(latest.At); age > maxReportAge {
		r.count.overdue.Add(1)
		reason := fmt.Sprintf("the loop stands still since %v", age.Round(100*time.Millisecond))
		return readiness.Report{At: latest.At, State: readiness.Down, StateText: "down", Weight: 1,
			Draining: latest.Draining, Reasons: []string{reason}}
	}
	return *latest
}

// Counters returns how many agent-checks and HTTP health checks were served, and how often the report was overdue.
func (r *Responder) Counters() (agent, http, overdue uint64) {
	return r.count.agent.Load(), r.count.http.Load(), r.count.overdue.Load()
}

// agentReport converts a report to an agent-check report, on the aggregator or, if database is not empty, on that
// database.
func agentReport(report readiness.Report, database string) agentcheck.Report {
	state, reason := report.State, strings.Join(report.Reasons, "; ")
	if database != "" {
		found := report.Database(database)
		if found == nil {
			return agentcheck.Report{State: agentcheck.Down, Weight: -1, MaxConn: -1, Description: "no such database"}
		}
		state, reason = found.State, found.Reason
	}
	converted := agentcheck.Report{
		State:       agentcheck.Up,
		Admin:       agentcheck.Ready,
		Weight:      float64(report.Weight) / 100,
		MaxConn:     -1,
		Description: reason,
	}
	switch {
	case report.Draining:
		converted.Admin, converted.Weight = agentcheck.Drain, -1
	case state == readiness.Down:
		converted.State, converted.Admin, converted.Weight = agentcheck.Down, "", -1
	}
	return converted
}
