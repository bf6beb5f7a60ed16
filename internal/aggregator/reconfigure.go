package aggregator

import "rooktrestle/balance"

// Reconfigure goes on with other settings and limits; see balance.Balancer.Reconfigure. Queries that are open keep the class
// that they came under, as long as their index keeps its meaning. It is called between two turns.
func (c *Core) Reconfigure(settings balance.Settings, limits Limits, fresh []int) error {
	if err := c.balancer.Reconfigure(settings, fresh); err != nil {
		return err
	}
	c.limits = limits
	return nil
}

// ClassInUse reports whether a query of a class is open, or one of its attempts in flight.
func (c *Core) ClassInUse(class int) bool {
	for _, q := range c.queries {
		if q.request.Class == class {
			return true
		}
	}
	for _, a := range c.attempts {
		if a.part.query.request.Class == class {
			return true
		}
	}
	return false
}
