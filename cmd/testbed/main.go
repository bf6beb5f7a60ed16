// Rooklab is the laboratory of rooktrestle: a demonstration without any configuration, and experiments on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errClaimsFailed is an answer "no": exit status 1.
var errClaimsFailed = errors.New("not all claims hold")

func main() {
	root := &cobra.Command{Use: "testbed", Short: "Stand-in nodes, load and experiments for rooktrestle, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(demo(), health(), reshapeCommand(), huntCommand(), loadCommand(), daysCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		if errors.Is(err, errClaimsFailed) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
