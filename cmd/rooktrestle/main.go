// Rooktrestle is a mixer: it takes a query, sends each part to a replica of its shard, and gives one final
// answer.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"rooktrestle/balance"
	"rooktrestle/internal/config"
)

func main() {
	root := &cobra.Command{
		Use:           "rooktrestle",
		Short:         "A mixer of queries over replicated shards",
		SilenceUsage:  true,
		SilenceErrors: true,
		// The platform starts the program without arguments.
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return servePlatform() },
	}
	root.AddCommand(&cobra.Command{
		Use: "serve", Short: "Serve by the platform's configuration (NODE_CONFIG)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return servePlatform() },
	}, &cobra.Command{
		Use: "check-config", Short: "Read the configuration and say whether it can be served", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			n, err := loadNode()
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes, %d tenants, %d shards: good\n", n.Name,
					len(n.Deployment.Classes), len(n.Deployment.Tenants), n.Deployment.Decisions.Shards)
			}
			return err
		},
	}, &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "rooktrestle:", err)
		os.Exit(2)
	}
}

func version() string {
	text := "rooktrestle"
	if info, ok := debug.ReadBuildInfo(); ok {
		text += " " + info.Main.Version + " " + info.GoVersion
	}
	return text
}

// loadNode reads the platform's configuration and tries its settings on the decisions.
func loadNode() (config.Node, error) {
	n, err := config.LoadNode(os.Getenv)
	if err != nil {
		return n, err
	}
	_, err = balance.New(n.Deployment.Decisions)
	return n, err
}
