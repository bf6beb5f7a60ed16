package health

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/testbed/client"
)

// sampleInterval is how often the reported readiness is compared with what a client gets.
const sampleInterval = 50 * time.Millisecond

// sample is one moment: what was reported, and what came of a search that was sent at that moment.
type sample struct {
	at       time.Time
	agent    string // answer of the agent-check; empty: it got none
	status   int    // of /readyz/captions; 0: it got none
	drain    bool   // the agent-check's answer says drain
	outcome  client.Outcome
	answered bool // the search has ended
}

// isBetween says whether the sample was taken between two moments.
func (s *sample) isBetween(from, to time.Time) bool { return !s.at.Before(from) && s.at.Before(to) }

// observer takes samples until it is stopped.
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

// newObserver starts an observer of the listeners at the three addresses.
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

// stop ends the observer and waits for the calls in flight. It may be called more than once.
func (o *observer) stop() {
	o.once.Do(func() { close(o.quit) })
	o.running.Wait()
}

// weight is what the agent-check reported, in percent; 0 if it reported none.
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

// rejections is the fraction of the searches between two moments that was rejected, and the median of the weights.
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

// drainReported is how long after a moment a drain was first reported; 0: never.
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

// minHonestWeight is the least weight that promises that queries are admitted, in percent.
const minHonestWeight = 50

// isInaccurate says whether the report differs from what the client got. Partial and overdue answers may come
// whatever is reported, and rejections where the weight is low.
func (s *sample) isInaccurate() bool {
	switch {
	case !s.answered || s.agent == "":
		return false
	case s.drain: // served or not, a balancer is to go elsewhere
		return false
	case s.outcome == client.Complete:
		return s.status != 200
	case s.outcome == client.Rejected:
		return s.weight() > minHonestWeight && s.status == 200
	case s.outcome == client.Failed || s.outcome == client.Disconnected:
		return s.status == 200
	}
	return false
}

// inaccurate is for how long between two moments the report was inaccurate, in all and at the longest stretch.
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
