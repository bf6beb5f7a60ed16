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

// maxQueue is how many parts a node holds before it turns more away.
const maxQueue = 200

// replica is an archive node: cores, a queue, and what is wrong with it.
type replica struct {
	world          *world
	id             balance.Replica
	index          int
	rng            *rand.Rand
	up             bool
	unreachable    bool // nothing reaches it, and nothing comes from it
	draining       bool
	errorRate      float64 // share of parts that fail at once
	slowdown       float64 // work takes so many times as long
	slowClass      int     // of this class only; negative: of all
	unresponsive   bool    // takes parts and never answers
	checksPass     bool    // its checks say well, whatever is
	busyCores      int
	queue          []*attempt
	inFlight       map[*attempt]bool // taken and not ended
	started        time.Time         // of its process; zero: long ago
	replaced       bool              // it is replaced by another
	recentArrivals []arrival         // within the time in which too many make it fall, while it is cold
}

// arrival is a part that came, and whether its mixer had been told that the node is cold.
type arrival struct {
	at         time.Time
	startKnown bool
}

// Warmup is what a node can do after its start, and what makes it fall. The zero value: all, and nothing.
type Warmup struct {
	Period           time.Duration `json:"For"`    // it is warm after it
	MinCapacity      float64       `json:"From"`   // share of its capacity at its start, growing evenly
	OverloadMultiple float64       `json:"Tip"`    // so many times what it can do
	OverloadPeriod   time.Duration `json:"TipFor"` // within so long make it fall
}

// zone is the node's: its place in the ring tells it.
func (n *replica) zone() int { return n.index % max(2, n.world.Zones) }

// capacityFraction is what it has of its capacity by now.
func (n *replica) capacityFraction() float64 {
	age := n.world.now.Sub(n.started)
	if c := n.world.Warmup; c.Period > 0 && !n.started.IsZero() && age < c.Period {
		return c.MinCapacity + (1-c.MinCapacity)*float64(age)/float64(c.Period)
	}
	return 1
}

// arrivalOverloads counts a part that came, and says whether the node falls under it. N parts of mean work are what the rule
// allows within the time; chance may bring three deviations and three more.
func (n *replica) arrivalOverloads(host *aggregatorHost) bool {
	c, share := n.world.Warmup, n.capacityFraction()
	if share >= 1 || c.OverloadMultiple <= 0 {
		n.recentArrivals = nil
		return false
	}
	n.recentArrivals = append(n.recentArrivals, arrival{n.world.now, host.knownStarts[n.id].Equal(n.started)})
	n.recentArrivals = slices.DeleteFunc(n.recentArrivals, func(a arrival) bool { return n.world.now.Sub(a.at) > c.OverloadPeriod })
	most := c.OverloadMultiple * share * float64(n.world.Cores) * float64(c.OverloadPeriod) / float64(n.world.MeanServiceTime)
	if float64(len(n.recentArrivals)) <= most+3*math.Sqrt(most)+3 {
		return false
	}
	told := 0
	for _, a := range n.recentArrivals {
		if a.startKnown {
			told++
		}
	}
	if 3*told > 2*len(n.recentArrivals) {
		n.world.checker.violate("cold %s falls under %d parts, %d of mixers that were told of its start; %.1f are allowed", n.id, len(n.recentArrivals), told, most)
	}
	n.world.result.ReplicasOverloaded++
	return true
}

// collapse ends a node that got too much; it is back, cold, after a second.
func (n *replica) collapse() {
	n.crash()
	n.recentArrivals = nil
	n.world.after(time.Second, func() {
		if !n.replaced {
			n.up = true
			n.start()
		}
	})
}

// start notes a start of the node's process.
func (n *replica) start() {
	if n.world.Warmup.Period > 0 {
		n.started = n.world.now
	}
	n.world.feed.publish(n, balance.InService)
}

// attempt is one attempt of a part at a node.
type attempt struct {
	host      *aggregatorHost
	call      aggregator.Call
	replica   *replica
	abandoned bool // the mixer has given it up
}

