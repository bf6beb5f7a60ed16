package app

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/backend/healthcheck"
	"rooktrestle/internal/config"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/net/tcp"
)

// ServerHealth is the health of one server, as the health command and GET /servers print it.
type ServerHealth struct {
	ID              string        `json:"server"`
	State           string        `json:"state"`
	Usable          bool          `json:"usable"`
	EjectedClasses  uint64        `json:"shunned_classes,omitempty"` // bit c: class c uses it only as a last resort
	TrafficFraction float64       `json:"share"`                     // greater than 0, at most 1
	MaxInFlight     int           `json:"most,omitempty"`            // 0: unlimited
	Cause           string        `json:"cause,omitempty"`
	Facts           []health.Fact `json:"facts"`
}

func newServerHealth(table *health.Table, now time.Time, id string) ServerHealth {
	decision, _ := table.Decision(health.ID(id)) // the zero decision for an unknown server
	return ServerHealth{
		ID:              id,
		State:           decision.State.String(),
		Usable:          decision.Usable,
		EjectedClasses:  decision.EjectedClasses,
		TrafficFraction: decision.TrafficFraction,
		MaxInFlight:     decision.MaxInFlight,
		Cause:           decision.Cause,
		Facts:           table.Facts(now, health.ID(id)),
	}
}

// healthy reports whether the server is in service and usable for all classes.
func (s *ServerHealth) healthy() bool {
	return s.State == health.InService.String() && s.Usable && s.EjectedClasses == 0
}

// HealthOptions are the options of CheckServers.
type HealthOptions struct {
	Watch bool // repeat the checks and print changes until Stop is closed
	JSON  bool // print JSON: one document, or with Watch one object per line
	Stop  <-chan struct{}
}

// CheckServers runs all checks of all servers in an operator's file, and prints for each server the result of every
// check and the resulting state. It returns whether all servers are healthy. The outcomes of real requests, which only
// a running aggregator records, are not included: GET /servers of its health listener reports them.
func CheckServers(path string, out io.Writer, options HealthOptions) (healthy bool, err error) {
	conf, err := config.LoadPartners(path)
	if err != nil {
		return false, err
	}
	table, err := newHealthTable(conf, options.Watch)
	if err != nil {
		return false, err
	}
	printed := map[string]string{} // state and cause of each server in its last printed report
	for {
		runAllChecks(conf, table)
		var reports []ServerHealth
		reports, healthy = changedReports(conf, table, printed)
		if err := printReports(out, reports, options); err != nil {
			return healthy, err
		}
		if !options.Watch {
			return healthy, nil
		}
		select {
		case <-options.Stop:
			return healthy, nil
		case <-time.After(conf.Checks.Interval.Duration):
		}
	}
}

// newHealthTable returns a table of the file's servers. Without watch each check runs only once, so the thresholds fall
// and rise are 1.
func newHealthTable(conf *config.Partners, watch bool) (*health.Table, error) {
	sources := conf.HealthSources()
	if !watch {
		for i := range sources {
			sources[i].Fall, sources[i].Rise = 1, 1
		}
	}
	table, err := health.New(conf.HealthRules(), sources, time.Now())
	if err != nil {
		return nil, err
	}
	var servers []health.Server
	for _, server := range conf.Servers {
		servers = append(servers, health.Server{ID: health.ID(server.ID), Shards: shardsOfCell(conf, server.Cell)})
	}
	table.ReplaceEndpoints(time.Now(), servers)
	return table, nil
}

// changedReports returns the reports of the servers whose state or cause differs from printed, which it updates, and
// whether all servers are healthy.
func changedReports(
	conf *config.Partners, table *health.Table, printed map[string]string,
) (reports []ServerHealth, healthy bool) {
	now := time.Now()
	table.Changes(now)
	healthy = true
	for _, server := range conf.Servers {
		report := newServerHealth(table, now, server.ID)
		healthy = healthy && report.healthy()
		summary := report.State + report.Cause
		if previous, ok := printed[server.ID]; !ok || previous != summary {
			reports = append(reports, report)
		}
		printed[server.ID] = summary
	}
	return reports, healthy
}

// serverCheck is a health check of one server, and the index of its profile.
type serverCheck struct {
	healthcheck.Check
	source int
}

// checksOf returns the checks of a server.
func checksOf(conf *config.Partners, server config.Server) (checks []serverCheck) {
	for _, name := range server.Checks {
		for i := range conf.CheckProfiles {
			profile := &conf.CheckProfiles[i]
			if profile.Name != name {
				continue
			}
			check := healthcheck.Check{
				Profile: profile,
				Addr:    profile.AddrFor(server),
				Bridge:  conf.Checks.GRPCBridge,
				Dial:    tcp.Dial,
			}
			checks = append(checks, serverCheck{check, i})
		}
	}
	return checks
}

// runAllChecks runs each check of each server once, with at most the file's number of checks at a time, and waits for
// all of them.
func runAllChecks(conf *config.Partners, table *health.Table) {
	var running sync.WaitGroup
	var tableMu sync.Mutex
	slots := make(chan struct{}, conf.Checks.MaxConcurrent)
	for _, server := range conf.Servers {
		for _, check := range checksOf(conf, server) {
			slots <- struct{}{}
			running.Go(func() {
				result := check.Run()
				<-slots
				tableMu.Lock()
				defer tableMu.Unlock()
				table.RecordCheck(time.Now(), health.ID(server.ID), check.source, result.CheckResult)
			})
		}
	}
	running.Wait()
}

func printReports(out io.Writer, reports []ServerHealth, options HealthOptions) error {
	switch {
	case options.JSON && options.Watch:
		return printJSONLines(out, reports)
	case options.JSON:
		text, err := json.MarshalIndent(reports, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s\n", text)
		return err
	}
	for _, report := range reports {
		if _, err := io.WriteString(out, report.text()); err != nil {
			return err
		}
	}
	return nil
}

func printJSONLines(out io.Writer, reports []ServerHealth) error {
	for _, report := range reports {
		text, err := json.Marshal(report)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s\n", text); err != nil {
			return err
		}
	}
	return nil
}

// sourceWidth is the width of the column of check names in a report's text.
const sourceWidth = 24

// text formats the report for people: a line for the server, and one for each of its facts.
func (s *ServerHealth) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s\n", s.ID, s.summary())
	for _, fact := range s.Facts {
		age := ""
		if fact.Age >= 0 {
			age = ", " + fact.Age.Round(time.Millisecond).String() + " ago"
		}
		if !fact.Effective {
			age += ", does not count"
		}
		fmt.Fprintf(&b, "  %s %s%s\n", padRight(fact.Source, sourceWidth), fact.Finding, age)
	}
	return b.String()
}

// summary returns the state of the server and its cause on one line.
func (s *ServerHealth) summary() string {
	text := s.State
	if s.State == health.InService.String() && s.EjectedClasses != 0 {
		text += ", as a last resort"
	}
	if s.TrafficFraction < 1 {
		text += fmt.Sprintf(", share %.0f%%", 100*s.TrafficFraction)
	}
	if s.MaxInFlight > 0 {
		text += fmt.Sprintf(", at most %d parts at once", s.MaxInFlight)
	}
	if s.Cause != "" {
		text += ": " + s.Cause
	}
	return text
}

// padRight pads a text with spaces to a width in bytes.
func padRight(text string, width int) string {
	return text + strings.Repeat(" ", max(0, width-len(text)))
}
