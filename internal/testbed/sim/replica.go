package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
)

// queueMost is how many parts a node holds before it turns more away.
const queueMost = 200

// node is an archive node: cores, a queue, and what is wrong with it.
type node struct {
	w       *world
	id      balance.Replica
	index   int
	rng     *rand.Rand
	up      bool
	cut     bool // nothing reaches it, and nothing comes from it
	drains  bool
	fails   float64 // share of parts that fail at once
	slow    float64 // work takes so many times as long
	slowFor int     // of this class only; negative: of all
	hangs   bool    // takes parts and never answers
	says    bool    // its checks say well, whatever is
	busy    int
	queue   []*work
	out     map[*work]bool // taken and not ended
	started time.Time      // of its process; zero: long ago
	gone    bool           // it is replaced by another
	recent  []arrival      // within the time in which too many make it fall, while it is cold
}

// arrival is a part that came, and whether its mixer had been told that the node is cold.
type arrival struct {
	at   time.Time
	told bool
}

// Cold is what a node can do after its start, and what makes it fall. The zero value: all, and nothing.
type Cold struct {
	For    time.Duration // it is warm after it
	From   float64       // share of its capacity at its start, growing evenly
	Tip    float64       // so many times what it can do
	TipFor time.Duration // within so long make it fall
}

// zone is the node's: its place in the ring tells it.
func (n *node) zone() int { return n.index % max(2, n.w.Zones) }

// share is what it has of its capacity by now.
func (n *node) share() float64 {
	age := n.w.now.Sub(n.started)
	if c := n.w.Cold; c.For > 0 && !n.started.IsZero() && age < c.For {
		return c.From + (1-c.From)*float64(age)/float64(c.For)
	}
	return 1
}

// crowded counts a part that came, and says whether the node falls under it. N parts of mean work are what the rule
// allows within the time; chance may bring three deviations and three more.
func (n *node) crowded(m *mixerHost) bool {
	c, share := n.w.Cold, n.share()
	if share >= 1 || c.Tip <= 0 {
		n.recent = nil
		return false
	}
	n.recent = append(n.recent, arrival{n.w.now, m.starts[n.id].Equal(n.started)})
	n.recent = slices.DeleteFunc(n.recent, func(a arrival) bool { return n.w.now.Sub(a.at) > c.TipFor })
	most := c.Tip * share * float64(n.w.Cores) * float64(c.TipFor) / float64(n.w.Work)
	if float64(len(n.recent)) <= most+3*math.Sqrt(most)+3 {
		return false
	}
	told := 0
	for _, a := range n.recent {
		if a.told {
			told++
		}
	}
	if 3*told > 2*len(n.recent) {
		n.w.check.bad("cold %s falls under %d parts, %d of mixers that were told of its start; %.1f are allowed", n.id, len(n.recent), told, most)
	}
	n.w.result.Fallen++
	return true
}

// fall ends a node that got too much; it is back, cold, after a second.
func (n *node) fall() {
	n.die()
	n.recent = nil
	n.w.in(time.Second, func() {
		if !n.gone {
			n.up = true
			n.begin()
		}
	})
}

// begin notes a start of the node's process.
func (n *node) begin() {
	if n.w.Cold.For > 0 {
		n.started = n.w.now
	}
	n.w.roster.tell(n, balance.InService)
}

// work is one attempt of a part at a node.
type work struct {
	m    *mixerHost
	call aggregator.Call
	node *node
	gone bool // the mixer has given it up
}

func newNode(w *world, i int) *node {
	return &node{w: w, id: balance.Replica(fmt.Sprintf("n%d", i)), index: i, rng: rand.New(rand.NewPCG(w.Seed, uint64(1000+i))), up: true,
		slow: 1, slowFor: -1, says: true, out: map[*work]bool{}}
}

// delay is the network's, one way.
func (w *world) delay() time.Duration {
	return w.Network/2 + time.Duration(w.rng.ExpFloat64()*float64(w.Network)/2)
}

// take takes a part that has arrived.
func (n *node) take(k *work) {
	w := n.w
	switch {
	case n.cut:
		return // nobody will hear of it
	case !n.up:
		k.m.ended(k, &aggregator.AttemptError{Progress: aggregator.NotConnected}, "")
		return
	case n.drains || len(n.queue) >= queueMost:
		w.in(w.delay(), func() { k.m.ended(k, &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}, "") })
		return
	}
	if n.crowded(k.m) {
		w.in(w.delay(), func() { k.m.ended(k, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
		n.fall()
		return
	}
	w.check.ran(n, k)
	if n.rng.Float64() < n.fails {
		w.in(w.delay(), func() { k.m.ended(k, &aggregator.AttemptError{Progress: aggregator.Answered}, "") })
		return
	}
	n.out[k] = true
	if n.hangs {
		return
	}
	n.queue = append(n.queue, k)
	n.start()
}

// start gives free cores something to do.
func (n *node) start() {
	for n.busy < n.w.Cores && len(n.queue) > 0 {
		k := n.queue[0]
		n.queue = n.queue[1:]
		n.busy++
		d := time.Duration((0.5 + 0.5*n.rng.ExpFloat64()) * float64(n.w.Work))
		if n.slowFor < 0 || n.slowFor == k.call.Class {
			d = time.Duration(float64(d) * n.slow)
		}
		if share := n.share(); share < 1 {
			d = time.Duration(float64(d) / share)
		}
		n.w.in(d, func() {
			n.busy--
			n.done(k)
			n.start()
		})
	}
}

func (n *node) done(k *work) {
	if !n.out[k] { // it died meanwhile
		return
	}
	delete(n.out, k)
	if n.cut {
		return
	}
	n.w.in(n.w.delay(), func() { k.m.ended(k, nil, fmt.Sprintf("%s by %s", k.call.Name, n.id)) })
}

// die ends the node's process: what is on it ends as a reset.
func (n *node) die() {
	n.up, n.queue, n.busy = false, nil, 0
	var lost []*work
	for _, m := range n.w.mixers { // in an order that does not hang on a map's
		for _, k := range m.order {
			if n.out[k] {
				lost = append(lost, k)
			}
		}
	}
	clear(n.out)
	for _, k := range lost {
		n.w.in(n.w.delay(), func() { k.m.ended(k, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
	}
}

// roster is the list of servers; each mixer hears of a change some time later.
type roster struct {
	w   *world
	lag time.Duration
}

// tell tells all mixers of a node.
func (r *roster) tell(n *node, s balance.EndpointState) {
	if r.w.Discovery.Kind != "" {
		r.w.registry.change(n, s)
		return
	}
	for _, m := range r.w.mixers {
		d := r.lag + time.Duration(r.w.rng.Float64()*float64(50*time.Millisecond))
		r.w.in(d, func() { m.listed(n, s) })
	}
}
