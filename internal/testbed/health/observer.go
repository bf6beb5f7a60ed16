package health

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/testbed/client"
)

// sampleInterval is the interval at which the reported readiness is compared with the outcome of a search.
const sampleInterval = 50 * time.Millisecond

// sample is one observation: the reported readiness, and the outcome of a search that was sent at the same moment.
type sample struct {
	at       time.Time
	agent    string // answer of the agent-check; empty: none
	status   int    // of /readyz/captions; 0: no answer
	drain    bool   // the agent-check's answer reports drain
	outcome  client.Outcome
	answered bool // the search has completed
}

// isBetween reports whether the sample was taken at or after from and before to.
func (s *sample) isBetween(from, to time.Time) bool { return !s.at.Before(from) && s.at.Before(to) }

// observer collects samples until it is stopped.
type observer struct {
	agentAddr  string
	healthAddr string
	web        *client.SRU

	mu      sync.Mutex
	samples []*sample
	quit    chan struct{}
	once    sync.Once
	running sync.WaitGroup
}

// newObserver starts an observer of the agent, health and SRU listeners at these addresses.
func newObserver(agent, health, sru string) *observer {
	o := &observer{
		agentAddr:  agent,
		healthAddr: health,
		web:        client.NewSRU(sru, callTimeout),
		quit:       make(chan struct{}),
	}
	o.running.Go(o.run)
	return o
}

func (o *observer) run() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-o.quit:
			return
		case <-tick.C:
		}
		s := &sample{at: time.Now()}
		o.mu.Lock()
		o.samples = append(o.samples, s)
		o.mu.Unlock()
		o.running.Go(func() { o.search(s) })
		o.running.Go(func() { o.readReadiness(s) })
	}
}

func (o *observer) search(s *sample) {
	out := o.web.Search("captions", "budget")
	o.mu.Lock()
	defer o.mu.Unlock()
	s.outcome = out
	s.answered = true
}

func (o *observer) readReadiness(s *sample) {
	line, err := client.AgentCheck(o.agentAddr, "", time.Second)
	if err != nil {
		line = ""
	}
	status, _, _, err := client.Get("http://"+o.healthAddr+"/readyz/captions", time.Second)
	if err != nil {
		status = 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	s.agent = line
	s.status = status
	s.drain = strings.Contains(line, "drain")
}

// stop stops the observer and waits for the calls in flight. It may be called more than once.
func (o *observer) stop() {
	o.once.Do(func() { close(o.quit) })
	o.running.Wait()
}

// weight returns the weight in percent that the agent-check reported, or 0 if it reported none.
func (s *sample) weight() (weight int) {
	line, _, _ := strings.Cut(s.agent, "#")
	for _, field := range strings.Fields(line) {
		digits, ok := strings.CutSuffix(field, "%")
		if !ok {
			continue
		}
		for _, digit := range digits {
			weight = weight*10 + int(digit-'0')
		}
	}
	return weight
}

// rejections returns the fraction of the searches between two moments that was rejected, and the median of the reported
// weights.
func (o *observer) rejections(from, to time.Time) (rejected, weight float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var weights []float64
	answered := 0.0
	for _, s := range o.samples {
		if !s.answered || !s.isBetween(from, to) {
			continue
		}
		answered++
		if s.outcome == client.Rejected {
			rejected++
		}
		weights = append(weights, float64(s.weight()))
	}
	if answered == 0 {
		return 0, 0
	}
	slices.Sort(weights)
	return rejected / answered, weights[len(weights)/2]
}

// drainReported returns the time from a moment to the first report of a drain, or 0 if there was none.
func (o *observer) drainReported(at time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.samples {
		if s.drain && !s.at.Before(at) {
			return max(s.at.Sub(at), time.Millisecond)
		}
	}
	return 0
}

// maxOverloadWeight is the weight in percent up to which rejected queries do not contradict the report.
const maxOverloadWeight = 50

// isInaccurate reports whether the reported readiness contradicts the outcome of the search. Partial and overdue
// answers contradict no report, and rejections do not contradict a low weight.
func (s *sample) isInaccurate() bool {
	switch {
	case !s.answered || s.agent == "":
		return false
	case s.drain: // a load balancer must use other instances, whether or not queries are served
		return false
	case s.outcome == client.Complete:
		return s.status != 200
	case s.outcome == client.Rejected:
		return s.weight() > maxOverloadWeight && s.status == 200
	case s.outcome == client.Failed || s.outcome == client.Disconnected:
		return s.status == 200
	}
	return false
}

// inaccurate returns for how long the report was inaccurate between two moments, in total and without interruption.
func (o *observer) inaccurate(from, to time.Time) (total, longest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	stretch := time.Duration(0)
	for _, s := range o.samples {
		if !s.isBetween(from, to) {
			continue
		}
		if !s.isInaccurate() {
			stretch = 0
			continue
		}
		total += sampleInterval
		stretch += sampleInterval
		longest = max(longest, stretch)
	}
	return total, longest
}
