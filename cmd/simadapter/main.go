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
func serve(input io.Reader, output io.Writer) error {
	reader := simadapter.NewReader(input)
	writer := simadapter.NewWriter(output)
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

// turn hands a frame's events to their instances, in the order in which the frame first names these, and writes
// what the balancers do.
func (b balancers) turn(writer *simadapter.Writer, frame *simadapter.Frame) error {
	var order []string
	pending := map[string][]balance.Event{}
	for _, event := range frame.Events {
		instance := event.Instance
		if _, seen := pending[instance]; !seen {
			order = append(order, instance)
		}
		events, err := b.handle(instance, event.Input, pending[instance])
		if err != nil {
			return err
		}
		pending[instance] = events
	}
	for _, instance := range order {
		if balancer := b[instance]; balancer != nil {
			writer.Actions(instance, balancer.Turn(frame.Now, pending[instance]))
		}
	}
	return nil
}

// handle starts or stops an instance, or takes an event for its balancer. It returns the events of this frame that the
// balancer has yet to get; pending are those so far, which an instance that starts or stops forgets.
func (b balancers) handle(instance string, input simadapter.Input, pending []balance.Event) ([]balance.Event, error) {
	switch input := input.(type) {
	case simadapter.Start:
		balancer, err := balance.New(input.Settings)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", instance, err)
		}
		b[instance] = balancer
		return nil, nil
	case simadapter.Stop:
		delete(b, instance)
		return nil, nil
	case simadapter.BalancerEvent:
		if b[instance] == nil {
			return nil, fmt.Errorf("%s has an event but was not started", instance)
		}
		return append(pending, input.Event), nil
	}
	return pending, nil
}
