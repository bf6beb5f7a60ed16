package sim

import (
	"time"

	"rooktrestle/balance"
)

// FaultKind of trouble.
type FaultKind string

const (
	FastErrors   FaultKind = "fast-errors" // nodes fail a share of their parts at once, and their checks say well
	Burst        FaultKind = "burst"       // clients ask so many times as often
	SlowReplicas FaultKind = "slow"        // every node takes so many times as long
	Gray         FaultKind = "gray"        // nodes are so many times slower for searches only
	Deploy       FaultKind = "deploy"      // nodes drain, end and start again, one after the other
	Outage       FaultKind = "outage"      // a hall dies at once, and is back at the end
	Isolate      FaultKind = "cut"         // nodes are cut off: silence, in both directions
	Hang         FaultKind = "hang"        // nodes take parts and never answer
	BadChecks    FaultKind = "bad-checks"  // every check fails while nodes serve
	EndpointLag  FaultKind = "roster-lag"  // the roster runs so many seconds behind

	// Of whole fleets, where mixers call discovery by themselves.
	Release          FaultKind = "release"   // nodes drain, end, and are replaced by others, cold, evenly over the time
	KillAggregators  FaultKind = "kill"      // this share of the mixers dies at once; each is back within the time
	DiscoverySilence FaultKind = "silence"   // discovery falls silent
	Partition        FaultKind = "partition" // zones do not reach each other, words included
)

// drainPeriod is how long a node that is replaced drains.
const drainPeriod = 2 * time.Second

// FaultKinds are all of them but those of whole fleets.
var FaultKinds = []FaultKind{FastErrors, Burst, SlowReplicas, Gray, Deploy, Outage, Isolate, Hang, BadChecks, EndpointLag}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	From      time.Duration `json:"from"`
	Duration  time.Duration `json:"for"`
	Replicas  int           `json:"nodes"` // so many, from First on round the ring
	First     int           `json:"first"`
	Magnitude float64       `json:"size"` // as the kind says
}

func (t *Fault) activeAt(now time.Time) bool {
	d := now.Sub(Start)
	return d >= t.From && d < t.From+t.Duration
}

// schedule makes the trouble happen.
func (t *Fault) schedule(w *world) {
	begin, end := Start.Add(t.From), Start.Add(t.From+t.Duration)
	var hit []*replica
	for i := range min(t.Replicas, len(w.replicas)) {
		hit = append(hit, w.replicas[(t.First+i)%len(w.replicas)])
	}
	both := func(on, off func(n *replica)) {
		w.at(begin, func() {
			w.record("trouble "+string(t.Kind), 1, uint64(t.Replicas))
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
		both(func(n *replica) { n.errorRate = t.Magnitude }, func(n *replica) { n.errorRate = 0 })
	case SlowReplicas:
		hit = w.replicas
		both(func(n *replica) { n.slowdown = t.Magnitude }, func(n *replica) { n.slowdown = 1 })
	case Gray:
		both(func(n *replica) { n.slowdown, n.slowClass = t.Magnitude, search }, func(n *replica) { n.slowdown, n.slowClass = 1, -1 })
	case Isolate:
		both(func(n *replica) { n.unreachable = true }, func(n *replica) { n.unreachable = false })
	case Hang:
		both(func(n *replica) { n.unresponsive = true }, func(n *replica) {
			n.unresponsive = false
			n.crash() // somebody restarts it
			n.up = true
		})
	case BadChecks:
		hit = w.replicas
		both(func(n *replica) { n.checksPass = false }, func(n *replica) { n.checksPass = true })
	case Outage:
		for i := range w.replicas {
			if i%2 == 1 {
				hit = append(hit, w.replicas[i])
			}
		}
		both(func(n *replica) { n.crash(); w.feed.publish(n, balance.Removed) }, func(n *replica) { n.up = true; n.start() })
	case EndpointLag:
		w.at(begin, func() { w.feed.lag = time.Duration(t.Magnitude * float64(time.Second)) })
		w.at(end, func() { w.feed.lag = 0 })
	case Deploy:
		for i, n := range hit {
			at := begin.Add(time.Duration(i) * t.Duration / time.Duration(len(hit)))
			w.at(at, func() { n.draining = true; w.feed.publish(n, balance.Draining) })
			w.at(at.Add(t.Duration/time.Duration(2*len(hit))), func() { n.crash(); w.feed.publish(n, balance.Removed) })
			w.at(at.Add(t.Duration/time.Duration(len(hit))), func() { n.draining, n.up = false, true; n.start() })
		}
	case Release:
		for i, n := range hit {
			at := begin.Add(time.Duration(i) * t.Duration / time.Duration(len(hit)))
			w.at(at, func() { n.draining = true; w.feed.publish(n, balance.Draining) })
			w.at(at.Add(drainPeriod), func() {
				n.crash()
				n.replaced = true
				w.feed.publish(n, balance.Removed)
				o := newReplica(w, len(w.replicas))
				o.index = n.index
				w.replicas, w.replicaByID[o.id] = append(w.replicas, o), o
				o.start()
			})
		}
	case KillAggregators:
		w.at(begin, func() {
			for _, i := range w.rng.Perm(len(w.aggregators))[:int(t.Magnitude*float64(len(w.aggregators)))] {
				m := w.aggregators[i]
				m.crash()
				w.after(time.Duration(w.rng.Float64()*float64(t.Duration)), func() {
					if err := m.start(); err != nil {
						w.checker.violate("mixer %d does not start again: %v", m.index, err)
					}
				})
			}
		})
	case DiscoverySilence:
		w.at(begin, func() { w.discovery.setSilent(true) })
		w.at(end, func() { w.discovery.setSilent(false) })
	case Partition:
		w.at(begin, func() { w.partitioned = true })
		w.at(end, func() { w.partitioned = false })
	}
}
