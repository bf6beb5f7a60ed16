package sim

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
)

// Discovery says how aggregators learn of the endpoint list. With the zero value endpointFeed tells each of them.
type Discovery struct {
	Kind      string        `json:"Kind"`      // LocalAgents or SharedService; empty: endpointFeed
	PerSecond float64       `json:"PerSecond"` // SharedService: polls that it answers a second
	MaxWait   time.Duration `json:"Wait"`      // SharedService: a poll that would queue for longer is rejected
}

// Kinds of discovery, as the platform has them. The values stand in replay files.
const (
	LocalAgents   = "agents" // an agent on each aggregator's machine: what that has counts as known
	SharedService = "shared" // one service that all aggregators poll
)

const (
	heartbeatInterval = 2 * time.Second // of a live watch

	// After these times a change counts as known to an aggregator, whether or not it has arrived.
	unresponsiveWatchDelay = 6 * time.Second  // since its watch became unresponsive
	pollDelay              = 10 * time.Second // without a watch, with SharedService
	rejectedPollDelay      = 40 * time.Second // after a rejected poll
	liveWatchDelay         = 50 * time.Millisecond
)

// endpointEntry is one change of the endpoint list.
type endpointEntry struct {
	replica *replica
	state   balance.EndpointState
	started time.Time
}

// discoveryService keeps the endpoint list in versions, which aggregators watch.
type discoveryService struct {
	world         *world
	log           []endpointEntry // entry i made version i + 1
	unresponsive  bool            // unresponsive; watches that were open are broken
	nextFree      time.Time
	pending       []func() // answers to polls that came while it was silent
	polls         int
	rejectedPolls int
}

// append adds a change and sends it to open watches.
func (d *discoveryService) append(n *replica, s balance.EndpointState) {
	d.log = append(d.log, endpointEntry{n, s, n.started})
	for _, host := range d.world.aggregators {
		if host.watcher != nil {
			host.watcher.scheduleNotified(d.log[len(d.log)-1])
			if w, call := host.watcher, host.watcher.callNumber; w.live && !w.unresponsive {
				d.world.after(d.propagationDelay(), func() { w.deliver(call) })
			}
		}
	}
}

func (d *discoveryService) propagationDelay() time.Duration {
	return time.Duration(d.world.rng.Float64() * float64(maxPropagation))
}

// setUnresponsive makes discovery unresponsive, or ends that.
func (d *discoveryService) setUnresponsive(silent bool) {
	d.unresponsive = silent
	if !silent {
		for _, answer := range d.pending {
			answer()
		}
		d.pending = nil
	}
	for _, host := range d.world.aggregators {
		if w := host.watcher; silent && w != nil && !w.unresponsive {
			w.unresponsive, w.unresponsiveSince = true, d.world.now
		}
	}
}

// watcher is an aggregator's watch of discovery: the decisions of control/listwatch, with the network simulated.
type watcher struct {
	service           *discoveryService
	host              *aggregatorHost
	schedule          *listwatch.Reconnector
	callNumber        int // of the present call; answers to earlier ones are dropped
	live              bool
	unresponsive      bool // the present call is unresponsive
	unresponsiveSince time.Time
	lastPollRejected  bool
	version           int
}

func newWatcher(d *discoveryService, host *aggregatorHost) *watcher {
	shared := 0
	if d.world.Discovery.Kind == SharedService || d.world.PlantedBug == BugSlowReopen {
		shared = d.world.Aggregators
	}
	return &watcher{service: d, host: host, schedule: listwatch.New(listwatch.PlatformConfig(shared))}
}

// start makes the first call of a process. What the local agent has counts as known to it from its first moment.
func (w *watcher) start(again bool) {
	w.live, w.unresponsive = false, false
	if again && w.service.world.Discovery.Kind == LocalAgents {
		for _, e := range w.service.log[w.version:] {
			w.scheduleNotified(e)
		}
	}
	w.open()
}

