package aggregator

import (
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/control/shardmap"
)

// Message is an entry of a Mailbox: an Event for the core, a RunOnLoop, or a message of an adapter. The interface is
// sealed; messages of adapters embed AdapterMessage.
type Message interface{ message() }

// Event is a Message that the core handles: a request, the end of an attempt or a probe, a change of endpoints or shard
// maps, or gossip. Core.Turn handles each of them.
type Event interface {
	Message
	event()
}

// AdapterMessage makes a struct that embeds it a Message. Adapter.Handle of the adapter that posted it handles it.
type AdapterMessage struct{}

func (AdapterMessage) message() {}

// The events of the core.
type (
	// RequestArrived is a new request.
	RequestArrived struct{ Request *Request }
	// ClientDisconnected reports that the client of a request has disconnected. It receives no answer.
	ClientDisconnected struct{ Request *Request }
	// AttemptEnded reports the end of an attempt. A second one for the same attempt is ignored.
	AttemptEnded struct {
		Attempt AttemptID
		Err     error               // nil: the part is answered; errors other than *AttemptError: it may have run
		Score   float64             // ranks the shards for the second step
		Value   string              // the server's answer
		Report  *balance.LoadReport // the server's; nil: none
	}
	// ProbeEnded reports the end of a probe.
	ProbeEnded struct {
		Server  balance.Replica
		Err     error // as in AttemptEnded
		Elapsed time.Duration
		Report  *balance.LoadReport // nil: none
	}
	// LateAnswer reports that a server answered an attempt after it was canceled, which shows that the server is
	// responsive.
	LateAnswer struct{ Server balance.Replica }
	// ShardMapOffered is the response of a shard map source. Map is nil if the source has nothing newer.
	ShardMapOffered struct {
		Source string
		Map    *shardmap.Map
		Err    error // why the source provided no map
	}
	// MaintenanceChanged reports that an operator has detached a server, or attached it again.
	MaintenanceChanged struct {
		Server   balance.Replica
		Detached bool
	}
	// GossipReceived is a datagram from another aggregator. It is not validated.
	GossipReceived struct{ Payload []byte }
	// EndpointsChanged is an endpoint list, or changes to one, from discovery.
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
