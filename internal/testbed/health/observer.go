package health

import (
	"slices"
	"strings"
	"sync"
	"time"

	"rooktrestle/internal/testbed/client"
)

// sampleEvery is how often the word is compared with what a client gets.
const sampleEvery = 50 * time.Millisecond

// sample is one moment: what was said, and what a search asked at that moment came to.
type sample struct {
	at       time.Time
	agent    string
	status   int // of /readyz/captions
	drain    bool
	outcome  client.Outcome
	answered bool // the search has come to an end
	untrue   string
}

// witness samples until it is stopped.
type witness struct {
	mu      sync.Mutex
	samples []*sample
	quit    chan struct{}
	once    sync.Once
	over    sync.WaitGroup
}

func newWitness(agent, health, sru string) *witness {
	w := &witness{quit: make(chan struct{})}
	web := client.NewSRU(sru, 5*time.Second)
	w.over.Add(1)
	go func() {
		defer w.over.Done()
		tick := time.NewTicker(sampleEvery)
		defer tick.Stop()
		for {
			select {
			case <-w.quit:
				return
			case <-tick.C:
			}
			s := &sample{at: time.Now()}
			w.mu.Lock()
			w.samples = append(w.samples, s)
			w.mu.Unlock()
			w.over.Add(2)
			go func() {
				defer w.over.Done()
				out := web.Search("captions", "budget")
				w.mu.Lock()
				s.outcome, s.answered = out, true
				w.mu.Unlock()
			}()
			go func() {
				defer w.over.Done()
				line, err := client.AgentCheck(agent, "", time.Second)
				if err != nil {
					line = ""
				}
				status, _, _, err := client.Get("http://"+health+"/readyz/captions", time.Second)
				if err != nil {
					status = 0
				}
				w.mu.Lock()
				s.agent, s.status, s.drain = line, status, strings.Contains(line, "drain")
				w.mu.Unlock()
			}()
		}
	}()
	return w
}

func (w *witness) stop() {
	w.once.Do(func() { close(w.quit) })
	w.over.Wait()
}

// weight is what the agent said of it, in percent; 0 if it named none.
func (s *sample) weight() (weight int) {
	word, _, _ := strings.Cut(s.agent, "#")
	for _, f := range strings.Fields(word) {
		if strings.HasSuffix(f, "%") {
			for _, c := range strings.TrimSuffix(f, "%") {
				weight = weight*10 + int(c-'0')
			}
		}
	}
	return weight
}

// pressed is the share of the searches between two moments that were refused, and the median weight told.
func (w *witness) pressed(from, to time.Time) (refused, weight float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var weights []float64
	n := 0.0
	for _, s := range w.samples {
		if s.answered && !s.at.Before(from) && s.at.Before(to) {
			n++
			if s.outcome == client.Rejected {
				refused++
			}
			weights = append(weights, float64(s.weight()))
		}
	}
	if n == 0 {
		return 0, 0
	}
	slices.Sort(weights)
	return refused / n, weights[len(weights)/2]
}

// drained is how long after a moment the first word of drain came; 0: none did.
func (w *witness) drained(at time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.samples {
		if s.drain && !s.at.Before(at) {
			return max(s.at.Sub(at), time.Millisecond)
		}
	}
	return 0
}

// lies says what of a sample was untrue; empty: nothing. Partial and late answers are no lie; refusals are none where
// the weight is low.
func (s *sample) lies() string {
	switch {
	case !s.answered || s.agent == "":
		return ""
	case s.drain:
		return "" // served or not, a balancer was told to go elsewhere
	case s.outcome == client.Complete && s.status != 200:
		return "answered, and not ready"
	case s.outcome == client.Rejected && s.weight() > 50 && s.status == 200:
		return "refused, and a high weight"
	case (s.outcome == client.Failed || s.outcome == client.Disconnected) && s.status == 200:
		return "not answered, and ready"
	}
	return ""
}

// untrue is for how long between two moments the word was untrue, in all and at the longest stretch.
func (w *witness) untrue(from, to time.Time) (all, most time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := time.Duration(0)
	for _, s := range w.samples {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		if s.lies() == "" {
			run = 0
			continue
		}
		all += sampleEvery
		run += sampleEvery
		most = max(most, run)
	}
	return all, most
}
