package aggregator

import "testing"

// Gossip of many peers must not cost a turn each, nor wait for ever.
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
		t.Error("the loop is woken before enough messages are deferred")
	}
	m.PutDeferred(GossipReceived{})
	if !ready(m) || len(m.Take()) != maxDeferred {
		t.Error("deferred messages were not handed over in the end")
	}
	m.PutDeferred(GossipReceived{})
	if ready(m) {
		t.Error("the count of deferred messages was not reset")
	}
	m.Put(RequestArrived{})
	if !ready(m) || len(m.Take()) != 2 {
		t.Error("a message does not take the deferred ones along")
	}
}
