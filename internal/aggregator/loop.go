package aggregator

import (
	"fmt"
	"os"
	"sync"
	"time"

	"rooktrestle/balance"
)

// Clock tells the time and when a time has come. The program uses SystemClock; tests pass their own.
type Clock interface {
	Now() time.Time
	// At returns a channel that delivers once t has come, and a way to give it up.
	At(t time.Time) (<-chan time.Time, func())
}

// SystemClock is the machine's clock.
type SystemClock struct{}

func (SystemClock) Now() time.Time { return time.Now() }

func (SystemClock) At(t time.Time) (<-chan time.Time, func()) {
	timer := time.NewTimer(time.Until(t))
	return timer.C, func() { timer.Stop() }
}

// Mailbox gathers what happens until a loop takes it. Put never blocks.
type Mailbox struct {
	mu      sync.Mutex
	items   []any
	waiting int // of them that brought on no turn
	ready   chan struct{}
}

// NewMailbox returns an empty Mailbox.
func NewMailbox() *Mailbox { return &Mailbox{ready: make(chan struct{}, 1)} }

// Put adds an event.
func (m *Mailbox) Put(e any) {
	m.mu.Lock()
	m.items = append(m.items, e)
	m.mu.Unlock()
	m.signal()
}

func (m *Mailbox) signal() {
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// patience is how many events that may wait are gathered before they bring on a turn of their own.
const patience = 32

// PutDeferred adds an event that may wait for the next turn, whatever brings that on. Guards the processor's time:
// with many mixers one hears a word every other millisecond.
func (m *Mailbox) PutDeferred(e any) {
	m.mu.Lock()
	m.items = append(m.items, e)
	m.waiting++
	due := m.waiting >= patience
	m.mu.Unlock()
	if due {
		m.signal()
	}
}

// Take removes all that is there.
func (m *Mailbox) Take() []any {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items, m.waiting = nil, 0
	return items
}

// Ready delivers when there may be something to take.
func (m *Mailbox) Ready() <-chan struct{} { return m.ready }

// Adapter is an adapter's state that lives on the loop.
type Adapter interface {
	// Handle takes an event of the adapter's own and says whether it was one; it returns core events.
	Handle(now time.Time, e any) (events []any, mine bool)
	// Sweep does what is due and returns when more is; zero if nothing is.
	Sweep(now time.Time) (events []any, next time.Time)
}

// RunOnLoop is run on the loop, between turns.
type RunOnLoop func()

// Loop gathers what is ready, hands it to the core in one turn, and waits for more.
type Loop struct {
	Core        *Core
	Mailbox     *Mailbox
	Adapter     Adapter
	Clock       Clock
	NewBalancer func() (*balance.Balancer, error) // new decisions, should a turn panic
	Stop        <-chan struct{}
}

// Run runs until Stop is closed.
func (l *Loop) Run() {
	for {
		next := l.RunTurn()
		var due <-chan time.Time
		stop := func() {}
		if !next.IsZero() {
			due, stop = l.Clock.At(next)
		}
		select {
		case <-l.Mailbox.Ready():
		case <-due:
		case <-l.Stop:
			stop()
			return
		}
		stop()
	}
}

// RunTurn runs one turn of all that is ready and returns when the next is due.
func (l *Loop) RunTurn() time.Time {
	now := l.Clock.Now()
	events, adapterDue := l.Adapter.Sweep(now)
	for _, e := range l.Mailbox.Take() {
		if f, ok := e.(RunOnLoop); ok {
			f()
		} else if more, mine := l.handle(now, e); mine {
			events = append(events, more...)
		} else {
			events = append(events, e)
		}
	}
	next := l.turn(now, events)
	if next.IsZero() || !adapterDue.IsZero() && adapterDue.Before(next) {
		next = adapterDue
	}
	return next
}

// handle stops a panic at the event: what hung on it ends by its deadline.
func (l *Loop) handle(now time.Time, e any) (events []any, mine bool) {
	defer func() {
		if p := recover(); p != nil {
			l.Core.Counters.Panics++
			fmt.Fprintf(os.Stderr, "event %T: panic: %v\n", e, p)
			events, mine = nil, true
		}
	}()
	return l.Adapter.Handle(now, e)
}

// turn stops a panic in the core or the decisions: open queries get their final answer, and new ones are
// decided anew.
func (l *Loop) turn(now time.Time, events []any) (next time.Time) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "turn: panic: %v\n", p)
			fresh, err := l.NewBalancer()
			if err != nil {
				panic(err) // the same settings made the decisions at the start
			}
			l.Core.Restart(now, fresh, events)
			next = now
		}
	}()
	return l.Core.Turn(now, events)
}

// Do runs f on the loop and waits until it has run.
func (l *Loop) Do(f func()) {
	done := make(chan struct{})
	l.Mailbox.Put(RunOnLoop(func() { f(); close(done) }))
	<-done
}
