package balance

// This file decides nothing: it holds the actions that a turn returns.

import (
	"time"

	"rooktrestle/internal/control/gossip"
)

// Action is something for the caller to do. It is sealed: see the types below that implement it.
type Action interface{ action() }

// Send starts an attempt of a part that has none in flight.
type Send struct {
	Part    ID
	Replica Replica
	Timeout time.Duration // 0: until the client gives up
}

// Hedge starts a hedged request: a second attempt of a part beside the one in flight.
type Hedge Send

// Cancel cancels one attempt. It still ends by an AttemptEnded.
type Cancel struct {
	Part    ID
	Attempt int
}

// Answer ends a query's step with the parts that are in.
type Answer struct {
	Query    ID
	Complete bool
}

// Reject rejects a query; a retry is harmless.
type Reject struct {
	Query      ID
	RetryAfter time.Duration // 0: no advice
}

// Fail ends a query that may have run, so that a retry may not be harmless.
type Fail struct{ Query ID }

// Probe asks a replica for a load report.
type Probe struct{ Replica Replica }

// MaxGossipBytes is the longest payload of a SendGossip or a GossipReceived, in bytes: longer datagrams are
// not allowed between balancers.
const MaxGossipBytes = gossip.MaxMessageBytes

// SendGossip sends a message of at most MaxGossipBytes bytes to all other balancers. It may be lost.
type SendGossip struct{ Payload []byte }

// IsGossip reports whether payload is an intact gossip message. Turn ignores any other, but it is worth
// counting.
func IsGossip(payload []byte) bool { return gossip.IsLoad(payload) }

// StartTimer asks for a TimerFired after so long.
type StartTimer struct{ After time.Duration }

// WatchEndpoints asks discovery for the endpoint list and its changes.
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
