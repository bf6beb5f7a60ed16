package aggregator

import (
	"rooktrestle/balance"
	"rooktrestle/internal/control/outlier"
)

// gossipReceived hands a datagram of another aggregator to whom it is for: the table of outliers or the balancer.
func (c *Core) gossipReceived(payload []byte) {
	c.Counters.GossipReceived++
	switch {
	case c.Outliers != nil && outlier.IsMessage(payload):
		c.Outliers.Receive(c.clock(c.now), payload)
	case balance.IsGossip(payload):
		c.notify(balance.GossipReceived{Payload: payload})
	default:
		c.Counters.GossipInvalid++
	}
}

// sendGossip sends a message of the balancer's to the other aggregators.
func (c *Core) sendGossip(payload []byte) {
	if c.Gossip != nil {
		c.Counters.GossipSent++
		c.Gossip.Broadcast(payload)
	}
}

// sendLosses sends the other aggregators what was lost here, as often as the table of outliers sees fit.
func (c *Core) sendLosses() {
	if c.Outliers == nil || c.Gossip == nil {
		return
	}
	if payload := c.Outliers.NextMessage(c.clock(c.now)); payload != nil {
		c.sendGossip(payload)
	}
}

// lateAnswer notes that a server answered an attempt after it was given up.
func (c *Core) lateAnswer(server balance.Replica) {
	if c.Outliers != nil {
		now := c.clock(c.now)
		c.Outliers.AttemptEnded(now, string(server), now, outlier.Answered)
	}
}

// prependOutlierChanges puts the servers whose fraction of traffic has changed, because of what the aggregators lose
// there, before the other events of the turn, so that the turn's queries go by it.
func (c *Core) prependOutlierChanges() {
	if c.Outliers == nil {
		return
	}
	list := balance.EndpointList{Kind: balance.ListDelta}
	for _, id := range c.Outliers.Update(c.clock(c.now)) {
		if s, listed := c.servers[balance.Replica(id)]; listed {
			list.Endpoints = append(list.Endpoints, c.endpoint(s))
		}
	}
	if len(list.Endpoints) > 0 {
		c.pending = append([]balance.Event{list}, c.pending...)
	}
}
