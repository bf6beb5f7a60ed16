package health

import (
	"math"
	"slices"
	"time"
)

// checkState is the state of one check of one server.
type checkState struct {
	config     int       // index of its CheckConfig
	resultAt   time.Time // of the last result that counts; zero: none
	successRun int       // consecutive successful results
	failureRun int       // consecutive failed results
	down       bool
	oper       OperState
	admin      AdminState
	weight     float64 // negative: not given
	maxConn    int     // negative: not given
	degraded   bool
	reason     string
}

// RecordCheck records the result of a check, given by its index in the configuration. Results of unlisted servers and
// unknown checks are ignored.
func (t *Table) RecordCheck(now time.Time, id ID, check int, result CheckResult) {
	t.advance(now)
	i, ok := t.index[id]
	if !ok || check < 0 || check >= len(t.checks) {
		return
	}
	server := t.servers[i]
	c := server.check(check)
	config := &t.checks[check]
	if result.Failed && config.IgnoreFailures {
		return // the previous result counts until it expires
	}
	before := t.exclusion(id, c)
	c.resultAt = t.now
	c.setStates(&result)
	c.setDown(&result, config)
	if after := t.exclusion(id, c); !after.sameStates(&before) {
		t.exclusionsVersion++
	}
	if !c.down && !result.Failed && !config.IgnoreFailures && t.checkMayMarkReachable(server) {
		server.checkRecoveries++
		server.connectFailures = t.rules.MaxConnectFailures - 1
		t.markReachable(i)
	}
	t.markDirty(i)
}

// check returns the state of a check of the server, and creates it if needed.
func (s *server) check(config int) *checkState {
	i := slices.IndexFunc(s.checks, func(c checkState) bool { return c.config == config })
	if i < 0 {
		i = len(s.checks)
		s.checks = append(s.checks, checkState{config: config, weight: -1, maxConn: -1})
	}
	return &s.checks[i]
}

// setStates stores all of a result but up and down. What the result does not give is unchanged.
func (c *checkState) setStates(result *CheckResult) {
	if result.Reason != "" || !result.Failed {
		c.reason = result.Reason
	}
	if result.Admin != AdminUnset {
		c.admin = result.Admin
	}
	if result.Failed {
		return
	}
	c.degraded = result.Degraded
	if result.Weight >= 0 {
		c.weight = min(result.Weight, 1)
	}
	if result.MaxConn >= 0 {
		c.maxConn = result.MaxConn
	}
}

// setDown counts a result towards CheckConfig.Fall or Rise, and sets down accordingly.
func (c *checkState) setDown(result *CheckResult, config *CheckConfig) {
	switch {
	case result.Failed:
		c.successRun = 0
		c.failureRun++
		if c.failureRun >= config.Fall || result.Immediate {
			c.down = true
		}
	case result.Oper == Down:
		c.successRun = 0
		c.failureRun++
		c.oper = Down
		c.down = true
	default:
		if result.Oper == Up {
			c.oper = Up
		}
		c.failureRun = 0
		c.successRun++
		// Once the server has reported Down, only an explicit Up ends it.
		if c.successRun >= config.Rise && (result.Oper == Up || c.oper != Down) {
			c.down = false
		}
	}
}

// checkMayMarkReachable reports whether a successful check may make an unreachable server reachable: enough time must
// have elapsed since the last connection failure. Without checks a server to which no parts are sent, because it is
// unreachable, would stay so forever. The delay doubles each time until a part is answered.
func (t *Table) checkMayMarkReachable(s *server) bool {
	return !s.unreachableAt.IsZero() && t.now.Sub(s.unreachableAt) >= t.doubledDelay(s.checkRecoveries)
}

// valid reports whether the last result of a check still counts.
func (t *Table) valid(check *checkState) bool {
	validity := t.checks[check.config].Validity
	return !check.resultAt.IsZero() && (validity == 0 || t.now.Sub(check.resultAt) <= validity)
}

// hasValidCheck reports whether any check of a server is valid.
func (t *Table) hasValidCheck(s *server) bool {
	for i := range s.checks {
		if t.valid(&s.checks[i]) {
			return true
		}
	}
	return false
}

// describe returns the name of a check, a finding of it and, in parentheses, its reason.
func (t *Table) describe(check *checkState, finding string) string {
	text := "check " + t.checks[check.config].Name + ": " + finding
	if check.reason != "" {
		text += " (" + check.reason + ")"
	}
	return text
}

// downByChecks reports whether a server is down by a valid check, and why.
func (t *Table) downByChecks(s *server) (down bool, reason string) {
	for i := range s.checks {
		check := &s.checks[i]
		if check.down && t.valid(check) {
			return true, t.describe(check, "down")
		}
	}
	return false, ""
}

