package health

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// How facts merge. The first row that holds decides the state; docs/health.md has the same table with reasons.
//
//	endpoint list: removed                   out of service
//	endpoint list: draining                  draining
//	a check's last state: maint              out of service
//	a check's last state: drain              draining
//	a check's weight, still valid: 0         draining
//	checks down, and server unreachable      out of service
//	checks down, last replica of a shard     in service, as last resort
//	checks down, and checks suspect          as if there were none
//	checks down, or flapping                 out of service
//	server unreachable                       in service, as last resort, with half-open requests
//	parts of a class fail                    in service, ejected from that class, with half-open requests,
//	                                         within the limit of its shards
//	otherwise                                in service
//
// A successful check never outweighs failing parts: no row asks whether a check succeeds.

// fractionSteps is into how many steps traffic fractions are rounded, since each change costs an endpoint list.
const fractionSteps = 20

// assessment is the evidence on one server, as its decision needs it.
type assessment struct {
	down           bool // by its checks
	downReason     string
	believedDown   bool // and the checks are not suspect
	admin          AdminState
	adminReason    string
	adminOut       bool // drained by the endpoint list, or drained or in maintenance by a check
	unreachable    bool
	answeredLately bool // has answered a part just now
}

// update decides on a server anew.
func (t *Table) update(index int) {
	s := t.servers[index]
	a := t.assess(s)
	fit := !a.adminOut && !a.believedDown && !a.unreachable
	if fit != s.fit {
		s.fit = fit
		t.markNeighboursDirty(index)
	}
	for class := range s.classes {
		t.updateEjection(index, class, a.adminOut || a.believedDown)
	}
	d := t.decide(index, &a)
	if d.State != InService {
		d.Usable = false
		for class := range s.classes { // the caller has dropped its grants with the server
			s.classes[class].halfOpen = false
		}
	}
	d.TrafficFraction = max(1, math.Round(t.nextFraction(s)*fractionSteps)) / fractionSteps
	d.MaxInFlight = t.maxInFlight(s)
	t.publish(s, &d, t.grantHalfOpen(s, &d))
	t.scheduleUpdate(index, &d)
}

// assess collects the evidence on a server, and counts its checks.
func (t *Table) assess(s *server) (a assessment) {
	a.down, a.downReason = t.downByChecks(s)
	if t.suppressFlapping(s, a.down) {
		a.down, a.downReason = true, "its checks flap"
	}
	a.admin, a.adminReason = t.strongestAdmin(s)
	a.adminOut = s.Draining || a.admin != AdminUnset
	checked := t.hasValidCheck(s) && !a.adminOut
	t.updateCheckCounts(s, checkStanding{checked: checked, failing: checked && a.down})
	a.believedDown = a.down && !t.suspect
	a.unreachable = !s.unreachableAt.IsZero()
	if a.unreachable && a.down && t.now.Sub(s.unreachableAt) > t.rules.MaxHalfOpenDelay {
		a.unreachable = false // too long ago: parts may be sent there again if it is the last replica
	}
	a.answeredLately = !a.unreachable && !s.lastSuccess.IsZero() && t.answersCount(s)
	return a
}

// answersCount reports whether the last answer of a server still shows that it works.
func (t *Table) answersCount(s *server) bool {
	return t.now.Sub(s.lastSuccess) <= t.rules.AnswerValidity
}

// decide applies the table above, apart from traffic limits.
func (t *Table) decide(index int, assessed *assessment) Decision {
	s := t.servers[index]
	switch {
	case s.Draining:
		return Decision{State: Draining, Cause: "the roster: it drains"}
	case assessed.admin == Maintenance:
		return Decision{State: OutOfService, Cause: assessed.adminReason}
	case assessed.admin == Drain:
		return Decision{State: Draining, Cause: assessed.adminReason}
	case assessed.believedDown && assessed.unreachable:
		return Decision{State: OutOfService, Cause: assessed.downReason + "; and parts find no connection"}
	case assessed.believedDown:
		if shard, sole := t.soleShard(index); sole {
			return Decision{
				EjectedClasses: AllClasses,
				Cause:          fmt.Sprintf("%s; but it holds block %d alone", assessed.downReason, shard),
				Usable:         assessed.answeredLately,
				Contradictory:  assessed.answeredLately,
			}
		}
		return Decision{State: OutOfService, Cause: assessed.downReason, Contradictory: assessed.answeredLately}
	case assessed.unreachable:
		return Decision{EjectedClasses: AllClasses, Cause: "parts find no connection"}
	}
	return t.decideByOutcomes(s, assessed)
}

// decideByOutcomes decides on a server that is not out of use for another reason.
func (t *Table) decideByOutcomes(s *server, assessed *assessment) Decision {
	d := Decision{Usable: true}
	var ejected []string
	for class := range s.classes {
		if s.classes[class].ejected {
			d.EjectedClasses |= 1 << class
			ejected = append(ejected, fmt.Sprint(class))
		} else if s.classes[class].ejectionBlocked {
			d.Cause = fmt.Sprintf("parts of class %d fail, but its blocks have no others", class)
			d.Contradictory = true
		}
	}
	if d.EjectedClasses != 0 {
		d.Cause = "parts fail, of class " + strings.Join(ejected, ", ")
		d.Contradictory = t.hasValidCheck(s) && !assessed.down
	}
	if assessed.down { // and the checks are suspect
		d.Cause = strings.TrimPrefix(d.Cause+"; ", "; ") + assessed.downReason + "; but checks are doubted"
		d.Contradictory = true
		d.Usable = s.lastSuccess.After(s.lastUnreachable)
	}
	return d
}

// soleShard returns a shard of a server of which no other replica is fit; sole is false if there is none.
func (t *Table) soleShard(index int) (shard int, sole bool) {
	isFitOther := func(other int) bool { return other != index && t.servers[other].fit }
	for _, shard := range t.servers[index].Shards {
		if !slices.ContainsFunc(t.replicas[shard], isFitOther) {
			return shard, true
		}
	}
	return 0, false
}

// publish notes a decision, and adds a change if it differs or a half-open request is granted.
func (t *Table) publish(s *server, d *Decision, granted uint64) {
	old := &s.decision
	notable := !s.decided || d.differsNotably(old)
	if notable || granted != 0 || old.TrafficFraction != d.TrafficFraction || old.Usable != d.Usable {
		t.changes = append(t.changes, Change{
			ID:              s.ID,
			Decision:        *d,
			HalfOpenClasses: granted,
			Notable:         notable && (s.decided || d.Cause != ""),
			PreviousState:   old.State,
		})
	}
	s.decision = *d
	s.decided = true
}

// differsNotably reports whether two decisions differ in more than the traffic fraction or what may be expected.
func (d *Decision) differsNotably(other *Decision) bool {
	return d.State != other.State || d.EjectedClasses != other.EjectedClasses || d.Cause != other.Cause ||
		d.MaxInFlight != other.MaxInFlight
}