func newReplica(w *world, i int) *replica {
	return &replica{world: w, id: balance.Replica(fmt.Sprintf("n%d", i)), index: i, rng: rand.New(rand.NewPCG(w.Seed, uint64(1000+i))), up: true,
		slowdown: 1, slowClass: -1, checksPass: true, inFlight: map[*attempt]bool{}}
}

// networkDelay is the network's, one way.
func (w *world) networkDelay() time.Duration {
	return w.NetworkDelay/2 + time.Duration(w.rng.ExpFloat64()*float64(w.NetworkDelay)/2)
}

// receive takes a part that has arrived.
func (n *replica) receive(k *attempt) {
	w := n.world
	switch {
	case n.unreachable:
		return // nobody will hear of it
	case !n.up:
		k.host.deliverResult(k, &aggregator.AttemptError{Progress: aggregator.NotConnected}, "")
		return
	case n.draining || len(n.queue) >= maxQueue:
		w.after(w.networkDelay(), func() {
			k.host.deliverResult(k, &aggregator.AttemptError{Progress: aggregator.Answered, Rejected: true}, "")
		})
		return
	}
	if n.arrivalOverloads(k.host) {
		w.after(w.networkDelay(), func() { k.host.deliverResult(k, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
		n.collapse()
		return
	}
	w.checker.correctionRan(n, k)
	if n.rng.Float64() < n.errorRate {
		w.after(w.networkDelay(), func() { k.host.deliverResult(k, &aggregator.AttemptError{Progress: aggregator.Answered}, "") })
		return
	}
	n.inFlight[k] = true
	if n.unresponsive {
		return
	}
	n.queue = append(n.queue, k)
	n.dispatch()
}

// dispatch gives free cores something to do.
func (n *replica) dispatch() {
	for n.busyCores < n.world.Cores && len(n.queue) > 0 {
		k := n.queue[0]
		n.queue = n.queue[1:]
		n.busyCores++
		d := time.Duration((0.5 + 0.5*n.rng.ExpFloat64()) * float64(n.world.MeanServiceTime))
		if n.slowClass < 0 || n.slowClass == k.call.Class {
			d = time.Duration(float64(d) * n.slowdown)
		}
		if share := n.capacityFraction(); share < 1 {
			d = time.Duration(float64(d) / share)
		}
		n.world.after(d, func() {
			n.busyCores--
			n.complete(k)
			n.dispatch()
		})
	}
}

func (n *replica) complete(k *attempt) {
	if !n.inFlight[k] { // it died meanwhile
		return
	}
	delete(n.inFlight, k)
	if n.unreachable {
		return
	}
	n.world.after(n.world.networkDelay(), func() { k.host.deliverResult(k, nil, fmt.Sprintf("%s by %s", k.call.Name, n.id)) })
}

// crash ends the node's process: what is on it ends as a reset.
func (n *replica) crash() {
	n.up, n.queue, n.busyCores = false, nil, 0
	var lost []*attempt
	for _, host := range n.world.aggregators { // in an order that does not hang on a map's
		for _, k := range host.sendOrder {
			if n.inFlight[k] {
				lost = append(lost, k)
			}
		}
	}
	clear(n.inFlight)
	for _, k := range lost {
		n.world.after(n.world.networkDelay(), func() { k.host.deliverResult(k, &aggregator.AttemptError{Progress: aggregator.Written}, "") })
	}
}

// endpointFeed is the list of servers; each mixer hears of a change some time later.
type endpointFeed struct {
	world *world
	lag   time.Duration
}

// publish tells all mixers of a node.
func (r *endpointFeed) publish(n *replica, s balance.EndpointState) {
	if r.world.Discovery.Kind != "" {
		r.world.discovery.append(n, s)
		return
	}
	for _, host := range r.world.aggregators {
		d := r.lag + time.Duration(r.world.rng.Float64()*float64(50*time.Millisecond))
		r.world.after(d, func() { host.endpointPublished(n, s) })
	}
}
