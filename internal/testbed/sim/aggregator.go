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

func classes() []balance.Class {
	return []balance.Class{
		{Objective: 1500 * time.Millisecond, Deadline: maxDeadline, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1},
		{Objective: 1200 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2, OverdueFraction: 0.1, MinFraction: 0.5, CompleteFraction: 1, PartialFraction: 0.8},
		{Objective: 1500 * time.Millisecond, Deadline: 3 * time.Second, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1, Idempotency: balance.NonIdempotent},
	}
}

// aggregatorHost drives a real core: it collects the events of a moment, hands them over in one turn, and carries
// out the core's commands.
type aggregatorHost struct {
	world             *world
	index             int
	core              *aggregator.Core
	balancerSettings  balance.Settings
	inbox             []aggregator.Event
	turnScheduled     bool // a turn is due now
	nextWake          time.Time
	attempts          map[aggregator.AttemptID]*attempt
	sendOrder         []*attempt                    // those in attempts and some that have ended, as they were sent
	removalNotifiedAt map[balance.Replica]time.Time // since when it has known that a replica drains or is removed
	endpointStates    map[balance.Replica]balance.EndpointState
	healthTable       *health.Table
	healthLimits      map[balance.Replica]balance.HealthLimits
	zone              int
	incarnation       int // of its process; the first is 1
	crashed           bool
	watcher           *watcher // nil: endpointFeed tells it of the list
	openRequests      map[*clientRequest]bool
	notifiedStarts    map[balance.Replica]time.Time // of replicas, as far as it knows
}

func newAggregatorHost(w *world, i int) (*aggregatorHost, error) {
	h := &aggregatorHost{world: w, index: i}
	if w.Zones > 0 {
		h.zone = i % w.Zones
	}
	if w.Discovery.Kind != "" {
		h.watcher = newWatcher(w.discovery, h)
	}
	return h, h.start()
}

// start begins a new process of the aggregator. It starts from the endpoint list that the previous one had at its end.
func (h *aggregatorHost) start() error {
	known := h.endpointStates
	h.incarnation++
	h.crashed, h.inbox, h.turnScheduled, h.nextWake = false, nil, false, time.Time{}
	h.attempts, h.sendOrder, h.openRequests = map[aggregator.AttemptID]*attempt{}, nil, map[*clientRequest]bool{}
	h.removalNotifiedAt, h.endpointStates, h.notifiedStarts = map[balance.Replica]time.Time{}, map[balance.Replica]balance.EndpointState{}, map[balance.Replica]time.Time{}
	h.healthLimits = map[balance.Replica]balance.HealthLimits{}
	h.balancerSettings = h.newBalancerSettings()
	b, err := balance.New(h.balancerSettings)
	if err != nil {
		return err
	}
	h.core = aggregator.NewCore(b, h, aggregator.Limits{FollowUpParts: []int{0, 0, 0}, MaxOpen: 20000, RetryAfter: time.Second, DeadlineMargin: 20 * time.Millisecond}, Start)
	h.core.Observer = h
	if h.world.Gossip {
		h.core.Gossip = h
		h.core.Outliers = outlier.New(outlier.PlatformConfig(classes()[report].Objective, h.zone, h.world.Aggregators))
	}
	if err := h.applyInitialList(known); err != nil {
		return err
	}
	if h.watcher != nil {
		h.watcher.start(h.incarnation > 1)
	}
	return nil
}

func (h *aggregatorHost) newBalancerSettings() balance.Settings {
	w := h.world
	settings := balance.Settings{Seed: w.Seed + uint64(h.index), Instances: w.Aggregators, Tick: 5 * time.Millisecond, Cells: w.Replicas, Reach: w.Reach, Shards: w.Replicas,
		MaxCallParts: 1, MaxAttempts: 4, CanCancel: true, MaxRetryAfter: time.Second, OverQuotaFactor: 1, Classes: classes(),
		Tenants: []balance.Tenant{{}}, Zone: h.zone}
	if h.incarnation > 1 { // a new process has random samples of its own
		settings.Seed += uint64(h.incarnation) << 32
	}
	if w.Warmup.Period > 0 && w.PlantedBug != BugWarmupIgnored {
		settings.Rules = balance.Rules{WarmupPeriod: w.Warmup.Period, WarmupMinCapacity: w.Warmup.MinCapacity, OverloadMultiple: w.Warmup.OverloadMultiple, OverloadPeriod: w.Warmup.OverloadPeriod}
	}
	if w.Gossip {
		settings.PeerMessages, settings.CanProbe, settings.LoadReportsOnProbe, settings.ProbeTimeout = true, true, true, probeTimeout
	}
	return settings
}

