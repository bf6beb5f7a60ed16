package readiness

import (
	"fmt"
	"time"
)

const (
	reasonThreshold   = 0.95 // headroom below which a limit is reported as a reason
	minWindowReceived = 4    // queries in the window below which rejections are ignored
	freeMemoryFactor  = 4    // headroom falls once less than 1/freeMemoryFactor of the memory is free
)

// headroom tracks how much more load the aggregator can accept, from 0 to 1. It falls at once and rises slowly.
type headroom struct {
	config  Config
	samples []rejectionSample // those of the window, oldest first; the last is the current one
	value   float64           // as of the last update
	updated time.Time         // time of the last update; zero: none
}

// rejectionSample contains the counts of queries at one time.
type rejectionSample struct {
	at                 time.Time
	received, rejected uint64
}

func newHeadroom(config Config) headroom { return headroom{config: config, value: 1} }

// update returns the headroom at a snapshot and the reasons why it is not 1.
func (h *headroom) update(now time.Time, snapshot Snapshot) (value float64, reasons []string) {
	value = 1
	limitTo := func(limit float64, reason string) {
		limit = min(1, max(0, limit))
		if limit < reasonThreshold {
			reasons = append(reasons, reason)
		}
		value = min(value, limit)
	}
	if snapshot.MaxInFlight > 0 {
		load := float64(snapshot.InFlight) / float64(snapshot.MaxInFlight)
		limitTo((1-load)/(1-h.config.FreeFraction),
			fmt.Sprintf("%d of %d queries and parts held", snapshot.InFlight, snapshot.MaxInFlight))
	}
	limitTo(1/(1+float64(snapshot.LoopLag)/float64(h.config.HalfWeightLag)),
		fmt.Sprintf("the loop is %v late", snapshot.LoopLag.Round(time.Millisecond)))
	if snapshot.MemoryLimit > 0 {
		limitTo(freeMemoryFactor*(1-float64(snapshot.MemoryUsed)/float64(snapshot.MemoryLimit)),
			fmt.Sprintf("%d of %d MB used", snapshot.MemoryUsed>>20, snapshot.MemoryLimit>>20))
	}
	received, rejected := h.countWindow(now, snapshot)
	if received >= minWindowReceived && rejected > 0 {
		limitTo(1-float64(rejected)/float64(received),
			fmt.Sprintf("%d of the last %d queries refused", rejected, received))
	}
	if !h.updated.IsZero() {
		elapsed := max(0, now.Sub(h.updated).Seconds())
		value = min(value, h.value+h.config.WeightRisePerSecond*elapsed)
	}
	h.value = value
	h.updated = now
	return value, reasons
}

// countWindow records a snapshot's counts of queries and returns how many were received and rejected in the window.
func (h *headroom) countWindow(now time.Time, snapshot Snapshot) (received, rejected uint64) {
	h.samples = append(h.samples, rejectionSample{now, snapshot.Received, snapshot.Rejected})
	for len(h.samples) > 2 && now.Sub(h.samples[1].at) >= h.config.RejectionWindow {
		h.samples = h.samples[1:]
	}
	oldest := h.samples[0]
	return snapshot.Received - oldest.received, snapshot.Rejected - oldest.rejected
}
