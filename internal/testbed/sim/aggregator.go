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

// deadline is the longest of a class.
const deadline = 4 * time.Second

func classes() []balance.Class {
	return []balance.Class{
		{Objective: 1500 * time.Millisecond, Deadline: deadline, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1},
		{Objective: 1200 * time.Millisecond, Deadline: 2 * time.Second, Weight: 2, OverdueFraction: 0.1, MinFraction: 0.5, CompleteFraction: 1, PartialFraction: 0.8},
		{Objective: 1500 * time.Millisecond, Deadline: 3 * time.Second, Weight: 1, OverdueFraction: 0.3, MinFraction: 1, CompleteFraction: 1, Idempotency: balance.NonIdempotent},
	}
}

// mixerHost drives a real core: it gathers what is ready, hands it over in one turn, and carries out what comes back.
type mixerHost struct {
	w      *world
	index  int
	core   *aggregator.Core
	set    balance.Settings
	inbox  []aggregator.Event
	turned bool // a turn is due now
	wake   time.Time
	works  map[aggregator.AttemptID]*work
	order  []*work                       // as sent, of those in works and some that have ended
	told   map[balance.Replica]time.Time // when it was told that a node drains or is gone
	states map[balance.Replica]balance.EndpointState
	table  *health.Table
	ev     map[balance.Replica]balance.HealthLimits
	zone   int
	life   int // number of its process
	dead   bool
	follow *follower // nil: it is told of the list at once
	open   map[*asked]bool
	starts map[balance.Replica]time.Time // of nodes, as told
}

func newMixer(w *world, i int) (*mixerHost, error) {
	m := &mixerHost{w: w, index: i}
	if w.Zones > 0 {
		m.zone = i % w.Zones
	}
	if w.Discovery.Kind != "" {
		m.follow = newFollower(w.registry, m)
	}
	return m, m.begin()
}

// begin starts a process of the mixer: it knows what the list was when the last one ended.
func (m *mixerHost) begin() error {
	known := m.states
	m.life++
	m.dead, m.inbox, m.turned, m.wake = false, nil, false, time.Time{}
	m.works, m.order, m.open = map[aggregator.AttemptID]*work{}, nil, map[*asked]bool{}
	m.told, m.states, m.starts = map[balance.Replica]time.Time{}, map[balance.Replica]balance.EndpointState{}, map[balance.Replica]time.Time{}
	m.ev = map[balance.Replica]balance.HealthLimits{}
	m.set = m.settings()
	b, err := balance.New(m.set)
	if err != nil {
		return err
	}
	m.core = aggregator.NewCore(b, m, aggregator.Limits{FollowUpParts: []int{0, 0, 0}, MaxOpen: 20000, RetryAfter: time.Second, DeadlineMargin: 20 * time.Millisecond}, Start)
	m.core.Observer = m
	if m.w.Words {
		m.core.Gossip = m
		m.core.Outliers = outlier.New(outlier.PlatformConfig(classes()[report].Objective, m.zone, m.w.Mixers))
	}
	if err := m.know(known); err != nil {
		return err
	}
	if m.follow != nil {
		m.follow.begin(m.life > 1)
	}
	return nil
}

func (m *mixerHost) settings() balance.Settings {
	w := m.w
	set := balance.Settings{Seed: w.Seed + uint64(m.index), Instances: w.Mixers, Tick: 5 * time.Millisecond, Cells: w.Nodes, Reach: w.Reach, Shards: w.Nodes,
		MaxCallParts: 1, MaxAttempts: 4, CanCancel: true, MaxRetryAfter: time.Second, OverQuotaFactor: 1, Classes: classes(),
		Tenants: []balance.Tenant{{}}, Zone: m.zone}
	if m.life > 1 { // another process draws other chances
		set.Seed += uint64(m.life) << 32
	}
	if w.Cold.For > 0 && w.Planted != coldIgnored {
		set.Rules = balance.Rules{WarmupPeriod: w.Cold.For, WarmupMinCapacity: w.Cold.From, OverloadMultiple: w.Cold.Tip, OverloadPeriod: w.Cold.TipFor}
	}
	if w.Words {
		set.PeerMessages, set.CanProbe, set.LoadReportsOnProbe, set.ProbeTimeout = true, true, true, probeWait
	}
	return set
}

