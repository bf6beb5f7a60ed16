// Testbed runs rooktrestle against stand-ins on loopback and under virtual time: a demonstration without any
// configuration, load, experiments, and the simulator.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errClaimsFailed means that the command ran and something that it claims did not hold: exit status 1. Any other
// error is exit status 2.
var errClaimsFailed = errors.New("not all claims hold")

func main() {
	if err := rootCommand().Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err) // there is nowhere else to report to
		if errors.Is(err, errClaimsFailed) {
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