// applyInitialList gives the aggregator its first list: the replicas that its previous process had in service, or all.
func (h *aggregatorHost) applyInitialList(known map[balance.Replica]balance.EndpointState) error {
	w := h.world
	list := aggregator.EndpointsChanged{Kind: balance.ListFull}
	var checked []health.Server
	for _, r := range w.replicas {
		if s, ok := known[r.id]; h.incarnation > 1 && (!ok || s != balance.InService) {
			continue
		}
		h.notifiedStarts[r.id], h.endpointStates[r.id] = r.started, balance.InService
		list.Servers = append(list.Servers, h.endpoint(r))
		server := health.Server{ID: health.ID(r.id)}
		for j := range w.Reach {
			server.Shards = append(server.Shards, (r.index-j+w.Replicas)%w.Replicas)
		}
		checked = append(checked, server)
	}
	if w.HealthEvidence {
		var err error
		if h.healthTable, err = health.New(health.Defaults(3, 1<<correction), []health.CheckConfig{{Name: "check", Fall: 2, Rise: 1, Validity: 4 * time.Second}}, Start); err != nil {
			return err
		}
		h.healthTable.ReplaceEndpoints(Start, checked)
		w.at(Start.Add(time.Duration(w.rng.Float64()*float64(time.Second))), h.runHealthChecks)
	}
	h.post(list)
	return nil
}

// crash ends the aggregator's process: clients and replicas see their connections end.
func (h *aggregatorHost) crash() {
	h.crashed = true
	for _, a := range h.sendOrder {
		if h.attempts[a.call.Attempt] == a {
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
	for a := range h.openRequests {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, other *clientRequest) int { return cmp.Compare(a.id, other.id) })
	for _, a := range lost {
		h.world.after(h.world.networkDelay(), a.connectionLost)
	}
	clear(h.openRequests)
}

// applyEndpoint takes an entry of the endpoint list that has arrived.
func (h *aggregatorHost) applyEndpoint(e endpointEntry) {
	h.endpointStates[e.replica.id] = e.state
	h.recordNotified(e)
}

// recordNotified notes an entry that the aggregator is accountable for from now on.
func (h *aggregatorHost) recordNotified(e endpointEntry) {
	if e.state == balance.InService {
		h.notifiedStarts[e.replica.id] = e.started
		delete(h.removalNotifiedAt, e.replica.id)
	} else if _, ok := h.removalNotifiedAt[e.replica.id]; !ok {
		h.removalNotifiedAt[e.replica.id] = h.world.now
	}
}

// Broadcast carries a gossip message to the other aggregators; some are lost.
func (h *aggregatorHost) Broadcast(text []byte) {
	w := h.world
	for _, other := range w.aggregators {
		if other == h || w.separated(h.zone, other.zone) || w.rng.Float64() < gossipLossProbability {
			continue
		}
		incarnation := other.incarnation
		w.after(w.networkDelay(), func() {
			if other.incarnation == incarnation && !other.crashed {
				other.post(aggregator.GossipReceived{Payload: text})
			}
		})
	}
}

const (
	gossipLossProbability = 0.02                   // of a gossip message, to each aggregator
	probeTimeout          = 200 * time.Millisecond // of a load probe
)

func (h *aggregatorHost) endpoint(r *replica) aggregator.Server {
	return aggregator.Server{HealthLimits: h.healthLimits[r.id], ID: r.id, Addr: string(r.id), Zone: r.zone(), Cell: r.index, Weight: 1, State: h.endpointStates[r.id], Started: r.started}
}

// post puts an event into the inbox for the turn of this moment.
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
	if !next.IsZero() && (h.nextWake.IsZero() || next.Before(h.nextWake) || !h.nextWake.After(h.world.now)) {
		h.nextWake = next
		incarnation := h.incarnation
		h.world.at(next, func() {
			if h.incarnation == incarnation && h.nextWake.Equal(next) && !h.turnScheduled {
				h.turnScheduled = true
				h.runTurn()
			}
		})
	}
}

// endpointPublished takes a change from endpointFeed.
func (h *aggregatorHost) endpointPublished(r *replica, s balance.EndpointState) {
	h.applyEndpoint(endpointEntry{r, s, r.started})
	if h.world.PlantedBug == BugDrainIgnored && s == balance.Draining {
		return
	}
	h.post(aggregator.EndpointsChanged{Kind: balance.ListDelta, Servers: []aggregator.Server{h.endpoint(r)}})
}

// AttemptEnded takes the end of an attempt as health evidence.
func (h *aggregatorHost) AttemptEnded(now time.Time, a aggregator.AttemptSummary) {
	if h.healthTable == nil {
		return
	}
	h.healthTable.RecordOutcome(now, health.ID(a.Server), a.Class, a.HealthResult(now, classes()[a.Class].Objective), a.Sent)
}

// healthCheckInterval is the time between two checks of a replica.
const healthCheckInterval = time.Second

