package aggregator

import (
	"fmt"
	"os"
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

// Adapter is the state of a backend or another neighbour of the core that lives on the loop. Its methods are called by
// the loop only.
type Adapter interface {
	// Handle takes a message and reports whether it was one of the adapter's own; it returns events for the core.
	Handle(now time.Time, message Message) (events []Event, mine bool)
	// Sweep does what is due and returns when it is to be called again; zero if nothing is due.
	Sweep(now time.Time) (events []Event, next time.Time)
}

// RunOnLoop is a function that the loop runs between turns.
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
	for _, message := range l.Mailbox.Take() {
		if run, ok := message.(RunOnLoop); ok {
			run()
		} else if more, mine := l.handle(now, message); mine {
			events = append(events, more...)
		} else if event, ok := message.(Event); ok {
			events = append(events, event)
		} else {
			l.Core.Counters.Panics++ // a mistake in the program: the message is dropped
			fmt.Fprintf(os.Stderr, "message %T: no adapter takes it\n", message)
		}
	}
	next := l.turn(now, events)
	if next.IsZero() || !adapterDue.IsZero() && adapterDue.Before(next) {
		next = adapterDue
	}
	return next
}

// handle stops a panic at the event: what hung on it ends by its deadline.
func (l *Loop) handle(now time.Time, message Message) (events []Event, mine bool) {
	defer func() {
		if p := recover(); p != nil {
			l.Core.Counters.Panics++
			fmt.Fprintf(os.Stderr, "event %T: panic: %v\n", message, p)
			events, mine = nil, true
		}
	}()
	return l.Adapter.Handle(now, message)
}

// turn stops a panic in the core or the decisions: open queries get their final answer, and new ones are
// decided anew.
func (l *Loop) turn(now time.Time, events []Event) (next time.Time) {
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
