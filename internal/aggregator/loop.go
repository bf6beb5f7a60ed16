package aggregator

import (
	"fmt"
	"os"
	"time"

	"rooktrestle/balance"
)

// Clock is the time, and a timer. The program uses SystemClock; tests pass their own.
type Clock interface {
	// Now is the present time.
	Now() time.Time
	// At returns a channel that delivers once t has come, and a function that releases the timer.
	At(t time.Time) (<-chan time.Time, func())
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now is time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// At starts a time.Timer.
func (SystemClock) At(t time.Time) (<-chan time.Time, func()) {
	timer := time.NewTimer(time.Until(t))
	return timer.C, func() { timer.Stop() }
}

// Adapter is the state of a backend, or of another neighbour of the core, that lives on the loop. Its methods are
// called by the loop only, and must not block.
type Adapter interface {
	// Handle takes a message and reports whether it was one of the adapter's own; it returns events for the core.
	Handle(now time.Time, message Message) (events []Event, handled bool)
	// Sweep does what is due and returns when it is to be called again at the latest; zero if nothing is due.
	Sweep(now time.Time) (events []Event, next time.Time)
}

// RunOnLoop is a function that the loop runs between turns.
type RunOnLoop func()

// Loop gathers the messages that are ready, hands them to the core in one turn, and waits for more. All its fields are
// set before Run, which owns the Core and the Adapter from then on.
type Loop struct {
	Core        *Core
	Mailbox     *Mailbox
	Adapter     Adapter
	Clock       Clock
	NewBalancer func() (*balance.Balancer, error) // makes the one to go on with after a panic in a turn
	Stop        <-chan struct{}                   // closed to end Run
}

// Run runs turns until Stop is closed. Messages that are in the mailbox by then are not handled.
func (l *Loop) Run() {
	for {
		next := l.RunTurn()
		if !l.wait(next) {
			return
		}
	}
}

// wait waits for messages or until a time, if that is not zero; it returns false if the loop is stopped.
func (l *Loop) wait(next time.Time) (running bool) {
	var due <-chan time.Time
	if !next.IsZero() {
		var release func()
		due, release = l.Clock.At(next)
		defer release()
	}
	select {
	case <-l.Mailbox.Ready():
	case <-due:
	case <-l.Stop:
		return false
	}
	return true
}

// RunTurn runs one turn of all that is ready and returns when the next is due; zero if nothing is.
func (l *Loop) RunTurn() time.Time {
	now := l.Clock.Now()
	events, adapterDue := l.Adapter.Sweep(now)
	for _, message := range l.Mailbox.Take() {
		events = l.dispatch(now, message, events)
	}
	next := l.turn(now, events)
	return earliest(next, adapterDue)
}

// dispatch hands a message to whom it is for, and appends the events that it brings for the core.
func (l *Loop) dispatch(now time.Time, message Message, events []Event) []Event {
	if run, ok := message.(RunOnLoop); ok {
		run()
		return events
	}
	if more, handled := l.handle(now, message); handled {
		return append(events, more...)
	}
	if event, ok := message.(Event); ok {
		return append(events, event)
	}
	l.Core.Counters.Panics++ // a mistake in the program: the message is dropped
	fmt.Fprintf(os.Stderr, "message %T: no adapter handles it\n", message)
	return events
}

// handle recovers from a panic of the adapter: the message is dropped, and what depends on it ends by its deadline.
func (l *Loop) handle(now time.Time, message Message) (events []Event, handled bool) {
	defer func() {
		if cause := recover(); cause != nil {
			l.Core.Counters.Panics++
			fmt.Fprintf(os.Stderr, "message %T: panic: %v\n", message, cause)
			events = nil
			handled = true
		}
	}()
	return l.Adapter.Handle(now, message)
}

// turn recovers from a panic of the core or the balancer: open queries get their final answer, and a new balancer
// goes on.
func (l *Loop) turn(now time.Time, events []Event) (next time.Time) {
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintf(os.Stderr, "turn: panic: %v\n", cause)
			l.restartCore(now, events)
			next = now
		}
	}()
	return l.Core.Turn(now, events)
}

// restartCore lets the core go on with a new balancer after a turn with these events has panicked.
func (l *Loop) restartCore(now time.Time, events []Event) {
	fresh, err := l.NewBalancer()
	if err != nil {
		panic(fmt.Errorf("new balancer after a panic: %w", err)) // the same settings made one at the start
	}
	l.Core.Restart(now, fresh, events)
}

// Do runs f on the loop and waits until it has run. It must not be called on the loop, nor after Stop is closed.
func (l *Loop) Do(f func()) {
	done := make(chan struct{})
	l.Mailbox.Put(RunOnLoop(func() {
		f()
		close(done)
	}))
	<-done
}
