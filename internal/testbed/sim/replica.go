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

// maxQueue is how many parts a replica queues before it rejects more.
const maxQueue = 200

// replica is a simulated archive server: cores, a queue, and the faults that it has.
type replica struct {
	world          *world
	id             balance.Replica
	index          int
	rng            *rand.Rand
	up             bool
	unreachable    bool // nothing reaches it, and nothing comes from it
	draining       bool
	errorRate      float64 // fraction of the parts that fails at once
	slowdown       float64 // factor of the service time
	slowClass      int     // that slowdown applies to, or allClasses
	unresponsive   bool    // takes parts and never answers
	checksPass     bool    // its health checks, whatever its state
	busyCores      int
	queue          []*attempt
	inFlight       map[*attempt]bool // received and not ended
	started        time.Time         // of its process; zero: long ago
	replaced       bool              // by another: it does not start again
	recentArrivals []arrival         // within Warmup.OverloadPeriod, while it warms up
}

// arrival is a part that came, and whether its aggregator knew when the replica had started.
type arrival struct {
	at            time.Time
	startNotified bool
}

// Warmup says what a replica can do after its start, and what makes it collapse. With the zero value it has its full
// capacity at once and never collapses.
type Warmup struct {
	Period           time.Duration `json:"For"`    // after which it has its full capacity
	MinCapacity      float64       `json:"From"`   // fraction of the capacity at its start, growing evenly
	OverloadMultiple float64       `json:"Tip"`    // of its present capacity
	OverloadPeriod   time.Duration `json:"TipFor"` // over which arrivals count
}

// zone follows from the replica's place in the ring.
func (r *replica) zone() int { return r.index % max(2, r.world.Zones) }

// capacityFraction is the fraction of the full capacity that it has now.
func (r *replica) capacityFraction() float64 {
	age := r.world.now.Sub(r.started)
	if c := r.world.Warmup; c.Period > 0 && !r.started.IsZero() && age < c.Period {
		return c.MinCapacity + (1-c.MinCapacity)*float64(age)/float64(c.Period)
	}
	return 1
}

// arrivalOverloads counts an arriving part, and says whether the replica collapses under it. The rule allows as many
// parts of mean service time as OverloadMultiple says; chance may add three standard deviations and three parts.
func (r *replica) arrivalOverloads(host *aggregatorHost) bool {
	c, fraction := r.world.Warmup, r.capacityFraction()
	if fraction >= 1 || c.OverloadMultiple <= 0 {
		r.recentArrivals = nil
		return false
	}
	r.recentArrivals = append(r.recentArrivals, arrival{r.world.now, host.notifiedStarts[r.id].Equal(r.started)})
	r.recentArrivals = slices.DeleteFunc(r.recentArrivals, func(a arrival) bool { return r.world.now.Sub(a.at) > c.OverloadPeriod })
	allowed := c.OverloadMultiple * fraction * float64(r.world.Cores) * float64(c.OverloadPeriod) / float64(r.world.MeanServiceTime)
	if float64(len(r.recentArrivals)) <= allowed+3*math.Sqrt(allowed)+3 {
		return false
	}
	knowing := 0
	for _, a := range r.recentArrivals {
		if a.startNotified {
			knowing++
		}
	}
	if 3*knowing > 2*len(r.recentArrivals) {
		r.world.checker.violate("warming %s collapses under %d parts, %d of aggregators that knew its start; %.1f are allowed", r.id, len(r.recentArrivals), knowing, allowed)
	}
	r.world.result.ReplicasOverloaded++
	return true
}

// restartDelay is how long a replica that collapsed is down.
const restartDelay = time.Second

// collapse ends an overloaded replica; it starts again after restartDelay.
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

// start begins a new process of the replica and publishes it.
func (r *replica) start() {
	if r.world.Warmup.Period > 0 {
		r.started = r.world.now
	}
	r.world.feed.publish(r, balance.InService)
}

