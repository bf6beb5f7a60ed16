package slowstart

import (
	"math"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	// DemandPeriods is over how many latency objectives the sender's own flow is averaged.
	DemandPeriods = 10

	peakPeriods      = 100 // latency objectives over which the peak flow is remembered
	warmupFlowFactor = 1.8 // how many times its part of the flow a server that warms up is owed
	maxDemandFactor  = 2   // how many times the peak flow the parts offered may be for random assignment
)

// Demand measures a sender's own flow of parts. The counts fall with age, so each stands for the last DemandPeriods
// latency objectives.
type Demand struct {
	Answered float64 // parts answered
	Offered  float64 // parts that queries asked for
	Peak     float64 // the most that Answered was, falling slowly
}

// Decay ages the counts by the time passed.
func (d *Demand) Decay(passed, objective time.Duration) {
	fade := math.Exp(-estimate.Microseconds(passed) / estimate.Microseconds(DemandPeriods*objective))
	d.Answered *= fade
	d.Offered *= fade
	peakFade := math.Exp(-estimate.Microseconds(passed) / estimate.Microseconds(peakPeriods*objective))
	d.Peak = max(d.Answered, d.Peak*peakFade)
}

// Owed is how many parts a warm server would be owed for the time passed, where the servers in use have together the
// capacity of so many warm ones.
func (d *Demand) Owed(passed, objective time.Duration, warmServers float64) float64 {
	return warmupFlowFactor * d.Answered / estimate.Microseconds(DemandPeriods*objective) / max(1, warmServers) *
		estimate.Microseconds(passed)
}

// ExceedsPeak reports whether the shards of servers that have together the capacity of so many warm ones, each server
// holding so many shards, are asked for more than a multiple of what warm servers were seen to answer.
func (d *Demand) ExceedsPeak(warmServers float64, shardsPerServer int) bool {
	return d.Offered*float64(shardsPerServer) > maxDemandFactor*warmServers*d.Peak
}
