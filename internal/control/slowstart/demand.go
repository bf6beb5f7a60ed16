package slowstart

import (
	"math"
	"time"

	"rooktrestle/internal/control/estimate"
)

const (
	// DemandPeriods is the number of latency objectives over which the sender's own traffic is averaged.
	DemandPeriods = 10

	peakPeriods     = 100 // latency objectives: time constant with which the peak decays
	creditFactor    = 1.8 // credit of a server that is warming up, as a multiple of its share of the traffic
	maxDemandFactor = 2   // limit of Offered up to which parts are assigned at random, as a multiple of Peak
)

// Demand measures the traffic of one sender, in parts. The counts decay exponentially, so each covers about the last
// DemandPeriods latency objectives.
type Demand struct {
	Answered float64 // parts answered
	Offered  float64 // parts that queries asked for
	Peak     float64 // maximum of Answered, which decays slowly
}

// Decay reduces the counts by the elapsed time.
func (d *Demand) Decay(elapsed, objective time.Duration) {
	decay := math.Exp(-estimate.Microseconds(elapsed) / estimate.Microseconds(DemandPeriods*objective))
	d.Answered *= decay
	d.Offered *= decay
	peakDecay := math.Exp(-estimate.Microseconds(elapsed) / estimate.Microseconds(peakPeriods*objective))
	d.Peak = max(d.Answered, d.Peak*peakDecay)
}

// AccruedCredit returns the credit in parts that a warm server accrues in the elapsed time. warmServers is the combined
// capacity of the servers in use, in warm servers.
func (d *Demand) AccruedCredit(elapsed, objective time.Duration, warmServers float64) float64 {
	return creditFactor * d.Answered / estimate.Microseconds(DemandPeriods*objective) / max(1, warmServers) *
		estimate.Microseconds(elapsed)
}

// ExceedsPeak reports whether more parts are offered than maxDemandFactor times the peak that warm servers were
// observed to answer. warmServers is the combined capacity of the servers considered, in warm servers, each of which
// stores shardsPerServer shards.
func (d *Demand) ExceedsPeak(warmServers float64, shardsPerServer int) bool {
	return d.Offered*float64(shardsPerServer) > maxDemandFactor*warmServers*d.Peak
}
