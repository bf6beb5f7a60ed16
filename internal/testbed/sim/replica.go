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

// maxQueue is the maximum number of queued parts of a replica, which rejects further parts.
const maxQueue = 200

// replica is a simulated archive server with cores, a queue, and injected faults.
type replica struct {
	world          *world
	id             balance.Replica
	index          int
	rng            *rand.Rand
	up             bool
	unreachable    bool // messages to and from it are lost
	draining       bool
	errorRate      float64 // fraction of the parts that fail immediately
	slowdown       float64 // factor of the service time
	slowClass      int     // class to which slowdown applies, or allClasses
	unresponsive   bool    // accepts parts and never answers
	checksPass     bool    // result of its health checks while it is up and reachable
	busyCores      int
	queue          []*attempt
	inFlight       map[*attempt]bool // received and not completed
	started        time.Time         // start time of its process; zero: before the run
	replaced       bool              // by a new replica: it does not restart
	recentArrivals []arrival         // within the last Warmup.OverloadPeriod, while it warms up
}

// arrival is the arrival of a part at a replica that is warming up.
type arrival struct {
	moment        time.Time
	startNotified bool // the sending aggregator had been notified of the replica's start
}

// Warmup configures a replica's capacity after its start, and the load under which it crashes. With the zero value it
// has its full capacity from the start and never crashes by overload.
type Warmup struct {
	Period           time.Duration `json:"For"`    // until the replica has its full capacity
	MinCapacity      float64       `json:"From"`   // fraction of the capacity at the start; grows linearly
	OverloadMultiple float64       `json:"Tip"`    // multiple of the current capacity that crashes the replica
	OverloadPeriod   time.Duration `json:"TipFor"` // over which arrivals are counted
}

// shards returns the shards that the replica holds: its own and those of the Reach - 1 previous replicas in the ring.
func (r *replica) shards() []int {
	var list []int
	for offset := range r.world.Reach {
		list = append(list, (r.index-offset+r.world.Replicas)%r.world.Replicas)
	}
	return list
}

// loadReport returns the replica's answer to a load probe.
func (r *replica) loadReport() *balance.LoadReport {
	return &balance.LoadReport{
		Queue:       float64(len(r.queue)),
		InFlight:    float64(len(r.inFlight)),
		Utilization: -1, // not reported
	}
}

// zone returns the replica's zone, which follows from its index in the ring.
func (r *replica) zone() int { return r.index % max(2, r.world.Zones) }

// capacityFraction returns the current fraction of the full capacity.
func (r *replica) capacityFraction() float64 {
	warmup := r.world.Warmup
	age := r.world.now.Sub(r.started)
	if warmup.Period <= 0 || r.started.IsZero() || age >= warmup.Period {
		return 1
	}
	return warmup.MinCapacity + (1-warmup.MinCapacity)*float64(age)/float64(warmup.Period)
}

// arrivalOverloads counts an arriving part, and reports whether the replica crashes by overload. The limit is the
// number of parts of mean service time that OverloadMultiple allows, plus three standard deviations and three parts,
// which random variation may add.
func (r *replica) arrivalOverloads(host *aggregatorHost) bool {
	warmup := r.world.Warmup
	fraction := r.capacityFraction()
	if fraction >= 1 || warmup.OverloadMultiple <= 0 {
		r.recentArrivals = nil
		return false
	}
	startNotified := host.notifiedStarts[r.id].Equal(r.started)
	r.recentArrivals = append(r.recentArrivals, arrival{moment: r.world.now, startNotified: startNotified})
	r.recentArrivals = slices.DeleteFunc(r.recentArrivals, func(a arrival) bool {
		return r.world.now.Sub(a.moment) > warmup.OverloadPeriod
	})
	cores := float64(r.world.Cores)
	servicesInPeriod := float64(warmup.OverloadPeriod) / float64(r.world.MeanServiceTime)
	allowed := warmup.OverloadMultiple * fraction * cores * servicesInPeriod
	if float64(len(r.recentArrivals)) <= allowed+3*math.Sqrt(allowed)+3 {
		return false
	}
	r.reportOverload(allowed)
	r.world.result.ReplicasOverloaded++
	return true
}

// reportOverload reports a crash by overload as a violation if more than two thirds of the recent parts came from
// aggregators that had been notified of the replica's start, and so had to limit what they send.
func (r *replica) reportOverload(allowed float64) {
	notified := 0
	for _, a := range r.recentArrivals {
		if a.startNotified {
			notified++
		}
	}
	if 3*notified <= 2*len(r.recentArrivals) {
		return
	}
	const format = "warming %s collapses under %d parts, %d of aggregators that knew its start; %.1f are allowed"
	r.world.checker.violate(format, r.id, len(r.recentArrivals), notified, allowed)
}

// restartDelay is the time until a replica restarts after a crash by overload.
const restartDelay = time.Second

// collapse crashes an overloaded replica, which restarts after restartDelay.
func (r *replica) collapse() {
	r.crash()
	r.recentArrivals = nil
	r.world.after(restartDelay, func() {
		if !r.replaced {
			r.up = true
			r.start()
		}
	})
}