// attempt is one attempt of a part at a replica.
type attempt struct {
	host      *aggregatorHost
	call      aggregator.Call
	replica   *replica
	abandoned bool // the aggregator has canceled it or has crashed
}

func newReplica(w *world, i int) *replica {
	return &replica{world: w, id: balance.Replica(fmt.Sprintf("n%d", i)), index: i, rng: rand.New(rand.NewPCG(w.Seed, uint64(firstReplicaStream+i))), up: true,
		slowdown: 1, slowClass: allClasses, checksPass: true, inFlight: map[*attempt]bool{}}
}

// receive handles a part that has arrived.
func (r *replica) receive(a *attempt) {
	w := r.world
	switch {
	case r.unreachable:
		return // lost on the network
	case !r.up:
		a.host.deliverResult(a, &aggregator.AttemptError{Progress: aggregator.NotConnected}, "")
		return
	case r.draining || len(r.queue) >= maxQueue:
		w.after(w.networkDelay(), func() {
			a.host.deliverResult(a, &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}, "")
		})
		return
	}
	if r.arrivalOverloads(a.host) {
		w.after(w.networkDelay(), func() { a.host.deliverResult(a, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
		r.collapse()
		return
	}
	w.checker.correctionRan(r, a)
	if r.rng.Float64() < r.errorRate {
		w.after(w.networkDelay(), func() { a.host.deliverResult(a, &aggregator.AttemptError{Progress: aggregator.Answered}, "") })
		return
	}
	r.inFlight[a] = true
	if r.unresponsive {
		return
	}
	r.queue = append(r.queue, a)
	r.dispatch()
}

// dispatch gives queued parts to free cores.
func (r *replica) dispatch() {
	for r.busyCores < r.world.Cores && len(r.queue) > 0 {
		a := r.queue[0]
		r.queue = r.queue[1:]
		r.busyCores++
		d := time.Duration((0.5 + 0.5*r.rng.ExpFloat64()) * float64(r.world.MeanServiceTime))
		if r.slowClass == allClasses || r.slowClass == a.call.Class {
			d = time.Duration(float64(d) * r.slowdown)
		}
		if fraction := r.capacityFraction(); fraction < 1 {
			d = time.Duration(float64(d) / fraction)
		}
		r.world.after(d, func() {
			r.busyCores--
			r.complete(a)
			r.dispatch()
		})
	}
}

func (r *replica) complete(a *attempt) {
	if !r.inFlight[a] { // the replica crashed meanwhile
		return
	}
	delete(r.inFlight, a)
	if r.unreachable {
		return
	}
	r.world.after(r.world.networkDelay(), func() { a.host.deliverResult(a, nil, fmt.Sprintf("%s by %s", a.call.Name, r.id)) })
}

// crash ends the replica's process: attempts at it end with a reset of the connection.
func (r *replica) crash() {
	r.up, r.queue, r.busyCores = false, nil, 0
	var lost []*attempt
	for _, host := range r.world.aggregators { // in the order of sending, not of a map
		for _, a := range host.sendOrder {
			if r.inFlight[a] {
				lost = append(lost, a)
			}
		}
	}
	clear(r.inFlight)
	for _, a := range lost {
		r.world.after(r.world.networkDelay(), func() { a.host.deliverResult(a, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
	}
}

// endpointFeed tells aggregators of the endpoint list directly; each learns of a change some time later.
type endpointFeed struct {
	world *world
	lag   time.Duration
}

// maxPropagation bounds the time that a change of the list takes to an aggregator; it is drawn evenly below it.
const maxPropagation = 50 * time.Millisecond

// publish changes an endpoint's state, by discovery where the aggregators follow that.
func (f *endpointFeed) publish(r *replica, s balance.EndpointState) {
	if f.world.Discovery.Kind != "" {
		f.world.discovery.append(r, s)
		return
	}
	for _, h := range f.world.aggregators {
		d := f.lag + time.Duration(f.world.rng.Float64()*float64(maxPropagation))
		f.world.after(d, func() { h.endpointPublished(r, s) })
	}
}
