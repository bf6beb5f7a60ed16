package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

const (
	// drainGrace is how long after an aggregator learned that a replica drains it may still send a new attempt there.
	drainGrace = 250 * time.Millisecond

	// answerGrace is how long after its deadline a request may be answered.
	answerGrace = 20 * time.Millisecond

	// fractionTolerance is for rounding errors in a sum of fractions.
	fractionTolerance = 1e-9
)

// checker checks every step of a run against the rules that have to hold whatever happens.
type checker struct {
	world            *world
	violations       []string
	openRequests     map[string]*clientRequest      // by identifier, without a final answer
	requests         map[string]*aggregator.Request // what the aggregator got for each of openRequests
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

// maxViolations bounds the violations that are kept of one run.
const maxViolations = 50

// violate notes a violation with the present moment.
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

// attemptKey names a part of a request within its aggregator.
func attemptKey(a *attempt) string { return fmt.Sprintf("%d %s", a.host.index, a.call.Name) }

// attemptSent checks that a part has one attempt at a time, none to a replica that is known to drain or to be
// removed, and no more than MaxAttempts.
func (c *checker) attemptSent(sent *attempt) {
	name := sent.call.Name
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
	if sent.call.Attempt.Number >= sent.host.balancerSettings.MaxAttempts {
		c.violate("attempt %d of %s", sent.call.Attempt.Number+1, name)
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

// correctionRan checks that no correction runs twice, over all retries of its client.
func (c *checker) correctionRan(r *replica, a *attempt) {
	if a.call.Class != correction {
		return
	}
	queryID, _, _ := strings.Cut(a.call.Name, "-")
	c.correctionRuns[queryID]++
	runs := c.correctionRuns[queryID]
	if runs > 1 {
		c.violate("correction %s ran %d times, now at %s", a.call.Name, runs, r.id)
	}
	if c.world.InjectedBug == BugDoubleCorrection && runs == 1 && strings.HasPrefix(queryID, "q7") {
		c.world.after(time.Millisecond, func() { c.correctionRan(r, a) })
	}
}

// requestLost forgets a request whose aggregator crashed: it has no final answer.
func (c *checker) requestLost(request *clientRequest) {
	delete(c.openRequests, request.id)
	delete(c.requests, request.id)
}

// requestAnswered checks that a request has one final answer, in time, with the values of replicas only, marked
// complete only if every part is in.
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

// checkContent checks the values of an answer, and whether it has as many as it needs.
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

// checkQuiescence checks at the end of a run that no request, query or attempt is open.
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
