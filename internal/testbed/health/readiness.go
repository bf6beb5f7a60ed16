package health

import (
	"fmt"
	"time"

	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/load"
	"rooktrestle/internal/testbed/replica"
)

// maxInaccurate bounds the total time in one phase for which the reported readiness may contradict the clients'
// outcomes.
const maxInaccurate = time.Second

// ReadinessAccuracy compares the readiness that the aggregator reports with the outcome of a search at the same moment,
// every 50 ms: while the replicas of a shard are down and after their return, while health checks fail, while the
// aggregator is overloaded, and while it drains.
func ReadinessAccuracy(seed uint64) (r Result, err error) {
	d, err := deployment.Start(deployment.Options{Replicas: 4, Reach: 2, Seed: seed, MaxOpen: 200})
	if err != nil {
		return r, fmt.Errorf("start a deployment: %w", err)
	}
	defer d.Stop()
	setAll(d, steady())
	time.Sleep(time.Second)
	p := &readinessPhases{
		result:     &r,
		deployment: d,
		observer:   newObserver(d.Frontend.Addr("agent"), d.Frontend.Addr("health"), d.Frontend.Addr("sru")),
	}
	defer p.observer.stop()
	if err := p.loseShard(); err != nil {
		return r, err
	}
	p.failChecks()
	p.overload(seed)
	p.drain()
	return r, nil
}

// setAll sets the same faults at every replica.
func setAll(d *deployment.Deployment, faults replica.Faults) {
	for _, server := range d.Replicas {
		server.SetFaults(faults)
	}
}

// setAllHealth sets the same answers to health checks at every replica.
func setAllHealth(d *deployment.Deployment, health replica.Health) {
	for _, server := range d.Replicas {
		server.SetHealth(health)
	}
}

// readinessPhases runs the phases of ReadinessAccuracy.
type readinessPhases struct {
	result     *Result
	deployment *deployment.Deployment
	observer   *observer
}

// run calls change, waits for d, records the inaccuracy in that time, and returns when the phase began.
func (p *readinessPhases) run(name string, d time.Duration, change func()) time.Time {
	at := time.Now()
	change()
	time.Sleep(d)
	inaccurate, longest := p.observer.inaccurate(at, time.Now().Add(-500*time.Millisecond))
	p.result.record("untrue-"+name+"-ms", float64(inaccurate.Milliseconds()))
	p.result.assert(inaccurate < maxInaccurate, "%s: inaccurate for %v, longest interval %v", name, inaccurate, longest)
	return at
}

func (p *readinessPhases) loseShard() error {
	holders := []*replica.Server{p.deployment.Replica("n1"), p.deployment.Replica("n2")} // of shard 1
	p.run("calm", 2*time.Second, func() {})
	p.run("block-lost", 4*time.Second, func() {
		for _, n := range holders {
			n.Kill()
		}
	})
	var err error
	p.run("block-back", 5*time.Second, func() {
		for _, n := range holders {
			if startErr := n.Start(); startErr != nil {
				err = fmt.Errorf("restart %s: %w", n.Name, startErr)
			}
		}
	})
	return err
}

func (p *readinessPhases) failChecks() {
	failing := replica.Health{Status: 500, RejectChecks: true}
	p.run("checks-lie-down", 4*time.Second, func() { setAllHealth(p.deployment, failing) })
	p.run("checks-well", 3*time.Second, func() { setAllHealth(p.deployment, replica.Health{}) })
}

func (p *readinessPhases) overload(seed uint64) {
	r := p.result
	var stop func()
	at := p.run("overload", 5*time.Second, func() {
		slow := steady()
		slow.Delay = 60 * time.Millisecond
		slow.Cores = 2
		setAll(p.deployment, slow)
		_, stop = load.Start(load.Plan{
			SRU:     p.deployment.Frontend.Addr("sru"),
			Rate:    150,
			Mix:     load.Mix{Searches: 1},
			Seed:    seed,
			Timeout: callTimeout,
		})
	})
	rejected, weight := p.observer.rejections(at.Add(time.Second), time.Now())
	r.record("overload-refused-%", 100*rejected)
	r.record("overload-weight-median-%", weight)
	r.assert(rejected > 0.2 && weight <= 50, "no overload: %.0f%% rejected, median weight %v%%", 100*rejected, weight)
	p.run("overload-over", 5*time.Second, func() {
		setAll(p.deployment, steady())
		go stop()
	})
}

// drain stops the frontend and checks how soon it reports that.
func (p *readinessPhases) drain() {
	r := p.result
	frontend := p.deployment.Frontend
	stopped := make(chan struct{})
	at := p.run("drain", 2*time.Second, func() {
		go func() {
			defer close(stopped)
			frontend.Stop(3 * time.Second)
		}()
	})
	p.observer.stop()
	reported := p.observer.drainReported(at)
	r.record("drain-told-ms", float64(reported.Milliseconds()))
	r.assert(reported > 0 && reported < time.Second, "the drain was reported after %v", reported)
	<-stopped
	p.deployment.Frontend = nil // stopped already
}
