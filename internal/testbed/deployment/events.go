package deployment

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"
)

// Event is one record of the aggregator's log.
type Event struct {
	At    time.Time
	Msg   string
	Attrs map[string]string
}

// Events is a log handler that retains all records, and lets a test wait for one. It is safe for concurrent use.
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

// Handle retains a record, and passes it to the callers of Next that wait for it.
func (e *Events) Handle(ctx context.Context, record slog.Record) error {
	event := Event{At: record.Time, Msg: record.Message, Attrs: map[string]string{}}
	record.Attrs(func(attr slog.Attr) bool {
		event.Attrs[attr.Key] = attr.Value.String()
		return true
	})
	if next := e.add(event); next != nil {
		return next.Handle(ctx, record)
	}
	return nil
}

// add retains an event, passes it to its waiters, and returns the handler to forward it to; nil: none.
func (e *Events) add(event Event) (next slog.Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, event)
	waiting := e.waiters[:0]
	for _, w := range e.waiters {
		if w.matches(event) {
			w.found <- event
		} else {
			waiting = append(waiting, w)
		}
	}
	e.waiters = waiting
	return e.next
}

// ForwardTo also passes each further record to another handler; nil: to none.
func (e *Events) ForwardTo(next slog.Handler) {
	e.mu.Lock()
	e.next = next
	e.mu.Unlock()
}

// All returns all events so far. The caller owns the list.
func (e *Events) All() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.list)
}

// Next returns a channel that receives the next matching event. Events logged before the call are not considered.
func (e *Events) Next(matches func(Event) bool) <-chan Event {
	found := make(chan Event, 1)
	e.mu.Lock()
	e.waiters = append(e.waiters, waiter{matches: matches, found: found})
	e.mu.Unlock()
	return found
}

// HealthChanged returns a function that matches a change of a server's health whose cause contains a text.
func HealthChanged(server, cause string) func(Event) bool {
	return func(event Event) bool {
		ofServer := event.Msg == "health" && event.Attrs["server"] == server
		return ofServer && strings.Contains(event.Attrs["cause"], cause)
	}
}
