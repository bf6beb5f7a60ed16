package sim

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/listwatch"
)

// Discovery is how mixers hear of the list. The zero value tells each of them at once, with the troubles' lag.
type Discovery struct {
	Kind      string        `json:"Kind"`      // Agents or Shared; empty: told at once
	PerSecond float64       `json:"PerSecond"` // Shared: calls that it answers
	MaxWait   time.Duration `json:"Wait"`      // Shared: a call that would wait longer for its turn is refused
}

// Kinds of discovery, as the platform has them.
const (
	LocalAgents   = "agents" // an agent on each mixer's machine: what that has counts as told
	SharedService = "shared" // one service that all mixers call
)

const (
	heartbeatInterval = 2 * time.Second  // between the lines of a live watch
	silentWatchKnown  = 6 * time.Second  // after it fell silent what a watch misses counts as told
	pollKnown         = 10 * time.Second // what a mixer without a watch may not know, Shared
	rejectedPollKnown = 40 * time.Second // the same, after a failed call
)

// endpointEntry is a line of the list.
type endpointEntry struct {
	replica *replica
	state   balance.EndpointState
	started time.Time
}

// discoveryService is the list in versions, which mixers follow by calls of their own.
type discoveryService struct {
	world         *world
	log           []endpointEntry // line i made version i + 1
	silent        bool            // nothing comes of it, and watches that were open are broken
	nextFree      time.Time
	pending       []func() // calls that came while it was silent
	polls         int
	rejectedPolls int // calls that it refused
}

// append adds a line and passes it on to open watches.
func (r *discoveryService) append(n *replica, s balance.EndpointState) {
	r.log = append(r.log, endpointEntry{n, s, n.started})
	for _, host := range r.world.aggregators {
		if host.watcher != nil {
			host.watcher.scheduleKnown(r.log[len(r.log)-1])
			if f, gen := host.watcher, host.watcher.callNumber; f.live && !f.silent {
				r.world.after(r.propagationDelay(), func() { f.deliver(gen) })
			}
		}
	}
}

func (r *discoveryService) propagationDelay() time.Duration {
	return time.Duration(r.world.rng.Float64() * float64(50*time.Millisecond))
}

// setSilent makes discovery silent, or lets it speak again.
func (r *discoveryService) setSilent(silent bool) {
	r.silent = silent
	if !silent {
		for _, answer := range r.pending {
			answer()
		}
		r.pending = nil
	}
	for _, host := range r.world.aggregators {
		if f := host.watcher; silent && f != nil && !f.silent {
			f.silent, f.silentSince = true, r.world.now
		}
	}
}

// watcher is a mixer's calls of discovery: the decisions of decide/watch, with the call and the word simulated.
type watcher struct {
	service          *discoveryService
	host             *aggregatorHost
	schedule         *listwatch.Reconnector
	callNumber       int // number of the present call
	live             bool
	silent           bool // the present call hears nothing any more
	silentSince      time.Time
	lastPollRejected bool
	version          int
}

func newWatcher(r *discoveryService, host *aggregatorHost) *watcher {
	shared := 0
	if r.world.Discovery.Kind == SharedService || r.world.PlantedBug == bugWaitInSilence {
		shared = r.world.Aggregators
	}
	return &watcher{service: r, host: host, schedule: listwatch.New(listwatch.PlatformConfig(shared))}
}

// bugWaitInSilence is a planted bug: a silent watch is opened anew only after the fleet's back-off.
const bugWaitInSilence = "waits in silence"

// start makes the first call of a process. What the agent has counts as told to a new one from its first moment.
func (f *watcher) start(again bool) {
	f.live, f.silent = false, false
	if again && f.service.world.Discovery.Kind == LocalAgents {
		for _, e := range f.service.log[f.version:] {
			f.scheduleKnown(e)
		}
	}
	f.open()
}

