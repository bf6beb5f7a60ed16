package health

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// How evidence is merged: the first row that applies decides the state. docs/health.md has the same table with reasons.
//
//	endpoint list: removed                   out of service
//	endpoint list: draining                  draining
//	a check's last state: maint              out of service
//	a check's last state: drain              draining
//	a check's last weight: 0                 draining
//	checks down, and server unreachable      out of service
//	checks down, last replica of a shard     in service, as last resort
//	checks down, and checks suspect          as without checks
//	checks down, or flapping                 out of service
//	server unreachable                       in service, as last resort, with half-open requests
//	parts of a class fail                    in service, ejected from that class, with half-open requests,
//	                                         within the limit of its shards
//	otherwise                                in service
//
// A successful check never outweighs failing parts: no row depends on a check's success.

// fractionSteps is the number of steps to which traffic fractions are rounded, since each change produces a new
// endpoint list.
const fractionSteps = 20

// assessment is the evidence on one server, as input to its decision.
type assessment struct {
	down             bool // by its checks
	downReason       string
	effectiveDown    bool // down, and the checks are not suspect
	admin            AdminState
	adminReason      string
	adminOut         bool // drained by the endpoint list, or drained or in maintenance by a check
	unreachable      bool
	answeredRecently bool // reachable, and its last answer is still valid
}

// update recomputes the decision on a server.
func (t *Table) update(index int) {
	server := t.servers[index]
	assessed := t.assess(server)
	available := !assessed.adminOut && !assessed.effectiveDown && !assessed.unreachable
	if available != server.available {
		server.available = available
		t.markShardReplicasDirty(index)
	}
	excluded := assessed.adminOut || assessed.effectiveDown
	for class := range server.classes {
		server.classes[class].ejectionBlocked = false
		if !excluded { // the outcomes of an excluded server are not evaluated
			t.updateEjection(index, class)
		}
	}
	decision := t.decide(index, &assessed)
	if decision.State != InService {
		decision.Usable = false
		for class := range server.classes { // the caller drops the grants of such a server
			server.classes[class].halfOpen = false
		}
	}
	decision.TrafficFraction = max(1, math.Round(t.nextFraction(server)*fractionSteps)) / fractionSteps
	decision.MaxInFlight = t.maxInFlight(server)
	t.publish(server, &decision, t.grantHalfOpen(server, &decision))
	t.scheduleUpdate(index, &decision)
}

// assess collects the evidence on a server, and updates the counts of checked and failing servers.
func (t *Table) assess(server *server) (assessed assessment) {
	assessed.down, assessed.downReason = t.downByChecks(server)
	if t.suppressFlapping(server, assessed.down) {
		assessed.down, assessed.downReason = true, "its checks flap"
	}
	assessed.admin, assessed.adminReason = t.strongestAdmin(server)
	assessed.adminOut = server.Draining || assessed.admin != AdminUnset
	checked := t.hasValidCheck(server) && !assessed.adminOut
	t.updateCheckCounts(server, checkSummary{checked: checked, failing: checked && assessed.down})
	assessed.effectiveDown = assessed.down && !t.suspect
	assessed.unreachable = !server.unreachableAt.IsZero()
	if assessed.unreachable && assessed.down && t.now.Sub(server.unreachableAt) > t.rules.MaxHalfOpenDelay {
		assessed.unreachable = false // too long ago: as the last replica it may receive parts again
	}
	assessed.answeredRecently = !assessed.unreachable && !server.lastSuccess.IsZero() && t.lastAnswerValid(server)
	return assessed
}

// lastAnswerValid reports whether the last answer of a server still counts as evidence that it works.
func (t *Table) lastAnswerValid(s *server) bool {
	return t.now.Sub(s.lastSuccess) <= t.rules.AnswerValidity
}

// decide applies the table above. It sets neither the traffic fraction nor the limit of parts in flight.
func (t *Table) decide(index int, assessed *assessment) Decision {
	server := t.servers[index]
	switch {
	case server.Draining:
		return Decision{State: Draining, Cause: "the roster: it drains"}
	case assessed.admin == Maintenance:
		return Decision{State: OutOfService, Cause: assessed.adminReason}
	case assessed.admin == Drain:
		return Decision{State: Draining, Cause: assessed.adminReason}
	case assessed.effectiveDown && assessed.unreachable:
		return Decision{State: OutOfService, Cause: assessed.downReason + "; and parts find no connection"}
	case assessed.effectiveDown:
		if shard, sole := t.soleShard(index); sole {
			return Decision{
				EjectedClasses: AllClasses,
				Cause:          fmt.Sprintf("%s; but it holds block %d alone", assessed.downReason, shard),
				Usable:         assessed.answeredRecently,
				Contradictory:  assessed.answeredRecently,
			}
		}
		return Decision{State: OutOfService, Cause: assessed.downReason, Contradictory: assessed.answeredRecently}
	case assessed.unreachable:
		return Decision{EjectedClasses: AllClasses, Cause: "parts find no connection"}
	}
	return t.decideByOutcomes(server, assessed)
}

// decideByOutcomes decides on a server that no other evidence excludes.
func (t *Table) decideByOutcomes(server *server, assessed *assessment) Decision {
	decision := Decision{Usable: true}
	var ejected []string
	for class := range server.classes {
		if server.classes[class].ejected {
			decision.EjectedClasses |= 1 << class
			ejected = append(ejected, fmt.Sprint(class))
		} else if server.classes[class].ejectionBlocked {
			decision.Cause = fmt.Sprintf("parts of class %d fail, but its blocks have no others", class)
			decision.Contradictory = true
		}
	}
	if decision.EjectedClasses != 0 {
		decision.Cause = "parts fail, of class " + strings.Join(ejected, ", ")
		decision.Contradictory = t.hasValidCheck(server) && !assessed.down
	}
	if assessed.down { // and the checks are suspect
		outcomesCause := strings.TrimPrefix(decision.Cause+"; ", "; ")
		decision.Cause = outcomesCause + assessed.downReason + "; but checks are doubted"
		decision.Contradictory = true
		decision.Usable = server.lastSuccess.After(server.lastUnreachable)
	}
	return decision
}

// soleShard returns a shard of a server of which no other replica is available; sole is false if there is none.
func (t *Table) soleShard(index int) (shard int, sole bool) {
	isOtherAvailable := func(other int) bool { return other != index && t.servers[other].available }
	for _, shard := range t.servers[index].Shards {
		if !slices.ContainsFunc(t.replicas[shard], isOtherAvailable) {
			return shard, true
		}
	}
	return 0, false
}

// publish stores a decision, and adds a change if it differs or a half-open request is granted.
func (t *Table) publish(server *server, decision *Decision, granted uint64) {
	old := &server.decision
	notable := !server.decided || decision.differsNotably(old)
	if notable || granted != 0 || old.TrafficFraction != decision.TrafficFraction || old.Usable != decision.Usable {
		t.changes = append(t.changes, Change{
			ID:              server.ID,
			Decision:        *decision,
			HalfOpenClasses: granted,
			Notable:         notable && (server.decided || decision.Cause != ""),
			PreviousState:   old.State,
		})
	}
	server.decision = *decision
	server.decided = true
}

// differsNotably reports whether two decisions differ in more than TrafficFraction, Usable and Contradictory.
func (d *Decision) differsNotably(other *Decision) bool {
	return d.State != other.State || d.EjectedClasses != other.EjectedClasses || d.Cause != other.Cause ||
		d.MaxInFlight != other.MaxInFlight
}
