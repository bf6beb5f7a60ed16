package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/deployment"
	"rooktrestle/internal/testbed/invariants"
	"rooktrestle/internal/testbed/load"
	"rooktrestle/internal/testbed/replica"
)

// demoOptions are the flags of the demo command.
type demoOptions struct {
	duration time.Duration // 0: until the process is interrupted
	replicas int
	seed     uint64
	verbose  bool
}

// minDemoDuration leaves enough time for each phase.
const minDemoDuration = 3 * time.Second

func demoCommand() *cobra.Command {
	var options demoOptions
	c := &cobra.Command{
		Use: "demo",
		Short: "Start replicas of both protocols, the real frontends and a few clients, " +
			"and show the effect of draining a replica",
		Example: "  testbed demo --for 10s --nodes 6 --seed 7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.replicas < 3 || options.replicas > 64 {
				return fmt.Errorf("--nodes %d: must be from 3 to 64", options.replicas)
			}
			if options.duration != 0 && options.duration < minDemoDuration {
				return fmt.Errorf("--for %v: must be at least %v, or 0 to run until interrupted",
					options.duration, minDemoDuration)
			}
			return runDemo(&output{writer: cmd.OutOrStdout()}, options)
		},
	}
	c.Flags().DurationVar(&options.duration, "for", 0, "duration of the demonstration; 0: until interrupted")
	c.Flags().IntVar(&options.replicas, "nodes", 6, "number of stand-in replicas; every second one uses Z39.50")
	c.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the random number generators")
	c.Flags().BoolVarP(&options.verbose, "verbose", "v", false, "print the log of the aggregator")
	return c
}

func runDemo(out *output, options demoOptions) error {
	var log slog.Handler
	if options.verbose {
		log = slog.NewTextHandler(os.Stderr, nil)
	}
	d, err := deployment.Start(deployment.Options{
		Replicas: options.replicas,
		Reach:    2,
		Seed:     options.seed,
		Agents:   true,
		Log:      log,
	})
	if err != nil {
		return fmt.Errorf("start a deployment: %w", err)
	}
	defer d.Stop()
	for _, n := range d.Replicas {
		n.SetFaults(replica.Faults{Delay: 10 * time.Millisecond, Jitter: 20 * time.Millisecond})
	}
	printAddresses(out, d)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(interrupted)
	begin := time.Now()
	calls, stop := load.Start(load.Plan{
		SRU:     d.Frontend.Addr("sru"),
		Z3950:   d.Frontend.Addr("z3950"),
		Rate:    30,
		Mix:     load.DefaultMix,
		Seed:    options.seed,
		Timeout: 5 * time.Second,
		Origins: 8,
	})
	runner := demoRunner{out: out, deployment: d, begin: begin, interrupted: interrupted}
	phases := runner.run(options.duration)
	end := time.Now()
	stop()
	return reportDemo(out, d, calls, append(phases, end))
}

func printAddresses(out *output, d *deployment.Deployment) {
	out.printf("%d archive replicas, half of them SRU, half Z39.50; each shard is held by two of them.\n",
		len(d.Replicas))
	sru := d.Frontend.Addr("sru")
	health := d.Frontend.Addr("health")
	out.printf("SRU on %s, Z39.50 on %s, health on %s, agent-check on %s; configuration %s\n",
		sru, d.Frontend.Addr("z3950"), health, d.Frontend.Addr("agent"), d.ConfigPath)
	web := client.NewSRU(sru, 5*time.Second)
	out.printf("\n  curl '%s'\n  curl 'http://%s/readyz?verbose'\n\n", web.SearchURL("captions", "budget"), health)
}

// demoRunner runs the phases of the demonstration.
type demoRunner struct {
	out         *output
	deployment  *deployment.Deployment
	begin       time.Time
	interrupted <-chan os.Signal
}

// demoPhase begins when the agent of n1 changes its answer.
type demoPhase struct {
	begin  time.Duration // since the start of the demonstration
	state  string
	answer string // of the agent
}

// run drains one replica and returns it to service within duration; 0: it runs until interrupted. It returns the start
// time of each phase that began before an interrupt.
func (p *demoRunner) run(duration time.Duration) []time.Time {
	drain := demoPhase{begin: 4 * time.Second, state: "drain", answer: "up drain"}
	ready := demoPhase{begin: 8 * time.Second, state: "ready", answer: "up ready 100%"}
	if duration > 0 {
		drain.begin = duration * 2 / 5
		ready.begin = duration * 7 / 10
	}
	begins := []time.Time{p.begin}
	for _, phase := range []demoPhase{drain, ready} {
		if !p.waitUntil(phase.begin) {
			return begins
		}
		begins = append(begins, time.Now())
		p.out.printf("%5.1fs  the agent of n1 says %s\n", time.Since(p.begin).Seconds(), phase.state)
		p.deployment.Agents[1].Set(phase.answer, replica.Respond)
	}
	if duration > 0 {
		p.waitUntil(duration)
	} else {
		<-p.interrupted
	}
	return begins
}

// waitUntil waits until elapsed has passed since the start of the demonstration. It returns false if it was
// interrupted.
func (p *demoRunner) waitUntil(elapsed time.Duration) bool {
	select {
	case <-p.interrupted:
		return false
	case <-time.After(time.Until(p.begin.Add(elapsed))):
		return true
	}
}

// reportDemo prints the calls and their outcomes by phase.
func reportDemo(out *output, d *deployment.Deployment, calls *load.Result, phases []time.Time) error {
	out.println()
	out.table(func(t *output) {
		t.printf("phase\tcalled\tcomplete\tpartial\trejected\tfailed\tdisconnected\tparts at n1\tof all\t\n")
		names := []string{"before", "n1 drains", "n1 is back"}
		for i := 0; i+1 < len(phases); i++ {
			list := calls.Calls(phases[i], phases[i+1])
			t.printf("%s\t%d\t", names[i], len(list))
			for _, count := range load.CountOutcomes(list) {
				t.printf("%d\t", count)
			}
			fraction, parts := invariants.TrafficFraction(d.Archive, "n1", phases[i], phases[i+1])
			t.printf("%.0f\t%d\t\n", fraction*float64(parts), parts)
		}
	})
	p50 := calls.Quantile(50).Round(time.Millisecond)
	p99 := calls.Quantile(99).Round(time.Millisecond)
	out.printf("\nlatency from the intended time: median %v, 99%% %v\n", p50, p99)
	if announced := d.Agents[1].AnnouncedAt(); len(phases) == 3 && !announced.IsZero() {
		_, last := invariants.PartsAfter(d.Archive, "n1", announced, 0)
		out.printf("last new part at n1 after it said drain: %v\n", last.Round(time.Millisecond))
	}
	if twice := invariants.DuplicateCorrections(d.Archive); len(twice) > 0 {
		return fmt.Errorf("%w: corrections ran twice: %v", errAssertionsFailed, twice)
	}
	out.println("no correction ran twice")
	return out.err
}
