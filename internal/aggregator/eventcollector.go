package aggregator

// EventCollector collects the events that an adapter emits while it handles a message or sweeps, for the adapter to
// return. Events that it emits at another time, because the core has called it, go to the mailbox and are handled in a
// later turn. It is used on the loop only.
type EventCollector struct {
	mailbox    Poster
	collecting bool
	events     []Event
}

// NewEventCollector returns an EventCollector that posts the events it does not collect to mailbox.
func NewEventCollector(mailbox Poster) EventCollector { return EventCollector{mailbox: mailbox} }

// Emit passes an event to the core.
func (c *EventCollector) Emit(e Event) {
	if c.collecting {
		c.events = append(c.events, e)
	} else {
		c.mailbox.Put(e)
	}
}

// Collect runs a step of the adapter and returns the events that it emits. If the step panics, these are posted to the
// mailbox.
func (c *EventCollector) Collect(step func()) (events []Event) {
	c.collecting = true
	defer func() {
		c.collecting = false
		for _, event := range c.events {
			c.mailbox.Put(event)
		}
		c.events = nil
	}()
	step()
	events, c.events = c.events, nil
	return events
}
