package sim

import (
	"time"

	"rooktrestle/balance"
)

// FaultKind names what goes wrong. The values stand in replay files.
type FaultKind string

// The kinds of faults. Magnitude means what the comment says; elsewhere it has no meaning.
const (
	FastErrors   FaultKind = "fast-errors" // replicas fail a fraction (Magnitude) of their parts at once; checks pass
	Burst        FaultKind = "burst"       // the rate of queries times Magnitude
	SlowReplicas FaultKind = "slow"        // every replica's service time times Magnitude
	Gray         FaultKind = "gray"        // replicas' service time of searches only, times Magnitude
	Deploy       FaultKind = "deploy"      // replicas drain, end and start again, one after the other
	Outage       FaultKind = "outage"      // a zone crashes at once, and is back at the end
	Isolate      FaultKind = "cut"         // replicas are unreachable, in both directions
	Hang         FaultKind = "hang"        // replicas take parts and never answer
	BadChecks    FaultKind = "bad-checks"  // every health check fails while replicas serve
	EndpointLag  FaultKind = "roster-lag"  // changes of the endpoint list come Magnitude seconds later

	// Faults of whole fleets, whose aggregators poll discovery.
	Release         FaultKind = "release"   // replicas drain, end, and are replaced by others that warm up, in turn
	KillAggregators FaultKind = "kill"      // a fraction (Magnitude) of the aggregators crashes; each starts again
	DiscoveryOutage FaultKind = "silence"   // discovery is unresponsive
	Partition       FaultKind = "partition" // zones do not reach each other, gossip included
)

// drainPeriod is how long a replica drains before it is replaced.
const drainPeriod = 2 * time.Second

// FaultKinds are all kinds but those of whole fleets.
var FaultKinds = []FaultKind{
	FastErrors,
	Burst,
	SlowReplicas,
	Gray,
	Deploy,
	Outage,
	Isolate,
	Hang,
	BadChecks,
	EndpointLag,
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	From      time.Duration `json:"from"` // after Start
	Duration  time.Duration `json:"for"`
	Replicas  int           `json:"nodes"` // how many replicas it affects, from First on round the ring
	First     int           `json:"first"` // place in the ring
	Magnitude float64       `json:"size"`  // its meaning depends on the kind
}

func (f *Fault) activeAt(now time.Time) bool {
	return !now.Before(f.begin()) && now.Before(f.end())
}

func (f *Fault) begin() time.Time { return Start.Add(f.From) }

func (f *Fault) end() time.Time { return Start.Add(f.From + f.Duration) }

// schedule makes the fault happen in a run. Burst needs nothing: the clients' rate looks it up.
func (f *Fault) schedule(w *world) {
	switch f.Kind {
	case FastErrors, SlowReplicas, Gray, Isolate, Hang, BadChecks, Outage:
		f.scheduleOnReplicas(w)
	case Deploy, Release:
		f.scheduleRollout(w)
	case EndpointLag:
		lag := time.Duration(f.Magnitude * float64(time.Second))
		w.at(f.begin(), func() { w.feed.lag = lag })
		w.at(f.end(), func() { w.feed.lag = 0 })
	case KillAggregators:
		w.at(f.begin(), func() { f.killAggregators(w) })
	case DiscoveryOutage:
		w.at(f.begin(), func() { w.discovery.setUnresponsive(true) })
		w.at(f.end(), func() { w.discovery.setUnresponsive(false) })
	case Partition:
		w.at(f.begin(), func() { w.partitioned = true })
		w.at(f.end(), func() { w.partitioned = false })
	}
}

// targets are the replicas that the fault names.
func (f *Fault) targets(w *world) []*replica {
	var list []*replica
	for i := range min(f.Replicas, len(w.replicas)) {
		list = append(list, w.replicas[(f.First+i)%len(w.replicas)])
	}
	return list
}

// scheduleOnReplicas changes the fault's replicas at its begin and undoes it at its end.
func (f *Fault) scheduleOnReplicas(w *world) {
	var targets []*replica
	switch f.Kind {
	case SlowReplicas, BadChecks:
		targets = w.replicas
	case Outage:
		// The named replicas crash too, those of the second zone among them twice.
		targets = append(f.targets(w), secondZone(w)...)
	default:
		targets = f.targets(w)
	}
	w.at(f.begin(), func() {
		w.record("trouble "+string(f.Kind), 1, uint64(f.Replicas))
		for _, r := range targets {
			f.apply(w, r)
		}
	})
	w.at(f.end(), func() {
		for _, r := range targets {
			f.revert(r)
		}
	})
}

func secondZone(w *world) []*replica {
	var list []*replica
	for i, r := range w.replicas {
		if i%2 == 1 {
			list = append(list, r)
		}
	}
	return list
}

func (f *Fault) apply(w *world, r *replica) {
	switch f.Kind {
	case FastErrors:
		r.errorRate = f.Magnitude
	case SlowReplicas:
		r.slowdown = f.Magnitude
	case Gray:
		r.slowdown = f.Magnitude
		r.slowClass = search
	case Isolate:
		r.unreachable = true
	case Hang:
		r.unresponsive = true
	case BadChecks:
		r.checksPass = false
	case Outage:
		r.crash()
		w.feed.publish(r, balance.Removed)
	}
}

func (f *Fault) revert(r *replica) {
	switch f.Kind {
	case FastErrors:
		r.errorRate = 0
	case SlowReplicas:
		r.slowdown = 1
	case Gray:
		r.slowdown = 1
		r.slowClass = allClasses
	case Isolate:
		r.unreachable = false
	case Hang:
		r.unresponsive = false
		r.crash() // an operator restarts it
		r.up = true
	case BadChecks:
		r.checksPass = true
	case Outage:
		r.up = true
		r.start()
	}
}

// scheduleRollout lets replicas drain one after the other, evenly over the fault's time. In a deployment each starts
// again, in a release another takes its place.
func (f *Fault) scheduleRollout(w *world) {
	targets := f.targets(w)
	count := time.Duration(len(targets))
	for i, r := range targets {
		drainAt := f.begin().Add(time.Duration(i) * f.Duration / count)
		w.at(drainAt, func() {
			r.draining = true
			w.feed.publish(r, balance.Draining)
		})
		if f.Kind == Release {
			w.at(drainAt.Add(drainPeriod), func() { replace(w, r) })
			continue
		}
		w.at(drainAt.Add(f.Duration/(2*count)), func() {
			r.crash()
			w.feed.publish(r, balance.Removed)
		})
		w.at(drainAt.Add(f.Duration/count), func() {
			r.draining = false
			r.up = true
			r.start()
		})
	}
}

// replace ends a replica and starts another at its place in the ring.
func replace(w *world, old *replica) {
	old.crash()
	old.replaced = true
	w.feed.publish(old, balance.Removed)
	successor := newReplica(w, len(w.replicas))
	successor.index = old.index
	w.addReplica(successor)
	successor.start()
}

// killAggregators crashes a fraction of the aggregators; each starts again at a random moment of the fault's time.
func (f *Fault) killAggregators(w *world) {
	victims := int(f.Magnitude * float64(len(w.aggregators)))
	for _, i := range w.rng.Perm(len(w.aggregators))[:victims] {
		host := w.aggregators[i]
		host.crash()
		downtime := time.Duration(w.rng.Float64() * float64(f.Duration))
		w.after(downtime, func() {
			if err := host.start(); err != nil {
				w.checker.violate("aggregator %d does not start again: %v", host.index, err)
			}
		})
	}
}
