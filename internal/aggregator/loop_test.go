package aggregator

import (
	"testing"
	"time"

	"rooktrestle/balance"
)

// funcAdapter is an adapter whose messages are functions, which it calls.
type funcAdapter struct{}

type funcMessage func()

func (funcMessage) message() {}

// unknownEvent is an event that the core has no handler for.
type unknownEvent struct{ AdapterMessage }

func (unknownEvent) event() {}

func (funcAdapter) Handle(_ time.Time, message Message) ([]Event, bool) {
	if f, ok := message.(funcMessage); ok {
		f()
		return nil, true
	}
	return nil, false
}

func (funcAdapter) Sweep(time.Time) ([]Event, time.Time) { return nil, time.Time{} }

type fixedClock struct{ harness *harness }

func (s fixedClock) Now() time.Time                          { return s.harness.now }
func (s fixedClock) At(time.Time) (<-chan time.Time, func()) { return nil, func() {} }

// A panic affects only its message, its answer or its turn, and every query still receives one final answer.
func TestLoop_RecoversFromPanics(t *testing.T) {
	h := newHarness(t)
	mailbox := NewMailbox()
	l := &Loop{
		Core:        h.core,
		Mailbox:     mailbox,
		Adapter:     funcAdapter{},
		Clock:       fixedClock{h},
		NewBalancer: func() (*balance.Balancer, error) { return balance.New(balancerSettings()) },
	}
	mailbox.Put(funcMessage(func() { panic("in an adapter message") }))
	mailbox.Put(RequestArrived{Request: h.newRequest("panics", 99)})
	l.RunTurn()
	if h.answer("panics").Status != StatusRejected || h.core.Counters.Panics != 2 {
		t.Error(h.core.Counters)
	}
	h.request("open", 1, 1)
	mailbox.Put(unknownEvent{})
	mailbox.Put(RequestArrived{Request: h.newRequest("late", 0)})
	l.RunTurn()
	if h.answer("open").Status != StatusFailed || h.answer("late").Status != StatusFailed ||
		h.core.OpenQueries() != 0 || len(h.canceled) != 1 {
		t.Errorf("%+v", h.answers)
	}
	h.request("next", 0, 1)
	h.endAll(nil)
	if h.answer("next").Status != StatusServed {
		t.Errorf("%+v", h.answers)
	}
}

func TestLoop_RunEndsWhenItIsStopped(t *testing.T) {
	h := newHarness(t)
	stop := make(chan struct{})
	ended := make(chan struct{})
	l := &Loop{Core: h.core, Mailbox: NewMailbox(), Adapter: funcAdapter{}, Clock: SystemClock{}, Stop: stop}
	go func() {
		defer close(ended)
		l.Run()
	}()
	available := false
	l.Do(func() { available = h.core.Available("a") })
	if !available {
		t.Error("the function did not run on the loop")
	}
	close(stop)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("Run did not return after Stop was closed")
	}
}