// know gives the mixer its first list: that of the nodes that its last process had in service, or all.
func (m *mixerHost) know(known map[balance.Replica]balance.EndpointState) error {
	w := m.w
	list := aggregator.EndpointsChanged{Kind: balance.ListFull}
	var nodes []health.Server
	for _, n := range w.nodes {
		if s, ok := known[n.id]; m.life > 1 && (!ok || s != balance.InService) {
			continue
		}
		m.starts[n.id], m.states[n.id] = n.started, balance.InService
		list.Servers = append(list.Servers, m.server(n))
		hn := health.Server{ID: health.ID(n.id)}
		for j := range w.Reach {
			hn.Shards = append(hn.Shards, (n.index-j+w.Nodes)%w.Nodes)
		}
		nodes = append(nodes, hn)
	}
	if w.Evidence {
		var err error
		if m.table, err = health.New(health.Defaults(3, 1<<correction), []health.CheckConfig{{Name: "check", Fall: 2, Rise: 1, Validity: 4 * time.Second}}, Start); err != nil {
			return err
		}
		m.table.UpdateEndpoints(Start, nodes, true)
		w.at(Start.Add(time.Duration(w.rng.Float64()*float64(time.Second))), m.checks)
	}
	m.put(list)
	return nil
}

// die ends the mixer's process: clients and nodes see their connections end.
func (m *mixerHost) die() {
	m.dead = true
	for _, k := range m.order {
		if m.works[k.call.Attempt] == k {
			k.gone = true
			m.w.check.over(k)
		}
	}
	clear(m.works)
	if m.follow != nil {
		m.follow.gen++
		m.follow.live = false
	}
	var lost []*asked
	for a := range m.open {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, o *asked) int { return cmp.Compare(a.id, o.id) })
	for _, a := range lost {
		m.w.in(m.w.delay(), a.lost)
	}
	clear(m.open)
}

// hears takes a line of the list that has come.
func (m *mixerHost) hears(e entry) {
	m.states[e.n.id] = e.state
	m.toldOf(e)
}

// toldOf notes what the mixer answers for from now on.
func (m *mixerHost) toldOf(e entry) {
	if e.state == balance.InService {
		m.starts[e.n.id] = e.started
		delete(m.told, e.n.id)
	} else if _, ok := m.told[e.n.id]; !ok {
		m.told[e.n.id] = m.w.now
	}
}

// Broadcast carries a word to the other mixers: late, or never.
func (m *mixerHost) Broadcast(text []byte) {
	w := m.w
	for _, o := range w.mixers {
		if o == m || w.between(m.zone, o.zone) || w.rng.Float64() < wordLost {
			continue
		}
		life := o.life
		w.in(w.delay(), func() {
			if o.life == life && !o.dead {
				o.put(aggregator.GossipReceived{Payload: text})
			}
		})
	}
}

// coldIgnored is a planted bug: mixers send cold nodes what they send warm ones.
const coldIgnored = "cold ignored"

const (
	wordLost  = 0.02                   // of the words, on their way to each mixer
	probeWait = 200 * time.Millisecond // a probe that nobody answers ends after it
)

func (m *mixerHost) server(n *node) aggregator.Server {
	return aggregator.Server{HealthLimits: m.ev[n.id], ID: n.id, Addr: string(n.id), Zone: n.zone(), Cell: n.index, Weight: 1, State: m.states[n.id], Started: n.started}
}

// put gathers an event for the turn of this moment.
func (m *mixerHost) put(e aggregator.Event) {
	if m.dead {
		return
	}
	m.inbox = append(m.inbox, e)
	if !m.turned {
		m.turned = true
		life := m.life
		m.w.at(m.w.now, func() {
			if m.life == life {
				m.turn()
			}
		})
	}
}

func (m *mixerHost) turn() {
	if m.dead {
		return
	}
	m.turned = false
	events := m.inbox
	m.inbox = nil
	next := m.core.Turn(m.w.now, events)
	if m.table != nil {
		m.settle()
	}
	if !next.IsZero() && (m.wake.IsZero() || next.Before(m.wake) || !m.wake.After(m.w.now)) {
		m.wake = next
		life := m.life
		m.w.at(next, func() {
			if m.life == life && m.wake.Equal(next) && !m.turned {
				m.turned = true
				m.turn()
			}
		})
	}
}

// listed takes word of the roster.
func (m *mixerHost) listed(n *node, s balance.EndpointState) {
	m.hears(entry{n, s, n.started})
	if m.w.Planted == "drain ignored" && s == balance.Draining {
		return
	}
	m.put(aggregator.EndpointsChanged{Kind: balance.ListDelta, Servers: []aggregator.Server{m.server(n)}})
}

// AttemptEnded takes the end of an attempt as evidence.
func (m *mixerHost) AttemptEnded(now time.Time, a aggregator.AttemptSummary) {
	if m.table == nil {
		return
	}
	m.table.RecordOutcome(now, health.ID(a.Server), a.Class, a.HealthResult(now, classes()[a.Class].Objective), a.Sent)
}

