package aggregator

import (
	"rooktrestle/balance"
	"rooktrestle/internal/control/outlier"
)

// gossipReceived passes a datagram from another aggregator to its receiver: the outlier table or the balancer.
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

// sendGossip sends a gossip message to the other aggregators, if gossip is enabled.
func (c *Core) sendGossip(payload []byte) {
	if c.Gossip != nil {
		c.Counters.GossipSent++
		c.Gossip.Broadcast(payload)
	}
}

// sendOutlierGossip sends pending observations of the outlier table to the other aggregators, if its budget allows.
func (c *Core) sendOutlierGossip() {
	if c.Outliers == nil || c.Gossip == nil {
		return
	}
	if payload := c.Outliers.NextMessage(c.clock(c.now)); payload != nil {
		c.sendGossip(payload)
	}
}

// lateAnswer records that a server answered an attempt after it was canceled.
func (c *Core) lateAnswer(server balance.Replica) {
	if c.Outliers != nil {
		now := c.clock(c.now)
		c.Outliers.AttemptEnded(now, string(server), now, outlier.Answered)
	}
}

// prependOutlierChanges puts the servers whose traffic fraction the outlier table has changed before the other events
// of the turn, so that the changes apply to the queries of this turn.
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
