package health

import (
	"strings"
	"time"

	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/load"
	"rooktrestle/internal/testbed/replica"
)

// FailingWithGoodChecks runs a replica that fails 80% of its parts while all its checks pass. It measures the time to
// its ejection, its remaining fraction of the traffic, the effect of its failures on answers, and the time to its
// return after the fault.
func FailingWithGoodChecks(seed uint64) (r Result, err error) {
	d, calls, stop, err := startUnderLoad(deployment.Options{Replicas: 4, Reach: 2, Agents: true}, seed)
	if err != nil {
		return r, err
	}
	defer d.Stop()
	defer stop()
	m := failureTimes{start: time.Now()}
	time.Sleep(4 * time.Second)
	m.fault = time.Now()
	before, _ := invariants.TrafficFraction(d.Archive, "n1", m.start.Add(time.Second), m.fault)
	r.record("share-before-%", 100*before)
	m.fail(&r, d)
	m.recover(&r, d)
	stop()
	m.report(&r, d, calls, before)
	r.checkCorrections(d)
	return r, nil
}

// failureTimes are the moments of FailingWithGoodChecks.
type failureTimes struct {
	start         time.Time
	fault         time.Time // the replica begins to fail
	ejectedFrom   time.Time // it still fails, and its ejection has taken full effect
	ejectedTo     time.Time
	recoveredFrom time.Time // it is healthy, and its return has taken full effect
	recoveredTo   time.Time
}

// fail makes the replica fail and waits for its ejection.
func (m *failureTimes) fail(r *Result, d *deployment.Deployment) {
	faults := steady()
	faults.ErrorRate = 0.8
	ejected := d.Events.Next(deployment.HealthChanged("n1", "parts fail"))
	d.Replica("n1").SetFaults(faults)
	detect, ok := waitForEvent(ejected, m.fault, 3*time.Second)
	r.assert(ok, "not ejected within 3 s")
	r.record("detect-s", detect.Seconds())
	time.Sleep(time.Until(m.fault.Add(3 * time.Second)))
	m.ejectedFrom = time.Now()
	time.Sleep(12 * time.Second)
	m.ejectedTo = time.Now()
}

// recover ends the fault and waits for the replica's return.
func (m *failureTimes) recover(r *Result, d *deployment.Deployment) {
	back := d.Events.Next(deployment.HealthChanged("n1", "well"))
	d.Replica("n1").SetFaults(steady())
	healthySince := time.Now()
	elapsed, ok := waitForEvent(back, healthySince, 10*time.Second)
	r.assert(ok, "not back within 10 s")
	r.record("recover-s", elapsed.Seconds())
	time.Sleep(6 * time.Second)
	m.recoveredFrom = time.Now()
	time.Sleep(4 * time.Second)
	m.recoveredTo = time.Now()
}

func (m *failureTimes) report(r *Result, d *deployment.Deployment, calls *load.Result, before float64) {
	const seriesStep = 250 * time.Millisecond
	fraction, parts := invariants.TrafficFraction(d.Archive, "n1", m.ejectedFrom, m.ejectedTo)
	r.record("share-%", 100*fraction)
	r.record("parts", float64(parts))
	r.assert(fraction < 0.02, "%.2f%% of the parts after 3 s", 100*fraction)
	r.checkComplete(calls.Calls(m.ejectedFrom, m.ejectedTo.Add(-time.Second)), "")
	r.record("whole-at-onset-%", 100*load.CompleteFraction(calls.Calls(m.fault, m.ejectedFrom)))
	fraction, _ = invariants.TrafficFraction(d.Archive, "n1", m.recoveredFrom, m.recoveredTo)
	r.record("share-back-%", 100*fraction)
	r.assert(fraction > before/2, "%.1f%% of the parts after its return, %.1f%% before", 100*fraction, 100*before)
	for at := m.start; at.Before(m.recoveredTo); at = at.Add(seriesStep) {
		fraction, _ := invariants.TrafficFraction(d.Archive, "n1", at, at.Add(seriesStep))
		r.Series = append(r.Series, Point{At: at.Sub(m.fault).Seconds(), Value: 100 * fraction})
	}
}

// ServingWithBadChecks runs a replica that serves parts while its check reports down. It must receive no traffic until
// it is the only usable replica of a shard; then it must, and the log must state the reason.
func ServingWithBadChecks(seed uint64) (r Result, err error) {
	d, calls, stop, err := startUnderLoad(deployment.Options{Replicas: 4, Reach: 2, SRUOnly: true}, seed)
	if err != nil {
		return r, err
	}
	defer d.Stop()
	defer stop()
	time.Sleep(2 * time.Second)
	down := d.Events.Next(deployment.HealthChanged("n1", "down (status 500)"))
	at := time.Now()
	d.Replica("n1").SetHealth(replica.Health{Status: 500})
	elapsed, ok := waitForEvent(down, at, 3*time.Second)
	r.assert(ok, "not considered down within 3 s")
	r.record("left-s", elapsed.Seconds())
	from := time.Now().Add(300 * time.Millisecond)
	time.Sleep(3 * time.Second)
	fraction, _ := invariants.TrafficFraction(d.Archive, "n1", from, time.Now())
	r.record("share-left-%", 100*fraction)
	r.assert(fraction == 0, "%.1f%% of the parts at a replica whose check reports down", 100*fraction)

	onlyHolder := d.Events.Next(deployment.HealthChanged("n1", "alone"))
	d.Replica("n2").Kill() // n1 and n2 are the replicas of shard 1
	at = time.Now()
	elapsed, ok = waitForEvent(onlyHolder, at, 3*time.Second)
	r.assert(ok, "the log does not report within 3 s that it is the only usable replica of a shard")
	r.record("alone-s", elapsed.Seconds())
	time.Sleep(500 * time.Millisecond)
	from = time.Now()
	time.Sleep(4 * time.Second)
	to := time.Now()
	fraction, _ = invariants.TrafficFraction(d.Archive, "n1", from, to)
	r.record("share-alone-%", 100*fraction)
	r.assert(fraction > 0.15, "%.1f%% of the parts at the only usable replica", 100*fraction)
	stop()
	r.checkComplete(calls.Calls(from, to.Add(-time.Second)), "")
	r.checkCorrections(d)
	return r, nil
}

// AllChecksFail makes every check fail at the same time while parts succeed. Queries must still be served, and the
// reported readiness must agree.
func AllChecksFail(seed uint64) (r Result, err error) {
	d, calls, stop, err := startUnderLoad(deployment.Options{Replicas: 6, Reach: 2}, seed)
	if err != nil {
		return r, err
	}
	defer d.Stop()
	defer stop()
	time.Sleep(3 * time.Second)
	from := time.Now()
	setAllHealth(d, replica.Health{Status: 503, RejectChecks: true})
	downSamples := 0.0
	for time.Since(from) < 8*time.Second {
		line, err := client.AgentCheck(d.Frontend.Addr("agent"), "", time.Second)
		if err != nil || strings.HasPrefix(line, "down") {
			downSamples++
		}
		time.Sleep(50 * time.Millisecond)
	}
	to := time.Now()
	setAllHealth(d, replica.Health{})
	time.Sleep(2 * time.Second)
	stop()
	r.checkComplete(calls.Calls(from, to), " while all checks fail")
	r.record("own-word-down-samples", downSamples)
	r.assert(downSamples == 0, "the aggregator reported down %v times while all replicas served", downSamples)
	r.checkCorrections(d)
	return r, nil
}
