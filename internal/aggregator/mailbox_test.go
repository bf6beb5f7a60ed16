package aggregator

import "testing"

// Gossip messages from many peers must not cause a turn each, but must be handled eventually.
func TestMailbox_DeferredMessagesWakeTheLoopTogether(t *testing.T) {
	ready := func(m *Mailbox) bool {
		select {
		case <-m.Ready():
			return true
		default:
			return false
		}
	}
	m := NewMailbox()
	for range maxDeferred - 1 {
		m.PutDeferred(GossipReceived{})
	}
	if ready(m) {
		t.Error("the loop was woken by fewer than maxDeferred messages")
	}
	m.PutDeferred(GossipReceived{})
	if !ready(m) || len(m.Take()) != maxDeferred {
		t.Error("maxDeferred deferred messages were not delivered")
	}
	m.PutDeferred(GossipReceived{})
	if ready(m) {
		t.Error("the count of deferred messages was not reset")
	}
	m.Put(RequestArrived{})
	if !ready(m) || len(m.Take()) != 2 {
		t.Error("a deferred message was not delivered with the next message")
	}
}
