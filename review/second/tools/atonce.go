package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// atOnceCase: a client sends many requests at once on one connection, each well under the limit on bodies.
func atOnceCase(l *lab) (int, string, error) {
	const (
		requests    = 40
		filterBytes = 3000
		piece       = 14600 // what a new TCP connection sends before its first acknowledgement
	)
	p, err := newPlatform(l, settings(smallDeployment(), 10, 20, 4), func(*leaf, part) action {
		return action{'S', 150 * time.Millisecond}
	})
	if err != nil {
		return 0, "", err
	}
	if _, err := p.startAggregator("mixer", p.control); err != nil {
		return 0, "", err
	}
	p.warmUp()
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	var texts []string
	for i := range requests {
		texts = append(texts, request{id: fmt.Sprintf("q%d", i), class: "line-correction", shards: []int{i % 20},
			deadline: 3 * time.Second, filter: strings.Repeat("c", filterBytes)}.text())
	}
	answered := 0
	read := func() error {
		r := readResponse(in)
		if r.err != nil {
			l.note("client: no further answer: %v", r.err)
			return r.err
		}
		l.note("client: answer %d: %d, close %v, %s", answered, r.status, r.close, r.body)
		answered++
		return nil
	}
	if l.trouble {
		all := strings.Join(texts, "")
		l.note("client sends %d requests at once, %d bytes", requests, len(all))
		for len(all) > 0 { // as a network with a millisecond of delay carries them
			n := min(piece, len(all))
			io.WriteString(conn, all[:n])
			all = all[n:]
			time.Sleep(time.Millisecond)
		}
		for answered < requests && read() == nil {
		}
	} else {
		for _, text := range texts {
			io.WriteString(conn, text)
			if read() != nil {
				break
			}
		}
	}
	ran := 0
	for i := range requests {
		ran += len(p.arrivals(fmt.Sprintf("q%d.%d", i, i%20)))
	}
	if answered < requests {
		return broken, fmt.Sprintf("%d of %d requests got a final answer; %d were forwarded", answered, requests, ran), nil
	}
	return held, "all answered", nil
}
