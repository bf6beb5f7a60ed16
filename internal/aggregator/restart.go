package aggregator

import (
	"cmp"
	"slices"
	"time"

	"rooktrestle/balance"
)

// Restart fails every open query and continues with a new balancer. It is called after a panic in a turn, so that the
// process survives and each open query receives its final answer. No part is sent again. events are those of the turn
// that panicked, some of which may not have been handled.
func (c *Core) Restart(now time.Time, newBalancer *balance.Balancer, events []Event) {
	c.now = now
	c.Counters.Panics++
	for _, q := range c.openQueries() {
		c.close(q, FinalAnswer{Status: StatusFailed})
	}
	c.recoverEvents(events)
	c.balancer = newBalancer
	c.pending = nil
	c.calls = nil
	c.timerAt = time.Time{}
	c.dropAttempts()
	list := EndpointsChanged{Kind: balance.ListFull, Servers: c.listedServers()}
	newBalancer.Turn(c.clock(now), []balance.Event{c.updateServers(list)})
}

// recoverEvents fails the requests among the events that have no answer yet, and applies the changes of endpoints and
// maintenance.
func (c *Core) recoverEvents(events []Event) {
	for _, event := range events {
		switch e := event.(type) {
		case RequestArrived:
			if !e.Request.completed {
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

// dropAttempts removes the attempts in flight, and lets the backend cancel them.
func (c *Core) dropAttempts() {
	for _, a := range c.attemptsInFlight(func(*attempt) bool { return true }) {
		delete(c.attempts, a.id)
		c.timeouts.Remove(a)
		a.part.query.mayHaveRun = true
		c.releaseRequestID(a.part.query)
		if !a.cancelRequested.Load() {
			c.backend.Cancel(c.now, a.id, false)
		}
	}
}

// listedServers returns the listed servers, ordered by id.
func (c *Core) listedServers() (list []Server) {
	for _, s := range c.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
