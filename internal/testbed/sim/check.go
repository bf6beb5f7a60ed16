package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

// drainGrace is how long after an aggregator knows that a replica drains it may still send a new attempt there.
const drainGrace = 250 * time.Millisecond

// checker compares every step of a run with the rules.
type checker struct {
	world            *world
	violations       []string
	openRequests     map[string]*clientRequest
	requests         map[string]*aggregator.Request
	finalAnswers     map[string]int
	correctionRuns   map[string]int // of corrections, by the query
	attemptsInFlight map[string]int // by aggregator and part
}

func newChecker(w *world) *checker {
	return &checker{world: w, openRequests: map[string]*clientRequest{}, requests: map[string]*aggregator.Request{}, finalAnswers: map[string]int{}, correctionRuns: map[string]int{}, attemptsInFlight: map[string]int{}}
}

// maxViolations bounds the violations that are kept of one run.
const maxViolations = 50

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%v: ", c.world.now.Sub(Start))+fmt.Sprintf(format, args...))
	}
}

func (c *checker) requestSent(request *clientRequest, r *aggregator.Request) {
	c.openRequests[request.id], c.requests[request.id] = request, r
}

// attemptSent checks that a part has one attempt at a time, none to a replica that is known to drain or to be removed, and
// no more than MaxAttempts.
func (c *checker) attemptSent(host *aggregatorHost, r *replica, a *attempt) {
	name := fmt.Sprintf("%d %s", host.index, a.call.Name)
	if c.attemptsInFlight[name]++; c.attemptsInFlight[name] > 1 {
		c.violate("two attempts of %s are in flight", a.call.Name)
	}
	if at, known := host.removalNotifiedAt[r.id]; known && c.world.now.Sub(at) > drainGrace {
		c.violate("%s goes to %s, %v after its drain or removal was known", a.call.Name, r.id, c.world.now.Sub(at))
	}
	if a.call.Attempt.Number >= host.balancerSettings.MaxAttempts {
		c.violate("attempt %d of %s", a.call.Attempt.Number+1, a.call.Name)
	}
	if id, _, _ := strings.Cut(a.call.Name, "."); c.openRequests[id] == nil {
		c.violate("%s is sent, and its request has ended", a.call.Name)
	}
}

func (c *checker) attemptEnded(a *attempt) {
	name := fmt.Sprintf("%d %s", a.host.index, a.call.Name)
	if c.attemptsInFlight[name]--; c.attemptsInFlight[name] <= 0 {
		delete(c.attemptsInFlight, name)
	}
}

// correctionRan checks that no correction runs twice, over all retries of its client.
func (c *checker) correctionRan(r *replica, a *attempt) {
	if a.call.Class != correction {
		return
	}
	id, _, _ := strings.Cut(a.call.Name, ".")
	id, _, _ = strings.Cut(id, "-") // of the query
	if c.correctionRuns[id]++; c.correctionRuns[id] > 1 {
		c.violate("correction %s ran %d times, now at %s", a.call.Name, c.correctionRuns[id], r.id)
	}
	if c.world.PlantedBug == BugDoubleCorrection && c.correctionRuns[id] == 1 && strings.HasPrefix(id, "q7") {
		c.world.after(time.Millisecond, func() { c.correctionRan(r, a) })
	}
}

// requestLost forgets a request whose aggregator crashed: it has no final answer.
func (c *checker) requestLost(request *clientRequest) {
	delete(c.openRequests, request.id)
	delete(c.requests, request.id)
}

// requestAnswered checks that a request has one final answer, in time, with the values of replicas only, marked complete
// only if every part is in.
func (c *checker) requestAnswered(request *clientRequest, answer aggregator.FinalAnswer) {
	if c.finalAnswers[request.id]++; c.finalAnswers[request.id] > 1 {
		c.violate("%s has %d final answers", request.id, c.finalAnswers[request.id])
	}
	delete(c.openRequests, request.id)
	r := c.requests[request.id]
	delete(c.requests, request.id)
	if overdue := c.world.now.Sub(r.Arrived.Add(r.Timeout)); overdue > 20*time.Millisecond {
		c.violate("%s is answered %v after its deadline", request.id, overdue)
	}
	id, _, _ := strings.Cut(request.id, "-")
	if answer.Status == aggregator.StatusRejected && request.query.class == correction && c.correctionRuns[id] > 0 {
		c.violate("correction %s is rejected, and has run", request.id)
	}
	if answer.Status != aggregator.StatusServed {
		return
	}
	fraction := 0.0
	for _, i := range answer.Items {
		name := fmt.Sprintf("%s.%d", request.id, i.Shard)
		if !slices.Contains(request.partNames, name) || !strings.HasPrefix(i.Value, name+" by ") {
			c.violate("%s: the value %q for shard %d", request.id, i.Value, i.Shard)
		}
		fraction += 1 / float64(len(request.partNames))
	}
	class := classes()[request.query.class]
	if answer.Complete && len(answer.Items) != len(request.partNames) {
		c.violate("%s is marked complete with %d of %d parts", request.id, len(answer.Items), len(request.partNames))
	}
	if fraction < class.MinFraction-1e-9 {
		c.violate("%s is served with %.2f of its weight, under its floor %.2f", request.id, fraction, class.MinFraction)
	}
}

// checkQuiescence checks that nothing is left once the clients have ended.
func (c *checker) checkQuiescence() {
	for id := range c.openRequests {
		c.violate("%s has no final answer", id)
	}
	slices.Sort(c.violations)
	for _, host := range c.world.aggregators {
		if r := host.core.OpenQueries(); r > 0 || host.core.Load() > 0 {
			c.violate("aggregator %d holds %d queries, %d of load", host.index, r, host.core.Load())
		}
		if len(host.attempts) > 0 {
			c.violate("aggregator %d has %d attempts in flight", host.index, len(host.attempts))
		}
	}
}
