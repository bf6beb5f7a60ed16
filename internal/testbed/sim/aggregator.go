package sim

import (
	"cmp"
	"slices"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	"rooktrestle/internal/control/health"
	"rooktrestle/internal/control/outlier"
)

// Classes of queries.
const (
	search = iota
	report
	correction
	classCount
)

// allClasses stands for every class.
const allClasses = -1

// maxDeadline is the longest deadline of a class.
const maxDeadline = 4 * time.Second

// classes returns the settings of the classes, by class.
func classes() []balance.Class {
	return []balance.Class{
		search: {
			Objective:        1500 * time.Millisecond,
			Deadline:         maxDeadline,
			Weight:           1,
			OverdueFraction:  0.3,
			MinFraction:      1,
			CompleteFraction: 1,
		},
		report: {
			Objective:        1200 * time.Millisecond,
			Deadline:         2 * time.Second,
			Weight:           2,
			OverdueFraction:  0.1,
			MinFraction:      0.5,
			CompleteFraction: 1,
			PartialFraction:  0.8,
		},
		correction: {
			Objective:        1500 * time.Millisecond,
			Deadline:         3 * time.Second,
			Weight:           1,
			OverdueFraction:  0.3,
			MinFraction:      1,
			CompleteFraction: 1,
			Idempotency:      balance.NonIdempotent,
		},
	}
}

// aggregatorHost runs a real core: it collects the events of a moment, passes them to the core in one turn, and carries
// out the core's commands.
type aggregatorHost struct {
	world             *world
	index             int
	core              *aggregator.Core
	balancerSettings  balance.Settings
	inbox             []aggregator.Event
	turnScheduled     bool // a turn is scheduled for the current moment
	nextWake          time.Time
	attempts          map[aggregator.AttemptID]*attempt
	sendOrder         []*attempt                    // attempts in the order of sending, including some that have ended
	removalNotifiedAt map[balance.Replica]time.Time // when it was notified that a replica drains or is removed
	endpointStates    map[balance.Replica]balance.EndpointState
	healthTable       *health.Table
	healthLimits      map[balance.Replica]balance.HealthLimits
	zone              int
	incarnation       int // of its process; the first is 1
	crashed           bool
	watcher           *watcher // nil: endpointFeed passes the changes of the endpoint list
	openRequests      map[*clientRequest]bool
	notifiedStarts    map[balance.Replica]time.Time // start times of the replicas' processes of which it was notified
}

// newAggregatorHost starts the first process of an aggregator, whose zone follows from its index.
func newAggregatorHost(w *world, index int) (*aggregatorHost, error) {
	h := &aggregatorHost{world: w, index: index}
	if w.Zones > 0 {
		h.zone = index % w.Zones
	}
	if w.Discovery.Kind != "" {
		h.watcher = newWatcher(w.discovery, h)
	}
	return h, h.start()
}

// start starts a new process of the aggregator, with the endpoint list that the previous process had at its end.
func (h *aggregatorHost) start() error {
	previousStates := h.endpointStates
	h.incarnation++
	h.crashed = false
	h.resetState()
	if err := h.newCore(); err != nil {
		return err
	}
	if err := h.applyInitialList(previousStates); err != nil {
		return err
	}
	if h.watcher != nil {
		h.watcher.start()
	}
	return nil
}

// resetState discards the state that a process loses when it stops.
func (h *aggregatorHost) resetState() {
	h.inbox = nil
	h.turnScheduled = false
	h.nextWake = time.Time{}
	h.attempts = map[aggregator.AttemptID]*attempt{}
	h.sendOrder = nil
	h.openRequests = map[*clientRequest]bool{}
	h.removalNotifiedAt = map[balance.Replica]time.Time{}
	h.endpointStates = map[balance.Replica]balance.EndpointState{}
	h.notifiedStarts = map[balance.Replica]time.Time{}
	h.healthLimits = map[balance.Replica]balance.HealthLimits{}
}

// newCore creates the core of a new process.
func (h *aggregatorHost) newCore() error {
	h.balancerSettings = h.newBalancerSettings()
	balancer, err := balance.New(h.balancerSettings)
	if err != nil {
		return err
	}
	limits := aggregator.Limits{
		FollowUpParts:  make([]int, classCount),
		MaxOpen:        20000,
		RetryAfter:     time.Second,
		DeadlineMargin: 20 * time.Millisecond,
	}
	h.core = aggregator.NewCore(balancer, h, limits, StartTime)
	h.core.Observer = h
	if h.world.Gossip {
		h.core.Gossip = h
		h.core.Outliers = outlier.New(outlier.PlatformConfig(classes()[report].Objective, h.zone, h.world.Aggregators))
	}
	return nil
}

// newBalancerSettings derives the balancer's settings from those of the run.
func (h *aggregatorHost) newBalancerSettings() balance.Settings {
	w := h.world
	settings := balance.Settings{
		Seed:            w.Seed + uint64(h.index),
		Instances:       w.Aggregators,
		Tick:            5 * time.Millisecond,
		Cells:           w.Replicas,
		Reach:           w.Reach,
		Shards:          w.Replicas,
		MaxCallParts:    1,
		MaxAttempts:     4,
		CanCancel:       true,
		MaxRetryAfter:   time.Second,
		OverQuotaFactor: 1,
		Classes:         classes(),
		Tenants:         []balance.Tenant{{}},
		Zone:            h.zone,
	}
	if h.incarnation > 1 { // each process draws different random samples
		settings.Seed += uint64(h.incarnation) << 32
	}
	if w.Warmup.Period > 0 && w.InjectedBug != BugWarmupIgnored {
		settings.Rules = balance.Rules{
			WarmupPeriod:      w.Warmup.Period,
			WarmupMinCapacity: w.Warmup.MinCapacity,
			OverloadMultiple:  w.Warmup.OverloadMultiple,
			OverloadPeriod:    w.Warmup.OverloadPeriod,
		}
	}
	if w.Gossip {
		settings.PeerMessages = true
		settings.CanProbe = true
		settings.LoadReportsOnProbe = true
		settings.ProbeTimeout = probeTimeout
	}
	return settings
}

