// Package grpchealthcmd implements the command of cmd/grpchealth, and of its previous name cmd/rookgrpc: a sidecar
// process that serves an aggregator's health over grpc.health.v1, and checks gRPC servers on its behalf. It is a
// separate process so that the aggregator does not link the gRPC library.
package grpchealthcmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"rooktrestle/internal/frontend/grpchealth"
)

const (
	// minInterval and maxInterval bound --every. A report must be accurate within a second.
	minInterval     = 10 * time.Millisecond
	maxInterval     = 500 * time.Millisecond
	defaultInterval = 100 * time.Millisecond

	maxMessageBytes   = 64 << 10 // of a gRPC call
	maxStreams        = 64       // concurrent gRPC calls of a connection
	bridgeHeaderTime  = 2 * time.Second
	bridgeHeaderBytes = 8 << 10
	exitFailure       = 2
)

// options are the flags.
type options struct {
	listen     string        // address for gRPC clients; empty: none
	aggregator string        // address of the aggregator's health listener
	bridge     string        // address of the HTTP side for checks of gRPC servers; empty: none
	interval   time.Duration // between requests to the aggregator
}

// Main runs the command under a program name, and exits with a non-zero status if it fails.
func Main(name string) {
	if err := New(name).Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitFailure)
	}
}

// New returns the command under a program name. It runs until SIGINT or SIGTERM.
func New(name string) *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           name,
		Short:         "Serve an aggregator's health over grpc.health.v1, and check gRPC servers for it",
		Example:       "  " + name + " --listen 127.0.0.1:8213 --mixer 127.0.0.1:8211 --bridge 127.0.0.1:8214",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			return o.run()
		},
	}
	c.Flags().StringVar(&o.listen, "listen", "", "address for gRPC clients; empty: none")
	c.Flags().StringVar(&o.aggregator, "mixer", "", "address of the aggregator's health listener; needed with --listen")
	c.Flags().StringVar(&o.bridge, "bridge", "",
		"address at which the aggregator has gRPC servers checked (checks.grpc_bridge); empty: none")
	c.Flags().DurationVar(&o.interval, "every", defaultInterval, "interval between requests to the aggregator")
	return c
}

func (o *options) validate() error {
	switch {
	case o.listen == "" && o.bridge == "":
		return errors.New("at least one of --listen and --bridge is required")
	case o.listen != "" && o.aggregator == "":
		return errors.New("--listen requires --mixer, the address of the aggregator whose health it serves")
	case o.interval < minInterval || o.interval > maxInterval:
		return fmt.Errorf("--every must be 10ms to 500ms, not %v: reports must be accurate within a second", o.interval)
	}
	return nil
}

// run serves until a signal, or until one of the servers fails.
func (o *options) run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := make(chan error, 2) // one slot for each server, so that neither blocks after run has returned
	if o.listen != "" {
		stop, err := o.serveGRPC(ctx, failed)
		if err != nil {
			return err
		}
		defer stop()
	}
	if o.bridge != "" {
		stop, err := o.serveBridge(failed)
		if err != nil {
			return err
		}
		defer stop()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serveGRPC serves the aggregator's health to gRPC clients until stop is called.
func (o *options) serveGRPC(ctx context.Context, failed chan<- error) (stop func(), err error) {
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(os.Stderr, "listen grpc", listener.Addr())
	health := grpchealth.NewServer(o.aggregator, o.interval)
	go health.Run(ctx)
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams))
	healthpb.RegisterHealthServer(server, health)
	go func() { failed <- server.Serve(listener) }()
	return server.Stop, nil
}

// serveBridge serves checks of gRPC servers over HTTP until stop is called.
func (o *options) serveBridge(failed chan<- error) (stop func(), err error) {
	listener, err := net.Listen("tcp", o.bridge)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(os.Stderr, "listen bridge", listener.Addr())
	checker := grpchealth.NewChecker()
	server := &http.Server{Handler: checker, ReadHeaderTimeout: bridgeHeaderTime, MaxHeaderBytes: bridgeHeaderBytes}
	go func() { failed <- server.Serve(listener) }()
	return func() {
		_ = server.Close() // the process exits, so an error has no effect
		checker.Close()
	}, nil
}
