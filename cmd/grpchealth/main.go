// Rookgrpc speaks grpc.health.v1 beside a mixer: it tells gRPC callers the mixer's word, and asks gRPC servers for it.
package main

import (
	"context"
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

func main() {
	var listen, mixer, bridge string
	var every time.Duration
	c := &cobra.Command{
		Use: "grpchealth", Short: "Tell a mixer's health over grpc.health.v1, and ask gRPC servers for it",
		Example: "  grpchealth --listen 127.0.0.1:8213 --mixer 127.0.0.1:8211 --bridge 127.0.0.1:8214", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(listen, mixer, bridge, every) },
	}
	c.Flags().StringVar(&listen, "listen", "", "where gRPC callers ask; empty: nowhere")
	c.Flags().StringVar(&mixer, "mixer", "", "the mixer's health listener; needed with --listen")
	c.Flags().StringVar(&bridge, "bridge", "", "where the mixer has gRPC servers asked (checks.grpc_bridge); empty: nowhere")
	c.Flags().DurationVar(&every, "every", 100*time.Millisecond, "how often the mixer is asked")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "grpchealth:", err)
		os.Exit(2)
	}
}

func run(listen, mixer, bridge string, every time.Duration) error {
	switch {
	case listen == "" && bridge == "":
		return fmt.Errorf("neither --listen nor --bridge")
	case listen != "" && mixer == "":
		return fmt.Errorf("--listen needs --mixer, whose word it tells")
	case every < 10*time.Millisecond || every > 500*time.Millisecond:
		return fmt.Errorf("--every %v: 10ms to 500ms, so that the word is true within a second", every)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := make(chan error, 2)
	if listen != "" {
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr, "listen grpc", ln.Addr())
		s := grpchealth.NewServer(mixer, every)
		go s.Run(ctx)
		g := grpc.NewServer(grpc.MaxRecvMsgSize(64<<10), grpc.MaxConcurrentStreams(64))
		healthpb.RegisterHealthServer(g, s)
		go func() { failed <- g.Serve(ln) }()
		defer g.Stop()
	}
	if bridge != "" {
		ln, err := net.Listen("tcp", bridge)
		if err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr, "listen bridge", ln.Addr())
		asker := grpchealth.NewAsker()
		defer asker.Close()
		web := &http.Server{Handler: asker, ReadHeaderTimeout: 2 * time.Second, MaxHeaderBytes: 8 << 10}
		go func() { failed <- web.Serve(ln) }()
		defer web.Close()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