// applyInitialList passes the first endpoint list to the aggregator: the replicas that its previous process had in
// service, or all replicas for its first process.
func (h *aggregatorHost) applyInitialList(previousStates map[balance.Replica]balance.EndpointState) error {
	w := h.world
	list := aggregator.EndpointsChanged{Kind: balance.ListFull}
	var checked []health.Server
	for _, r := range w.replicas {
		state, listed := previousStates[r.id]
		if h.incarnation > 1 && (!listed || state != balance.InService) {
			continue
		}
		h.notifiedStarts[r.id] = r.started
		h.endpointStates[r.id] = balance.InService
		list.Servers = append(list.Servers, h.endpoint(r))
		checked = append(checked, health.Server{ID: health.ID(r.id), Shards: r.shards()})
	}
	if w.HealthEvidence {
		if err := h.startHealthChecks(checked); err != nil {
			return err
		}
	}
	h.post(list)
	return nil
}

// crash stops the aggregator's process: its connections to clients and replicas are closed.
func (h *aggregatorHost) crash() {
	h.crashed = true
	for _, a := range h.sendOrder {
		if h.attempts[a.outgoing.Attempt] == a {
			a.abandoned = true
			h.world.checker.attemptEnded(a)
		}
	}
	clear(h.attempts)
	if h.watcher != nil {
		h.watcher.callNumber++
		h.watcher.live = false
	}
	var lost []*clientRequest
	for request := range h.openRequests {
		lost = append(lost, request)
	}
	slices.SortFunc(lost, func(a, b *clientRequest) int { return cmp.Compare(a.id, b.id) })
	for _, request := range lost {
		h.world.after(h.world.networkDelay(), request.connectionLost)
	}
	clear(h.openRequests)
}

// applyEndpoint applies an entry of the endpoint list that has arrived.
func (h *aggregatorHost) applyEndpoint(entry endpointEntry) {
	h.endpointStates[entry.replica.id] = entry.state
	h.recordNotified(entry)
}

// recordNotified records that the aggregator was notified of an entry: from now on the checker requires it to comply.
func (h *aggregatorHost) recordNotified(entry endpointEntry) {
	id := entry.replica.id
	if entry.state == balance.InService {
		h.notifiedStarts[id] = entry.started
		delete(h.removalNotifiedAt, id)
		return
	}
	if _, notified := h.removalNotifiedAt[id]; !notified {
		h.removalNotifiedAt[id] = h.world.now
	}
}

// endpoint returns a replica's entry in the aggregator's endpoint list.
func (h *aggregatorHost) endpoint(r *replica) aggregator.Server {
	return aggregator.Server{
		HealthLimits: h.healthLimits[r.id],
		ID:           r.id,
		Addr:         string(r.id),
		Zone:         r.zone(),
		Cell:         r.index,
		Weight:       1,
		State:        h.endpointStates[r.id],
		Started:      r.started,
	}
}

// post adds an event to the inbox for the turn of the current moment.
func (h *aggregatorHost) post(e aggregator.Event) {
	if h.crashed {
		return
	}
	h.inbox = append(h.inbox, e)
	if !h.turnScheduled {
		h.turnScheduled = true
		incarnation := h.incarnation
		h.world.at(h.world.now, func() {
			if h.incarnation == incarnation {
				h.runTurn()
			}
		})
	}
}

// runTurn passes the events of the current moment to the core, and schedules the turn that the core requests.
func (h *aggregatorHost) runTurn() {
	if h.crashed {
		return
	}
	h.turnScheduled = false
	events := h.inbox
	h.inbox = nil
	next := h.core.Turn(h.world.now, events)
	if h.healthTable != nil {
		h.publishHealthChanges()
	}
	wakePending := h.nextWake.After(h.world.now)
	if !next.IsZero() && (!wakePending || next.Before(h.nextWake)) {
		h.scheduleWake(next)
	}
}

// scheduleWake schedules a turn without events. A later call replaces the previous one.
func (h *aggregatorHost) scheduleWake(at time.Time) {
	h.nextWake = at
	incarnation := h.incarnation
	h.world.at(at, func() {
		if h.incarnation == incarnation && h.nextWake.Equal(at) && !h.turnScheduled {
			h.turnScheduled = true
			h.runTurn()
		}
	})
}

// endpointPublished handles a change from endpointFeed.
func (h *aggregatorHost) endpointPublished(r *replica, state balance.EndpointState) {
	h.applyEndpoint(endpointEntry{replica: r, state: state, started: r.started})
	if h.world.InjectedBug == BugDrainIgnored && state == balance.Draining {
		return
	}
	h.post(aggregator.EndpointsChanged{Kind: balance.ListDelta, Servers: []aggregator.Server{h.endpoint(r)}})
}
