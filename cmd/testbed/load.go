package main

import (
	"encoding/json"
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

// loadMost bounds a run.
const loadMost = time.Hour

// onLoopback says whether an address is on this machine: nothing else is ever called.
func onLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s: only loopback addresses are called", addr)
	}
	return nil
}

func loadCommand() *cobra.Command {
	var p load.Plan
	var d time.Duration
	var asJSON bool
	c := &cobra.Command{
		Use: "load", Short: "Call a front on loopback open-loop, and print outcomes and latencies from the intended times",
		Example: "  testbed load --sru 127.0.0.1:8210 --z3950 127.0.0.1:2100 --rate 50 --for 30s", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if p.SRU == "" {
				return fmt.Errorf("--sru is needed")
			}
			for _, addr := range []string{p.SRU, p.Z3950} {
				if addr == "" {
					continue
				}
				if err := onLoopback(addr); err != nil {
					return err
				}
			}
			if !(p.Rate > 0 && p.Rate <= 20000) || d < time.Second || d > loadMost || p.Timeout <= 0 || p.Origins < 1 || p.Origins > 1000 {
				return fmt.Errorf("--rate over 0 to 20000, --for 1s to %v, --timeout over 0, --origins 1 to 1000", loadMost)
			}
			p.Mix = load.DefaultMix
			stopped := make(chan os.Signal, 1)
			signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
			begin := time.Now()
			calls, stop := load.Start(p)
			tick := time.NewTicker(time.Second)
			defer tick.Stop()
			end := time.After(d)
			for over := false; !over; {
				select {
				case <-end:
					over = true
				case <-stopped:
					over = true
				case <-tick.C:
					n := load.CountOutcomes(calls.Calls(begin, time.Now()))
					fmt.Fprintf(cmd.ErrOrStderr(), "%4.0fs  whole %d, partial %d, refused %d, failed %d, broken %d; 99%% within %v\n", time.Since(begin).Seconds(),
						n[client.Complete], n[client.Partial], n[client.Rejected], n[client.Failed], n[client.Disconnected], calls.Quantile(99).Round(100*time.Microsecond))
				}
			}
			stop()
			all := calls.Calls(begin, time.Now())
			n := load.CountOutcomes(all)
			out := cmd.OutOrStdout()
			if asJSON {
				text, err := json.MarshalIndent(map[string]any{"asked": len(all), "whole": n[client.Complete], "partial": n[client.Partial], "refused": n[client.Rejected],
					"failed": n[client.Failed], "broken": n[client.Disconnected], "p50_ms": ms(calls.Quantile(50)), "p99_ms": ms(calls.Quantile(99)), "p999_ms": ms(calls.Quantile(99.9))}, "", "  ")
				if err == nil {
					fmt.Fprintf(out, "%s\n", text)
				}
				return err
			}
			fmt.Fprintf(out, "asked %d: whole %d, partial %d, refused %d, failed %d, broken %d\n", len(all), n[client.Complete], n[client.Partial], n[client.Rejected], n[client.Failed], n[client.Disconnected])
			fmt.Fprintf(out, "latency from the intended time: median %v, 99%% %v, 99.9%% %v\n", calls.Quantile(50), calls.Quantile(99), calls.Quantile(99.9))
			return nil
		},
	}
	c.Flags().StringVar(&p.SRU, "sru", "", "address of an SRU front")
	c.Flags().StringVar(&p.Z3950, "z3950", "", "address of a Z39.50 front; empty: it is not called")
	c.Flags().Float64Var(&p.Rate, "rate", 20, "calls a second, Poisson")
	c.Flags().DurationVar(&d, "for", 10*time.Second, "how long")
	c.Flags().DurationVar(&p.Timeout, "timeout", 10*time.Second, "of a call")
	c.Flags().IntVar(&p.Origins, "origins", 16, "Z39.50 associations")
	c.Flags().Uint64Var(&p.Seed, "seed", 1, "of all chance")
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	return c
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
