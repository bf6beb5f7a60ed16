// Wirehost hosts gatherers' decisions on the bench's wire: events on standard
// input, actions on standard output. The gatherers share nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"rooktrestle/balance"
	"rooktrestle/internal/simadapter"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve answers frames until the input ends. An error is told on the wire before it is returned.
func serve(in io.Reader, out io.Writer) error {
	r, w := simadapter.NewReader(in), simadapter.NewWriter(out)
	hosted := map[string]*balance.Balancer{}
	for {
		f, err := r.Frame()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = turn(w, f, hosted)
		}
		if err != nil {
			w.Fault(err.Error())
			return errors.Join(err, w.End())
		}
		if err := w.End(); err != nil {
			return err
		}
	}
}

// turn hands a frame's events to the gatherers they are for and prints what these do.
func turn(w *simadapter.Writer, f *simadapter.Frame, hosted map[string]*balance.Balancer) error {
	var order []string
	events := map[string][]balance.Event{}
	for _, e := range f.Events {
		if _, seen := events[e.Instance]; !seen {
			order = append(order, e.Instance)
			events[e.Instance] = nil
		}
		switch what := e.What.(type) {
		case simadapter.Start:
			b, err := balance.New(what.Settings)
			if err != nil {
				return fmt.Errorf("%s: %w", e.Instance, err)
			}
			hosted[e.Instance], events[e.Instance] = b, nil
		case simadapter.Stop:
			delete(hosted, e.Instance)
			events[e.Instance] = nil
		case balance.Event:
			if hosted[e.Instance] == nil {
				return fmt.Errorf("%s has an event but was not started", e.Instance)
			}
			events[e.Instance] = append(events[e.Instance], what)
		}
	}
	for _, name := range order {
		if b := hosted[name]; b != nil {
			w.Actions(name, b.Turn(f.Now, events[name]))
		}
	}
	return nil
}
