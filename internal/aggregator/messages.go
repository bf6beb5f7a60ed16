package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Message is what a Mailbox holds: an Event of the core, a RunOnLoop, or a message of an adapter's own. The interface is
// sealed; adapters embed AdapterMessage in theirs.
type Message interface{ message() }

// Event is a Message that the core takes: a request, the end of an attempt or a probe, news of endpoints or maps, or
// gossip. Core.Turn handles each of them.
type Event interface {
	Message
	event()
}

// AdapterMessage makes a struct that embeds it a Message. The adapter that posted it takes it in Handle.
type AdapterMessage struct{}

func (AdapterMessage) message() {}

// The events of the core.
type (
	// RequestArrived is a new request.
	RequestArrived struct{ Request *Request }
	// ClientDisconnected says that a request's client has gone away.
	ClientDisconnected struct{ Request *Request }
	// AttemptEnded ends an attempt.
	AttemptEnded struct {
		Attempt AttemptID
		Err     error // nil: served
		Score   float64
		Value   string
		Report  *balance.LoadReport
	}
	// ProbeEnded ends a probe.
	ProbeEnded struct {
		Server  balance.Replica
		Err     error
		Elapsed time.Duration
		Report  *balance.LoadReport
	}
	// LateAnswer says that a server answered an attempt after it was given up: it lives, and is behind.
	LateAnswer struct{ Server balance.Replica }
	// ShardMapOffered is word of a source of maps. Map is nil where it has nothing newer.
	ShardMapOffered struct {
		Source string
		Map    *shardmap.Map
		Err    error // why it has none
	}
	// GossipReceived is a datagram from another aggregator, as it came.
	GossipReceived struct{ Payload []byte }
	// EndpointsChanged is a list of servers, or changes of one, from discovery.
	EndpointsChanged struct {
		Kind    balance.ListKind
		Servers []Server
	}
)

func (RequestArrived) message()     {}
func (ClientDisconnected) message() {}
func (AttemptEnded) message()       {}
func (ProbeEnded) message()         {}
func (LateAnswer) message()         {}
func (ShardMapOffered) message()    {}
func (EndpointsChanged) message()   {}
func (GossipReceived) message()     {}
func (RunOnLoop) message()          {}

func (RequestArrived) event()     {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (ProbeEnded) event()         {}
func (LateAnswer) event()         {}
func (ShardMapOffered) event()    {}
func (EndpointsChanged) event()   {}
func (GossipReceived) event()     {}