// start starts a new process of the replica, and publishes the replica as in service.
func (r *replica) start() {
	if r.world.Warmup.Period > 0 {
		r.started = r.world.now
	}
	r.world.feed.publish(r, balance.InService)
}

// attempt is one attempt of a part at a replica.
type attempt struct {
	host      *aggregatorHost
	outgoing  aggregator.OutgoingAttempt
	replica   *replica
	abandoned bool // the aggregator has canceled it, or has crashed
}

// newReplica returns a replica whose name and random stream are derived from number. number is also its index in the
// ring, unless it replaces another replica.
func newReplica(w *world, number int) *replica {
	return &replica{
		world:      w,
		id:         balance.Replica(fmt.Sprintf("n%d", number)),
		index:      number,
		rng:        rand.New(rand.NewPCG(w.Seed, uint64(firstReplicaStream+number))),
		up:         true,
		slowdown:   1,
		slowClass:  allClasses,
		checksPass: true,
		inFlight:   map[*attempt]bool{},
	}
}

// receive handles a part that has arrived.
func (r *replica) receive(attempt *attempt) {
	w := r.world
	switch {
	case r.unreachable:
		return // lost on the network
	case !r.up:
		attempt.host.deliverResult(attempt, &aggregator.AttemptError{Progress: aggregator.NotConnected}, "")
		return
	case r.draining || len(r.queue) >= maxQueue:
		r.fail(attempt, &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true})
		return
	}
	if r.arrivalOverloads(attempt.host) {
		r.fail(attempt, &aggregator.AttemptError{Progress: aggregator.Written})
		r.collapse()
		return
	}
	w.checker.correctionRan(r, attempt)
	if r.rng.Float64() < r.errorRate {
		r.fail(attempt, &aggregator.AttemptError{Progress: aggregator.Answered})
		return
	}
	r.inFlight[attempt] = true
	if r.unresponsive {
		return
	}
	r.queue = append(r.queue, attempt)
	r.dispatch()
}

// fail ends an attempt with an error, which the aggregator receives after one network delay.
func (r *replica) fail(a *attempt, err error) {
	r.world.after(r.world.networkDelay(), func() { a.host.deliverResult(a, err, "") })
}

// dispatch assigns queued parts to free cores.
func (r *replica) dispatch() {
	for r.busyCores < r.world.Cores && len(r.queue) > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		r.busyCores++
		r.world.after(r.sampleServiceTime(a.outgoing.Class), func() {
			r.busyCores--
			r.complete(a)
			r.dispatch()
		})
	}
}

// sampleServiceTime draws the service time of a part of a class.
func (r *replica) sampleServiceTime(class int) time.Duration {
	elapsed := time.Duration((0.5 + 0.5*r.rng.ExpFloat64()) * float64(r.world.MeanServiceTime))
	if r.slowClass == allClasses || r.slowClass == class {
		elapsed = time.Duration(float64(elapsed) * r.slowdown)
	}
	if fraction := r.capacityFraction(); fraction < 1 {
		elapsed = time.Duration(float64(elapsed) / fraction)
	}
	return elapsed
}

func (r *replica) complete(a *attempt) {
	if !r.inFlight[a] { // the replica has crashed in the meantime
		return
	}
	delete(r.inFlight, a)
	if r.unreachable {
		return
	}
	r.world.after(r.world.networkDelay(), func() {
		a.host.deliverResult(a, nil, fmt.Sprintf("%s by %s", a.outgoing.Name, r.id))
	})
}

// crash stops the replica's process: the connections of its attempts are reset.
func (r *replica) crash() {
	r.up = false
	r.queue = nil
	r.busyCores = 0
	var lost []*attempt
	for _, host := range r.world.aggregators { // in the order of sending: the order of a map would not be deterministic
		for _, a := range host.sendOrder {
			if r.inFlight[a] {
				lost = append(lost, a)
			}
		}
	}
	clear(r.inFlight)
	for _, a := range lost {
		r.fail(a, &aggregator.AttemptError{Progress: aggregator.Written})
	}
}

// endpointFeed passes changes of the endpoint list directly to every aggregator, in runs without discovery. Each
// aggregator is notified after a separately drawn delay.
type endpointFeed struct {
	world *world
	lag   time.Duration // added to each delay
}

// maxPropagation is the maximum propagation delay of a change of the endpoint list.
const maxPropagation = 50 * time.Millisecond

// propagationDelay draws the time until a change of the endpoint list reaches an aggregator, uniformly up to
// maxPropagation.
func (w *world) propagationDelay() time.Duration {
	return time.Duration(w.rng.Float64() * float64(maxPropagation))
}

// publish publishes an endpoint's state, through discovery if the run has it.
func (f *endpointFeed) publish(r *replica, state balance.EndpointState) {
	if f.world.Discovery.Kind != "" {
		f.world.discovery.append(r, state)
		return
	}
	for _, host := range f.world.aggregators {
		delay := f.lag + f.world.propagationDelay()
		f.world.after(delay, func() { host.endpointPublished(r, state) })
	}
}
