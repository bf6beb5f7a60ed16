package sim

import (
	"time"

	"rooktrestle/balance"
)

// Kind of trouble.
type Kind string

const (
	FastErrors Kind = "fast-errors" // nodes fail a share of their parts at once, and their checks say well
	Burst      Kind = "burst"       // clients ask so many times as often
	Slow       Kind = "slow"        // every node takes so many times as long
	Gray       Kind = "gray"        // nodes are so many times slower for searches only
	Deploy     Kind = "deploy"      // nodes drain, end and start again, one after the other
	Outage     Kind = "outage"      // a hall dies at once, and is back at the end
	Cut        Kind = "cut"         // nodes are cut off: silence, in both directions
	Hang       Kind = "hang"        // nodes take parts and never answer
	BadChecks  Kind = "bad-checks"  // every check fails while nodes serve
	Lag        Kind = "roster-lag"  // the roster runs so many seconds behind

	// Of whole fleets, where mixers call discovery by themselves.
	Release   Kind = "release"   // nodes drain, end, and are replaced by others, cold, evenly over the time
	Kill      Kind = "kill"      // this share of the mixers dies at once; each is back within the time
	Silence   Kind = "silence"   // discovery falls silent
	Partition Kind = "partition" // zones do not reach each other, words included
)

// drainFor is how long a node that is replaced drains.
const drainFor = 2 * time.Second

// Kinds are all of them but those of whole fleets.
var Kinds = []Kind{FastErrors, Burst, Slow, Gray, Deploy, Outage, Cut, Hang, BadChecks, Lag}

// Trouble is one thing that goes wrong for a while.
type Trouble struct {
	Kind  Kind          `json:"kind"`
	From  time.Duration `json:"from"`
	For   time.Duration `json:"for"`
	Nodes int           `json:"nodes"` // so many, from First on round the ring
	First int           `json:"first"`
	Size  float64       `json:"size"` // as the kind says
}

func (t *Trouble) on(now time.Time) bool {
	d := now.Sub(Start)
	return d >= t.From && d < t.From+t.For
}

// plan makes the trouble happen.
func (t *Trouble) plan(w *world) {
	begin, end := Start.Add(t.From), Start.Add(t.From+t.For)
	var hit []*node
	for i := range min(t.Nodes, len(w.nodes)) {
		hit = append(hit, w.nodes[(t.First+i)%len(w.nodes)])
	}
	both := func(on, off func(n *node)) {
		w.at(begin, func() {
			w.note("trouble "+string(t.Kind), 1, uint64(t.Nodes))
			for _, n := range hit {
				on(n)
			}
		})
		w.at(end, func() {
			for _, n := range hit {
				off(n)
			}
		})
	}
	switch t.Kind {
	case FastErrors:
		both(func(n *node) { n.fails = t.Size }, func(n *node) { n.fails = 0 })
	case Slow:
		hit = w.nodes
		both(func(n *node) { n.slow = t.Size }, func(n *node) { n.slow = 1 })
	case Gray:
		both(func(n *node) { n.slow, n.slowFor = t.Size, search }, func(n *node) { n.slow, n.slowFor = 1, -1 })
	case Cut:
		both(func(n *node) { n.cut = true }, func(n *node) { n.cut = false })
	case Hang:
		both(func(n *node) { n.hangs = true }, func(n *node) {
			n.hangs = false
			n.die() // somebody restarts it
			n.up = true
		})
	case BadChecks:
		hit = w.nodes
		both(func(n *node) { n.says = false }, func(n *node) { n.says = true })
	case Outage:
		for i := range w.nodes {
			if i%2 == 1 {
				hit = append(hit, w.nodes[i])
			}
		}
		both(func(n *node) { n.die(); w.roster.tell(n, balance.Removed) }, func(n *node) { n.up = true; n.begin() })
	case Lag:
		w.at(begin, func() { w.roster.lag = time.Duration(t.Size * float64(time.Second)) })
		w.at(end, func() { w.roster.lag = 0 })
	case Deploy:
		for i, n := range hit {
			at := begin.Add(time.Duration(i) * t.For / time.Duration(len(hit)))
			w.at(at, func() { n.drains = true; w.roster.tell(n, balance.Draining) })
			w.at(at.Add(t.For/time.Duration(2*len(hit))), func() { n.die(); w.roster.tell(n, balance.Removed) })
			w.at(at.Add(t.For/time.Duration(len(hit))), func() { n.drains, n.up = false, true; n.begin() })
		}
	case Release:
		for i, n := range hit {
			at := begin.Add(time.Duration(i) * t.For / time.Duration(len(hit)))
			w.at(at, func() { n.drains = true; w.roster.tell(n, balance.Draining) })
			w.at(at.Add(drainFor), func() {
				n.die()
				n.gone = true
				w.roster.tell(n, balance.Removed)
				o := newNode(w, len(w.nodes))
				o.index = n.index
				w.nodes, w.byID[o.id] = append(w.nodes, o), o
				o.begin()
			})
		}
	case Kill:
		w.at(begin, func() {
			for _, i := range w.rng.Perm(len(w.mixers))[:int(t.Size*float64(len(w.mixers)))] {
				m := w.mixers[i]
				m.die()
				w.in(time.Duration(w.rng.Float64()*float64(t.For)), func() {
					if err := m.begin(); err != nil {
						w.check.bad("mixer %d does not start again: %v", m.index, err)
					}
				})
			}
		})
	case Silence:
		w.at(begin, func() { w.registry.silence(true) })
		w.at(end, func() { w.registry.silence(false) })
	case Partition:
		w.at(begin, func() { w.parted = true })
		w.at(end, func() { w.parted = false })
	}
}
