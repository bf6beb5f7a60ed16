package main

import (
	"encoding/json"
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

// span is a mean over seeds with the half width of its 95% interval; under two seeds there is none.
type span struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half"`
}

func spanOf(values []float64) span {
	if len(values) < 2 {
		return span{Mean: stat.Mean(values, nil)}
	}
	mean, dev := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return span{mean, t * dev / math.Sqrt(n)}
}

func (s span) String() string { return fmt.Sprintf("%.3f ± %.3f", s.Mean, s.Half) }

// dayWord is what the seeds of one day came to. Shares are of the queries that clients wanted.
type dayWord struct {
	Day      string            `json:"day"`
	Seeds    int               `json:"seeds"`
	Answered span              `json:"answered"`
	InTime   map[string]span   `json:"in_time"` // of each class
	Calls    span              `json:"list_calls"`
	Fallen   int               `json:"nodes_fallen"`
	Broken   map[uint64]string `json:"broken"` // the first broken rule of a seed
	goodput  []float64         // of each seed
	classes  map[string][]float64
	calls    []float64
}

var classNames = [...]string{"search", "report", "correction"}

func (d *dayWord) take(seed uint64, r sim.Result) {
	d.goodput, d.calls = append(d.goodput, r.Goodput()), append(d.calls, float64(r.DiscoveryPolls))
	for i, c := range r.Classes {
		if c.Queries > 0 {
			d.classes[classNames[i]] = append(d.classes[classNames[i]], float64(c.WithinObjective)/float64(c.Queries))
		}
	}
	d.Fallen += r.ReplicasOverloaded
	if len(r.Violations) > 0 {
		d.Broken[seed] = r.Violations[0]
	}
}

func (d *dayWord) sum() {
	d.Answered, d.Calls = spanOf(d.goodput), spanOf(d.calls)
	for name, shares := range d.classes {
		d.InTime[name] = spanOf(shares)
	}
}

// days plays days of whole fleets.
func days() *cobra.Command {
	var seeds, mixers, nodes int
	var first uint64
	var asJSON bool
	c := &cobra.Command{
		Use: "days [DAY...]", Short: "Play days of whole fleets under virtual time, and print what was answered with its interval over seeds",
		Long: "Plays days of whole fleets under virtual time: mixers killed at once during a release, a zone lost and back cold,\n" +
			"zones cut off from each other while discovery is silent, most nodes replaced. Exit status 1: a rule was broken.",
		Example: "  testbed days herd split --mixers 300 --nodes 200 --seeds 20\n  testbed days herd --seed 7 --seeds 1 --json", ValidArgs: sim.DayNames,
		RunE: func(cmd *cobra.Command, named []string) error {
			if len(named) == 0 {
				named = sim.DayNames
			}
			if seeds < 1 {
				return fmt.Errorf("--seeds at least 1")
			}
			broken := false
			var words []*dayWord
			for _, day := range named {
				d := &dayWord{Day: day, Seeds: seeds, InTime: map[string]span{}, Broken: map[uint64]string{}, classes: map[string][]float64{}}
				if err := playDay(d, first, mixers, nodes); err != nil {
					return err
				}
				d.sum()
				words = append(words, d)
				broken = broken || len(d.Broken) > 0
				if !asJSON {
					d.print(cmd)
				}
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				if err := e.Encode(words); err != nil {
					return err
				}
			}
			if broken {
				return errNo
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 4, "how many of each day")
	c.Flags().Uint64Var(&first, "seed", 1, "the first")
	c.Flags().IntVar(&mixers, "mixers", 60, "of the fleet")
	c.Flags().IntVar(&nodes, "nodes", 40, "of the archive")
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	return c
}

// playDay plays the seeds of a day beside each other, and takes them in their order: sums must not hang on which is over
// first.
func playDay(d *dayWord, first uint64, mixers, nodes int) error {
	results, errs := make([]sim.Result, d.Seeds), make([]error, d.Seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var all sync.WaitGroup
	for i := range d.Seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			var s sim.Settings
			if s, errs[i] = sim.DaySettings(d.Day, first+uint64(i), mixers, nodes); errs[i] == nil {
				results[i], errs[i] = sim.Run(s)
			}
		})
	}
	all.Wait()
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		d.take(first+uint64(i), r)
	}
	return nil
}

func (d *dayWord) print(cmd *cobra.Command) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%-6s answered %v; in time:", d.Day, d.Answered)
	for _, name := range classNames {
		fmt.Fprintf(out, " %s %v,", name, d.InTime[name])
	}
	fmt.Fprintf(out, " list calls %.0f ± %.0f, %d cold nodes fell, %d of %d seeds broke a rule\n", d.Calls.Mean, d.Calls.Half, d.Fallen, len(d.Broken), d.Seeds)
	for _, seed := range slices.Sorted(maps.Keys(d.Broken)) {
		fmt.Fprintf(out, "  seed %d: %s\n", seed, d.Broken[seed])
	}
}
