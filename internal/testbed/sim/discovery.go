package sim

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
)

// Discovery configures how aggregators receive the endpoint list. With the zero value, endpointFeed notifies each of
// them.
type Discovery struct {
	Kind      string        `json:"Kind"`      // LocalAgents or SharedService; empty: endpointFeed
	PerSecond float64       `json:"PerSecond"` // SharedService: polls that it answers per second
	MaxWait   time.Duration `json:"Wait"`      // SharedService: polls that would be queued for longer are rejected
}

// Kinds of discovery on the platform. The values are stored in replay files.
const (
	LocalAgents   = "agents" // an agent on each aggregator's machine; its changes count as known to the aggregator
	SharedService = "shared" // a single service that all aggregators poll
)

const (
	heartbeatInterval = 2 * time.Second // of a live watch

	// After these times an aggregator counts as notified of a change, whether or not the change has arrived.
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

// discoveryService is the discovery service: the versions of the endpoint list, which aggregators watch.
type discoveryService struct {
	world         *world
	log           []endpointEntry // entry i is the change from version i to version i + 1
	unresponsive  bool            // polls are not answered, and open watches receive no more changes
	nextFree      time.Time       // of a shared service: when it can answer the next poll
	pending       []func()        // answers to polls that arrived while it was unresponsive
	polls         int
	rejectedPolls int
}

// append adds a change and sends it to open watches.
func (d *discoveryService) append(r *replica, state balance.EndpointState) {
	entry := endpointEntry{replica: r, state: state, started: r.started}
	d.log = append(d.log, entry)
	for _, host := range d.world.aggregators {
		w := host.watcher
		if w == nil {
			continue
		}
		w.scheduleNotified(entry)
		if w.live && !w.unresponsive {
			call := w.callNumber
			d.world.after(d.world.propagationDelay(), func() { w.deliver(call) })
		}
	}
}

// setUnresponsive makes discovery unresponsive or responsive again.
func (d *discoveryService) setUnresponsive(unresponsive bool) {
	d.unresponsive = unresponsive
	if !unresponsive {
		for _, answer := range d.pending {
			answer()
		}
		d.pending = nil
		return
	}
	for _, host := range d.world.aggregators {
		if w := host.watcher; w != nil && !w.unresponsive {
			w.unresponsive = true
			w.unresponsiveSince = d.world.now
		}
	}
}

// schedulePoll returns when a poll that has just arrived is answered: immediately, or by a shared service in the order
// of arrival at the service's rate. accepted is false if the service rejects the poll.
func (d *discoveryService) schedulePoll() (answeredAt time.Time, accepted bool) {
	now := d.world.now
	discovery := d.world.Discovery
	if discovery.Kind != SharedService {
		return now, true
	}
	if d.nextFree.Before(now) {
		d.nextFree = now
	}
	if d.nextFree.Sub(now) > discovery.MaxWait {
		d.rejectedPolls++
		return time.Time{}, false
	}
	answeredAt = d.nextFree
	d.nextFree = d.nextFree.Add(time.Duration(float64(time.Second) / discovery.PerSecond))
	return answeredAt, true
}

// watcher is an aggregator's watch of discovery. control/listwatch decides when to reopen it; the network is simulated.
type watcher struct {
	service           *discoveryService
	host              *aggregatorHost
	schedule          *listwatch.Reconnector
	callNumber        int  // of the current call; answers to previous ones are dropped
	live              bool // the current call has been answered
	unresponsive      bool // the current call receives no answer and no more changes
	unresponsiveSince time.Time
	lastPollRejected  bool
	version           int // of the endpoint list that the aggregator has
}

func newWatcher(d *discoveryService, host *aggregatorHost) *watcher {
	pollers := 0 // number of aggregators that share the service
	if d.world.Discovery.Kind == SharedService || d.world.InjectedBug == BugSlowReopen {
		pollers = d.world.Aggregators
	}
	return &watcher{
		service:  d,
		host:     host,
		schedule: listwatch.New(listwatch.PlatformConfig(pollers)),
	}
}

// start makes the first call of an aggregator's process. After a restart, the aggregator counts as notified of the
// changes that its local agent has.
func (w *watcher) start() {
	w.live = false
	w.unresponsive = false
	restarted := w.host.incarnation > 1
	if restarted && w.service.world.Discovery.Kind == LocalAgents {
		w.scheduleMissingNotified()
	}
	w.open()
}

// scheduleMissingNotified calls scheduleNotified for each change that the aggregator has not received.
func (w *watcher) scheduleMissingNotified() {
	for _, entry := range w.service.log[w.version:] {
		w.scheduleNotified(entry)
	}
}

// open makes a new call to discovery.
func (w *watcher) open() {
	world := w.service.world
	w.callNumber++
	w.service.polls++
	call := w.callNumber
	w.live = false
	w.unresponsive = w.service.unresponsive
	w.unresponsiveSince = world.now
	w.schedule.Opened(world.now, world.rng.Float64())
	w.scheduleReopen(call)
	if w.unresponsive {
		w.scheduleMissingNotified()
		if world.Discovery.Kind == SharedService {
			w.service.pending = append(w.service.pending, func() { w.answer(call) })
		}
		return
	}
	w.answer(call)
}

// answer simulates discovery's answer to a call.
func (w *watcher) answer(call int) {
	world := w.service.world
	if w.callNumber != call {
		return
	}
	w.unresponsive = false
	answeredAt, accepted := w.service.schedulePoll()
	if !accepted {
		w.lastPollRejected = true
		world.after(world.networkDelay(), func() { w.callEnded(call) })
		return
	}
	world.at(answeredAt.Add(world.networkDelay()), func() {
		if w.callNumber == call && !w.unresponsive {
			w.live = true
			w.deliver(call)
			w.heartbeat(call)
		}
	})
}

// deliver passes the changes that the aggregator has not received to its core.
func (w *watcher) deliver(call int) {
	if w.callNumber != call || w.unresponsive {
		return
	}
	w.lastPollRejected = false
	w.schedule.Received(w.service.world.now)
	w.schedule.Succeeded()
	list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for ; w.version < len(w.service.log); w.version++ {
		entry := w.service.log[w.version]
		w.host.applyEndpoint(entry)
		server := w.host.endpoint(entry.replica)
		server.State = entry.state
		server.Started = entry.started
		list.Servers = append(list.Servers, server)
	}
	w.host.post(list)
}

// heartbeat schedules discovery's heartbeats while the call is current and discovery is responsive.
func (w *watcher) heartbeat(call int) {
	w.service.world.after(heartbeatInterval, func() {
		if w.callNumber == call && !w.unresponsive {
			w.schedule.Received(w.service.world.now)
			w.heartbeat(call)
		}
	})
}

// scheduleReopen reopens the watch when its idle deadline has expired.
func (w *watcher) scheduleReopen(call int) {
	at := w.schedule.IdleDeadline()
	w.service.world.at(at, func() {
		switch {
		case w.callNumber != call:
		case w.schedule.IdleDeadline().After(w.service.world.now):
			w.scheduleReopen(call)
		case w.service.world.InjectedBug == BugSlowReopen:
			w.callEnded(call)
		default:
			w.open()
		}
	})
}

// callEnded ends a call, and schedules the next one after a backoff.
func (w *watcher) callEnded(call int) {
	if w.callNumber != call {
		return
	}
	world := w.service.world
	w.callNumber++
	w.live = false
	closed := w.callNumber
	reopenAt := w.schedule.Ended(world.now, world.rng.Float64())
	world.at(reopenAt, func() {
		if w.callNumber == closed {
			w.open()
		}
	})
}

// scheduleNotified schedules the moment from which the aggregator counts as notified of a change, whether or not the
// change has arrived.
func (w *watcher) scheduleNotified(entry endpointEntry) {
	world := w.service.world
	notifiedAt, ok := w.notifiedAt()
	if !ok {
		return
	}
	host := w.host
	incarnation := host.incarnation
	changedAt := world.now
	notify := func() {
		if host.incarnation == incarnation && !host.crashed {
			host.recordNotified(entry)
		}
	}
	world.at(notifiedAt, func() {
		if w.lastPollRejected { // the aggregator has to back off, and may be notified later
			world.at(changedAt.Add(rejectedPollDelay), notify)
			return
		}
		notify()
	})
}

// notifiedAt returns when the aggregator counts as notified of a change that is made now, by the state of its watch. ok
// is false if the change cannot reach the aggregator.
func (w *watcher) notifiedAt() (moment time.Time, ok bool) {
	world := w.service.world
	soonest := world.now.Add(liveWatchDelay)
	switch {
	case w.unresponsive:
		detected := w.unresponsiveSince.Add(unresponsiveWatchDelay)
		if detected.After(soonest) {
			return detected, true
		}
		return soonest, true
	case w.live:
		return soonest, true
	case world.Discovery.Kind == LocalAgents:
		return soonest, !w.service.unresponsive // an agent does not receive the change while discovery is unresponsive
	case w.lastPollRejected:
		return world.now.Add(rejectedPollDelay), true
	}
	return world.now.Add(pollDelay), true
}
