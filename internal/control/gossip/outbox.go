package gossip

import "time"

// Outbox collects load observations for the next message and limits messages by a Budget. Make it with NewOutbox; it is
// not safe for concurrent use.
type Outbox struct {
	Budget  Budget
	pending []Observation
	next    time.Duration // clock time of the earliest next message
}

// NewOutbox returns the empty outbox of one of so many aggregators.
func NewOutbox(aggregators int) Outbox { return Outbox{Budget: NewBudget(aggregators)} }

// Add queues an observation. It replaces a pending one of the same server, and is dropped if the message is full.
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

// Flush returns the message to send to all peers at now, or nil if there is nothing to send, the previous message is
// not yet interval ago, or the budget is too small.
func (o *Outbox) Flush(now, interval time.Duration, zone int) []byte {
	if len(o.pending) == 0 || now < o.next || !o.Budget.Spend(len(o.pending)) {
		return nil
	}
	o.next = now + interval
	message := EncodeLoad(now, zone, o.pending)
	o.pending = o.pending[:0]
	return message
}
