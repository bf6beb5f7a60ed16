package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"rooktrestle/internal/app"
)

// healthCommand returns the command that checks the servers of an operator's file. Its result is negative if any of
// them is not healthy.
func healthCommand() *cobra.Command {
	var options app.HealthOptions
	c := &cobra.Command{
		Use:     "health FILE",
		Short:   "Check the servers of the operator's FILE, and print their states and the causes",
		Example: "  rooktrestle health deploy/partners.toml --watch",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.Stop = stopOnSignal()
			healthy, err := app.CheckServers(args[0], cmd.OutOrStdout(), options)
			if err == nil && !healthy {
				err = fmt.Errorf("%w: not every server may be used", errNegative)
			}
			return err
		},
	}
	c.Flags().BoolVar(&options.Watch, "watch", false, "check again and again, and print what changes")
	c.Flags().BoolVar(&options.JSON, "json", false, "for scripts; with --watch one object per line")
	return c
}

// stopOnSignal returns a channel that is closed on SIGINT or SIGTERM. Its goroutine may run until the process exits.
func stopOnSignal() <-chan struct{} {
	stop, signals := make(chan struct{}), make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}
