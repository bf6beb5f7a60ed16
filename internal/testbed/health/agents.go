package health

import (
	"runtime"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/replica"
)

// maxHeapGrowthMB bounds what misbehaving agents may cost.
const maxHeapGrowthMB = 16

// MisbehavingAgents has five replicas whose agents hang, drip, flood, close at once and refuse connections; the sixth
// responds. Time and memory are bounded, and the checks of the others keep their pace.
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
	elapsed, ok := wait(draining, at, 5*time.Second)
	r.claim(ok && elapsed < time.Second, "the agent that responds was noticed after %v", elapsed)
	r.set("heard-s", elapsed.Seconds())
	time.Sleep(2 * time.Second)
	growth := float64(heapInUse()-before) / (1 << 20)
	to := time.Now()
	stop()
	r.set("heap-grown-MB", growth)
	r.claim(growth < maxHeapGrowthMB, "the heap grew by %.1f MB", growth)
	r.checkComplete(calls.Calls(from, to.Add(-time.Second)), "")
	r.checkCorrections(d)
	return r, nil
}

// heapInUse is in bytes, after a collection.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
