// Simadapter runs the balancers of simulated aggregators: it reads frames of events from the simulator on standard
// input and writes the balancers' actions to standard output. The aggregators share no state.
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

// balancers has the balancer of each running instance, by the instance's name.
type balancers map[string]*balance.Balancer

// serve answers frames until the end of the input. It reports an error to the simulator before returning it.
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

// turn passes a frame's events to their instances, in the order in which the frame first names the instances, and
// writes the balancers' actions.
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

// handle starts or stops an instance, or queues an event for its balancer. pending has the frame's queued events for
// the instance; handle returns the new queue, which is empty after a start or stop.
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
