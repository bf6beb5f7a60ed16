package health

import (
	"runtime"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

// maxHeapGrowthMB bounds the heap growth that misbehaving agents may cause.
const maxHeapGrowthMB = 16

// MisbehavingAgents runs five replicas whose agents do not answer, send a byte per second, send an endless line, close
// the connection at once and refuse connections, and a sixth whose agent responds. Memory must stay bounded, and the
// checks of the responsive agent must not be delayed.
func MisbehavingAgents(seed uint64) (r Result, err error) {
	options := deployment.Options{
		Replicas:      6,
		Reach:         2,
		Agents:        true,
		CheckInterval: 100 * time.Millisecond,
	}
	d, calls, stop, err := startUnderLoad(options, seed)
	if err != nil {
		return r, err
	}
	defer d.Stop()
	defer stop()
	time.Sleep(2 * time.Second)
	before := heapInUse()
	from := time.Now()
	for i, behavior := range []replica.AgentBehavior{replica.Hang, replica.Drip, replica.Flood, replica.CloseAtOnce} {
		d.Agents[i].Set("", behavior)
	}
	d.Agents[4].Close()
	time.Sleep(6 * time.Second)
	draining := d.Events.Next(deployment.HealthChanged("n5", "drain"))
	at := time.Now()
	d.Agents[5].Set("drain", replica.Respond)
	elapsed, ok := waitForEvent(draining, at, 5*time.Second)
	r.assert(ok && elapsed < time.Second, "the drain of the responsive agent was noticed after %v", elapsed)
	r.record("heard-s", elapsed.Seconds())
	time.Sleep(2 * time.Second)
	growth := float64(heapInUse()-before) / (1 << 20)
	to := time.Now()
	stop()
	r.record("heap-grown-MB", growth)
	r.assert(growth < maxHeapGrowthMB, "the heap grew by %.1f MB", growth)
	r.checkComplete(calls.Calls(from, to.Add(-time.Second)), "")
	r.checkCorrections(d)
	return r, nil
}

// heapInUse returns the size in bytes of the heap after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
