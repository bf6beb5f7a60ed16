package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Message is what a Mailbox holds: an Event of the core, a RunOnLoop, or a message of an adapter's own. The
// interface is sealed; adapters embed AdapterMessage in theirs.
type Message interface{ message() }

// Event is a Message that the core handles: a request, the end of an attempt or a probe, a change of endpoints or shard
// maps, or gossip. Core.Turn handles each of them.
type Event interface {
	Message
	event()
}

// AdapterMessage makes a struct that embeds it a Message. The adapter that posted it handles it in Adapter.Handle.
type AdapterMessage struct{}

func (AdapterMessage) message() {}

// The events of the core.
type (
	// RequestArrived is a new request.
	RequestArrived struct{ Request *Request }
	// ClientDisconnected says that the client of a request has disconnected. It gets no answer any more.
	ClientDisconnected struct{ Request *Request }
	// AttemptEnded ends an attempt. A second one of the same attempt is ignored.
	AttemptEnded struct {
		Attempt AttemptID
		Err     error               // nil: the part has its answer; other errors than *AttemptError: it may have run
		Score   float64             // by which the second step chooses its shards
		Value   string              // of the answer
		Report  *balance.LoadReport // of the server; nil: none
	}
	// ProbeEnded ends a probe.
	ProbeEnded struct {
		Server  balance.Replica
		Err     error // as in AttemptEnded
		Elapsed time.Duration
		Report  *balance.LoadReport // nil: none
	}
	// LateAnswer says that a server answered an attempt after it was given up: it is alive, and overdue.
	LateAnswer struct{ Server balance.Replica }
	// ShardMapOffered is what a source of shard maps responded. Map is nil where it has nothing newer.
	ShardMapOffered struct {
		Source string
		Map    *shardmap.Map
		Err    error // why it has none
	}
	// MaintenanceChanged says that an operator has taken a server out of service, or put it back.
	MaintenanceChanged struct {
		Server   balance.Replica
		Detached bool
	}
	// GossipReceived is a datagram from another aggregator, not validated.
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
func (MaintenanceChanged) message() {}
func (GossipReceived) message()     {}
func (RunOnLoop) message()          {}

func (RequestArrived) event()     {}
func (ClientDisconnected) event() {}
func (AttemptEnded) event()       {}
func (ProbeEnded) event()         {}
func (LateAnswer) event()         {}
func (ShardMapOffered) event()    {}
func (EndpointsChanged) event()   {}
func (MaintenanceChanged) event() {}
func (GossipReceived) event()     {}
