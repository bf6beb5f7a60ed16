package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// newEffectCase: a new configuration replaces the unsafe class line-correction by a safe class of that name. Clients that
// still send under the old class, less than 1.2 s after SIGHUP, rely on its rules: no part runs twice.
func newEffectCase(l *lab) (int, string, error) {
	const window = 1100 * time.Millisecond
	classes := smallDeployment()
	p, err := newPlatform(l, settings(classes, 10, 20, 4), func(s *leaf, q part) action {
		if s.cell < 2 { // two of ten fail their parts quickly, after they have run
			if hash(q.id+s.id)%100 < 80 {
				return action{'E', 5 * time.Millisecond}
			}
		}
		return action{'S', 140 * time.Millisecond}
	})
	if err != nil {
		return 0, "", err
	}
	mixer, err := p.startAggregator("mixer", p.control)
	if err != nil {
		return 0, "", err
	}
	time.Sleep(1500 * time.Millisecond) // never within its first second
	if l.trouble {
		classes[2].effect = "safe"
		p.config["settings"] = settings(classes, 10, 20, 4)
		if err := writeJSON(p.configPath, p.config); err != nil {
			return 0, "", err
		}
		mixer.signal(syscall.SIGHUP)
		l.note("SIGHUP")
	}
	begun := time.Now()
	var clients sync.WaitGroup
	sent := 0
	for time.Since(begun) < window {
		r := request{id: fmt.Sprintf("c%d", sent), class: "line-correction", shards: []int{sent % 20}, deadline: 3 * time.Second, filter: "fix"}
		sent++
		clients.Go(func() { p.ask(r) })
		time.Sleep(55 * time.Millisecond)
	}
	clients.Wait()
	twice := 0
	for i := range sent {
		id := fmt.Sprintf("c%d.%d", i, i%20)
		if n := len(p.arrivals(id)); n > 1 {
			twice++
			l.note("part %s ran %d times", id, n)
		}
	}
	if twice > 0 {
		return broken, fmt.Sprintf("%d of %d corrections ran more than once", twice, sent), nil
	}
	return held, fmt.Sprintf("none of %d corrections ran twice", sent), nil
}