// open calls discovery.
func (f *watcher) open() {
	w := f.service.world
	f.callNumber++
	f.service.polls++
	gen := f.callNumber
	f.live, f.silent = false, f.service.silent
	f.silentSince = w.now
	f.schedule.Opened(w.now, w.rng.Float64())
	f.scheduleReopen(gen)
	if f.silent {
		for _, e := range f.service.log[f.version:] {
			f.scheduleKnown(e)
		}
		if w.Discovery.Kind == SharedService {
			f.service.pending = append(f.service.pending, func() { f.answer(gen) })
		}
		return
	}
	f.answer(gen)
}

// answer is discovery's to a call, in its turn: a service answers those that waited while it was silent when it speaks
// again, and an agent does not.
func (f *watcher) answer(gen int) {
	w := f.service.world
	if f.callNumber != gen {
		return
	}
	f.silent = false
	turn := w.now
	if w.Discovery.Kind == SharedService {
		if f.service.nextFree.Before(turn) {
			f.service.nextFree = turn
		}
		if f.service.nextFree.Sub(turn) > w.Discovery.MaxWait {
			f.service.rejectedPolls++
			f.lastPollRejected = true
			w.after(w.networkDelay(), func() { f.callEnded(gen) })
			return
		}
		turn = f.service.nextFree
		f.service.nextFree = f.service.nextFree.Add(time.Duration(float64(time.Second) / w.Discovery.PerSecond))
	}
	w.at(turn.Add(w.networkDelay()), func() {
		if f.callNumber == gen && !f.silent {
			f.live = true
			f.deliver(gen)
			f.heartbeat(gen)
		}
	})
}

// deliver brings the lines that the mixer does not have.
func (f *watcher) deliver(gen int) {
	if f.callNumber != gen || f.silent {
		return
	}
	f.lastPollRejected = false
	f.schedule.Received(f.service.world.now)
	f.schedule.Succeeded()
	list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
	for ; f.version < len(f.service.log); f.version++ {
		e := f.service.log[f.version]
		f.host.applyEndpoint(e)
		s := f.host.endpoint(e.replica)
		s.State, s.Started = e.state, e.started
		list.Servers = append(list.Servers, s)
	}
	f.host.post(list)
}

func (f *watcher) heartbeat(gen int) {
	f.service.world.after(heartbeatInterval, func() {
		if f.callNumber == gen && !f.silent {
			f.schedule.Received(f.service.world.now)
			f.heartbeat(gen)
		}
	})
}

// scheduleReopen opens the watch anew once it is broken.
func (f *watcher) scheduleReopen(gen int) {
	at := f.schedule.SilenceDeadline()
	f.service.world.at(at, func() {
		switch {
		case f.callNumber != gen:
		case f.schedule.SilenceDeadline().After(f.service.world.now):
			f.scheduleReopen(gen)
		case f.service.world.PlantedBug == bugWaitInSilence:
			f.callEnded(gen)
		default:
			f.open()
		}
	})
}

func (f *watcher) callEnded(gen int) {
	if f.callNumber != gen {
		return
	}
	f.callNumber, f.live = f.callNumber+1, false
	closed := f.callNumber
	f.service.world.at(f.schedule.Ended(f.service.world.now, f.service.world.rng.Float64()), func() {
		if f.callNumber == closed {
			f.open()
		}
	})
}

// scheduleKnown says when a line counts as told, whether or not it comes: by then the mixer answers for what it does.
func (f *watcher) scheduleKnown(e endpointEntry) {
	w := f.service.world
	at := w.now.Add(50 * time.Millisecond)
	switch {
	case f.silent:
		if by := f.silentSince.Add(silentWatchKnown); by.After(at) {
			at = by
		}
	case f.live:
	case w.Discovery.Kind == LocalAgents:
		if f.service.silent { // it does not have it
			return
		}
	case f.lastPollRejected:
		at = w.now.Add(rejectedPollKnown)
	default:
		at = w.now.Add(pollKnown)
	}
	host, life, since := f.host, f.host.incarnation, w.now
	told := func() {
		if host.incarnation == life && !host.crashed {
			host.recordKnown(e)
		}
	}
	w.at(at, func() {
		if f.lastPollRejected { // it asked, and was refused: it may not know for longer
			w.at(since.Add(rejectedPollKnown), told)
			return
		}
		told()
	})
}
