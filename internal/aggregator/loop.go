package aggregator

import (
	"fmt"
	"os"
	"time"

	"rooktrestle/balance"
)

// Clock provides the current time and timers. The program uses SystemClock; tests pass their own.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// At returns a channel that delivers at t, and a function that releases the timer.
	At(t time.Time) (<-chan time.Time, func())
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// At starts a time.Timer.
func (SystemClock) At(t time.Time) (<-chan time.Time, func()) {
	timer := time.NewTimer(time.Until(t))
	return timer.C, func() { timer.Stop() }
}

// Adapter is the part of a backend, or of another component beside the core, that runs on the loop. Its methods are
// called on the loop only, and must not block.
type Adapter interface {
	// Handle handles a message, if it is one of the adapter's, and reports whether it is; it returns events for the
	// core.
	Handle(now time.Time, message Message) (events []Event, handled bool)
	// Sweep does what is due and returns the time by which it must be called again; zero if nothing is pending.
	Sweep(now time.Time) (events []Event, next time.Time)
}

// RunOnLoop is a function that the loop runs between turns.
type RunOnLoop func()

// Loop collects the pending messages, passes them to the core in one turn, and waits for more. All its fields are set
// before Run, which owns the Core and the Adapter from then on.
type Loop struct {
	Core        *Core
	Mailbox     *Mailbox
	Adapter     Adapter
	Clock       Clock
	NewBalancer func() (*balance.Balancer, error) // creates the replacement after a panic in a turn
	Stop        <-chan struct{}                   // closed to stop Run
}

// Run runs turns until Stop is closed. Messages that are still in the mailbox then are not handled.
func (l *Loop) Run() {
	for {
		next := l.RunTurn()
		if !l.wait(next) {
			return
		}
	}
}

// wait waits for messages or until next, if that is not zero; it returns false if the loop is stopped.
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

// RunTurn runs one turn with all pending messages and returns when the next turn is due; zero if nothing is.
func (l *Loop) RunTurn() time.Time {
	now := l.Clock.Now()
	events, adapterDue := l.Adapter.Sweep(now)
	for _, message := range l.Mailbox.Take() {
		events = l.dispatch(now, message, events)
	}
	next := l.turn(now, events)
	return earliest(next, adapterDue)
}

// dispatch passes a message to its handler, and appends the resulting events for the core.
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
	l.Core.Counters.Panics++ // a programming error: the message is dropped
	fmt.Fprintf(os.Stderr, "message %T: no adapter handles it\n", message)
	return events
}

// handle passes a message to the adapter and recovers from a panic there: the message is dropped, and queries that
// depend on it are completed by their deadline.
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

// turn runs a turn of the core and recovers from a panic of the core or the balancer: open queries receive their final
// answer, and a new balancer replaces the old one.
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

// restartCore restarts the core with a new balancer after a turn with these events has panicked.
func (l *Loop) restartCore(now time.Time, events []Event) {
	newBalancer, err := l.NewBalancer()
	if err != nil {
		panic(fmt.Errorf("create a new balancer after a panic: %w", err)) // the same settings created one at startup
	}
	l.Core.Restart(now, newBalancer, events)
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
