package main

import (
	"fmt"
	"syscall"
	"time"
)

// shutdownCase: the second front is told to end. A Z39.50 client whose association is closed opens another one, as long as
// it is let in, and goes on with its corrections. Each request that is taken is owed an answer.
func shutdownCase(l *lab) (int, string, error) {
	f, err := newFront(l, 10, 4)
	if err != nil {
		return 0, "", err
	}
	for _, n := range f.nodes {
		n.work = 150 * time.Millisecond
	}
	mixer, err := f.startAggregator("mixer")
	if err != nil {
		return 0, "", err
	}
	o, err := f.openAssociation()
	if err != nil {
		return 0, "", err
	}
	begun := time.Now()
	stop := begun.Add(40 * time.Second)
	if l.trouble {
		time.AfterFunc(2*time.Second, func() {
			l.note("SIGTERM")
			mixer.signal(syscall.SIGTERM)
		})
	}
	answered, refused := 0, 0
	var unanswered []string
	for i := 0; time.Now().Before(stop) && mixer.running(); i++ {
		if o == nil {
			if o, err = f.openAssociation(); err != nil {
				refused++
				time.Sleep(100 * time.Millisecond)
				continue
			}
			l.note("client: another association, %v after the start", time.Since(begun).Round(time.Millisecond))
		}
		id := fmt.Sprintf("%d:c%d", i%10, i)
		answer, err := o.correct("captions", id, 5*time.Second)
		switch {
		case err == nil && answer.tag == closePDU: // it is told that the association ends; the request was not taken
			l.note("client: the association is closed, %q", answer.child(3).body)
			o.conn.Close()
			o = nil
		case err != nil:
			if f.corrected(id) {
				unanswered = append(unanswered, id)
				l.note("client: correction %s ran and is not answered: %v", id, err)
			} else {
				l.note("client: correction %s is not answered and did not run: %v", id, err)
			}
			o.conn.Close()
			o = nil
		default:
			answered++
		}
	}
	l.note("client: %d corrections answered, let in no more %d times", answered, refused)
	if len(unanswered) > 0 {
		return broken, fmt.Sprintf("%d corrections ran and were never answered: %v", len(unanswered), unanswered), nil
	}
	return held, fmt.Sprintf("all %d corrections that were taken were answered", answered), nil
}
