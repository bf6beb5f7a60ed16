package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"rooktrestle/internal/aggregator"
)

// drainLimit is how long after its word a node may still be sent something new.
const drainLimit = 250 * time.Millisecond

// checker holds every step against the rules.
type checker struct {
	w        *world
	broken   []string
	open     map[string]*asked
	requests map[string]*aggregator.Request
	finals   map[string]int
	runs     map[string]int // of corrections, by the client's want
	out      map[string]int // attempts of a part
}

func newChecker() *checker {
	return &checker{open: map[string]*asked{}, requests: map[string]*aggregator.Request{}, finals: map[string]int{}, runs: map[string]int{}, out: map[string]int{}}
}

// brokenMost bounds what is kept of one run.
const brokenMost = 50

func (c *checker) bad(format string, args ...any) {
	if len(c.broken) < brokenMost {
		c.broken = append(c.broken, fmt.Sprintf("%v: ", c.w.now.Sub(Start))+fmt.Sprintf(format, args...))
	}
}

func (c *checker) asked(a *asked, r *aggregator.Request) { c.open[a.id], c.requests[a.id] = a, r }

// sent: one attempt of a part at a time, none to who drains or is gone by now, none beyond the attempts allowed.
func (c *checker) sent(m *mixerHost, n *node, k *work) {
	name := fmt.Sprintf("%d %s", m.index, k.call.Name)
	if c.out[name]++; c.out[name] > 1 {
		c.bad("two attempts of %s are out", k.call.Name)
	}
	if at, told := m.told[n.id]; told && c.w.now.Sub(at) > drainLimit {
		c.bad("%s goes to %s, %v after it was told to drain or gone", k.call.Name, n.id, c.w.now.Sub(at))
	}
	if k.call.Attempt.Number >= m.set.MaxAttempts {
		c.bad("attempt %d of %s", k.call.Attempt.Number+1, k.call.Name)
	}
	if id, _, _ := strings.Cut(k.call.Name, "."); c.open[id] == nil {
		c.bad("%s is sent, and its query is over", k.call.Name)
	}
}

func (c *checker) over(k *work) {
	name := fmt.Sprintf("%d %s", k.m.index, k.call.Name)
	if c.out[name]--; c.out[name] <= 0 {
		delete(c.out, name)
	}
}

// ran: no part of a correction twice, over all tries that the client made after a refusal.
func (c *checker) ran(n *node, k *work) {
	if k.call.Class != correction {
		return
	}
	id, _, _ := strings.Cut(k.call.Name, ".")
	id, _, _ = strings.Cut(id, "-") // of the want
	if c.runs[id]++; c.runs[id] > 1 {
		c.bad("correction %s ran %d times, now at %s", k.call.Name, c.runs[id], n.id)
	}
	if c.w.Planted == "double correction" && c.runs[id] == 1 && strings.HasPrefix(id, "q7") {
		c.w.in(time.Millisecond, func() { c.ran(n, k) })
	}
}

// lost: a try whose mixer died has no final answer.
func (c *checker) lost(a *asked) {
	delete(c.open, a.id)
	delete(c.requests, a.id)
}

// answered: one final answer, in time, with no more than what nodes gave, and whole only if all is in.
func (c *checker) answered(a *asked, f aggregator.FinalAnswer) {
	if c.finals[a.id]++; c.finals[a.id] > 1 {
		c.bad("%s has %d final answers", a.id, c.finals[a.id])
	}
	delete(c.open, a.id)
	r := c.requests[a.id]
	delete(c.requests, a.id)
	if late := c.w.now.Sub(r.Arrived.Add(r.Timeout)); late > 20*time.Millisecond {
		c.bad("%s is answered %v after its time", a.id, late)
	}
	id, _, _ := strings.Cut(a.id, "-")
	if f.Status == aggregator.StatusRejected && a.want.class == correction && c.runs[id] > 0 {
		c.bad("correction %s is refused, and has run", a.id)
	}
	if f.Status != aggregator.StatusServed {
		return
	}
	in := 0.0
	for _, i := range f.Items {
		name := fmt.Sprintf("%s.%d", a.id, i.Shard)
		if !slices.Contains(a.names, name) || !strings.HasPrefix(i.Value, name+" by ") {
			c.bad("%s: the value %q for shard %d", a.id, i.Value, i.Shard)
		}
		in += 1 / float64(len(a.names))
	}
	class := classes()[a.want.class]
	if f.Complete && len(f.Items) != len(a.names) {
		c.bad("%s is marked whole with %d of %d parts", a.id, len(f.Items), len(a.names))
	}
	if in < class.MinFraction-1e-9 {
		c.bad("%s is served with %.2f of its weight, under its floor %.2f", a.id, in, class.MinFraction)
	}
}

// quiet: nothing is left when nobody asks any more.
func (c *checker) quiet() {
	for id := range c.open {
		c.bad("%s has no final answer", id)
	}
	slices.Sort(c.broken)
	for _, m := range c.w.mixers {
		if n := m.core.OpenQueries(); n > 0 || m.core.Load() > 0 {
			c.bad("mixer %d holds %d queries, %d of load", m.index, n, m.core.Load())
		}
		if len(m.works) > 0 {
			c.bad("mixer %d has %d attempts out", m.index, len(m.works))
		}
	}
}
