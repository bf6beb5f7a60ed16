// Simadapter runs the balancers of aggregators under the simulator: it reads frames of events from standard input and
// writes actions to standard output. The aggregators share nothing.
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

// balancers are those of the running instances, by the instance's name.
type balancers map[string]*balance.Balancer

// serve answers frames until the input ends. It reports an error to the simulator before it returns it.
func serve(in io.Reader, out io.Writer) error {
	reader, writer := simadapter.NewReader(in), simadapter.NewWriter(out)
	running := balancers{}
	for {
		frame, err := reader.Frame()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = running.turn(writer, frame)
		}
		if err != nil {
			writer.Fault(err.Error())
			return errors.Join(err, writer.End())
		}
		if err := writer.End(); err != nil {
			return err
		}
	}
}

// turn hands a frame's events to their instances, in the order in which the frame first names these, and writes what the
// balancers do.
func (b balancers) turn(writer *simadapter.Writer, frame *simadapter.Frame) error {
	var order []string
	events := map[string][]balance.Event{}
	for _, e := range frame.Events {
		if _, seen := events[e.Instance]; !seen {
			order = append(order, e.Instance)
			events[e.Instance] = nil
		}
		switch input := e.Input.(type) {
		case simadapter.Start:
			fresh, err := balance.New(input.Settings)
			if err != nil {
				return fmt.Errorf("%s: %w", e.Instance, err)
			}
			b[e.Instance], events[e.Instance] = fresh, nil
		case simadapter.Stop:
			delete(b, e.Instance)
			events[e.Instance] = nil
		case simadapter.BalancerEvent:
			if b[e.Instance] == nil {
				return fmt.Errorf("%s has an event but was not started", e.Instance)
			}
			events[e.Instance] = append(events[e.Instance], input.Event)
		}
	}
	for _, instance := range order {
		if balancer := b[instance]; balancer != nil {
			writer.Actions(instance, balancer.Turn(frame.Now, events[instance]))
		}
	}
	return nil
}
