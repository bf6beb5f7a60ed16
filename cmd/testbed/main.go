// Testbed runs rooktrestle against stand-in replicas on loopback, and simulates fleets in virtual time. It has a
// demonstration that needs no configuration, a load generator, experiments, and the simulator.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errAssertionsFailed means that the command ran, and that an assertion or invariant that it checks was violated: exit
// status 1. Any other error is exit status 2.
var errAssertionsFailed = errors.New("assertions failed")

func main() {
	if err := rootCommand().Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err) // there is nowhere else to report to
		if errors.Is(err, errAssertionsFailed) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "testbed",
		Short:         "Stand-in replicas, load and experiments for rooktrestle, on loopback",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		demoCommand(),
		healthCommand(),
		reshardingCommand(),
		huntCommand(),
		loadCommand(),
		daysCommand(),
	)
	return root
}