// open makes a call of discovery.
func (w *watcher) open() {
	world := w.service.world
	w.callNumber++
	w.service.polls++
	call := w.callNumber
	w.live, w.unresponsive = false, w.service.unresponsive
	w.unresponsiveSince = world.now
	w.schedule.Opened(world.now, world.rng.Float64())
	w.scheduleReopen(call)
	if w.unresponsive {
		for _, e := range w.service.log[w.version:] {
			w.scheduleNotified(e)
		}
		if world.Discovery.Kind == SharedService {
			w.service.pending = append(w.service.pending, func() { w.answer(call) })
		}
		return
	}
	w.answer(call)
}

// answer is discovery's answer to a call. A shared service has a capacity: it answers in turn, or rejects.
func (w *watcher) answer(call int) {
	world := w.service.world
	if w.callNumber != call {
		return
	}
	w.unresponsive = false
	turn := world.now
	if world.Discovery.Kind == SharedService {
		if w.service.nextFree.Before(turn) {
			w.service.nextFree = turn
		}
		if w.service.nextFree.Sub(turn) > world.Discovery.MaxWait {
			w.service.rejectedPolls++
			w.lastPollRejected = true
			world.after(world.networkDelay(), func() { w.callEnded(call) })
			return
		}
		turn = w.service.nextFree
		w.service.nextFree = w.service.nextFree.Add(time.Duration(float64(time.Second) / world.Discovery.PerSecond))
	}
	world.at(turn.Add(world.networkDelay()), func() {
		if w.callNumber == call && !w.unresponsive {
			w.live = true
			w.deliver(call)
			w.heartbeat(call)
		}
	})
}

// deliver passes the changes that the aggregator does not have to its core.
func (w *watcher) deliver(call int) {
	if w.callNumber != call || w.unresponsive {
		return
	}
	w.lastPollRejected = false
	w.schedule.Received(w.service.world.now)
	w.schedule.Succeeded()
	list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for ; w.version < len(w.service.log); w.version++ {
		e := w.service.log[w.version]
		w.host.applyEndpoint(e)
		s := w.host.endpoint(e.replica)
		s.State, s.Started = e.state, e.started
		list.Servers = append(list.Servers, s)
	}
	w.host.post(list)
}

func (w *watcher) heartbeat(call int) {
	w.service.world.after(heartbeatInterval, func() {
		if w.callNumber == call && !w.unresponsive {
			w.schedule.Received(w.service.world.now)
			w.heartbeat(call)
		}
	})
}

// scheduleReopen reopens the watch once it counts as broken.
func (w *watcher) scheduleReopen(call int) {
	at := w.schedule.IdleDeadline()
	w.service.world.at(at, func() {
		switch {
		case w.callNumber != call:
		case w.schedule.IdleDeadline().After(w.service.world.now):
			w.scheduleReopen(call)
		case w.service.world.PlantedBug == BugSlowReopen:
			w.callEnded(call)
		default:
			w.open()
		}
	})
}

func (w *watcher) callEnded(call int) {
	if w.callNumber != call {
		return
	}
	w.callNumber, w.live = w.callNumber+1, false
	closed := w.callNumber
	w.service.world.at(w.schedule.Ended(w.service.world.now, w.service.world.rng.Float64()), func() {
		if w.callNumber == closed {
			w.open()
		}
	})
}

// scheduleNotified schedules the moment from which the aggregator is accountable for a change, whether or not it arrives.
func (w *watcher) scheduleNotified(e endpointEntry) {
	world := w.service.world
	at := world.now.Add(liveWatchDelay)
	switch {
	case w.unresponsive:
		if by := w.unresponsiveSince.Add(unresponsiveWatchDelay); by.After(at) {
			at = by
		}
	case w.live:
	case world.Discovery.Kind == LocalAgents:
		if w.service.unresponsive { // the agent does not have it
			return
		}
	case w.lastPollRejected:
		at = world.now.Add(rejectedPollDelay)
	default:
		at = world.now.Add(pollDelay)
	}
	host, incarnation, since := w.host, w.host.incarnation, world.now
	known := func() {
		if host.incarnation == incarnation && !host.crashed {
			host.recordNotified(e)
		}
	}
	world.at(at, func() {
		if w.lastPollRejected { // its poll was rejected: it may not know for longer
			world.at(since.Add(rejectedPollDelay), known)
			return
		}
		known()
	})
}
