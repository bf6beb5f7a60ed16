package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/mixer"
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
}

// work is one attempt of a part at a node.
type work struct {
	m    *mixerHost
	call mixer.Call
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
		k.m.ended(k, &mixer.AttemptError{Reach: mixer.NotConnected}, "")
		return
	case n.drains || len(n.queue) >= queueMost:
		w.in(w.delay(), func() { k.m.ended(k, &mixer.AttemptError{Reach: mixer.Answered, TurnedAway: true}, "") })
		return
	}
	w.check.ran(n, k)
	if n.rng.Float64() < n.fails {
		w.in(w.delay(), func() { k.m.ended(k, &mixer.AttemptError{Reach: mixer.Answered}, "") })
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
		n.w.in(n.w.delay(), func() { k.m.ended(k, &mixer.AttemptError{Reach: mixer.Written}, "") })
	}
}

// roster is the list of servers; each mixer hears of a change some time later.
type roster struct {
	w   *world
	lag time.Duration
}

// tell tells all mixers of a node.
func (r *roster) tell(n *node, s balance.State) {
	for _, m := range r.w.mixers {
		d := r.lag + time.Duration(r.w.rng.Float64()*float64(50*time.Millisecond))
		r.w.in(d, func() { m.listed(n, s) })
	}
}
