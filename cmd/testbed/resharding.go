package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
	"rooktrestle/internal/testbed/client"
	"rooktrestle/internal/testbed/resharding"
)

// reshardingOptions are those of one experiment.
type reshardingOptions struct {
	duration time.Duration // of each run
	interval time.Duration // from the beginning of one plan to the next
	mapDelay time.Duration // by which the second aggregator gets shard maps late
	rate     float64       // calls a second
	seed     uint64
	replicas int
	shards   int // at the start
	asJSON   bool
}

// maxAnsweredLoss is by how much the answered fraction may be smaller while shards change.
const maxAnsweredLoss = 0.01

func (o *reshardingOptions) check() error {
	timesOK := o.duration >= time.Second && o.interval >= 10*time.Millisecond
	rateOK := o.rate > 0 && o.rate <= 10000 // false for NaN, too
	sizesOK := o.replicas >= 3 && o.replicas <= 64 && o.shards >= 1 && o.shards <= 40
	if !timesOK || !rateOK || !sizesOK {
		return fmt.Errorf("--for at least 1s, --every at least 10ms, --rate over 0, --nodes 3 to 64, --blocks 1 to 40")
	}
	return nil
}

func reshardingCommand() *cobra.Command {
	var options reshardingOptions
	c := &cobra.Command{
		Use:     "resharding",
		Aliases: []string{"reshape"},
		Short: "Split, merge and move shards under load, and compare every answer with the archive " +
			"and with the same load without that",
		Example: "  testbed resharding --for 60s --every 2s --rate 60",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			return runResharding(&output{writer: cmd.OutOrStdout()}, options)
		},
	}
	c.Flags().DurationVar(&options.duration, "for", 20*time.Second, "how long each of the two runs lasts")
	c.Flags().DurationVar(&options.interval, "every", 2*time.Second, "from the beginning of one plan to the next")
	c.Flags().DurationVar(&options.mapDelay, "late", 300*time.Millisecond,
		"by which the second aggregator gets shard maps late")
	c.Flags().Float64Var(&options.rate, "rate", 60, "calls a second")
	c.Flags().Uint64Var(&options.seed, "seed", 1, "of all random samples")
	c.Flags().IntVar(&options.replicas, "nodes", 6, "stand-in replicas, every second one of Z39.50")
	c.Flags().IntVar(&options.shards, "blocks", 6, "shards at the start")
	c.Flags().BoolVar(&options.asJSON, "json", false, "for scripts")
	return c
}

// reshardingRun is what one run came to.
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
	Frontends  []string       `json:"Front"` // their counters
}

// Names of the two runs.
const (
	runUnchanged = "still"
	runResharded = "reshaped"
)

// runResharding runs the load twice, without and with resharding, and compares.
func runResharding(out *output, options reshardingOptions) error {
	runs := map[string]reshardingRun{}
	for _, name := range []string{runUnchanged, runResharded} {
		r, err := playResharding(options, name == runResharded)
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
	if unchanged.isWrong() || resharded.isWrong() {
		return fmt.Errorf("%w: wrong answers, or corrections that ran twice", errClaimsFailed)
	}
	if resharded.Answered < unchanged.Answered-maxAnsweredLoss {
		return fmt.Errorf("%w: %.2f%% answered while shards change, %.2f%% without",
			errClaimsFailed, 100*resharded.Answered, 100*unchanged.Answered)
	}
	return nil
}

func (r *reshardingRun) isWrong() bool { return len(r.Violations)+len(r.Duplicates) > 0 }

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

// playResharding runs the load once, with random plans or without.
func playResharding(options reshardingOptions, reshard bool) (r reshardingRun, err error) {
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
		err = fmt.Errorf("carry plans out: %w", err)
	}
	endLoad()
	r.collect(a, calls)
	return r, err
}

// collect reads the results of a run that has ended.
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
