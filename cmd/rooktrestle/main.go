// Rooktrestle aggregates queries over replicated shards: it accepts a query, sends each part to a replica of its shard,
// and returns one final answer.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"rooktrestle/internal/app"
	"rooktrestle/internal/config"
)

// Exit statuses.
const (
	exitNegative = 1 // the command ran, and the result of its check is negative
	exitFailure  = 2
)

// errNegative marks the error of a command that ran and whose check has a negative result, for exitStatus.
var errNegative = errors.New("no")

func main() {
	if err := rootCommand().Execute(); err != nil {
		printError(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	if errors.Is(err, errNegative) {
		return exitNegative
	}
	return exitFailure
}

// printError prints an error on one line, or each problem of a configuration file on a line of its own.
func printError(out io.Writer, err error) {
	var problems config.Problems
	if !errors.As(err, &problems) || len(problems) <= 1 {
		printf(out, "rooktrestle: %v\n", err)
		return
	}
	for _, problem := range problems {
		printf(out, "rooktrestle: %v\n", problem)
	}
}

// printf writes text for users. A failed write is ignored, as scripts use the exit status.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rooktrestle",
		Short:         "An aggregator of queries over replicated shards",
		SilenceUsage:  true,
		SilenceErrors: true,
		// Without a subcommand the program serves: the platform starts it without arguments.
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
	root.AddCommand(serveCommand(&logger), checkConfigCommand(), healthCommand(), blocksCommand(), versionCommand())
	return root
}

// serveCommand returns the serve command. The root command sets the logger before the command runs.
func serveCommand(logger **slog.Logger) *cobra.Command {
	var front string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve the platform's configuration (NODE_CONFIG), or the operator's file of SRU and Z39.50",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if front != "" {
				return app.ServePartners(front, *logger)
			}
			return app.ServePlatform()
		},
	}
	c.Flags().StringVar(&front, "front", "", "the operator's file of SRU and Z39.50")
	return c
}

func checkConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config [FILE]",
		Short: "Read the platform's configuration, or the operator's FILE, and report whether it can be served",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return app.CheckPartners(cmd.OutOrStdout(), args[0])
			}
			node, err := app.LoadNode()
			if err == nil {
				printf(cmd.OutOrStdout(), "%s: %d classes, %d tenants, %d shards: good\n", node.Name,
					len(node.Deployment.Classes), len(node.Deployment.Tenants), node.Deployment.BalancerSettings.Shards)
			}
			return err
		},
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { printf(cmd.OutOrStdout(), "%s\n", version()) },
	}
}

// version returns the program's name, and the versions of its module and of Go if the build has recorded them.
func version() string {
	text := "rooktrestle"
	if info, ok := debug.ReadBuildInfo(); ok {
		text += " " + info.Main.Version + " " + info.GoVersion
	}
	return text
}
