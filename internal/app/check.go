// Package app composes an installation: fronts, core, backends and checks, built from a checked configuration.
package app

import (
	"fmt"
	"io"
	"os"

	"rooktrestle/balance"
	"rooktrestle/internal/config"
)

// LoadNode reads the platform's configuration and tries its settings on the decisions.
func LoadNode() (config.Node, error) {
	n, err := config.LoadNode(os.Getenv)
	if err != nil {
		return n, err
	}
	_, err = balance.New(n.Deployment.Decisions)
	return n, err
}

// CheckPartners reads an operator's file and tries its settings on the decisions.
func CheckPartners(out io.Writer, path string) error {
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
