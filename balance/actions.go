package balance

// This file decides nothing: it defines the actions that a turn returns.

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

// Action is an output of Turn for the caller to perform. Only the types of this package implement it.
type Action interface{ action() }

// Send starts an attempt of a part that has none in flight.
type Send struct {
	Part    ID
	Replica Replica
	Timeout time.Duration // 0: none but the query's deadline
}

// Hedge starts a hedged request: a second attempt of a part in addition to the one in flight.
type Hedge Send

// Cancel cancels one attempt, whose end is still reported by an AttemptEnded.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer answers a query's step with the parts answered so far.
type Answer struct {
	Query    ID
	Complete bool
}

// Reject rejects a query that may safely be retried.
type Reject struct {
	Query      ID
	RetryAfter time.Duration // 0: not stated
}

// Fail fails a query that may have run, so that a retry may be unsafe.
type Fail struct{ Query ID }

// Probe requests a load report from a replica.
type Probe struct{ Replica Replica }

// MaxGossipBytes is the maximum payload of a SendGossip or a GossipReceived, in bytes. Longer datagrams
// between balancers are not allowed.
const MaxGossipBytes = gossip.MaxMessageBytes

// SendGossip sends a message of at most MaxGossipBytes bytes to all other balancers. It may be lost.
type SendGossip struct{ Payload []byte }

// IsGossip reports whether payload is an intact gossip message. Turn ignores any other payload, which the
// caller may want to count.
func IsGossip(payload []byte) bool { return gossip.IsLoad(payload) }

// StartTimer requests a TimerFired after the given time.
type StartTimer struct{ After time.Duration }

// WatchEndpoints requests the endpoint list and its changes from discovery.
type WatchEndpoints struct{}

func (Send) action()           {}
func (Hedge) action()          {}
func (Cancel) action()         {}
func (Answer) action()         {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Probe) action()          {}
func (SendGossip) action()     {}
func (StartTimer) action()     {}
func (WatchEndpoints) action() {}
