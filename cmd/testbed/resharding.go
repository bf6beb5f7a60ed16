package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/resharding"
)

// reshardingOptions are the flags of the resharding command.
type reshardingOptions struct {
	duration time.Duration // of each run
	interval time.Duration // from the start of one plan to the start of the next
	mapDelay time.Duration // of shard maps to the second aggregator
	rate     float64       // calls per second
	seed     uint64
	replicas int
	shards   int // at the start
	asJSON   bool
}

// maxAnsweredLoss is the maximum decrease of the answered fraction during resharding.
const maxAnsweredLoss = 0.01

func (o *reshardingOptions) check() error {
	timesOK := o.duration >= time.Second && o.interval >= 10*time.Millisecond
	rateOK := o.rate > 0 && o.rate <= 10000 // false for NaN, too
	sizesOK := o.replicas >= 3 && o.replicas <= 64 && o.shards >= 1 && o.shards <= 40
	if !timesOK || !rateOK || !sizesOK {
		return fmt.Errorf("--for must be at least 1s, --every at least 10ms, --rate over 0 and at most 10000, " +
			"--nodes from 3 to 64, --blocks from 1 to 40")
	}
	return nil
}

func reshardingCommand() *cobra.Command {
	var options reshardingOptions
	c := &cobra.Command{
		Use:     "resharding",
		Aliases: []string{"reshape"},
		Short: "Split, merge and move shards under load, compare every answer with the archive, " +
			"and compare the run with the same load without resharding",
		Example: "  testbed resharding --for 60s --every 2s --rate 60",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			return runResharding(&output{writer: cmd.OutOrStdout()}, options)
		},
	}
	c.Flags().DurationVar(&options.duration, "for", 20*time.Second, "duration of each of the two runs")
	c.Flags().DurationVar(&options.interval, "every", 2*time.Second, "time between the starts of two plans")
	c.Flags().DurationVar(&options.mapDelay, "late", 300*time.Millisecond,
		"delay of shard maps to the second aggregator")
	c.Flags().Float64Var(&options.rate, "rate", 60, "calls per second")
	c.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the random number generators")
	c.Flags().IntVar(&options.replicas, "nodes", 6, "number of stand-in replicas; every second one uses Z39.50")
	c.Flags().IntVar(&options.shards, "blocks", 6, "number of shards at the start")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print JSON")
	return c
}

// reshardingRun is the result of one run.
type reshardingRun struct {
	Calls        int `json:"Asked"`
	Complete     int `json:"Whole"`
	Partial      int `json:"Partial"`
	Rejected     int `json:"Refused"`
	Failed       int `json:"Failed"`
	Disconnected int `json:"Broken"`

	Answered   float64        `json:"Answered"` // fraction, partial answers included
	P50        time.Duration  `json:"P50"`
	P99        time.Duration  `json:"P99"`
	Violations []string       `json:"Wrong"`
	Duplicates []string       `json:"Twice"`    // corrections that ran more than once
	Plans      map[string]int `json:"Reshapes"` // carried out, by kind
	Epoch      uint64         `json:"Epoch"`
	Frontends  []string       `json:"Front"` // counters of each frontend
}

// Names of the two runs.
const (
	runUnchanged = "still"
	runResharded = "reshaped"
)

// runResharding runs the load twice, without and with resharding, and compares the results.
func runResharding(out *output, options reshardingOptions) error {
	runs := map[string]reshardingRun{}
	for _, name := range []string{runUnchanged, runResharded} {
		r, err := measureRun(options, name == runResharded)
		if err != nil {
			return err
		}
		runs[name] = r
	}
	if options.asJSON {
		out.printJSON(runs)
	} else {
		printReshardingRuns(out, runs)
	}
	if out.err != nil {
		return out.err
	}
	return compareReshardingRuns(runs[runUnchanged], runs[runResharded])
}

