// Rooktrestle is a mixer: it takes a query, sends each part to a replica of its shard, and gives one final
// answer.
package main

import (
	"fmt"
	"io"
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
	var front string
	serve := &cobra.Command{
		Use: "serve", Short: "Serve by the platform's configuration (NODE_CONFIG), or the operator's second front", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if front != "" {
				return servePartners(front)
			}
			return servePlatform()
		},
	}
	serve.Flags().StringVar(&front, "front", "", "the operator's file of the second front (SRU and Z39.50)")
	root.AddCommand(serve, &cobra.Command{
		Use: "check-config [FILE]", Short: "Read the platform's configuration, or the operator's FILE, and say whether it can be served",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return checkPartners(cmd.OutOrStdout(), args[0])
			}
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

// checkPartners reads an operator's file and tries its settings on the decisions.
func checkPartners(out io.Writer, path string) error {
	p, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	if _, err := balance.New(p.Decisions(1)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fmt.Fprintf(out, "%s: %d databases, %d classes, %d servers: good\n", p.Name, len(p.Databases), len(p.Classes), len(p.Servers))
	return nil
}
