package health

import (
	"fmt"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/replica"
)

const (
	otherServers     = 1000                   // number of servers that are only checked
	slowServerEvery  = 20                     // every 20th of otherServers does not answer checks
	maxPartsAfter    = 300 * time.Millisecond // new parts may arrive for this long after the agent announced drain
	agentDrainAnswer = "up drain"
	agentReadyAnswer = "up ready 100%"
)

// Drain measures the time from a replica's agent announcing drain to the last new part that reaches the replica.
func Drain(seed uint64) (r Result, err error) {
	others, err := startCheckedOnly(seed)
	if err != nil {
		return r, err
	}
	defer others.stop()
	d, err := deployment.Start(deployment.Options{
		Replicas:         6,
		Reach:            3,
		Seed:             seed,
		Agents:           true,
		CheckInterval:    200 * time.Millisecond,
		MaxSockets:       4096,
		CheckedOnlyAddr:  others.addr,
		CheckedOnlyCount: otherServers,
	})
	if err != nil {
		return r, fmt.Errorf("start a deployment: %w", err)
	}
	defer d.Stop()
	faults := steady()
	faults.Delay = 60 * time.Millisecond
	faults.InitDelay = 150 * time.Millisecond
	setAll(d, faults)
	calls, stop := startLoad(d, seed)
	defer stop()
	time.Sleep(4 * time.Second)
	for _, index := range []int{1, 2} { // one of each protocol
		measureDrain(&r, d, index)
	}
	to := time.Now()
	stop()
	r.checkComplete(calls.Calls(to.Add(-6*time.Second), to.Add(-time.Second)), ": parts in flight did not complete")
	r.checkCorrections(d)
	return r, nil
}

// checkedOnly contains two replicas, at whose addresses all servers are that are only checked.
type checkedOnly struct {
	archive *replica.Archive
	quick   *replica.Server // answers health checks
	slow    *replica.Server // does not answer health checks
}

func startCheckedOnly(seed uint64) (*checkedOnly, error) {
	archive := replica.NewArchive(1)
	quick, err := archive.SRU("quick", seed)
	if err != nil {
		return nil, fmt.Errorf("start the server that answers checks: %w", err)
	}
	slow, err := archive.SRU("slow", seed)
	if err != nil {
		quick.Kill()
		return nil, fmt.Errorf("start the server that does not answer checks: %w", err)
	}
	slow.SetHealth(replica.Health{Hang: true})
	return &checkedOnly{archive: archive, quick: quick, slow: slow}, nil
}

// addr returns the address of the server with an index.
func (c *checkedOnly) addr(index int) string {
	if index%slowServerEvery == 0 {
		return c.slow.Addr()
	}
	return c.quick.Addr()
}

func (c *checkedOnly) stop() {
	c.slow.Kill()
	c.quick.Kill()
	c.archive.Close()
}

// measureDrain makes the agent of one replica announce drain, and then ready.
func measureDrain(r *Result, d *deployment.Deployment, index int) {
	name := d.Replicas[index].Name
	agent := d.Agents[index]
	draining := d.Events.Next(deployment.HealthChanged(name, "drain"))
	set := time.Now()
	agent.Set(agentDrainAnswer, replica.Respond)
	_, ok := waitForEvent(draining, set, 5*time.Second)
	r.assert(ok, "%s: its drain was not noticed within 5 s", name)
	time.Sleep(2 * time.Second)
	announced := agent.AnnouncedAt()
	overdue, last := invariants.PartsAfter(d.Archive, name, announced, maxPartsAfter)
	r.assert(len(overdue) == 0, "%s: %d new parts later than %v after it announced drain",
		name, len(overdue), maxPartsAfter)
	r.record("last-part-"+name+"-ms", float64(last.Microseconds())/1000)
	r.record("heard-"+name+"-ms", float64(announced.Sub(set).Milliseconds()))
	agent.Set(agentReadyAnswer, replica.Respond)
	time.Sleep(time.Second)
}
