package gossip

import "time"

// bytesPerPart is how many bytes, delivered to all peers together, a part of a query earns, as a fraction of the
// longest message.
const bytesPerPart = 0.4

// Outbox collects load observations for the next message and limits messages to what the queries served have earned.
// Make it with NewOutbox; it is not safe for concurrent use.
type Outbox struct {
	Allowance float64 // bytes that may be delivered to all peers together
	instances int
	pending   []Observation
	next      time.Duration // clock time of the earliest next message
}

// NewOutbox returns an empty outbox of one of so many aggregators.
func NewOutbox(instances int) Outbox { return Outbox{instances: instances} }

// Add queues an observation. It replaces an older one of the same server, and is dropped when the message is full.
func (o *Outbox) Add(key uint32, value byte) {
	for i := range o.pending {
		if o.pending[i].Key == key {
			o.pending[i].Value = value
			return
		}
	}
	if len(o.pending) < MaxObservations {
		o.pending = append(o.pending, Observation{Key: key, Value: value})
	}
}

// Earn adds what one part of a query earns. The allowance is at most one full message to each aggregator.
func (o *Outbox) Earn() {
	o.Allowance = min(o.Allowance+bytesPerPart*MaxMessageBytes, MaxMessageBytes*float64(o.instances))
}

// Flush returns the message to send to all peers at now, or nil if there is nothing to send, the last message is less
// than interval ago, or the allowance is too small.
func (o *Outbox) Flush(now, interval time.Duration, zone int) []byte {
	if len(o.pending) == 0 || now < o.next {
		return nil
	}
	size := float64(EncodedSize(len(o.pending)) * (o.instances - 1))
	if o.Allowance < size {
		return nil
	}
	o.Allowance -= size
	o.next = now + interval
	message := EncodeLoad(now, zone, o.pending)
	o.pending = o.pending[:0]
	return message
}