// runHealthChecks checks every replica, and again after healthCheckInterval.
func (h *aggregatorHost) runHealthChecks() {
	for _, r := range h.world.replicas {
		result := health.CheckResult{Oper: health.Up, Weight: -1, MaxConn: -1}
		if !r.checksPass || !r.up || r.unreachable {
			result = health.CheckResult{Failed: true, Weight: -1, MaxConn: -1}
		}
		h.healthTable.RecordCheck(h.world.now, health.ID(r.id), 0, result)
	}
	h.publishHealthChanges()
	h.world.after(healthCheckInterval, h.runHealthChecks)
}

// publishHealthChanges passes changes of the health table to the core as changes of endpoints.
func (h *aggregatorHost) publishHealthChanges() {
	changes := h.healthTable.Changes(h.world.now)
	if len(changes) > 0 {
		list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
		for _, c := range changes {
			r := h.world.replicaByID[balance.Replica(c.ID)]
			h.healthLimits[r.id] = balance.HealthLimits{TrafficFraction: c.TrafficFraction, MaxInFlight: c.MaxInFlight, EjectedClasses: c.EjectedClasses, HalfOpenClasses: c.HalfOpenClasses}
			s := h.endpoint(r)
			if c.State != health.InService && s.State == balance.InService {
				s.State = balance.Draining
			}
			list.Servers = append(list.Servers, s)
		}
		h.post(list)
	}
	if at, ok := h.healthTable.NextDeadline(); ok && at.After(h.world.now) {
		h.world.at(at, func() {
			if len(h.inbox) == 0 {
				h.publishHealthChanges()
			}
		})
	}
}

// Send carries attempts to a replica.
func (h *aggregatorHost) Send(_ time.Time, to aggregator.Server, calls []aggregator.Call) {
	target := h.world.replicaByID[to.ID]
	for _, call := range calls {
		a := &attempt{host: h, call: call, replica: target}
		h.attempts[call.Attempt] = a
		h.sendOrder = append(h.sendOrder, a)
		h.world.record("send", uint64(call.Attempt.Part), uint64(target.index))
		h.world.checker.attemptSent(h, target, a)
		if h.world.separated(h.zone, target.zone()) {
			continue // lost on the network
		}
		h.world.after(h.world.networkDelay(), func() { target.receive(a) })
	}
	if len(h.sendOrder) > 2*len(h.attempts)+64 {
		h.sendOrder = slices.DeleteFunc(h.sendOrder, func(a *attempt) bool { return h.attempts[a.call.Attempt] != a && !a.replica.inFlight[a] })
	}
}

// Cancel ends an attempt at this moment: the replica is notified by then.
func (h *aggregatorHost) Cancel(_ time.Time, id aggregator.AttemptID, _ bool) {
	a := h.attempts[id]
	if a == nil || a.abandoned {
		return
	}
	a.abandoned = true
	if h.world.PlantedBug == BugLeakedAttempt && id.Part%5 == 0 {
		return
	}
	if h.world.PlantedBug == BugConcurrentAttempts { // it ends before the replica is notified
		h.post(aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		return
	}
	h.world.at(h.world.now, func() {
		if h.attempts[id] == a {
			h.finishAttempt(a, aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		}
	})
}

// Probe polls a replica's load where aggregators gossip; elsewhere it ends without a report.
func (h *aggregatorHost) Probe(now time.Time, to aggregator.Server) {
	failed := aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}}
	if !h.world.Gossip {
		h.post(failed)
		return
	}
	target, incarnation := h.world.replicaByID[to.ID], h.incarnation
	after := func(d time.Duration, e aggregator.ProbeEnded) {
		h.world.after(d, func() {
			if h.incarnation == incarnation {
				e.Elapsed = h.world.now.Sub(now)
				h.post(e)
			}
		})
	}
	switch {
	case target.unreachable || h.world.separated(h.zone, target.zone()):
		failed.Err = &aggregator.AttemptError{Progress: aggregator.Written}
		after(probeTimeout, failed)
	case !target.up:
		after(h.world.networkDelay(), failed)
	default:
		after(h.world.networkDelay()+h.world.networkDelay(), aggregator.ProbeEnded{Server: to.ID, Report: &balance.LoadReport{Queue: float64(len(target.queue)), InFlight: float64(len(target.inFlight)), Utilization: -1}})
	}
}

// deliverResult reports the end of an attempt, unless it was canceled before.
func (h *aggregatorHost) deliverResult(a *attempt, err error, value string) {
	if h.attempts[a.call.Attempt] != a || a.abandoned || h.world.separated(h.zone, a.replica.zone()) {
		return
	}
	h.finishAttempt(a, aggregator.AttemptEnded{Attempt: a.call.Attempt, Err: err, Value: value})
}

func (h *aggregatorHost) finishAttempt(a *attempt, e aggregator.AttemptEnded) {
	delete(h.attempts, a.call.Attempt)
	h.world.checker.attemptEnded(a)
	h.post(e)
}
