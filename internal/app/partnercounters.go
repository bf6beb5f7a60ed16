package app

import (
	"encoding/json"
	"fmt"

	"rooktrestle/internal/aggregator"
)

// Counters returns the core's counters. It blocks until the loop has read them.
func (p *PartnersDeployment) Counters() (counters aggregator.Counters) {
	p.loop.Do(func() { counters = p.core.Counters })
	return counters
}

// CountersText returns all counters as the text of GET /metrics. It blocks until the loop has read them.
func (p *PartnersDeployment) CountersText() (text string) {
	p.loop.Do(func() { text = p.countersText() })
	return text
}

// countersText formats all counters. It runs on the loop, or after the loop has ended.
func (p *PartnersDeployment) countersText() string {
	agentChecks, httpChecks, whileStalled := p.reporter.Counters()
	checks := p.checks.Stats()
	connections := p.pool.Stats
	text := fmt.Sprintf("%v; servers: dialed %d, refused %d, broken %d, late answers %d",
		p.core.Counters, connections.Dials, connections.DialsFailed, connections.Broken, connections.LateAnswers)
	text += fmt.Sprintf("; sru: %+v; z39.50: %+v", p.sru.Counters(), p.z3950.Counters())
	text += fmt.Sprintf("; health asked: agent %d, http %d, while late %d", agentChecks, httpChecks, whileStalled)
	text += fmt.Sprintf("; checks: %d targets, %d begun, held back %d, late p50 %v p99 %v",
		checks.Tasks, checks.Starts, checks.Delayed, checks.StartDelayP50, checks.StartDelayP99)
	text += fmt.Sprintf("; conclusions changed %d", p.healthTracker.changes)
	return text + p.shardMaps.counters() + clientMemoryText(p.memory)
}

// serversJSON returns the body of GET /servers. It blocks until the loop has read the health table.
func (p *PartnersDeployment) serversJSON() []byte {
	var reports []ServerHealth
	p.loop.Do(func() {
		for _, server := range p.conf.Servers {
			reports = append(reports, newServerHealth(p.healthTracker.table, p.clock.Now(), server.ID))
		}
	})
	text, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		p.log.Error("servers not encoded", "err", err.Error()) // unreachable: only finite numbers and text
	}
	return append(text, '\n')
}
