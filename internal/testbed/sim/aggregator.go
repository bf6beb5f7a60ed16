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
)

// maxDeadline is the longest of a class.
const maxDeadline = 4 * time.Second

func classes() []balance.Class {
	return []balance.Class{
		{Objective: 1500 * time.Millisecond, Deadline: maxDeadline, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1},
		{Objective: 1200 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2, OverdueFraction: 0.1, MinFraction: 0.5, CompleteFraction: 1, PartialFraction: 0.8},
		{Objective: 1500 * time.Millisecond, Deadline: 3 * time.Second, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1, Idempotency: balance.NonIdempotent},
	}
}

// aggregatorHost drives a real core: it gathers what is ready, hands it over in one turn, and carries out what comes back.
type aggregatorHost struct {
	world            *world
	index            int
	core             *aggregator.Core
	balancerSettings balance.Settings
	inbox            []aggregator.Event
	turnScheduled    bool // a turn is due now
	nextWake         time.Time
	attempts         map[aggregator.AttemptID]*attempt
	sendOrder        []*attempt                    // as sent, of those in works and some that have ended
	removalKnownAt   map[balance.Replica]time.Time // when it was told that a node drains or is gone
	endpointStates   map[balance.Replica]balance.EndpointState
	healthTable      *health.Table
	healthLimits     map[balance.Replica]balance.HealthLimits
	zone             int
	incarnation      int // number of its process
	crashed          bool
	watcher          *watcher // nil: it is told of the list at once
	openRequests     map[*clientRequest]bool
	knownStarts      map[balance.Replica]time.Time // of nodes, as told
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

// start starts a process of the mixer: it knows what the list was when the last one ended.
func (h *aggregatorHost) start() error {
	known := h.endpointStates
	h.incarnation++
	h.crashed, h.inbox, h.turnScheduled, h.nextWake = false, nil, false, time.Time{}
	h.attempts, h.sendOrder, h.openRequests = map[aggregator.AttemptID]*attempt{}, nil, map[*clientRequest]bool{}
	h.removalKnownAt, h.endpointStates, h.knownStarts = map[balance.Replica]time.Time{}, map[balance.Replica]balance.EndpointState{}, map[balance.Replica]time.Time{}
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
	set := balance.Settings{Seed: w.Seed + uint64(h.index), Instances: w.Aggregators, Tick: 5 * time.Millisecond, Cells: w.Replicas, Reach: w.Reach, Shards: w.Replicas,
		MaxCallParts: 1, MaxAttempts: 4, CanCancel: true, MaxRetryAfter: time.Second, OverQuotaFactor: 1, Classes: classes(),
		Tenants: []balance.Tenant{{}}, Zone: h.zone}
	if h.incarnation > 1 { // another process draws other chances
		set.Seed += uint64(h.incarnation) << 32
	}
	if w.Warmup.Period > 0 && w.PlantedBug != bugIgnoreWarmup {
		set.Rules = balance.Rules{WarmupPeriod: w.Warmup.Period, WarmupMinCapacity: w.Warmup.MinCapacity, OverloadMultiple: w.Warmup.OverloadMultiple, OverloadPeriod: w.Warmup.OverloadPeriod}
	}
	if w.Gossip {
		set.PeerMessages, set.CanProbe, set.LoadReportsOnProbe, set.ProbeTimeout = true, true, true, probeTimeout
	}
	return set
}

// applyInitialList gives the mixer its first list: that of the nodes that its last process had in service, or all.
func (h *aggregatorHost) applyInitialList(known map[balance.Replica]balance.EndpointState) error {
	w := h.world
	list := aggregator.EndpointsChanged{Kind: balance.ListFull}
	var nodes []health.Server
	for _, n := range w.replicas {
		if s, ok := known[n.id]; h.incarnation > 1 && (!ok || s != balance.InService) {
			continue
		}
		h.knownStarts[n.id], h.endpointStates[n.id] = n.started, balance.InService
		list.Servers = append(list.Servers, h.endpoint(n))
		hn := health.Server{ID: health.ID(n.id)}
		for j := range w.Reach {
			hn.Shards = append(hn.Shards, (n.index-j+w.Replicas)%w.Replicas)
		}
		nodes = append(nodes, hn)
	}
	if w.HealthEvidence {
		var err error
		if h.healthTable, err = health.New(health.Defaults(3, 1<<correction), []health.CheckConfig{{Name: "check", Fall: 2, Rise: 1, Validity: 4 * time.Second}}, Start); err != nil {
			return err
		}
		h.healthTable.UpdateEndpoints(Start, nodes, true)
		w.at(Start.Add(time.Duration(w.rng.Float64()*float64(time.Second))), h.runHealthChecks)
	}
	h.post(list)
	return nil
}

// crash ends the mixer's process: clients and nodes see their connections end.
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

// applyEndpoint takes a line of the list that has come.
func (h *aggregatorHost) applyEndpoint(e endpointEntry) {
	h.endpointStates[e.replica.id] = e.state
	h.recordKnown(e)
}

// recordKnown notes what the mixer answers for from now on.
func (h *aggregatorHost) recordKnown(e endpointEntry) {
	if e.state == balance.InService {
		h.knownStarts[e.replica.id] = e.started
		delete(h.removalKnownAt, e.replica.id)
	} else if _, ok := h.removalKnownAt[e.replica.id]; !ok {
		h.removalKnownAt[e.replica.id] = h.world.now
	}
}

// Broadcast carries a word to the other mixers: late, or never.
func (h *aggregatorHost) Broadcast(text []byte) {
	w := h.world
	for _, other := range w.aggregators {
		if other == h || w.separated(h.zone, other.zone) || w.rng.Float64() < gossipLossProbability {
			continue
		}
		life := other.incarnation
		w.after(w.networkDelay(), func() {
			if other.incarnation == life && !other.crashed {
				other.post(aggregator.GossipReceived{Payload: text})
			}
		})
	}
}

// bugIgnoreWarmup is a planted bug: mixers send cold nodes what they send warm ones.
const bugIgnoreWarmup = "cold ignored"

const (
	gossipLossProbability = 0.02                   // of the words, on their way to each mixer
	probeTimeout          = 200 * time.Millisecond // a probe that nobody answers ends after it
)

func (h *aggregatorHost) endpoint(n *replica) aggregator.Server {
	return aggregator.Server{HealthLimits: h.healthLimits[n.id], ID: n.id, Addr: string(n.id), Zone: n.zone(), Cell: n.index, Weight: 1, State: h.endpointStates[n.id], Started: n.started}
}

// post gathers an event for the turn of this moment.
func (h *aggregatorHost) post(e aggregator.Event) {
	if h.crashed {
		return
	}
	h.inbox = append(h.inbox, e)
	if !h.turnScheduled {
		h.turnScheduled = true
		life := h.incarnation
		h.world.at(h.world.now, func() {
			if h.incarnation == life {
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
		life := h.incarnation
		h.world.at(next, func() {
			if h.incarnation == life && h.nextWake.Equal(next) && !h.turnScheduled {
				h.turnScheduled = true
				h.runTurn()
			}
		})
	}
}

// endpointPublished takes word of the roster.
func (h *aggregatorHost) endpointPublished(n *replica, s balance.EndpointState) {
	h.applyEndpoint(endpointEntry{n, s, n.started})
	if h.world.PlantedBug == "drain ignored" && s == balance.Draining {
		return
	}
	h.post(aggregator.EndpointsChanged{Kind: balance.ListDelta, Servers: []aggregator.Server{h.endpoint(n)}})
}

// AttemptEnded takes the end of an attempt as evidence.
func (h *aggregatorHost) AttemptEnded(now time.Time, a aggregator.AttemptSummary) {
	if h.healthTable == nil {
		return
	}
	h.healthTable.RecordOutcome(now, health.ID(a.Server), a.Class, a.HealthResult(now, classes()[a.Class].Objective), a.Sent)
}

// runHealthChecks asks every node, each second.
func (h *aggregatorHost) runHealthChecks() {
	for _, n := range h.world.replicas {
		r := health.CheckResult{Oper: health.Up, Weight: -1, MaxConn: -1}
		if !n.checksPass || !n.up || n.unreachable {
			r = health.CheckResult{Failed: true, Weight: -1, MaxConn: -1}
		}
		h.healthTable.RecordCheck(h.world.now, health.ID(n.id), 0, r)
	}
	h.publishHealthChanges()
	h.world.after(time.Second, h.runHealthChecks)
}

// publishHealthChanges turns what has changed into word of the list.
func (h *aggregatorHost) publishHealthChanges() {
	changes := h.healthTable.Changes(h.world.now)
	if len(changes) > 0 {
		list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
		for _, c := range changes {
			n := h.world.replicaByID[balance.Replica(c.ID)]
			h.healthLimits[n.id] = balance.HealthLimits{TrafficFraction: c.TrafficFraction, MaxInFlight: c.MaxInFlight, EjectedClasses: c.EjectedClasses, HalfOpenClasses: c.HalfOpenClasses}
			s := h.endpoint(n)
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

// Send carries attempts to a node.
func (h *aggregatorHost) Send(now time.Time, to aggregator.Server, calls []aggregator.Call) {
	n := h.world.replicaByID[to.ID]
	for _, call := range calls {
		a := &attempt{host: h, call: call, replica: n}
		h.attempts[call.Attempt] = a
		h.sendOrder = append(h.sendOrder, a)
		h.world.record("send", uint64(call.Attempt.Part), uint64(n.index))
		h.world.checker.attemptSent(h, n, a)
		if h.world.separated(h.zone, n.zone()) {
			continue // nobody will hear of it
		}
		h.world.after(h.world.networkDelay(), func() { n.receive(a) })
	}
	if len(h.sendOrder) > 2*len(h.attempts)+64 {
		h.sendOrder = slices.DeleteFunc(h.sendOrder, func(a *attempt) bool { return h.attempts[a.call.Attempt] != a && !a.replica.inFlight[a] })
	}
}

// Cancel gives an attempt up: it ends at once, as the node has been told by then.
func (h *aggregatorHost) Cancel(_ time.Time, id aggregator.AttemptID, _ bool) {
	a := h.attempts[id]
	if a == nil || a.abandoned {
		return
	}
	a.abandoned = true
	if h.world.PlantedBug == "leaked attempt" && id.Part%5 == 0 {
		return
	}
	if h.world.PlantedBug == "second copy" { // it ends before the node has been told
		h.post(aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		return
	}
	h.world.at(h.world.now, func() {
		if h.attempts[id] == a {
			h.finishAttempt(a, aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		}
	})
}

// Probe asks a node for its load, where mixers do that, and tells nothing elsewhere.
func (h *aggregatorHost) Probe(now time.Time, to aggregator.Server) {
	nothing := aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}}
	if !h.world.Gossip {
		h.post(nothing)
		return
	}
	n, life := h.world.replicaByID[to.ID], h.incarnation
	after := func(d time.Duration, e aggregator.ProbeEnded) {
		h.world.after(d, func() {
			if h.incarnation == life {
				e.Elapsed = h.world.now.Sub(now)
				h.post(e)
			}
		})
	}
	switch {
	case n.unreachable || h.world.separated(h.zone, n.zone()):
		nothing.Err = &aggregator.AttemptError{Progress: aggregator.Written}
		after(probeTimeout, nothing)
	case !n.up:
		after(h.world.networkDelay(), nothing)
	default:
		after(h.world.networkDelay()+h.world.networkDelay(), aggregator.ProbeEnded{Server: to.ID, Report: &balance.LoadReport{Queue: float64(len(n.queue)), InFlight: float64(len(n.inFlight)), Utilization: -1}})
	}
}

// deliverResult brings the end of an attempt, unless it was given up before.
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
