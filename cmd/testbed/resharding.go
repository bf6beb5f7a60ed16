package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/resharding"
)

// reshapeOptions are those of one experiment.
type reshapeOptions struct {
	d, every, late time.Duration
	rate           float64
	seed           uint64
	nodes, blocks  int
	asJSON         bool
}

func reshapeCommand() *cobra.Command {
	var o reshapeOptions
	c := &cobra.Command{
		Use: "reshape", Short: "Reshape blocks under load, and compare every answer with the archive and with the same load without reshapes",
		Example: "  testbed reshape --for 60s --every 2s --rate 60", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.d < time.Second || o.every < 10*time.Millisecond || !(o.rate > 0 && o.rate <= 10000) || o.nodes < 3 || o.nodes > 64 || o.blocks < 1 || o.blocks > 40 {
				return fmt.Errorf("--for at least 1s, --every at least 10ms, --rate over 0, --nodes 3 to 64, --blocks 1 to 40")
			}
			return runReshape(cmd.OutOrStdout(), o)
		},
	}
	c.Flags().DurationVar(&o.d, "for", 20*time.Second, "how long each of the two runs lasts")
	c.Flags().DurationVar(&o.every, "every", 2*time.Second, "from one reshape's beginning to the next")
	c.Flags().DurationVar(&o.late, "late", 300*time.Millisecond, "by which the second mixer hears of maps late")
	c.Flags().Float64Var(&o.rate, "rate", 60, "calls a second")
	c.Flags().Uint64Var(&o.seed, "seed", 1, "of all chance")
	c.Flags().IntVar(&o.nodes, "nodes", 6, "stand-in nodes, every second one of Z39.50")
	c.Flags().IntVar(&o.blocks, "blocks", 6, "blocks at the start")
	c.Flags().BoolVar(&o.asJSON, "json", false, "for scripts")
	return c
}

// reshapeRun is what one run came to.
type reshapeRun struct {
	Asked, Whole, Partial, Refused, Failed, Broken int
	Answered                                       float64
	P50, P99                                       time.Duration
	Wrong, Twice                                   []string
	Reshapes                                       map[string]int
	Epoch                                          uint64
	Front                                          []string
}

func runReshape(out io.Writer, o reshapeOptions) error {
	runs := map[string]reshapeRun{}
	for _, name := range []string{"still", "reshaped"} {
		r, err := oneReshape(o, name == "reshaped")
		if err != nil {
			return err
		}
		runs[name] = r
	}
	still, moved := runs["still"], runs["reshaped"]
	if o.asJSON {
		text, err := json.MarshalIndent(runs, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\n", text)
	} else {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "run\tasked\twhole\tpartial\trefused\tfailed\tbroken\tanswered\tp50\tp99\twrong\ttwice\t")
		for _, name := range []string{"still", "reshaped"} {
			r := runs[name]
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f%%\t%v\t%v\t%d\t%d\t\n", name, r.Asked, r.Whole, r.Partial, r.Refused, r.Failed, r.Broken, 100*r.Answered,
				r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond), len(r.Wrong), len(r.Twice))
		}
		t.Flush()
		fmt.Fprintf(out, "reshapes done: %v, up to epoch %d\n", moved.Reshapes, moved.Epoch)
		for _, f := range moved.Front {
			fmt.Fprintln(out, " ", f)
		}
		for _, w := range append(append([]string{}, still.Wrong...), moved.Wrong...) {
			fmt.Fprintln(out, "WRONG", w)
		}
	}
	switch {
	case len(still.Wrong)+len(moved.Wrong)+len(still.Twice)+len(moved.Twice) > 0:
		return fmt.Errorf("%w: wrong answers, or corrections that ran twice", errClaimsFailed)
	case moved.Answered < still.Answered-0.01:
		return fmt.Errorf("%w: %.2f%% answered while blocks are reshaped, %.2f%% without", errClaimsFailed, 100*moved.Answered, 100*still.Answered)
	}
	return nil
}

func oneReshape(o reshapeOptions, moving bool) (r reshapeRun, err error) {
	a, err := resharding.Start(resharding.Options{Seed: o.seed, ReplicaCount: o.nodes, Blocks: o.blocks, FrontendCount: 2, LastFrontendDelay: o.late, CopiesPerSecond: 50,
		Records: 120, Delay: 5 * time.Millisecond, Timing: shardmap.Timing{MapPropagation: 100 * time.Millisecond, MaxQueryTime: 500 * time.Millisecond}})
	if err != nil {
		return r, err
	}
	defer a.Stop()
	calls, end := a.StartLoad(resharding.Load{Rate: o.rate, Seed: o.seed})
	stop, over := make(chan struct{}), make(chan error, 1)
	go func() {
		if moving {
			var err error
			r.Reshapes, err = a.Reshard(stop, o.every, 0, o.seed)
			over <- err
			return
		}
		<-stop
		over <- nil
	}()
	time.Sleep(o.d)
	close(stop)
	err = <-over
	end()
	n := calls.Count()
	r.Asked, r.Whole, r.Partial, r.Refused, r.Failed, r.Broken = calls.Asked, n[client.Complete], n[client.Partial], n[client.Rejected], n[client.Failed], n[client.Disconnected]
	r.Answered, r.P50, r.P99, r.Wrong, r.Twice = calls.Answered(), calls.Quantile(50), calls.Quantile(99), calls.Violations, a.DuplicateCorrections()
	r.Epoch = uint64(a.Controller.Map().Epoch)
	for _, f := range a.Frontends {
		r.Front = append(r.Front, f.CountersText())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testbed:", err)
	}
	return r, err
}
