// Package health has the experiments on health evidence: nodes that lie in both directions, drains, broken checks,
// agents that misbehave, crowds of silent connections, and whether the mixer's own word is true. Each runs the real
// second front on loopback against stand-ins and measures; each says which of its claims did not hold.
package health

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/testbed/ber"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/load"
	"rooktrestle/internal/testbed/replica"
)

// Result of one run of a scenario.
type Result struct {
	Values     map[string]float64 // measured; names end in their unit
	Violations []string           // claims that did not hold
	Series     []Point            // of the node's share, where the scenario has one
}

// Point of a series.
type Point struct{ At, Value float64 }

func (r *Result) set(name string, v float64) {
	if r.Values == nil {
		r.Values = map[string]float64{}
	}
	r.Values[name] = v
}

func (r *Result) claim(holds bool, format string, args ...any) {
	if !holds {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

func (r *Result) rules(in *deployment.Deployment) {
	twice := invariants.DuplicateCorrections(in.Archive)
	r.set("corrections-twice", float64(len(twice)))
	r.claim(len(twice) == 0, "corrections ran twice: %v", twice)
}

// Scenario is one experiment. scale is 1 for a recorded run; tests may shorten the waits that only measure.
type Scenario struct {
	Name, What string
	Run        func(seed uint64) (Result, error)
}

// Scenarios are the scenarios, in the order of the page that asks for them.
var Scenarios = []Scenario{
	{"liar-up", "every check says healthy, 80% of the parts fail at once", FailingWithGoodChecks},
	{"drain", "a node says drain, with 1,000 other targets, slow checks and greetings in the way", Drain},
	{"liar-down", "a node says down and serves; then it holds a block alone", ServingWithBadChecks},
	{"blind", "all checks fail at once while parts succeed", AllChecksFail},
	{"agents", "agents that hang, drip, flood, slam and refuse", MisbehavingAgents},
	{"crowd", "700 silent or half-begun connections on each listener in turn", IdleConnections},
	{"truth", "our own word against what a client gets, each 50 ms", ReadinessAccuracy},
}

// rate is the steady load, in calls a second; a search has a part for each block.
const rate = 40

func begin(in *deployment.Deployment, seed uint64) (*load.Result, func()) {
	return load.Start(load.Plan{SRU: in.Frontend.Addr("sru"), Z3950: in.Frontend.Addr("z3950"), Rate: rate, Mix: load.DefaultMix, Seed: seed,
		Timeout: 5 * time.Second, Origins: 16})
}

// loaded starts an installation whose nodes answer steadily, with callers. The returned function ends both.
func loaded(o deployment.Options, seed uint64) (in *deployment.Deployment, calls *load.Result, end func(), err error) {
	o.Seed = seed
	if in, err = deployment.Start(o); err != nil {
		return nil, nil, nil, err
	}
	for _, n := range in.Replicas {
		n.SetFaults(steady())
	}
	calls, end = begin(in, seed)
	return in, calls, end, nil
}

func steady() replica.Faults {
	return replica.Faults{Delay: 5 * time.Millisecond, Jitter: 10 * time.Millisecond}
}

// wait waits for an event, for a time at most, and returns how long after since it came.
func wait(told <-chan deployment.Event, since time.Time, most time.Duration) (time.Duration, bool) {
	select {
	case ev := <-told:
		return ev.At.Sub(since), true
	case <-time.After(most):
		return most, false
	}
}

// FailingWithGoodChecks measures how soon a node is left whose checks all say healthy while it fails 80% of its parts, what share
// it keeps, what its failing costs, and how soon it is back once sound.
func FailingWithGoodChecks(seed uint64) (r Result, err error) {
	in, calls, end, err := loaded(deployment.Options{Replicas: 4, Reach: 2, Agents: true}, seed)
	if err != nil {
		return r, err
	}
	defer in.Stop()
	defer end()
	start := time.Now()
	time.Sleep(4 * time.Second)
	bad := steady()
	bad.ErrorRate = 0.8
	left := in.Events.Next(deployment.HealthChanged("n1", "parts fail"))
	fault := time.Now()
	before, _ := invariants.TrafficShare(in.Archive, "n1", start.Add(time.Second), fault)
	r.set("share-before-%", 100*before)
	in.Replica("n1").SetFaults(bad)
	detect, ok := wait(left, fault, 3*time.Second)
	r.claim(ok, "not left within 3 s")
	r.set("detect-s", detect.Seconds())
	time.Sleep(time.Until(fault.Add(3 * time.Second)))
	from := time.Now()
	time.Sleep(12 * time.Second)
	to := time.Now()
	back := in.Events.Next(deployment.HealthChanged("n1", "well"))
	in.Replica("n1").SetFaults(steady())
	sound := time.Now()
	recover, ok := wait(back, sound, 10*time.Second)
	r.claim(ok, "not back within 10 s")
	r.set("recover-s", recover.Seconds())
	time.Sleep(6 * time.Second)
	again := time.Now()
	time.Sleep(4 * time.Second)
	over := time.Now()
	end()
	share, parts := invariants.TrafficShare(in.Archive, "n1", from, to)
	r.set("share-%", 100*share)
	r.set("parts", float64(parts))
	r.claim(share < 0.02, "%.2f%% of the parts after 3 s", 100*share)
	whole := load.CompleteFraction(calls.Calls(from, to.Add(-time.Second)))
	r.set("whole-%", 100*whole)
	r.claim(whole >= 0.995, "%.2f%% whole answers", 100*whole)
	r.set("whole-at-onset-%", 100*load.CompleteFraction(calls.Calls(fault, from)))
	share, _ = invariants.TrafficShare(in.Archive, "n1", again, over)
	r.set("share-back-%", 100*share)
	r.claim(share > before/2, "%.1f%% of the parts after its return, %.1f%% before", 100*share, 100*before)
	for at := start; at.Before(over); at = at.Add(250 * time.Millisecond) {
		s, _ := invariants.TrafficShare(in.Archive, "n1", at, at.Add(250*time.Millisecond))
		r.Series = append(r.Series, Point{at.Sub(fault).Seconds(), 100 * s})
	}
	r.rules(in)
	return r, nil
}

// Drain measures how long after a node's word of drain the last new part reaches it.
func Drain(seed uint64) (r Result, err error) {
	others := replica.NewArchive(1)
	defer others.Close()
	quick, err := others.SRU("quick", seed)
	if err != nil {
		return r, err
	}
	defer quick.Kill()
	slow, err := others.SRU("slow", seed)
	if err != nil {
		return r, err
	}
	defer slow.Kill()
	slow.SetHealth(replica.Health{Hang: true})
	in, err := deployment.Start(deployment.Options{Replicas: 6, Reach: 3, Seed: seed, Agents: true, CheckInterval: 200 * time.Millisecond, MaxSockets: 4096,
		CheckedOnlyAddr: func(i int) string {
			if i%20 == 0 {
				return slow.Addr()
			}
			return quick.Addr()
		}, CheckedOnlyCount: 1000, ExtraConfig: ""})
	if err != nil {
		return r, err
	}
	defer in.Stop()
	for _, n := range in.Replicas {
		f := steady()
		f.Delay, f.InitDelay = 60*time.Millisecond, 150*time.Millisecond
		n.SetFaults(f)
	}
	calls, end := begin(in, seed)
	defer end()
	time.Sleep(4 * time.Second)
	for i, name := range []string{"n1", "n2"} { // one of each protocol
		word := in.Events.Next(deployment.HealthChanged(name, "drain"))
		set := time.Now()
		in.Agents[1+i].Set("up drain", replica.Respond)
		_, ok := wait(word, set, 5*time.Second)
		r.claim(ok, "%s: its word was not heard within 5 s", name)
		time.Sleep(2 * time.Second)
		told := in.Agents[1+i].AnnouncedAt()
		late, last := invariants.PartsAfter(in.Archive, name, told, 300*time.Millisecond)
		r.claim(len(late) == 0, "%s: %d new parts later than 300 ms after its word", name, len(late))
		r.set("last-part-"+name+"-ms", float64(last.Microseconds())/1000)
		r.set("heard-"+name+"-ms", float64(told.Sub(set).Milliseconds()))
		in.Agents[1+i].Set("up ready 100%", replica.Respond)
		time.Sleep(time.Second)
	}
	to := time.Now()
	end()
	whole := load.CompleteFraction(calls.Calls(to.Add(-6*time.Second), to.Add(-time.Second)))
	r.set("whole-%", 100*whole)
	r.claim(whole >= 0.995, "%.2f%% whole answers: what was in hand did not finish", 100*whole)
	r.rules(in)
	return r, nil
}

// ServingWithBadChecks: a node says down and serves. It is left; once it holds a block alone, parts reach it and the log says why.
func ServingWithBadChecks(seed uint64) (r Result, err error) {
	in, calls, end, err := loaded(deployment.Options{Replicas: 4, Reach: 2, SRUOnly: true}, seed)
	if err != nil {
		return r, err
	}
	defer in.Stop()
	defer end()
	time.Sleep(2 * time.Second)
	left := in.Events.Next(deployment.HealthChanged("n1", "down (status 500)"))
	at := time.Now()
	in.Replica("n1").SetHealth(replica.Health{Status: 500})
	d, ok := wait(left, at, 3*time.Second)
	r.claim(ok, "not left")
	r.set("left-s", d.Seconds())
	from := time.Now().Add(300 * time.Millisecond)
	time.Sleep(3 * time.Second)
	share, _ := invariants.TrafficShare(in.Archive, "n1", from, time.Now())
	r.set("share-left-%", 100*share)
	r.claim(share == 0, "%.1f%% of the parts at a node that says down", 100*share)
	alone := in.Events.Next(deployment.HealthChanged("n1", "alone"))
	in.Replica("n2").Kill() // block 1 is held by n1 and n2
	at = time.Now()
	d, ok = wait(alone, at, 3*time.Second)
	r.claim(ok, "the log does not say that it holds a block alone")
	r.set("alone-s", d.Seconds())
	time.Sleep(500 * time.Millisecond)
	from = time.Now()
	time.Sleep(4 * time.Second)
	to := time.Now()
	share, _ = invariants.TrafficShare(in.Archive, "n1", from, to)
	r.set("share-alone-%", 100*share)
	r.claim(share > 0.15, "%.1f%% of the parts at the only holder", 100*share)
	end()
	whole := load.CompleteFraction(calls.Calls(from, to.Add(-time.Second)))
	r.set("whole-%", 100*whole)
	r.claim(whole >= 0.995, "%.2f%% whole answers", 100*whole)
	r.rules(in)
	return r, nil
}

// Blind: all checks fail at once while parts succeed. Service goes on.
func AllChecksFail(seed uint64) (r Result, err error) {
	in, calls, end, err := loaded(deployment.Options{Replicas: 6, Reach: 2}, seed)
	if err != nil {
		return r, err
	}
	defer in.Stop()
	defer end()
	time.Sleep(3 * time.Second)
	from := time.Now()
	for _, n := range in.Replicas {
		n.SetHealth(replica.Health{Status: 503, RejectChecks: true})
	}
	worst := 0.0
	for time.Since(from) < 8*time.Second {
		if line, err := client.AgentCheck(in.Frontend.Addr("agent"), "", time.Second); err != nil || strings.HasPrefix(line, "down") {
			worst++
		}
		time.Sleep(50 * time.Millisecond)
	}
	to := time.Now()
	for _, n := range in.Replicas {
		n.SetHealth(replica.Health{})
	}
	time.Sleep(2 * time.Second)
	end()
	whole := load.CompleteFraction(calls.Calls(from, to))
	r.set("whole-%", 100*whole)
	r.claim(whole >= 0.995, "%.2f%% whole answers while all checks fail", 100*whole)
	r.set("own-word-down-samples", worst)
	r.claim(worst == 0, "our own word was down %v times while all was answered", worst)
	r.rules(in)
	return r, nil
}

// Agents: five nodes' agents hang, drip, flood, slam and refuse, the sixth speaks. Time and memory are bounded, and
// the checks of the others keep their pace.
func MisbehavingAgents(seed uint64) (r Result, err error) {
	in, calls, end, err := loaded(deployment.Options{Replicas: 6, Reach: 2, Agents: true, CheckInterval: 100 * time.Millisecond}, seed)
	if err != nil {
		return r, err
	}
	defer in.Stop()
	defer end()
	time.Sleep(2 * time.Second)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	from := time.Now()
	for i, how := range []replica.AgentBehavior{replica.Hang, replica.Drip, replica.Flood, replica.CloseAtOnce} {
		in.Agents[i].Set("", how)
	}
	in.Agents[4].Close()
	time.Sleep(6 * time.Second)
	word := in.Events.Next(deployment.HealthChanged("n5", "drain"))
	at := time.Now()
	in.Agents[5].Set("drain", replica.Respond)
	d, ok := wait(word, at, 5*time.Second)
	r.claim(ok && d < time.Second, "the agent that speaks was heard after %v", d)
	r.set("heard-s", d.Seconds())
	time.Sleep(2 * time.Second)
	runtime.GC()
	runtime.ReadMemStats(&after)
	to := time.Now()
	end()
	grown := float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / (1 << 20)
	r.set("heap-grown-MB", grown)
	r.claim(grown < 16, "the heap grew by %.1f MB", grown)
	whole := load.CompleteFraction(calls.Calls(from, to.Add(-time.Second)))
	r.set("whole-%", 100*whole)
	r.claim(whole >= 0.995, "%.2f%% whole answers", 100*whole)
	r.rules(in)
	return r, nil
}

// crowdSize is how many connections a crowd opens.
const crowdSize = 700

// IdleConnections opens 700 silent or half-begun connections on each listener in turn. Meanwhile callers on every listener, new
// ones included, and health checks are served, and an association with a result set in use keeps it.
func IdleConnections(seed uint64) (r Result, err error) {
	in, err := deployment.Start(deployment.Options{Replicas: 4, Reach: 2, Seed: seed})
	if err != nil {
		return r, err
	}
	defer in.Stop()
	keeper, err := client.Dial(in.Frontend.Addr("z3950"), "editor", 10*time.Second)
	if err != nil {
		return r, err
	}
	defer keeper.Close()
	if out := keeper.Search("kept", "captions", "budget"); out != client.Complete {
		return r, fmt.Errorf("the search before: %v", out)
	}
	asked, failed := 0, 0
	check := func(what string, good bool) {
		if asked++; !good {
			failed++
			if failed <= 5 {
				r.claim(false, "%s was not served", what)
			}
		}
	}
	for _, l := range []string{"z3950", "sru", "health", "agent"} {
		for _, half := range []string{"", "G", "\xb4\x20", ber.InitAPDU("")} {
			if l != "z3950" && len(half) > 2 {
				half = "GET / HTTP/1.1\r\nHost: x\r\n"
			}
			slow := slowCalls(in)
			crowd := openCrowd(in.Frontend.Addr(l), half)
			what := fmt.Sprintf("%s crowd of %d (%q)", l, crowdSize, half)
			for i := range 10 {
				web := client.NewSRU(in.Frontend.Addr("sru"), 10*time.Second)
				check(what+": sru search", web.Search("captions", "budget") == client.Complete)
				check(what+": sru correction", web.Correct("captions", fmt.Sprintf("%d:%s-%d-%d", i%4, l, len(half), i)) == client.Complete)
				web.Close()
				o, err := client.Dial(in.Frontend.Addr("z3950"), "", 10*time.Second)
				check(what+": z39.50 init", err == nil)
				if err == nil {
					check(what+": z39.50 search", o.Search("s", "captions", "budget") == client.Complete)
					o.Close()
				}
				line, err := client.AgentCheck(in.Frontend.Addr("agent"), "", 10*time.Second)
				check(what+": agent-check", err == nil && strings.HasPrefix(line, "up"))
				status, _, _, err := client.Get("http://"+in.Frontend.Addr("health")+"/healthz", 10*time.Second)
				check(what+": health check", err == nil && status == 200)
				v, err := keeper.RoundTrip(ber.PresentAPDU("kept", 1, 2))
				check(what+": a kept result set", err == nil && v.Tag == 25 && ber.DiagnosticCode(v) == 0)
			}
			for name, out := range slow() {
				check(what+": "+name+" begun before", out == client.Complete)
			}
			crowd()
		}
	}
	r.set("asked", float64(asked))
	r.set("not-served", float64(failed))
	r.rules(in)
	return r, nil
}

// slowCalls begins a call over each protocol that takes a while, and returns once its parts are in hand. The returned
// function waits for their outcomes.
func slowCalls(in *deployment.Deployment) func() map[string]client.Outcome {
	for _, n := range in.Replicas {
		n.SetFaults(replica.Faults{Delay: 600 * time.Millisecond})
	}
	type named struct {
		name string
		out  client.Outcome
	}
	outs := make(chan named, 2)
	go func() {
		web := client.NewSRU(in.Frontend.Addr("sru"), 20*time.Second)
		defer web.Close()
		outs <- named{"a search over SRU", web.Search("captions", "budget")}
	}()
	go func() {
		o, err := client.Dial(in.Frontend.Addr("z3950"), "", 10*time.Second)
		if err != nil {
			outs <- named{"a search over Z39.50", client.Disconnected}
			return
		}
		defer o.Close()
		outs <- named{"a search over Z39.50", o.Search("s", "captions", "budget")}
	}()
	began := time.Now()
	for len(in.Archive.Events(began)) < 2*len(in.Replicas) && time.Since(began) < 250*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	for _, n := range in.Replicas {
		n.SetFaults(replica.Faults{})
	}
	return func() map[string]client.Outcome {
		all := map[string]client.Outcome{}
		for range 2 {
			one := <-outs
			all[one.name] = one.out
		}
		return all
	}
}

// openCrowd opens connections that send half a beginning and then nothing. The returned function ends them.
func openCrowd(addr, half string) func() {
	var conns []net.Conn
	for range crowdSize {
		c, err := net.DialTimeout("tcp", addr, 2*time.Second)
		if err != nil {
			continue
		}
		if half != "" {
			io.WriteString(c, half)
		}
		conns = append(conns, c)
	}
	return func() {
		for _, c := range conns {
			c.Close()
		}
	}
}

// ReadinessAccuracy compares the mixer's own word with what a client asking at that moment gets, each 50 ms, while a block loses
// its holders and gets them back, while the mixer is overloaded, and while it drains.
func ReadinessAccuracy(seed uint64) (r Result, err error) {
	in, err := deployment.Start(deployment.Options{Replicas: 4, Reach: 2, Seed: seed, MaxOpen: 200})
	if err != nil {
		return r, err
	}
	defer in.Stop()
	for _, n := range in.Replicas {
		n.SetFaults(steady())
	}
	time.Sleep(time.Second)
	w := newWitness(in.Frontend.Addr("agent"), in.Frontend.Addr("health"), in.Frontend.Addr("sru"))
	defer w.stop()
	phase := func(name string, d time.Duration, do func()) time.Time {
		at := time.Now()
		do()
		time.Sleep(d)
		lies, most := w.untrue(at, time.Now().Add(-500*time.Millisecond))
		r.set("untrue-"+name+"-ms", float64(lies.Milliseconds()))
		r.claim(lies < time.Second, "%s: untrue for %v, %v at a stretch", name, lies, most)
		return at
	}
	phase("calm", 2*time.Second, func() {})
	phase("block-lost", 4*time.Second, func() { in.Replica("n1").Kill(); in.Replica("n2").Kill() })
	phase("block-back", 5*time.Second, func() { in.Replica("n1").Start(); in.Replica("n2").Start() })
	phase("checks-lie-down", 4*time.Second, func() {
		for _, n := range in.Replicas {
			n.SetHealth(replica.Health{Status: 500, RejectChecks: true})
		}
	})
	phase("checks-well", 3*time.Second, func() {
		for _, n := range in.Replicas {
			n.SetHealth(replica.Health{})
		}
	})
	var end func()
	at := phase("overload", 5*time.Second, func() {
		for _, n := range in.Replicas {
			f := steady()
			f.Delay, f.Cores = 60*time.Millisecond, 2
			n.SetFaults(f)
		}
		_, end = load.Start(load.Plan{SRU: in.Frontend.Addr("sru"), Rate: 150, Mix: load.Mix{Searches: 1}, Seed: seed, Timeout: 5 * time.Second})
	})
	refused, weight := w.pressed(at.Add(time.Second), time.Now())
	r.set("overload-refused-%", 100*refused)
	r.set("overload-weight-median-%", weight)
	r.claim(refused > 0.2 && weight <= 50, "no overload to speak of: %.0f%% refused, weight %v", 100*refused, weight)
	phase("overload-over", 5*time.Second, func() {
		for _, n := range in.Replicas {
			n.SetFaults(steady())
		}
		go end()
	})
	var once sync.WaitGroup
	once.Add(1)
	at = phase("drain", 2*time.Second, func() {
		go func() { in.Frontend.Stop(3 * time.Second); once.Done() }()
	})
	w.stop()
	told := w.drained(at)
	r.set("drain-told-ms", float64(told.Milliseconds()))
	r.claim(told > 0 && told < time.Second, "the drain was told after %v", told)
	once.Wait()
	in.Frontend = nil
	return r, nil
}
