package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/load"
	"rooktrestle/internal/testbed/replica"
)

func demo() *cobra.Command {
	var d time.Duration
	var nodes int
	var seed uint64
	var verbose bool
	c := &cobra.Command{
		Use: "demo", Short: "Start nodes of both protocols, the real second front and a few clients, and show what becomes of a drain",
		Example: "  testbed demo --for 10s --nodes 6 --seed 7", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodes < 3 || nodes > 64 {
				return fmt.Errorf("--nodes %d: 3 to 64", nodes)
			}
			if d < 0 || d > 0 && d < 3*time.Second {
				return fmt.Errorf("--for %v: at least 3s, or 0 until it is interrupted", d)
			}
			return runDemo(cmd.OutOrStdout(), d, nodes, seed, verbose)
		},
	}
	c.Flags().DurationVar(&d, "for", 0, "how long; 0: until it is interrupted")
	c.Flags().IntVar(&nodes, "nodes", 6, "stand-in nodes, every second one of Z39.50")
	c.Flags().Uint64Var(&seed, "seed", 1, "of all chance")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "show what the front logs")
	return c
}

func runDemo(out io.Writer, d time.Duration, nodes int, seed uint64, verbose bool) error {
	var log slog.Handler
	if verbose {
		log = slog.NewTextHandler(os.Stderr, nil)
	}
	in, err := deployment.Start(deployment.Options{Replicas: nodes, Reach: 2, Seed: seed, Agents: true, Log: log})
	if err != nil {
		return err
	}
	defer in.Stop()
	for _, n := range in.Replicas {
		n.SetFaults(replica.Faults{Delay: 10 * time.Millisecond, Jitter: 20 * time.Millisecond})
	}
	fmt.Fprintf(out, "%d archive nodes, half of them SRU, half Z39.50; each block is held by two of them.\n", nodes)
	fmt.Fprintf(out, "SRU on %s, Z39.50 on %s, health on %s, agent-check on %s; configuration %s\n", in.Frontend.Addr("sru"),
		in.Frontend.Addr("z3950"), in.Frontend.Addr("health"), in.Frontend.Addr("agent"), in.ConfigPath)
	web := client.NewSRU(in.Frontend.Addr("sru"), 5*time.Second)
	fmt.Fprintf(out, "\n  curl '%s'\n  curl 'http://%s/readyz?verbose'\n\n", web.SearchURL("captions", "budget"), in.Frontend.Addr("health"))
	end := make(chan os.Signal, 1)
	signal.Notify(end, os.Interrupt, syscall.SIGTERM)
	begin := time.Now()
	calls, stop := load.Start(load.Plan{SRU: in.Frontend.Addr("sru"), Z3950: in.Frontend.Addr("z3950"), Rate: 30, Mix: load.DefaultMix, Seed: seed,
		Timeout: 5 * time.Second, Origins: 8})
	drainAt, backAt := 4*time.Second, 8*time.Second
	if d > 0 {
		drainAt, backAt = d*2/5, d*7/10
	}
	pause := func(until time.Duration) bool {
		select {
		case <-end:
			return false
		case <-time.After(time.Until(begin.Add(until))):
			return true
		}
	}
	phases := []time.Time{begin}
	if pause(drainAt) {
		phases = append(phases, time.Now())
		fmt.Fprintf(out, "%5.1fs  the agent of n1 says drain\n", time.Since(begin).Seconds())
		in.Agents[1].Set("up drain", replica.Respond)
		if pause(backAt) {
			phases = append(phases, time.Now())
			fmt.Fprintf(out, "%5.1fs  the agent of n1 says ready\n", time.Since(begin).Seconds())
			in.Agents[1].Set("up ready 100%", replica.Respond)
			if d > 0 {
				pause(d)
			} else {
				<-end
			}
		}
	}
	over := time.Now()
	stop()
	return table(out, in, calls, append(phases, over))
}

// table prints what was asked and what became of it, by phase.
func table(out io.Writer, in *deployment.Deployment, calls *load.Result, phases []time.Time) error {
	fmt.Fprintln(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\tasked\twhole\tpartial\trefused\tfailed\tbroken\tparts at n1\tof all\t")
	names := []string{"before", "n1 drains", "n1 is back"}
	for i := 0; i+1 < len(phases); i++ {
		list := calls.Calls(phases[i], phases[i+1])
		n := load.CountOutcomes(list)
		share, parts := invariants.TrafficShare(in.Archive, "n1", phases[i], phases[i+1])
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t\n", names[i], len(list), n[client.Complete], n[client.Partial], n[client.Rejected],
			n[client.Failed], n[client.Disconnected], share*float64(parts), parts)
	}
	t.Flush()
	fmt.Fprintf(out, "\nlatency from the intended time: median %v, 99%% %v\n", calls.Quantile(50).Round(time.Millisecond), calls.Quantile(99).Round(time.Millisecond))
	if len(phases) > 2 {
		told := in.Agents[1].AnnouncedAt()
		if len(phases) == 3 && !told.IsZero() {
			_, last := invariants.PartsAfter(in.Archive, "n1", told, 0)
			fmt.Fprintf(out, "last new part at n1 after its word: %v\n", last.Round(time.Millisecond))
		}
	}
	if twice := invariants.DuplicateCorrections(in.Archive); len(twice) > 0 {
		return fmt.Errorf("%w: corrections ran twice: %v", errClaimsFailed, twice)
	}
	fmt.Fprintln(out, "no correction ran twice")
	return nil
}
