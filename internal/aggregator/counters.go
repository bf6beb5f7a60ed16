package aggregator

import (
	"fmt"
	"strings"

	"rooktrestle/balance"
)

// Counters count what an aggregator received, sent and answered since its start.
type Counters struct {
	Received           uint64 // requests
	Served             uint64 // complete and partial answers
	Partial            uint64 // of Served
	Rejected           uint64
	RejectedAtCapacity uint64 // of Rejected: on arrival, before they were submitted to the balancer
	Failed             uint64
	Disconnected       uint64 // clients that disconnected before their answer
	DeadlineExceeded   uint64 // not served because the client's deadline expired
	FollowUps          uint64 // second steps

	Restarts uint64 // queries restarted on a newer shard map
	MapWaits uint64 // queries that waited for a newer shard map

	Sent     uint64 // attempts
	Canceled uint64 // attempts that the backend was asked to cancel
	Probes   uint64
	Results  [balance.NotSent + 1]uint64 // ended attempts, by balance.AttemptResult

	GossipSent     uint64 // messages to other aggregators
	GossipReceived uint64 // datagrams from other aggregators, invalid ones included
	GossipInvalid  uint64

	Panics uint64 // recovered

	ByClass map[string]*ClassCounters // answers, by class name
}

// ClassCounters count the answers to the queries of one class.
type ClassCounters struct {
	Served   uint64
	Rejected uint64
	Failed   uint64
}

// countAnswer counts an answer under its query's class.
func (c *Counters) countAnswer(class string, status FinalStatus) {
	if c.ByClass == nil {
		c.ByClass = map[string]*ClassCounters{}
	}
	counters := c.ByClass[class]
	if counters == nil {
		counters = &ClassCounters{}
		c.ByClass[class] = counters
	}
	switch status {
	case StatusServed:
		counters.Served++
	case StatusRejected:
		counters.Rejected++
	case StatusFailed:
		counters.Failed++
	}
}

// countFinal counts a completed query.
func (c *Counters) countFinal(final FinalAnswer) {
	if final.DeadlineExceeded && final.Status != StatusDisconnected {
		c.DeadlineExceeded++
	}
	switch final.Status {
	case StatusServed:
		c.Served++
		if !final.Complete {
			c.Partial++
		}
	case StatusRejected:
		c.Rejected++
	case StatusFailed:
		c.Failed++
	case StatusDisconnected:
		c.Disconnected++
	}
}

// resultNames are the names of balance.AttemptResult in Counters.String and in the trace.
var resultNames = [...]string{
	"served", "error", "turned away", "timed out", "could not connect", "reset", "cancelled", "not sent",
}

// String returns the text of GET /counters and of the log at exit. Operators' scripts parse it: it must not change.
func (c Counters) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "taken %d; answered: served %d (partial %d), refused %d (full %d), ",
		c.Received, c.Served, c.Partial, c.Rejected, c.RejectedAtCapacity)
	fmt.Fprintf(&text, "failed %d, gone %d, out of time %d; ", c.Failed, c.Disconnected, c.DeadlineExceeded)
	fmt.Fprintf(&text, "second steps %d, begun anew %d; ", c.FollowUps, c.Restarts)
	fmt.Fprintf(&text, "sent %d, withdrawn %d, probes %d; ", c.Sent, c.Canceled, c.Probes)
	fmt.Fprintf(&text, "words sent %d, heard %d, bad %d; ", c.GossipSent, c.GossipReceived, c.GossipInvalid)
	text.WriteString("attempts:")
	for result, count := range c.Results {
		if result > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, " %s %d", resultNames[result], count)
	}
	return text.String()
}
