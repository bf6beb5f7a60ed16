package sim

import (
	"slices"
	"time"

	"rooktrestle/internal/aggregator"
)

// Broadcast sends a gossip message to the other aggregators. The network loses a fraction of the messages.
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
	gossipLossProbability = 0.02                   // of a gossip message to one aggregator
	probeTimeout          = 200 * time.Millisecond // of a load probe
)

// Send sends attempts to a replica.
func (h *aggregatorHost) Send(_ time.Time, server aggregator.Server, attempts []aggregator.OutgoingAttempt) {
	target := h.world.replicaByID[server.ID]
	for _, outgoing := range attempts {
		a := &attempt{host: h, outgoing: outgoing, replica: target}
		h.attempts[outgoing.Attempt] = a
		h.sendOrder = append(h.sendOrder, a)
		h.world.record("send", uint64(outgoing.Attempt.Part), uint64(target.index))
		h.world.checker.attemptSent(a)
		if h.world.separated(h.zone, target.zone()) {
			continue // lost on the network
		}
		h.world.after(h.world.networkDelay(), func() { target.receive(a) })
	}
	if len(h.sendOrder) > 2*len(h.attempts)+maxEndedInSendOrder {
		h.sendOrder = slices.DeleteFunc(h.sendOrder, h.hasEnded)
	}
}

// maxEndedInSendOrder is the number of ended attempts that sendOrder may contain in addition to the number in flight.
const maxEndedInSendOrder = 64

// hasEnded reports whether an attempt has ended for both the aggregator and the replica.
func (h *aggregatorHost) hasEnded(a *attempt) bool {
	return h.attempts[a.outgoing.Attempt] != a && !a.replica.inFlight[a]
}

// Cancel cancels an attempt at the current moment: the replica has been notified when the attempt ends.
func (h *aggregatorHost) Cancel(_ time.Time, id aggregator.AttemptID, _ bool) {
	a := h.attempts[id]
	if a == nil || a.abandoned {
		return
	}
	a.abandoned = true
	canceled := &aggregator.AttemptError{Progress: aggregator.Written, Canceled: true}
	ended := aggregator.AttemptEnded{Attempt: id, Err: canceled}
	if h.world.InjectedBug == BugLeakedAttempt && id.Part%5 == 0 {
		return
	}
	if h.world.InjectedBug == BugConcurrentAttempts { // the attempt ends before the replica is notified
		h.post(ended)
		return
	}
	h.world.at(h.world.now, func() {
		if h.attempts[id] == a {
			h.finishAttempt(a, ended)
		}
	})
}

// Probe requests a load report from a replica if aggregators gossip; otherwise the probe ends without one.
func (h *aggregatorHost) Probe(now time.Time, server aggregator.Server) {
	ended := aggregator.ProbeEnded{Server: server.ID}
	if !h.world.Gossip {
		ended.Err = &aggregator.AttemptError{Progress: aggregator.NotConnected}
		h.post(ended)
		return
	}
	target := h.world.replicaByID[server.ID]
	var elapsed time.Duration
	switch {
	case target.unreachable || h.world.separated(h.zone, target.zone()):
		ended.Err = &aggregator.AttemptError{Progress: aggregator.Written}
		elapsed = probeTimeout
	case !target.up:
		ended.Err = &aggregator.AttemptError{Progress: aggregator.NotConnected}
		elapsed = h.world.networkDelay()
	default:
		ended.Report = target.loadReport()
		elapsed = h.world.networkDelay() + h.world.networkDelay()
	}
	incarnation := h.incarnation
	h.world.after(elapsed, func() {
		if h.incarnation == incarnation {
			ended.Elapsed = h.world.now.Sub(now)
			h.post(ended)
		}
	})
}

// deliverResult passes the result of an attempt to the aggregator, unless the attempt was canceled before.
func (h *aggregatorHost) deliverResult(a *attempt, err error, value string) {
	if h.attempts[a.outgoing.Attempt] != a || a.abandoned || h.world.separated(h.zone, a.replica.zone()) {
		return
	}
	h.finishAttempt(a, aggregator.AttemptEnded{Attempt: a.outgoing.Attempt, Err: err, Value: value})
}

func (h *aggregatorHost) finishAttempt(a *attempt, ended aggregator.AttemptEnded) {
	delete(h.attempts, a.outgoing.Attempt)
	h.world.checker.attemptEnded(a)
	h.post(ended)
}
