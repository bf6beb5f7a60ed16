package aggregator

import (
	"cmp"
	"slices"
	"time"

	"rooktrestle/balance"
)

// Restart gives every open query its final answer and goes on with a new balancer. It is called after a panic in a
// turn: it guards the process, and the queries it holds. Nothing of them is sent again. events are those of the
// turn that panicked, which may not have been handled.
func (c *Core) Restart(now time.Time, fresh *balance.Balancer, events []Event) {
	c.now = now
	c.Counters.Panics++
	for _, q := range c.openQueries() {
		c.close(q, FinalAnswer{Status: StatusFailed})
	}
	c.recoverEvents(events)
	c.balancer = fresh
	c.pending = nil
	c.calls = nil
	c.timerAt = time.Time{}
	c.dropAttempts()
	list := EndpointsChanged{Kind: balance.ListFull, Servers: c.listedServers()}
	fresh.Turn(c.clock(now), []balance.Event{c.updateServers(list)})
}

// recoverEvents fails the requests among the events that have no answer yet, and keeps the changes of endpoints.
func (c *Core) recoverEvents(events []Event) {
	for _, event := range events {
		switch e := event.(type) {
		case RequestArrived:
			if !e.Request.done {
				c.Counters.Failed++
				c.deliver(e.Request, FinalAnswer{Status: StatusFailed})
			}
		case EndpointsChanged:
			c.updateServers(e)
		case MaintenanceChanged:
			c.maintenanceChanged(e)
		}
	}
}

// dropAttempts forgets the attempts in flight, and lets the backend give them up.
func (c *Core) dropAttempts() {
	for _, a := range c.attemptsInFlight(func(*attempt) bool { return true }) {
		delete(c.attempts, a.id)
		c.timeouts.Remove(a)
		c.releaseRequestID(a.part.query)
		if !a.cancelRequested.Load() {
			c.backend.Cancel(c.now, a.id, false)
		}
	}
}

// listedServers are the servers as last listed, in the order of their ids.
func (c *Core) listedServers() (list []Server) {
	for _, s := range c.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
