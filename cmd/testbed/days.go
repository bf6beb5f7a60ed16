package main

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"sync"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"rooktrestle/internal/testbed/sim"
)

// confidence is the confidence level of the intervals over seeds.
const confidence = 0.95

// interval is a mean over seeds with the half width of its confidence interval, which is 0 for fewer than two seeds.
type interval struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

func intervalOf(values []float64) interval {
	if len(values) < 2 {
		return interval{Mean: stat.Mean(values, nil)}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
	return interval{Mean: mean, Half: t * deviation / math.Sqrt(n)}
}

func (i interval) String() string { return fmt.Sprintf("%.3f ± %.3f", i.Mean, i.Half) }

// fleetSummary aggregates the results of one scenario over its seeds, in fractions of the clients' queries.
type fleetSummary struct {
	Scenario           string              `json:"day"`
	Seeds              int                 `json:"seeds"`
	Answered           interval            `json:"answered"`
	WithinObjective    map[string]interval `json:"in_time"` // by class
	DiscoveryPolls     interval            `json:"list_calls"`
	ReplicasOverloaded int                 `json:"nodes_fallen"`
	Violations         map[uint64]string   `json:"broken"` // the first violation of each seed that has one

	// One value per seed, in the order of the seeds.
	goodput         []float64
	withinObjective map[string][]float64
	polls           []float64
}

func newFleetSummary(scenario string, seeds int) *fleetSummary {
	return &fleetSummary{
		Scenario:        scenario,
		Seeds:           seeds,
		WithinObjective: map[string]interval{},
		Violations:      map[uint64]string{},
		withinObjective: map[string][]float64{},
	}
}

// classNames are the names of the simulator's classes, by index.
var classNames = [...]string{"search", "report", "correction"}

// add records the result of the next seed.
func (d *fleetSummary) add(seed uint64, result sim.Result) {
	d.goodput = append(d.goodput, result.Goodput())
	d.polls = append(d.polls, float64(result.DiscoveryPolls))
	for i, class := range result.Classes {
		if class.Queries == 0 {
			continue
		}
		name := classNames[i]
		fraction := float64(class.WithinObjective) / float64(class.Queries)
		d.withinObjective[name] = append(d.withinObjective[name], fraction)
	}
	d.ReplicasOverloaded += result.ReplicasOverloaded
	if len(result.Violations) > 0 {
		d.Violations[seed] = result.Violations[0]
	}
}

// summarize computes the intervals. It is called after the last add.
func (d *fleetSummary) summarize() {
	d.Answered = intervalOf(d.goodput)
	d.DiscoveryPolls = intervalOf(d.polls)
	for name, fractions := range d.withinObjective {
		d.WithinObjective[name] = intervalOf(fractions)
	}
}

// daysOptions are the flags of the days command.
type daysOptions struct {
	seeds       int
	firstSeed   uint64
	aggregators int
	replicas    int
	asJSON      bool
}

// daysCommand returns the command that simulates scenarios of complete fleets.
func daysCommand() *cobra.Command {
	var options daysOptions
	c := &cobra.Command{
		Use:   "days [DAY...]",
		Short: "Simulate scenarios of complete fleets in virtual time, and print goodput with its interval over seeds",
		Long: "Simulates scenarios of complete fleets in virtual time: aggregators crash at once during a release, " +
			"a zone fails and restarts warming up,\n" +
			"the zones are partitioned while discovery is unresponsive, most replicas are replaced. " +
			"Exit status 1: an invariant was violated.",
		Example: "  testbed days herd split --mixers 300 --nodes 200 --seeds 20\n" +
			"  testbed days herd --seed 7 --seeds 1 --json",
		ValidArgs: sim.ScenarioNames,
		RunE: func(cmd *cobra.Command, names []string) error {
			if len(names) == 0 {
				names = sim.ScenarioNames
			}
			if options.seeds < 1 {
				return fmt.Errorf("--seeds %d: must be at least 1", options.seeds)
			}
			return runDays(&output{writer: cmd.OutOrStdout()}, names, options)
		},
	}
	c.Flags().IntVar(&options.seeds, "seeds", 4, "number of seeds of each scenario")
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "first seed")
	c.Flags().IntVar(&options.aggregators, "mixers", 60, "number of aggregators in the fleet")
	c.Flags().IntVar(&options.replicas, "nodes", 40, "number of replicas of the archive")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print JSON")
	return c
}

func runDays(out *output, names []string, options daysOptions) error {
	violated := false
	var summaries []*fleetSummary
	for _, name := range names {
		d := newFleetSummary(name, options.seeds)
		if err := d.run(options); err != nil {
			return err
		}
		d.summarize()
		summaries = append(summaries, d)
		violated = violated || len(d.Violations) > 0
		if !options.asJSON {
			d.print(out)
		}
	}
	if options.asJSON {
		out.printJSON(summaries)
	}
	if out.err == nil && violated {
		return errAssertionsFailed
	}
	return out.err
}

// run simulates the seeds of a scenario concurrently. It adds their results in the order of the seeds, because the sums
// of floating-point values depend on the order.
func (d *fleetSummary) run(options daysOptions) error {
	results := make([]sim.Result, d.Seeds)
	errs := make([]error, d.Seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var workers sync.WaitGroup
	for i := range d.Seeds {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = runSeed(d.Scenario, options.firstSeed+uint64(i), options)
		})
	}
	workers.Wait()
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		d.add(options.firstSeed+uint64(i), r)
	}
	return nil
}

func runSeed(scenario string, seed uint64, options daysOptions) (sim.Result, error) {
	s, err := sim.ScenarioSettings(scenario, seed, options.aggregators, options.replicas)
	if err != nil {
		return sim.Result{}, err
	}
	return sim.Run(s)
}

func (d *fleetSummary) print(out *output) {
	out.printf("%-6s answered %v; in time:", d.Scenario, d.Answered)
	for _, name := range classNames {
		out.printf(" %s %v,", name, d.WithinObjective[name])
	}
	out.printf(" discovery polls %.0f ± %.0f, %d warming replicas overloaded, %d of %d seeds broke a rule\n",
		d.DiscoveryPolls.Mean, d.DiscoveryPolls.Half, d.ReplicasOverloaded, len(d.Violations), d.Seeds)
	for _, seed := range slices.Sorted(maps.Keys(d.Violations)) {
		out.printf("  seed %d: %s\n", seed, d.Violations[seed])
	}
}
