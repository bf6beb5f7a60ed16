package app

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"rooktrestle/balance"
	"rooktrestle/internal/aggregator"
	adminfront "rooktrestle/internal/frontend/admin"
	"rooktrestle/internal/protocol/admin"
)

// adminTimeout is how long an operator's call waits for the loop. Operators expect an answer within a second.
const adminTimeout = 800 * time.Millisecond

// Errors that reject an operator's call.
var (
	errNotReady      = errors.New("not ready")
	errBusy          = errors.New("busy")
	errUnknownServer = errors.New("no such server was ever listed")
)

// operators answers the calls at the control address.
type operators struct {
	server      *platformServer
	maintenance *maintenanceStore
	listener    *adminfront.Server // nil: no control address is configured
	ready       atomic.Bool        // the process accepts queries
	reloads     reloadCounters
	classes     []string // that requests may name; used on the loop only
}

// reloadCounters counts configuration reloads by SIGHUP.
type reloadCounters struct {
	loaded  atomic.Uint64
	invalid atomic.Uint64
}

// newOperators loads the servers that operators detached in a previous process, and posts them to the loop.
func newOperators(s *platformServer) *operators {
	o := &operators{server: s, classes: s.node.Deployment.Classes}
	dir := s.node.StateDir
	if s.node.Control == "" {
		dir = "" // no operator can call this process, so nothing is persisted or loaded
	}
	o.maintenance = newMaintenanceStore(dir, s.node.Name, func(server string, detached bool) {
		s.mailbox.Put(aggregator.MaintenanceChanged{Server: balance.Replica(server), Detached: detached})
	}, logf)
	return o
}

// listen opens the control address, if one is configured, and starts to sync with the process that replaces this one or
// is replaced by it.
func (o *operators) listen() (err error) {
	address := o.server.node.Control
	if address == "" {
		return nil
	}
	if o.listener, err = adminfront.Listen(address, o.answer); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	logf("listen control %s", o.listener.Addr())
	go o.maintenance.run(o.server.stop) // not waited for: it may block on a disk
	return nil
}

// close closes the listener.
func (o *operators) close() {
	if o.listener != nil {
		o.listener.Close()
	}
}

// answer executes an operator's command and returns the response. It may be called concurrently.
func (o *operators) answer(command admin.Command) string {
	var err error
	switch command.Verb {
	case admin.Ping:
		if !o.ready.Load() {
			err = errNotReady
		}
	case admin.Info:
		var figures []admin.Figure
		if err = o.onLoop(func() { figures = o.server.figures() }); err == nil {
			return admin.Figures(figures)
		}
	case admin.Detach:
		err = o.setMaintenance(command.Server, true)
	case admin.Attach:
		err = o.setMaintenance(command.Server, false)
	}
	if err != nil {
		return admin.Failure(err)
	}
	return admin.Done()
}

// setMaintenance detaches or attaches a server. Once it returns without an error the change has been posted to the
// loop.
func (o *operators) setMaintenance(server string, detached bool) error {
	listed := false
	if err := o.onLoop(func() { listed = o.server.core.KnowsServer(balance.Replica(server)) }); err != nil {
		return err
	}
	if !listed {
		return errUnknownServer
	}
	return o.maintenance.set(server, detached)
}

// onLoop runs f on the loop. If it returns errBusy, f may still run later, and the caller must not read what f writes.
func (o *operators) onLoop(f func()) error {
	done := make(chan struct{})
	o.server.mailbox.Put(aggregator.RunOnLoop(func() {
		f()
		close(done)
	}))
	timeout := time.NewTimer(adminTimeout)
	defer timeout.Stop()
	select {
	case <-done:
		return nil
	case <-o.server.loopDone:
		return errBusy
	case <-timeout.C:
		return errBusy
	}
}

// figuresPrefix is the prefix of every figure's name.
const figuresPrefix = "mixer."

// figures returns the counters and gauges that the INFO command reports. It runs on the loop.
func (s *platformServer) figures() []admin.Figure {
	var figures []admin.Figure
	add := func(name string, value uint64) {
		figures = append(figures, admin.Figure{Name: figuresPrefix + name, Value: value})
	}
	for _, class := range s.classesToReport() {
		counters := s.core.Counters.ByClass[class]
		if counters == nil {
			counters = &aggregator.ClassCounters{}
		}
		prefix := "transactions." + class + "."
		add(prefix+"answered", counters.Served)
		add(prefix+"deferred", counters.Rejected)
		add(prefix+"errored", counters.Failed)
	}
	listed, avoided := s.core.ClusterSize()
	add("sends", s.pool.Stats.Written)
	add("current", uint64(s.core.OpenQueries()))
	add("cluster_size", uint64(listed))
	add("cluster_unhealthy", uint64(avoided))
	add("conf_loaded", s.operators.reloads.loaded.Load())
	add("conf_invalid", s.operators.reloads.invalid.Load())
	return figures
}

// classesToReport returns the classes that requests may name, and those with counters, which may be from before a
// reload.
func (s *platformServer) classesToReport() []string {
	classes := slices.Clone(s.operators.classes)
	for class := range s.core.Counters.ByClass {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	return slices.Compact(classes)
}
