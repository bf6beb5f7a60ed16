package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// movedCase: a new configuration moves discovery, and the process is replaced later. The process that replaces it has to
// hear of a leaf server that begins to drain.
func movedCase(l *lab) (int, string, error) {
	p, err := newPlatform(l, settings(smallDeployment(), 10, 20, 4), func(*leaf, part) action {
		return action{'S', 150 * time.Millisecond}
	})
	if err != nil {
		return 0, "", err
	}
	environment := p.discovery.addr // stays as it is: "everything else unchanged"
	old, err := p.startAggregator("old process", p.control)
	if err != nil {
		return 0, "", err
	}
	time.Sleep(1500 * time.Millisecond) // no SIGHUP within its first second
	if l.trouble {
		former := p.discovery
		if p.discovery, err = newDiscovery(p.leaves); err != nil {
			return 0, "", err
		}
		p.config["discovery"] = p.discovery.addr
		if err := writeJSON(p.configPath, p.config); err != nil {
			return 0, "", err
		}
		old.signal(syscall.SIGHUP)
		l.note("SIGHUP: discovery moves from %s to %s", former.addr, p.discovery.addr)
		former.listener.Close() // accepts no new connection
		time.AfterFunc(1500*time.Millisecond, former.server.CloseNow)
	}
	time.Sleep(5 * time.Second)
	control := freeAddress()
	if _, err := p.startAggregatorWith("new process", control, environment); err != nil {
		return 0, "", err
	}
	l.note("the new process has said yes")
	old.signal(syscall.SIGTERM)
	l.note("SIGTERM to the old process")
	stop := time.Now().Add(14 * time.Second)
	var clients sync.WaitGroup
	for c := range 3 {
		clients.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				p.ask(request{id: fmt.Sprintf("c%d-%d", c, i), class: "line-search", shards: []int{i % 20, (i + 5) % 20, (i + 10) % 20},
					deadline: 4 * time.Second, filter: "caption"})
			}
		})
	}
	time.Sleep(4 * time.Second)
	drains := p.leaves[3]
	p.discovery.setState(drains.id, "DRAINING")
	told := time.Now()
	l.note("discovery tells that %s drains", drains.id)
	clients.Wait()
	late := 0
	drains.mu.Lock()
	for _, seen := range drains.seen {
		if seen.at.Sub(told) > 6*time.Second {
			late++
		}
	}
	drains.mu.Unlock()
	if late > 0 {
		return broken, fmt.Sprintf("%d parts went to %s over 6 s after discovery told that it drains", late, drains.id), nil
	}
	return held, "nothing went to the leaf server that drains", nil
}