// checks asks every node, each second.
func (m *mixerHost) checks() {
	for _, n := range m.w.nodes {
		r := health.CheckResult{Oper: health.Up, Weight: -1, MaxConn: -1}
		if !n.says || !n.up || n.cut {
			r = health.CheckResult{Failed: true, Weight: -1, MaxConn: -1}
		}
		m.table.RecordCheck(m.w.now, health.ID(n.id), 0, r)
	}
	m.settle()
	m.w.in(time.Second, m.checks)
}

// settle turns what has changed into word of the list.
func (m *mixerHost) settle() {
	changes := m.table.Changes(m.w.now)
	if len(changes) > 0 {
		list := aggregator.EndpointsChanged{Kind: balance.ListDelta}
		for _, c := range changes {
			n := m.w.byID[balance.Replica(c.ID)]
			m.ev[n.id] = balance.HealthLimits{TrafficFraction: c.TrafficFraction, MaxInFlight: c.MaxInFlight, EjectedClasses: c.EjectedClasses, HalfOpenClasses: c.HalfOpenClasses}
			s := m.server(n)
			if c.State != health.InService && s.State == balance.InService {
				s.State = balance.Draining
			}
			list.Servers = append(list.Servers, s)
		}
		m.put(list)
	}
	if at, ok := m.table.NextDeadline(); ok && at.After(m.w.now) {
		m.w.at(at, func() {
			if len(m.inbox) == 0 {
				m.settle()
			}
		})
	}
}

// Send carries attempts to a node.
func (m *mixerHost) Send(now time.Time, to aggregator.Server, calls []aggregator.Call) {
	n := m.w.byID[to.ID]
	for _, call := range calls {
		k := &work{m: m, call: call, node: n}
		m.works[call.Attempt] = k
		m.order = append(m.order, k)
		m.w.note("send", uint64(call.Attempt.Part), uint64(n.index))
		m.w.check.sent(m, n, k)
		if m.w.between(m.zone, n.zone()) {
			continue // nobody will hear of it
		}
		m.w.in(m.w.delay(), func() { n.take(k) })
	}
	if len(m.order) > 2*len(m.works)+64 {
		m.order = slices.DeleteFunc(m.order, func(k *work) bool { return m.works[k.call.Attempt] != k && !k.node.out[k] })
	}
}

// Cancel gives an attempt up: it ends at once, as the node has been told by then.
func (m *mixerHost) Cancel(_ time.Time, id aggregator.AttemptID, _ bool) {
	k := m.works[id]
	if k == nil || k.gone {
		return
	}
	k.gone = true
	if m.w.Planted == "leaked attempt" && id.Part%5 == 0 {
		return
	}
	if m.w.Planted == "second copy" { // it ends before the node has been told
		m.put(aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		return
	}
	m.w.at(m.w.now, func() {
		if m.works[id] == k {
			m.finish(k, aggregator.AttemptEnded{Attempt: id, Err: &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}})
		}
	})
}

// Probe asks a node for its load, where mixers do that, and tells nothing elsewhere.
func (m *mixerHost) Probe(now time.Time, to aggregator.Server) {
	nothing := aggregator.ProbeEnded{Server: to.ID, Err: &aggregator.AttemptError{Progress: aggregator.NotConnected}}
	if !m.w.Words {
		m.put(nothing)
		return
	}
	n, life := m.w.byID[to.ID], m.life
	after := func(d time.Duration, e aggregator.ProbeEnded) {
		m.w.in(d, func() {
			if m.life == life {
				e.Elapsed = m.w.now.Sub(now)
				m.put(e)
			}
		})
	}
	switch {
	case n.cut || m.w.between(m.zone, n.zone()):
		nothing.Err = &aggregator.AttemptError{Progress: aggregator.Written}
		after(probeWait, nothing)
	case !n.up:
		after(m.w.delay(), nothing)
	default:
		after(m.w.delay()+m.w.delay(), aggregator.ProbeEnded{Server: to.ID, Report: &balance.LoadReport{Queue: float64(len(n.queue)), InFlight: float64(len(n.out)), Utilization: -1}})
	}
}

// ended brings the end of an attempt, unless it was given up before.
func (m *mixerHost) ended(k *work, err error, value string) {
	if m.works[k.call.Attempt] != k || k.gone || m.w.between(m.zone, k.node.zone()) {
		return
	}
	m.finish(k, aggregator.AttemptEnded{Attempt: k.call.Attempt, Err: err, Value: value})
}

func (m *mixerHost) finish(k *work, e aggregator.AttemptEnded) {
	delete(m.works, k.call.Attempt)
	m.w.check.over(k)
	m.put(e)
}