// compareReshardingRuns fails with errClaimsFailed if a run has wrong answers, or if resharding costs answers.
func compareReshardingRuns(unchanged, resharded reshardingRun) error {
	if unchanged.hasViolations() || resharded.hasViolations() {
		return fmt.Errorf("%w: wrong answers, or corrections that ran twice", errAssertionsFailed)
	}
	if resharded.Answered < unchanged.Answered-maxAnsweredLoss {
		return fmt.Errorf("%w: %.2f%% answered while shards change, %.2f%% without",
			errAssertionsFailed, 100*resharded.Answered, 100*unchanged.Answered)
	}
	return nil
}

func (r *reshardingRun) hasViolations() bool { return len(r.Violations)+len(r.Duplicates) > 0 }

func printReshardingRuns(out *output, runs map[string]reshardingRun) {
	out.table(func(t *output) {
		t.printf("run\tcalled\tcomplete\tpartial\trejected\tfailed\tdisconnected\tanswered\tp50\tp99\twrong\ttwice\t\n")
		for _, name := range []string{runUnchanged, runResharded} {
			r := runs[name]
			p50 := r.P50.Round(100 * time.Microsecond)
			p99 := r.P99.Round(100 * time.Microsecond)
			t.printf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t",
				name, r.Calls, r.Complete, r.Partial, r.Rejected, r.Failed, r.Disconnected)
			t.printf("%.2f%%\t%v\t%v\t%d\t%d\t\n", 100*r.Answered, p50, p99, len(r.Violations), len(r.Duplicates))
		}
	})
	resharded := runs[runResharded]
	out.printf("plans carried out: %v, up to epoch %d\n", resharded.Plans, resharded.Epoch)
	for _, counters := range resharded.Frontends {
		out.println(" ", counters)
	}
	for _, name := range []string{runUnchanged, runResharded} {
		for _, violation := range runs[name].Violations {
			out.println("WRONG", violation)
		}
	}
}

// measureRun runs the load once; reshard says whether random plans are carried out meanwhile.
func measureRun(options reshardingOptions, reshard bool) (r reshardingRun, err error) {
	a, err := resharding.Start(resharding.Options{
		Seed:                 options.seed,
		ReplicaCount:         options.replicas,
		ShardCount:           options.shards,
		FrontendCount:        2,
		LastFrontendMapDelay: options.mapDelay,
		CopiesPerSecond:      50,
		Records:              120,
		Delay:                5 * time.Millisecond,
		Timing: shardmap.Timing{
			MapPropagation: 100 * time.Millisecond,
			MaxQueryTime:   500 * time.Millisecond,
		},
	})
	if err != nil {
		return r, fmt.Errorf("start an archive: %w", err)
	}
	defer a.Stop()
	calls, endLoad := a.StartLoad(resharding.Load{Rate: options.rate, Seed: options.seed})
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() {
		if !reshard {
			<-stop
			ended <- nil
			return
		}
		var err error
		r.Plans, err = a.Reshard(stop, options.interval, 0, options.seed)
		ended <- err
	}()
	time.Sleep(options.duration)
	close(stop)
	if err = <-ended; err != nil {
		err = fmt.Errorf("carry out the plans: %w", err)
	}
	endLoad()
	r.collect(a, calls)
	return r, err
}

// collect stores the results of a completed run.
func (r *reshardingRun) collect(archive *resharding.Archive, calls *resharding.Report) {
	counts := calls.Count()
	r.Calls = calls.Calls
	r.Complete = counts[client.Complete]
	r.Partial = counts[client.Partial]
	r.Rejected = counts[client.Rejected]
	r.Failed = counts[client.Failed]
	r.Disconnected = counts[client.Disconnected]
	r.Answered = calls.Answered()
	r.P50 = calls.Quantile(50)
	r.P99 = calls.Quantile(99)
	r.Violations = calls.Violations
	r.Duplicates = archive.DuplicateCorrections()
	r.Epoch = uint64(archive.Controller.Map().Epoch)
	for _, frontend := range archive.Frontends {
		r.Frontends = append(r.Frontends, frontend.CountersText())
	}
}
