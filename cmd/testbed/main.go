// Rooklab is the laboratory of rooktrestle: a demonstration without any configuration, and experiments on loopback.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// errNo is an answer "no": exit status 1.
var errNo = errors.New("not all claims hold")

func main() {
	root := &cobra.Command{Use: "testbed", Short: "Stand-in nodes, load and experiments for rooktrestle, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(demo(), health(), reshapeCommand(), hunt(), loadCommand(), days())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
		if errors.Is(err, errNo) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}
