package sim

import (
	"time"

	"rooktrestle/balance"
)

// FaultKind is a kind of fault. The values are stored in replay files.
type FaultKind string

// The kinds of faults. Fault.Magnitude has a meaning only where the comment mentions it.
const (
	FastErrors   FaultKind = "fast-errors" // replicas fail a fraction (Magnitude) of parts immediately; checks pass
	Burst        FaultKind = "burst"       // the rate of queries is multiplied by Magnitude
	SlowReplicas FaultKind = "slow"        // every replica's service time is multiplied by Magnitude
	Gray         FaultKind = "gray"        // replicas' service time of searches is multiplied by Magnitude
	Deploy       FaultKind = "deploy"      // replicas drain, stop and restart, one after the other
	Outage       FaultKind = "outage"      // all replicas of a zone crash, and restart at the end
	Isolate      FaultKind = "cut"         // replicas are unreachable, in both directions
	Hang         FaultKind = "hang"        // replicas accept parts and never answer
	BadChecks    FaultKind = "bad-checks"  // every health check fails while replicas serve
	EndpointLag  FaultKind = "roster-lag"  // changes of the endpoint list arrive Magnitude seconds later

	// Faults of complete fleets, whose aggregators poll discovery.
	Release         FaultKind = "release"   // replicas drain, stop, and are replaced by new ones that warm up, in turn
	KillAggregators FaultKind = "kill"      // a fraction (Magnitude) of the aggregators crashes; each restarts
	DiscoveryOutage FaultKind = "silence"   // discovery is unresponsive
	Partition       FaultKind = "partition" // no message passes between zones, gossip included
)

// drainPeriod is the time for which a replica drains before it is replaced.
const drainPeriod = 2 * time.Second

// FaultKinds are all kinds except those of complete fleets.
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

// Fault is a fault that is active for a period.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	From      time.Duration `json:"from"` // after StartTime
	Duration  time.Duration `json:"for"`
	Replicas  int           `json:"nodes"` // number of replicas that it affects, beginning at First in the ring
	First     int           `json:"first"` // index in the ring
	Magnitude float64       `json:"size"`  // meaning by kind
}

func (f *Fault) activeAt(now time.Time) bool {
	return !now.Before(f.begin()) && now.Before(f.end())
}

func (f *Fault) begin() time.Time { return StartTime.Add(f.From) }

func (f *Fault) end() time.Time { return StartTime.Add(f.From + f.Duration) }

// schedule schedules the events of the fault. Burst needs none, because world.arrivalRate reads it from the settings.
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

// targets returns the replicas that the fault selects.
func (f *Fault) targets(world *world) []*replica {
	var list []*replica
	for i := range min(f.Replicas, len(world.replicas)) {
		list = append(list, world.replicas[(f.First+i)%len(world.replicas)])
	}
	return list
}

// scheduleOnReplicas applies the fault to its replicas when it begins, and reverts it when it ends.
func (f *Fault) scheduleOnReplicas(world *world) {
	var targets []*replica
	switch f.Kind {
	case SlowReplicas, BadChecks:
		targets = world.replicas
	case Outage:
		// The selected replicas crash as well; those of the second zone are in the list twice.
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
		target.crash() // stands for a restart by an operator
		target.up = true
	case BadChecks:
		target.checksPass = true
	case Outage:
		target.up = true
		target.start()
	}
}

// scheduleRollout drains replicas one after the other, evenly spaced over the fault's duration. In a deployment each
// replica restarts; in a release a new one replaces it.
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

// replace stops a replica and starts a new one at its index in the ring.
func replace(world *world, old *replica) {
	old.crash()
	old.replaced = true
	world.feed.publish(old, balance.Removed)
	successor := newReplica(world, len(world.replicas))
	successor.index = old.index
	world.addReplica(successor)
	successor.start()
}

// killAggregators crashes a fraction of the aggregators. Each restarts after a random part of the fault's duration.
func (f *Fault) killAggregators(world *world) {
	victims := int(f.Magnitude * float64(len(world.aggregators)))
	for _, i := range world.rng.Perm(len(world.aggregators))[:victims] {
		host := world.aggregators[i]
		host.crash()
		downtime := time.Duration(world.rng.Float64() * float64(f.Duration))
		world.after(downtime, func() {
			if err := host.start(); err != nil {
				world.checker.violate("aggregator %d does not restart: %v", host.index, err)
			}
		})
	}
}
