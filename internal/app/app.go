// Package app composes the program: frontends, the aggregator's core, backends and health checks, built from a checked
// configuration. ServePlatform runs it behind the platform's protocol, ServePartners behind SRU and Z39.50.
package app

import (
	"fmt"
	"io"
	"os"

	"rooktrestle/balance"
	"rooktrestle/internal/config"
)

// LoadNode reads the platform's configuration from the file that NODE_CONFIG names, and checks that the decisions accept
// its settings.
func LoadNode() (config.Node, error) {
	node, err := config.LoadNode(os.Getenv)
	if err != nil {
		return node, err
	}
	_, err = balance.New(node.Deployment.Decisions)
	return node, err
}

// CheckPartners reads an operator's file, checks that the decisions accept its settings, and prints a summary. An error
// of the file itself is of type config.Problems.
func CheckPartners(out io.Writer, path string) error {
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	if _, err := balance.New(conf.BalancerSettings(1)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	// The result is the error, and the exit status that follows from it; the text is for people.
	_, _ = fmt.Fprintf(out, "%s: %d databases, %d classes, %d servers: good\n",
		conf.Name, len(conf.Databases), len(conf.Classes), len(conf.Servers))
	return nil
}
