// Package app assembles the program from a validated configuration: frontends, the aggregator's core, backends and
// health checks. ServePlatform serves the platform's protocol, ServePartners serves SRU and Z39.50.
package app

import (
	"fmt"
	"io"
	"os"

	"rooktrestle/balance"
	"rooktrestle/internal/config"
)

// LoadNode reads the platform's configuration from the file that NODE_CONFIG names, and checks that the balancer
// accepts its settings.
func LoadNode() (config.Node, error) {
	node, err := config.LoadNode(os.Getenv)
	if err != nil {
		return node, err
	}
	_, err = balance.New(node.Deployment.BalancerSettings)
	return node, err
}

// CheckPartners reads an operator's file, checks that the balancer accepts its settings, and prints a summary. If the
// content of the file is invalid, the error is of type config.Problems.
func CheckPartners(out io.Writer, path string) error {
	conf, err := config.LoadPartners(path)
	if err != nil {
		return err
	}
	if _, err := balance.New(conf.BalancerSettings(1)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	// A failed write is ignored: scripts use the exit status, which follows from the returned error.
	_, _ = fmt.Fprintf(out, "%s: %d databases, %d classes, %d servers: good\n",
		conf.Name, len(conf.Databases), len(conf.Classes), len(conf.Servers))
	return nil
}
