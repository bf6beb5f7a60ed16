package health

import (
	"math"
	"slices"
	"time"
)

// checkState is what one check has found on one server.
type checkState struct {
	config     int       // index of its CheckConfig
	resultAt   time.Time // of the last result that counts; zero: none
	successRun int       // successful results in a row
	failureRun int       // failed results in a row
	down       bool
	oper       OperState
	admin      AdminState
	weight     float64 // negative: not given
	maxConn    int     // negative: not given
	degraded   bool
	reason     string
}

// RecordCheck takes the result of a check, given by its index in the configuration. A server that is not listed, or an
// unknown check, is ignored.
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
		return // what was found before counts until its validity ends
	}
	c.resultAt = t.now
	c.setStates(&result)
	c.setDown(&result, config)
	if !c.down && !result.Failed && !config.IgnoreFailures && t.mayRevive(server) {
		server.revivals++
		server.connectFailures = t.rules.MaxConnectFailures - 1
		t.revive(i)
	}
	t.markDirty(i)
}

// check returns the state of a check on the server.
func (s *server) check(config int) *checkState {
	i := slices.IndexFunc(s.checks, func(c checkState) bool { return c.config == config })
	if i < 0 {
		i = len(s.checks)
		s.checks = append(s.checks, checkState{config: config, weight: -1, maxConn: -1})
	}
	return &s.checks[i]
}

// setStates takes what a result says beside up and down. What it does not say stays.
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

// setDown counts a result for fall or rise.
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
		// A result without an operational state does not end a state of Down that the server sent.
		if c.successRun >= config.Rise && (result.Oper == Up || c.oper != Down) {
			c.down = false
		}
	}
}

// mayRevive reports whether a successful check may end that a server counts as unreachable: if it succeeded late enough
// after the last connection failure. This keeps a server to which nothing is sent any more, because it was unreachable,
// from staying so for ever. The wait doubles with each time until a part is answered.
func (t *Table) mayRevive(s *server) bool {
	return !s.unreachableAt.IsZero() && t.now.Sub(s.unreachableAt) >= t.doubledDelay(s.revivals)
}

// valid reports whether what a check found still counts.
func (t *Table) valid(check *checkState) bool {
	return !check.resultAt.IsZero() && t.now.Sub(check.resultAt) <= t.checks[check.config].Validity
}

// hasValidCheck reports whether any check of a server has a result that still counts.
func (t *Table) hasValidCheck(s *server) bool {
	for i := range s.checks {
		if t.valid(&s.checks[i]) {
			return true
		}
	}
	return false
}

// describe returns the name of a check with what it found and, in parentheses, its reason.
func (t *Table) describe(check *checkState, finding string) string {
	text := "check " + t.checks[check.config].Name + ": " + finding
	if check.reason != "" {
		text += " (" + check.reason + ")"
	}
	return text
}

// downByChecks reports whether a valid check has a server down, and why.
func (t *Table) downByChecks(s *server) (down bool, reason string) {
	for i := range s.checks {
		check := &s.checks[i]
		if check.down && t.valid(check) {
			return true, t.describe(check, "down")
		}
	}
	return false, ""
}

// suppressFlapping reports whether a server that is down by its checks, or not, has to stay down because they flap.
// Each change of their result adds to a penalty that decays; from FlapSuppress on the server stays down until the
// penalty has decayed to FlapReuse (as RFC 2439 damps routes). This protects the list from changing with every
// check.
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

// strongestAdmin returns the strongest of Drain and Maintenance that a check gives a server, and why. These states
// do not age: a drain that is no longer repeated is still one, until its check says Ready. A weight of 0 drains
// while it is valid.
func (t *Table) strongestAdmin(server *server) (strongest AdminState, reason string) {
	for i := range server.checks {
		check := &server.checks[i]
		admin := check.admin
		if admin != Maintenance && check.weight == 0 && t.valid(check) {
			admin = Drain
		}
		if admin != Drain && admin != Maintenance || admin <= strongest {
			continue
		}
		finding := admin.String()
		if check.weight == 0 && check.admin != admin {
			finding = "weight 0"
		}
		strongest = admin
		reason = t.describe(check, finding)
	}
	return strongest, reason
}

// updateCheckCounts keeps the counts by which the checks as a whole are judged.
func (t *Table) updateCheckCounts(s *server, standing checkStanding) {
	t.checkedServers += countChange(s.standing.checked, standing.checked)
	t.failingServers += countChange(s.standing.failing, standing.failing)
	s.standing = standing
	if (t.mostChecksFail() || t.suspect) && t.nextSuspicion.IsZero() {
		t.nextSuspicion = t.now
	}
}

// countChange returns what the change of one member's property adds to the number of members that have it.
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

// suspicionInterval is how often the checks are judged while most of them fail.
const suspicionInterval = 100 * time.Millisecond

// updateSuspicion judges the checks as a whole: they are suspect if most of them fail and enough of those servers have
// answered parts just now. This protects the service from a checking system that is broken itself. It ends when most
// checks succeed again.
func (t *Table) updateSuspicion() {
	if t.nextSuspicion.IsZero() || t.now.Before(t.nextSuspicion) {
		return
	}
	t.nextSuspicion = time.Time{}
	suspect := false
	if t.mostChecksFail() {
		suspect = t.failingChecksContradicted()
		t.nextSuspicion = t.now.Add(suspicionInterval)
	}
	if suspect == t.suspect {
		return
	}
	t.suspect = suspect
	for i := range t.servers {
		t.markDirty(i)
	}
}

// failingChecksContradicted reports whether the servers that fail their checks work. Half of them have to answer
// parts at first. Later a time without parts does not restore trust in the checks, but connection failures at most
// of them do.
func (t *Table) failingChecksContradicted() bool {
	answering := 0
	unreachable := 0
	for _, s := range t.servers {
		switch {
		case s == nil || !s.standing.failing:
		case s.lastUnreachable.After(s.lastSuccess):
			unreachable++
		case t.answersCount(s):
			answering++
		}
	}
	halfAnswer := 2*answering >= t.failingServers
	mostUnreachable := 2*unreachable > t.failingServers
	return !mostUnreachable && (t.suspect || halfAnswer)
}
