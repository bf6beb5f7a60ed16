package aggregator

import "rooktrestle/balance"

// Reconfigure applies other settings and limits; see balance.Balancer.Reconfigure. replacedClasses are the indexes that
// stand for another class than before. Open queries keep their class, as long as its index is not replaced. It is
// called between two turns.
func (c *Core) Reconfigure(settings balance.Settings, limits Limits, replacedClasses []int) error {
	if err := c.balancer.Reconfigure(settings, replacedClasses); err != nil {
		return err
	}
	c.limits = limits
	return nil
}

// ClassInUse reports whether a query of a class is open, or one of its attempts is in flight.
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
