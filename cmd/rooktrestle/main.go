// Rooktrestle is a mixer: it takes a query, sends each part to a replica of its shard, and gives one final
// answer.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"rooktrestle/internal/app"
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
		RunE: func(*cobra.Command, []string) error { return app.ServePlatform() },
	}
	var format, level string
	logger := slog.Default()
	root.PersistentFlags().StringVar(&format, "log-format", "text", "text or json")
	root.PersistentFlags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	root.PersistentPreRunE = func(*cobra.Command, []string) (err error) {
		logger, err = app.Logger(os.Stderr, format, level)
		return err
	}
	var front string
	serve := &cobra.Command{
		Use: "serve", Short: "Serve by the platform's configuration (NODE_CONFIG), or the operator's second front", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if front != "" {
				return app.ServePartners(front, logger)
			}
			return app.ServePlatform()
		},
	}
	serve.Flags().StringVar(&front, "front", "", "the operator's file of the second front (SRU and Z39.50)")
	root.AddCommand(serve, &cobra.Command{
		Use: "check-config [FILE]", Short: "Read the platform's configuration, or the operator's FILE, and say whether it can be served",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return app.CheckPartners(cmd.OutOrStdout(), args[0])
			}
			n, err := app.LoadNode()
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes, %d tenants, %d shards: good\n", n.Name,
					len(n.Deployment.Classes), len(n.Deployment.Tenants), n.Deployment.Decisions.Shards)
			}
			return err
		},
	}, health(), blocksCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), version()) },
	})
	if err := root.Execute(); err != nil {
		var all config.Problems
		if errors.As(err, &all) && len(all) > 1 { // a line each
			for _, one := range all {
				fmt.Fprintln(os.Stderr, "rooktrestle:", one)
			}
		} else {
			fmt.Fprintln(os.Stderr, "rooktrestle:", err)
		}
		if errors.Is(err, errNo) {
			os.Exit(1)
		}
		os.Exit(2)
	}
}

// errNo is an answer "no": exit status 1.
var errNo = errors.New("no")

func health() *cobra.Command {
	var watch, asJSON bool
	c := &cobra.Command{
		Use: "health FILE", Short: "Ask the servers of the operator's FILE for their health, and say what follows and why",
		Example: "  rooktrestle health deploy/partners.toml --watch", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			stop, told := make(chan struct{}), make(chan os.Signal, 1)
			signal.Notify(told, os.Interrupt, syscall.SIGTERM)
			go func() { <-told; close(stop) }()
			good, err := app.CheckServers(args[0], watch, asJSON, cmd.OutOrStdout(), stop)
			if err == nil && !good {
				err = fmt.Errorf("%w: not every server may be used", errNo)
			}
			return err
		},
	}
	c.Flags().BoolVar(&watch, "watch", false, "go on asking, and print what changes")
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts; with --watch one object a line")
	return c
}

func version() string {
	text := "rooktrestle"
	if info, ok := debug.ReadBuildInfo(); ok {
		text += " " + info.Main.Version + " " + info.GoVersion
	}
	return text
}
