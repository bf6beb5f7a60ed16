package aggregator

import (
	"slices"
	"testing"

	"rooktrestle/balance"
)

// After a panic in an adapter, the events that it emitted stayed behind until its next message, and so did all later ones.
func TestEventCollector_StepPanics(t *testing.T) {
	mailbox := NewMailbox()
	collector := NewEventCollector(mailbox)
	event := func(server string) Event { return LateAnswer{Server: balance.Replica(server)} }
	func() {
		defer func() { _ = recover() }()
		collector.Collect(func() {
			collector.Emit(event("before"))
			panic("in an adapter")
		})
	}()
	collector.Emit(event("after"))
	if got, want := mailbox.Take(), []Message{event("before"), event("after")}; !slices.Equal(got, want) {
		t.Errorf("posted %v, want %v", got, want)
	}
	if got := collector.Collect(func() { collector.Emit(event("next")) }); !slices.Equal(got, []Event{event("next")}) {
		t.Errorf("collected %v", got)
	}
	if got := mailbox.Take(); len(got) != 0 {
		t.Errorf("posted %v, which was collected", got)
	}
}
