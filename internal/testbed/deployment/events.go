package deployment

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one line of the aggregator's log.
type Event struct {
	At    time.Time
	Msg   string
	Attrs map[string]string
}

// Events is a handler of logs that keeps what it gets, and lets a test wait for it. It is safe for concurrent use.
type Events struct {
	mu      sync.Mutex
	list    []Event
	waiters []waiter
	next    slog.Handler
}

type waiter struct {
	matches func(Event) bool
	found   chan Event
}

// Enabled is true for every level.
func (e *Events) Enabled(context.Context, slog.Level) bool { return true }

// WithAttrs returns the same handler: the aggregator does not use it.
func (e *Events) WithAttrs([]slog.Attr) slog.Handler { return e }

// WithGroup returns the same handler: the aggregator does not use it.
func (e *Events) WithGroup(string) slog.Handler { return e }

// Handle keeps a line, and passes it to whoever waits for it.
func (e *Events) Handle(ctx context.Context, r slog.Record) error {
	ev := Event{At: r.Time, Msg: r.Message, Attrs: map[string]string{}}
	r.Attrs(func(a slog.Attr) bool {
		ev.Attrs[a.Key] = a.Value.String()
		return true
	})
	e.mu.Lock()
	e.list = append(e.list, ev)
	waiting := e.waiters[:0]
	for _, w := range e.waiters {
		if w.matches(ev) {
			w.found <- ev
		} else {
			waiting = append(waiting, w)
		}
	}
	e.waiters = waiting
	next := e.next
	e.mu.Unlock()
	if next != nil {
		return next.Handle(ctx, r)
	}
	return nil
}

// ForwardTo hands each event on to another handler, too; nil: to none.
func (e *Events) ForwardTo(next slog.Handler) {
	e.mu.Lock()
	e.next = next
	e.mu.Unlock()
}

// All are the events so far. The caller owns the list.
func (e *Events) All() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// Next returns a channel that gets the next event that matches. An event that has been logged already is not found.
func (e *Events) Next(matches func(Event) bool) <-chan Event {
	found := make(chan Event, 1)
	e.mu.Lock()
	e.waiters = append(e.waiters, waiter{matches, found})
	e.mu.Unlock()
	return found
}

// HealthChanged matches a change of a server's health whose cause contains a text.
func HealthChanged(server, cause string) func(Event) bool {
	return func(ev Event) bool {
		return ev.Msg == "health" && ev.Attrs["server"] == server && strings.Contains(ev.Attrs["cause"], cause)
	}
}
