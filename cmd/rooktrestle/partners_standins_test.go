package main

import (
	"testing"
	"time"

	"rooktrestle/internal/testbed/ber"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/replica"
)

// newArchive returns an archive whose replicas report started corrections and clients that disconnect.
func newArchive(t *testing.T) *replica.Archive {
	a := replica.NewArchive(4)
	a.CorrectionBegun, a.ClientDisconnected = make(chan string, 8), make(chan string, 8)
	t.Cleanup(a.Close)
	return a
}

// startStandIn starts a fake server and returns its address.
func startStandIn(t *testing.T, start func(name string, seed uint64) (*replica.Server, error), name string) string {
	t.Helper()
	n, err := start(name, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Kill)
	return n.Addr()
}

// origin is a Z39.50 client whose errors fail the test.
type origin struct {
	*client.Origin
	t *testing.T
}

func dialZ3950(t *testing.T, addr, user string) *origin {
	t.Helper()
	o, err := client.Dial(addr, user, 20*time.Second) // longer than any answer takes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return &origin{o, t}
}

// send sends a unit without waiting for its answer.
func (o *origin) send(unit string) {
	o.t.Helper()
	if err := o.Send(unit); err != nil {
		o.t.Fatal(err)
	}
}

// ask sends a unit and returns its answer.
func (o *origin) ask(unit string) ber.TLV {
	o.t.Helper()
	v, err := o.RoundTrip(unit)
	if err != nil {
		o.t.Fatal(err)
	}
	return v
}
