package aggregator

import "testing"

// Words of many peers must not bring on a turn each; but they do not wait for ever either.
func TestWhatMayWaitBringsOnNoTurn(t *testing.T) {
	ready := func(m *Mailbox) bool {
		select {
		case <-m.Ready():
			return true
		default:
			return false
		}
	}
	m := NewMailbox()
	for range patience - 1 {
		m.PutDeferred(1)
	}
	if ready(m) {
		t.Error("a turn is due before the patience is over")
	}
	if m.PutDeferred(1); !ready(m) || len(m.Take()) != patience {
		t.Error("what waits was not handed over in the end")
	}
	if m.PutDeferred(1); ready(m) {
		t.Error("the patience was not renewed")
	}
	if m.Put(2); !ready(m) || len(m.Take()) != 2 {
		t.Error("an event takes along what waits")
	}
}
