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

func (f *Fault) begin() time.Time { return StartTime.Add(f.From) }

func (f *Fault) end() time.Time { return StartTime.Add(f.From + f.Duration) }

// schedule makes the fault happen in a run. Burst needs nothing: the clients' rate looks it up.
func (f *Fault) schedule(world *world) {
	switch f.Kind {
	case FastErrors, SlowReplicas, Gray, Isolate, Hang, BadChecks, Outage:
		f.scheduleOnReplicas(world)
	case Deploy, Release:
		f.scheduleRollout(world)
	case EndpointLag:
		lag := time.Duration(f.Magnitude * float64(time.Second))
		world.at(f.begin(), func() { world.feed.lag = lag })
		world.at(f.end(), func() { world.feed.lag = 0 })
	case KillAggregators:
		world.at(f.begin(), func() { f.killAggregators(world) })
	case DiscoveryOutage:
		world.at(f.begin(), func() { world.discovery.setUnresponsive(true) })
		world.at(f.end(), func() { world.discovery.setUnresponsive(false) })
	case Partition:
		world.at(f.begin(), func() { world.partitioned = true })
		world.at(f.end(), func() { world.partitioned = false })
	}
}

// targets are the replicas that the fault names.
func (f *Fault) targets(world *world) []*replica {
	var list []*replica
	for i := range min(f.Replicas, len(world.replicas)) {
		list = append(list, world.replicas[(f.First+i)%len(world.replicas)])
	}
	return list
}

// scheduleOnReplicas changes the fault's replicas at its begin and undoes it at its end.
func (f *Fault) scheduleOnReplicas(world *world) {
	var targets []*replica
	switch f.Kind {
	case SlowReplicas, BadChecks:
		targets = world.replicas
	case Outage:
		// The named replicas crash too, those of the second zone among them twice.
		targets = append(f.targets(world), secondZone(world)...)
	default:
		targets = f.targets(world)
	}
	world.at(f.begin(), func() {
		world.record("trouble "+string(f.Kind), 1, uint64(f.Replicas))
		for _, target := range targets {
			f.apply(world, target)
		}
	})
	world.at(f.end(), func() {
		for _, target := range targets {
			f.revert(target)
		}
	})
}

func secondZone(world *world) []*replica {
	var list []*replica
	for i, member := range world.replicas {
		if i%2 == 1 {
			list = append(list, member)
		}
	}
	return list
}

func (f *Fault) apply(world *world, target *replica) {
	switch f.Kind {
	case FastErrors:
		target.errorRate = f.Magnitude
	case SlowReplicas:
		target.slowdown = f.Magnitude
	case Gray:
		target.slowdown = f.Magnitude
		target.slowClass = search
	case Isolate:
		target.unreachable = true
	case Hang:
		target.unresponsive = true
	case BadChecks:
		target.checksPass = false
	case Outage:
		target.crash()
		world.feed.publish(target, balance.Removed)
	}
}

func (f *Fault) revert(target *replica) {
	switch f.Kind {
	case FastErrors:
		target.errorRate = 0
	case SlowReplicas:
		target.slowdown = 1
	case Gray:
		target.slowdown = 1
		target.slowClass = allClasses
	case Isolate:
		target.unreachable = false
	case Hang:
		target.unresponsive = false
		target.crash() // an operator restarts it
		target.up = true
	case BadChecks:
		target.checksPass = true
	case Outage:
		target.up = true
		target.start()
	}
}

// scheduleRollout lets replicas drain one after the other, evenly over the fault's time. In a deployment each starts
// again, in a release another takes its place.
func (f *Fault) scheduleRollout(world *world) {
	targets := f.targets(world)
	count := time.Duration(len(targets))
	for i, target := range targets {
		drainAt := f.begin().Add(time.Duration(i) * f.Duration / count)
		world.at(drainAt, func() {
			target.draining = true
			world.feed.publish(target, balance.Draining)
		})
		if f.Kind == Release {
			world.at(drainAt.Add(drainPeriod), func() { replace(world, target) })
			continue
		}
		world.at(drainAt.Add(f.Duration/(2*count)), func() {
			target.crash()
			world.feed.publish(target, balance.Removed)
		})
		world.at(drainAt.Add(f.Duration/count), func() {
			target.draining = false
			target.up = true
			target.start()
		})
	}
}

// replace ends a replica and starts another at its place in the ring.
func replace(world *world, old *replica) {
	old.crash()
	old.replaced = true
	world.feed.publish(old, balance.Removed)
	successor := newReplica(world, len(world.replicas))
	successor.index = old.index
	world.addReplica(successor)
	successor.start()
}

// killAggregators crashes a fraction of the aggregators; each starts again at a random moment of the fault's time.
func (f *Fault) killAggregators(world *world) {
	victims := int(f.Magnitude * float64(len(world.aggregators)))
	for _, i := range world.rng.Perm(len(world.aggregators))[:victims] {
		host := world.aggregators[i]
		host.crash()
		downtime := time.Duration(world.rng.Float64() * float64(f.Duration))
		world.after(downtime, func() {
			if err := host.start(); err != nil {
				world.checker.violate("aggregator %d does not start again: %v", host.index, err)
			}
		})
	}
}
