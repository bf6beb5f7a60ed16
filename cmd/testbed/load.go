package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/load"
)

// Bounds of a run.
const (
	maxLoadRate     = 20000 // calls per second
	minLoadDuration = time.Second
	maxLoadDuration = time.Hour
	maxOrigins      = 1000
)

// checkLoopback rejects every address that is not a loopback address: the command must not send load to other machines.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("address %s is not a loopback address", addr)
	}
	return nil
}

// loadOptions are the flags of the load command.
type loadOptions struct {
	plan     load.Plan
	duration time.Duration
	asJSON   bool
}

func (o *loadOptions) check() error {
	p := &o.plan
	if p.SRU == "" {
		return fmt.Errorf("--sru is required")
	}
	for _, addr := range []string{p.SRU, p.Z3950} {
		if addr == "" {
			continue
		}
		if err := checkLoopback(addr); err != nil {
			return err
		}
	}
	rateOK := p.Rate > 0 && p.Rate <= maxLoadRate // false for NaN, too
	durationOK := o.duration >= minLoadDuration && o.duration <= maxLoadDuration
	if !rateOK || !durationOK || p.Timeout <= 0 || p.Origins < 1 || p.Origins > maxOrigins {
		return fmt.Errorf("--rate must be over 0 and at most %d, --for from %v to %v, --timeout over 0, "+
			"--origins from 1 to %d",
			maxLoadRate, minLoadDuration, maxLoadDuration, maxOrigins)
	}
	return nil
}

func loadCommand() *cobra.Command {
	var options loadOptions
	c := &cobra.Command{
		Use:     "load",
		Short:   "Send open-loop load to a frontend on loopback, and print outcomes and latencies from intended times",
		Example: "  testbed load --sru 127.0.0.1:8210 --z3950 127.0.0.1:2100 --rate 50 --for 30s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			options.plan.Mix = load.DefaultMix
			return runLoad(&output{writer: cmd.OutOrStdout()}, &output{writer: cmd.ErrOrStderr()}, options)
		},
	}
	c.Flags().StringVar(&options.plan.SRU, "sru", "", "address of an SRU frontend")
	c.Flags().StringVar(&options.plan.Z3950, "z3950", "", "address of a Z39.50 frontend; empty: all calls use SRU")
	c.Flags().Float64Var(&options.plan.Rate, "rate", 20, "calls per second, with Poisson arrivals")
	c.Flags().DurationVar(&options.duration, "for", 10*time.Second, "duration of the run")
	c.Flags().DurationVar(&options.plan.Timeout, "timeout", 10*time.Second, "timeout of a call")
	c.Flags().IntVar(&options.plan.Origins, "origins", 16, "number of Z39.50 associations")
	c.Flags().Uint64Var(&options.plan.Seed, "seed", 1, "seed of the random number generators")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print JSON")
	return c
}

// runLoad sends load until the duration has elapsed or the process is interrupted. It writes the report to out, and one
// line per second to progress.
func runLoad(out, progress *output, options loadOptions) error {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(interrupted)
	begin := time.Now()
	calls, stop := load.Start(options.plan)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	end := time.After(options.duration)
	for stopped := false; !stopped; {
		select {
		case <-end:
			stopped = true
		case <-interrupted:
			stopped = true
		case <-tick.C:
			counts := load.CountOutcomes(calls.Calls(begin, time.Now()))
			p99 := calls.Quantile(99).Round(100 * time.Microsecond)
			progress.printf("%4.0fs  %s; 99%% within %v\n", time.Since(begin).Seconds(), outcomeText(counts), p99)
		}
	}
	stop()
	reportLoad(out, calls, calls.Calls(begin, time.Now()), options.asJSON)
	return out.err
}

// loadReport is the report that --json prints.
type loadReport struct {
	Calls        int     `json:"asked"`
	Disconnected int     `json:"broken"`
	Failed       int     `json:"failed"`
	P50          float64 `json:"p50_ms"`
	P999         float64 `json:"p999_ms"`
	P99          float64 `json:"p99_ms"`
	Partial      int     `json:"partial"`
	Rejected     int     `json:"refused"`
	Complete     int     `json:"whole"`
}

func reportLoad(out *output, result *load.Result, calls []load.Call, asJSON bool) {
	counts := load.CountOutcomes(calls)
	p50 := result.Quantile(50)
	p99 := result.Quantile(99)
	p999 := result.Quantile(99.9)
	if asJSON {
		out.printJSON(loadReport{
			Calls:        len(calls),
			Disconnected: counts[client.Disconnected],
			Failed:       counts[client.Failed],
			P50:          milliseconds(p50),
			P999:         milliseconds(p999),
			P99:          milliseconds(p99),
			Partial:      counts[client.Partial],
			Rejected:     counts[client.Rejected],
			Complete:     counts[client.Complete],
		})
		return
	}
	out.printf("called %d: %s\n", len(calls), outcomeText(counts))
	out.printf("latency from the intended time: median %v, 99%% %v, 99.9%% %v\n", p50, p99, p999)
}

func outcomeText(counts [client.Disconnected + 1]int) string {
	return fmt.Sprintf("complete %d, partial %d, rejected %d, failed %d, disconnected %d",
		counts[client.Complete],
		counts[client.Partial],
		counts[client.Rejected],
		counts[client.Failed],
		counts[client.Disconnected])
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
