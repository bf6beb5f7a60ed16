package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// resultSetCase: two neighbouring nodes take parts and answer none while a client searches over Z39.50, so that its answer
// is partial and says so. The client then reads its result set page by page.
func resultSetCase(l *lab) (int, string, error) {
	const nodes, perBlock, page = 10, 6, 10
	f, err := newFront(l, nodes, perBlock)
	if err != nil {
		return 0, "", err
	}
	if _, err := f.startAggregator("mixer"); err != nil {
		return 0, "", err
	}
	o, err := f.openAssociation()
	if err != nil {
		return 0, "", err
	}
	setSilent := func(silent bool) {
		if l.trouble {
			f.nodes[0].silent.Store(silent)
			f.nodes[1].silent.Store(silent)
			l.note("node-0 and node-1 silent: %v", silent)
		}
	}
	setSilent(true)
	answer, err := o.search("a", "coverage", "caption", 9*time.Second)
	if err != nil {
		return 0, "", err
	}
	count := answer.child(23).number()
	l.note("search: %d records, status %x, result set status %d, diagnostic %q", count, answer.child(22).body, answer.child(26).number(), answer.child(130).body)
	time.Sleep(4 * time.Second)
	setSilent(false)
	time.Sleep(6 * time.Second) // the nodes are back in use
	var got []string
	for start := 1; start <= count && start <= 41; start += page {
		answer, err := o.present("a", start, min(page, count-start+1), 9*time.Second)
		if err != nil {
			return 0, "", err
		}
		ids := lines(answer)
		l.note("present %d: status %d, diagnostic %q, %v", start, answer.child(27).number(), answer.child(130).body, strings.Join(ids, " "))
		if answer.has(130) { // it says that something is wrong: no claim is made
			break
		}
		got = append(got, ids...)
	}
	seen := map[string]bool{}
	var twice []string
	for _, id := range got {
		if seen[id] {
			twice = append(twice, id)
		}
		seen[id] = true
	}
	if len(twice) > 0 {
		slices.Sort(twice)
		return broken, fmt.Sprintf("records presented twice, as if each page were of one whole set: %v", twice), nil
	}
	return held, "each record was presented once", nil
}
