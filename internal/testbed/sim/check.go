package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

const (
	// drainGrace is the time after being notified that a replica drains or is removed in which an aggregator may still
	// send new attempts to it.
	drainGrace = 250 * time.Millisecond

	// answerGrace is the time after its deadline in which a request may still be answered.
	answerGrace = 20 * time.Millisecond

	// fractionTolerance allows for rounding errors in a sum of fractions.
	fractionTolerance = 1e-9
)

// checker checks the invariants of a run at every step.
type checker struct {
	world            *world
	violations       []string
	openRequests     map[string]*clientRequest      // requests without a final answer, by identifier
	requests         map[string]*aggregator.Request // what the aggregator received for each of openRequests
	finalAnswers     map[string]int                 // by the request's identifier
	correctionRuns   map[string]int                 // how often each correction ran, by its query
	attemptsInFlight map[string]int                 // by aggregator and part
}

func newChecker(w *world) *checker {
	return &checker{
		world:            w,
		openRequests:     map[string]*clientRequest{},
		requests:         map[string]*aggregator.Request{},
		finalAnswers:     map[string]int{},
		correctionRuns:   map[string]int{},
		attemptsInFlight: map[string]int{},
	}
}

// maxViolations is the maximum number of violations that are recorded in one run.
const maxViolations = 50

// violate records a violation with the current time.
func (c *checker) violate(format string, args ...any) {
	if len(c.violations) == maxViolations {
		return
	}
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, fmt.Sprintf("%v: %s", c.world.now.Sub(StartTime), text))
}

func (c *checker) requestSent(sent *clientRequest, request *aggregator.Request) {
	c.openRequests[sent.id] = sent
	c.requests[sent.id] = request
}

// attemptKey identifies the part of an attempt within its aggregator.
func attemptKey(a *attempt) string { return fmt.Sprintf("%d %s", a.host.index, a.outgoing.Name) }

// attemptSent checks that a part has one attempt in flight at a time, no attempt at a replica that the aggregator was
// notified to be draining or removed, no more than MaxAttempts, and none after its request was answered.
func (c *checker) attemptSent(sent *attempt) {
	name := sent.outgoing.Name
	key := attemptKey(sent)
	c.attemptsInFlight[key]++
	if c.attemptsInFlight[key] > 1 {
		c.violate("two attempts of %s are in flight", name)
	}
	if notifiedAt, notified := sent.host.removalNotifiedAt[sent.replica.id]; notified {
		if elapsed := c.world.now.Sub(notifiedAt); elapsed > drainGrace {
			c.violate("%s goes to %s, %v after its drain or removal was known", name, sent.replica.id, elapsed)
		}
	}
	if sent.outgoing.Attempt.Number >= sent.host.balancerSettings.MaxAttempts {
		c.violate("attempt %d of %s", sent.outgoing.Attempt.Number+1, name)
	}
	requestID, _, _ := strings.Cut(name, ".")
	if c.openRequests[requestID] == nil {
		c.violate("%s is sent, and its request has ended", name)
	}
}

func (c *checker) attemptEnded(a *attempt) {
	key := attemptKey(a)
	c.attemptsInFlight[key]--
	if c.attemptsInFlight[key] <= 0 {
		delete(c.attemptsInFlight, key)
	}
}

// correctionRan counts the runs of a correction, and checks that it does not run twice, retries of its client included.
func (c *checker) correctionRan(r *replica, a *attempt) {
	if a.outgoing.Class != correction {
		return
	}
	queryID, _, _ := strings.Cut(a.outgoing.Name, "-")
	c.correctionRuns[queryID]++
	runs := c.correctionRuns[queryID]
	if runs > 1 {
		c.violate("correction %s ran %d times, now at %s", a.outgoing.Name, runs, r.id)
	}
	if c.world.InjectedBug == BugDoubleCorrection && runs == 1 && strings.HasPrefix(queryID, "q7") {
		c.world.after(time.Millisecond, func() { c.correctionRan(r, a) })
	}
}

// requestLost removes a request whose aggregator crashed: it receives no final answer.
func (c *checker) requestLost(request *clientRequest) {
	delete(c.openRequests, request.id)
	delete(c.requests, request.id)
}

// requestAnswered checks that a request receives one final answer in time, that a rejected correction has not run, and
// the content of the answer.
func (c *checker) requestAnswered(request *clientRequest, answer aggregator.FinalAnswer) {
	c.finalAnswers[request.id]++
	if c.finalAnswers[request.id] > 1 {
		c.violate("%s has %d final answers", request.id, c.finalAnswers[request.id])
	}
	sent := c.requests[request.id]
	delete(c.openRequests, request.id)
	delete(c.requests, request.id)
	deadline := sent.Arrived.Add(sent.Timeout)
	if overdue := c.world.now.Sub(deadline); overdue > answerGrace {
		c.violate("%s is answered %v after its deadline", request.id, overdue)
	}
	switch answer.Status {
	case aggregator.StatusRejected:
		queryID, _, _ := strings.Cut(request.id, "-")
		if request.query.class == correction && c.correctionRuns[queryID] > 0 {
			c.violate("correction %s is rejected, and has run", request.id)
		}
	case aggregator.StatusServed:
		c.checkContent(request, answer)
	}
}

// checkContent checks that an answer has only values that replicas sent for its parts, is marked complete only with all
// parts, and has the class's minimum fraction of the weight.
func (c *checker) checkContent(request *clientRequest, answer aggregator.FinalAnswer) {
	fraction := 0.0
	for _, item := range answer.Items {
		name := fmt.Sprintf("%s.%d", request.id, item.Shard)
		if !slices.Contains(request.partNames, name) || !strings.HasPrefix(item.Value, name+" by ") {
			c.violate("%s: the value %q for shard %d", request.id, item.Value, item.Shard)
		}
		fraction += 1 / float64(len(request.partNames))
	}
	if answer.Complete && len(answer.Items) != len(request.partNames) {
		c.violate("%s is marked complete with %d of %d parts", request.id, len(answer.Items), len(request.partNames))
	}
	minFraction := classes()[request.query.class].MinFraction
	if fraction < minFraction-fractionTolerance {
		c.violate("%s is served with %.2f of its weight, under its floor %.2f", request.id, fraction, minFraction)
	}
}

// checkQuiescence checks that no request, query or attempt is open at the end of a run.
func (c *checker) checkQuiescence() {
	for id := range c.openRequests {
		c.violate("%s has no final answer", id)
	}
	slices.Sort(c.violations)
	for _, host := range c.world.aggregators {
		open := host.core.OpenQueries()
		load := host.core.Load()
		if open > 0 || load > 0 {
			c.violate("aggregator %d holds %d queries, %d of load", host.index, open, load)
		}
		if len(host.attempts) > 0 {
			c.violate("aggregator %d has %d attempts in flight", host.index, len(host.attempts))
		}
	}
}