// suppressFlapping reports whether a server has to stay down because the results of its checks flap; down is the
// current result. Each change adds to a penalty that decays exponentially. From FlapSuppress on the server stays down
// until the penalty has decayed to FlapReuse (as in the route flap damping of RFC 2439), so that the endpoint list does
// not change with every check.
func (t *Table) suppressFlapping(server *server, down bool) bool {
	if elapsed := t.now.Sub(server.flapPenaltyAt); elapsed > 0 {
		server.flapPenalty *= math.Exp2(-float64(elapsed) / float64(t.rules.FlapHalfLife))
	}
	server.flapPenaltyAt = t.now
	if down != server.wasDown {
		server.wasDown = down
		server.flapPenalty = min(server.flapPenalty+1, 2*t.rules.FlapSuppress)
		if !down {
			server.recoveryStart = t.now
		}
	}
	switch {
	case server.flapPenalty >= t.rules.FlapSuppress:
		server.suppressed = true
	case server.flapPenalty <= t.rules.FlapReuse:
		server.suppressed = false
	}
	return server.suppressed
}

// adminState returns the administrative state that a check has set. A weight of 0 drains the server, as in HAProxy. The
// state does not expire: it lasts until the same check reports Ready or another weight, however long the check is silent.
func (c *checkState) adminState() AdminState {
	if c.weight == 0 && c.admin != Maintenance {
		return Drain
	}
	return c.admin
}

// strongestAdmin returns the stronger of Drain and Maintenance by the checks of a server, and why.
func (t *Table) strongestAdmin(server *server) (strongest AdminState, reason string) {
	for i := range server.checks {
		check := &server.checks[i]
		admin := check.adminState()
		if admin <= max(Ready, strongest) {
			continue
		}
		finding := admin.String()
		if check.admin != admin {
			finding = "weight 0"
		}
		strongest = admin
		reason = t.describe(check, finding)
	}
	return strongest, reason
}

// updateCheckCounts updates the numbers of checked and failing servers, from which suspicion of the checks is derived.
func (t *Table) updateCheckCounts(s *server, summary checkSummary) {
	t.checkedServers += countChange(s.checkSummary.checked, summary.checked)
	t.failingServers += countChange(s.checkSummary.failing, summary.failing)
	s.checkSummary = summary
	if (t.mostChecksFail() || t.suspect) && t.nextSuspicionUpdate.IsZero() {
		t.nextSuspicionUpdate = t.now
	}
}

// countChange returns by how much a count changes when one member's property changes from before to after.
func countChange(before, after bool) int {
	switch {
	case after && !before:
		return 1
	case before && !after:
		return -1
	}
	return 0
}

// mostChecksFail reports whether more servers fail their checks than PanicThreshold allows.
func (t *Table) mostChecksFail() bool {
	return float64(t.failingServers) > t.rules.PanicThreshold*float64(t.checkedServers)
}

// suspicionInterval is how often the checks are evaluated while most of them fail.
const suspicionInterval = 100 * time.Millisecond

// updateSuspicion evaluates all checks together: they are suspect if most of them fail while enough of the failing
// servers answer parts. This protects the service from a faulty checking system. The suspicion ends when most checks
// succeed again, or when most of the failing servers are unreachable.
func (t *Table) updateSuspicion() {
	if t.nextSuspicionUpdate.IsZero() || t.now.Before(t.nextSuspicionUpdate) {
		return
	}
	t.nextSuspicionUpdate = time.Time{}
	suspect := false
	if t.mostChecksFail() {
		suspect = t.failingChecksContradicted()
		t.nextSuspicionUpdate = t.now.Add(suspicionInterval)
	}
	if suspect == t.suspect {
		return
	}
	t.suspect = suspect
	for i := range t.servers {
		t.markDirty(i)
	}
}

// failingChecksContradicted reports whether the servers that fail their checks work. For the checks to become suspect,
// half of these servers have to answer parts. Once suspect, they stay so without further answers, until most of these
// servers are unreachable.
func (t *Table) failingChecksContradicted() bool {
	answering := 0
	unreachable := 0
	for _, s := range t.servers {
		switch {
		case s == nil || !s.checkSummary.failing:
		case s.lastUnreachable.After(s.lastSuccess):
			unreachable++
		case t.lastAnswerValid(s):
			answering++
		}
	}
	halfAnswer := 2*answering >= t.failingServers
	mostUnreachable := 2*unreachable > t.failingServers
	return !mostUnreachable && (t.suspect || halfAnswer)
}
