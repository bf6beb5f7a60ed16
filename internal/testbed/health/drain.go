package health

import (
	"fmt"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/replica"
)

const (
	otherServers     = 1000                   // how many servers are only checked
	slowServerEvery  = 20                     // of otherServers: checks of every 20th get no answer
	maxPartsAfter    = 300 * time.Millisecond // after the agent said drain: until then new parts may arrive
	agentDrainAnswer = "up drain"
	agentReadyAnswer = "up ready 100%"
)

// Drain measures how long after a replica's agent said drain the last new part reaches it.
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
	r.checkComplete(calls.Calls(to.Add(-6*time.Second), to.Add(-time.Second)), ": what was in flight did not finish")
	r.checkCorrections(d)
	return r, nil
}

// checkedOnly are two replicas that stand for the servers that are only checked.
type checkedOnly struct {
	archive *replica.Archive
	quick   *replica.Server // answers its checks
	slow    *replica.Server // does not
}

func startCheckedOnly(seed uint64) (*checkedOnly, error) {
	archive := replica.NewArchive(1)
	quick, err := archive.SRU("quick", seed)
	if err != nil {
		return nil, fmt.Errorf("start a server to check: %w", err)
	}
	slow, err := archive.SRU("slow", seed)
	if err != nil {
		quick.Kill()
		return nil, fmt.Errorf("start a server to check: %w", err)
	}
	slow.SetHealth(replica.Health{Hang: true})
	return &checkedOnly{archive: archive, quick: quick, slow: slow}, nil
}

// addr is the address of the server with an index.
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

// measureDrain lets the agent of one replica say drain, and then ready again.
func measureDrain(r *Result, d *deployment.Deployment, index int) {
	name := d.Replicas[index].Name
	agent := d.Agents[index]
	draining := d.Events.Next(deployment.HealthChanged(name, "drain"))
	set := time.Now()
	agent.Set(agentDrainAnswer, replica.Respond)
	_, ok := wait(draining, set, 5*time.Second)
	r.claim(ok, "%s: its drain was not noticed within 5 s", name)
	time.Sleep(2 * time.Second)
	announced := agent.AnnouncedAt()
	overdue, last := invariants.PartsAfter(d.Archive, name, announced, maxPartsAfter)
	r.claim(len(overdue) == 0, "%s: %d new parts later than %v after it said drain", name, len(overdue), maxPartsAfter)
	r.set("last-part-"+name+"-ms", float64(last.Microseconds())/1000)
	r.set("heard-"+name+"-ms", float64(announced.Sub(set).Milliseconds()))
	agent.Set(agentReadyAnswer, replica.Respond)
	time.Sleep(time.Second)
}
