package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

// drainGrace is how long after its word a node may still be sent something new.
const drainGrace = 250 * time.Millisecond

// checker holds every step against the rules.
type checker struct {
	world            *world
	violations       []string
	openRequests     map[string]*clientRequest
	requests         map[string]*aggregator.Request
	finalAnswers     map[string]int
	correctionRuns   map[string]int // of corrections, by the client's want
	attemptsInFlight map[string]int // attempts of a part
}

func newChecker() *checker {
	return &checker{openRequests: map[string]*clientRequest{}, requests: map[string]*aggregator.Request{}, finalAnswers: map[string]int{}, correctionRuns: map[string]int{}, attemptsInFlight: map[string]int{}}
}

// maxViolations bounds what is kept of one run.
const maxViolations = 50

func (c *checker) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%v: ", c.world.now.Sub(Start))+fmt.Sprintf(format, args...))
	}
}

func (c *checker) requestSent(a *clientRequest, r *aggregator.Request) {
	c.openRequests[a.id], c.requests[a.id] = a, r
}

// sent: one attempt of a part at a time, none to who drains or is gone by now, none beyond the attempts allowed.
func (c *checker) attemptSent(host *aggregatorHost, r *replica, k *attempt) {
	name := fmt.Sprintf("%d %s", host.index, k.call.Name)
	if c.attemptsInFlight[name]++; c.attemptsInFlight[name] > 1 {
		c.violate("two attempts of %s are out", k.call.Name)
	}
	if at, told := host.removalKnownAt[r.id]; told && c.world.now.Sub(at) > drainGrace {
		c.violate("%s goes to %s, %v after it was told to drain or gone", k.call.Name, r.id, c.world.now.Sub(at))
	}
	if k.call.Attempt.Number >= host.balancerSettings.MaxAttempts {
		c.violate("attempt %d of %s", k.call.Attempt.Number+1, k.call.Name)
	}
	if id, _, _ := strings.Cut(k.call.Name, "."); c.openRequests[id] == nil {
		c.violate("%s is sent, and its query is over", k.call.Name)
	}
}

func (c *checker) attemptEnded(k *attempt) {
	name := fmt.Sprintf("%d %s", k.host.index, k.call.Name)
	if c.attemptsInFlight[name]--; c.attemptsInFlight[name] <= 0 {
		delete(c.attemptsInFlight, name)
	}
}

// ran: no part of a correction twice, over all tries that the client made after a refusal.
func (c *checker) correctionRan(r *replica, k *attempt) {
	if k.call.Class != correction {
		return
	}
	id, _, _ := strings.Cut(k.call.Name, ".")
	id, _, _ = strings.Cut(id, "-") // of the want
	if c.correctionRuns[id]++; c.correctionRuns[id] > 1 {
		c.violate("correction %s ran %d times, now at %s", k.call.Name, c.correctionRuns[id], r.id)
	}
	if c.world.PlantedBug == "double correction" && c.correctionRuns[id] == 1 && strings.HasPrefix(id, "q7") {
		c.world.after(time.Millisecond, func() { c.correctionRan(r, k) })
	}
}

// lost: a try whose mixer died has no final answer.
func (c *checker) requestLost(a *clientRequest) {
	delete(c.openRequests, a.id)
	delete(c.requests, a.id)
}

// answered: one final answer, in time, with no more than what nodes gave, and whole only if all is in.
func (c *checker) requestAnswered(a *clientRequest, f aggregator.FinalAnswer) {
	if c.finalAnswers[a.id]++; c.finalAnswers[a.id] > 1 {
		c.violate("%s has %d final answers", a.id, c.finalAnswers[a.id])
	}
	delete(c.openRequests, a.id)
	r := c.requests[a.id]
	delete(c.requests, a.id)
	if late := c.world.now.Sub(r.Arrived.Add(r.Timeout)); late > 20*time.Millisecond {
		c.violate("%s is answered %v after its time", a.id, late)
	}
	id, _, _ := strings.Cut(a.id, "-")
	if f.Status == aggregator.StatusRejected && a.query.class == correction && c.correctionRuns[id] > 0 {
		c.violate("correction %s is refused, and has run", a.id)
	}
	if f.Status != aggregator.StatusServed {
		return
	}
	in := 0.0
	for _, i := range f.Items {
		name := fmt.Sprintf("%s.%d", a.id, i.Shard)
		if !slices.Contains(a.partNames, name) || !strings.HasPrefix(i.Value, name+" by ") {
			c.violate("%s: the value %q for shard %d", a.id, i.Value, i.Shard)
		}
		in += 1 / float64(len(a.partNames))
	}
	class := classes()[a.query.class]
	if f.Complete && len(f.Items) != len(a.partNames) {
		c.violate("%s is marked whole with %d of %d parts", a.id, len(f.Items), len(a.partNames))
	}
	if in < class.MinFraction-1e-9 {
		c.violate("%s is served with %.2f of its weight, under its floor %.2f", a.id, in, class.MinFraction)
	}
}

// quiet: nothing is left when nobody asks any more.
func (c *checker) checkQuiescence() {
	for id := range c.openRequests {
		c.violate("%s has no final answer", id)
	}
	slices.Sort(c.violations)
	for _, host := range c.world.aggregators {
		if r := host.core.OpenQueries(); r > 0 || host.core.Load() > 0 {
			c.violate("mixer %d holds %d queries, %d of load", host.index, r, host.core.Load())
		}
		if len(host.attempts) > 0 {
			c.violate("mixer %d has %d attempts out", host.index, len(host.attempts))
		}
	}
}
