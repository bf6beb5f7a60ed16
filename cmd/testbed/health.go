package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"rooktrestle/internal/testbed/health"
)

// maxSeeds bounds the number of seeds of one run.
const maxSeeds = 1000

// healthOptions are the flags of the health command.
type healthOptions struct {
	seeds     int
	firstSeed uint64
	only      []string // names of scenarios; empty: all
	asJSON    bool
	plot      string // path of the image file; empty: none
}

func healthCommand() *cobra.Command {
	var options healthOptions
	c := &cobra.Command{
		Use:     "health",
		Short:   "Run the experiments on health evidence over several seeds, and print min, median and max",
		Example: "  testbed health --seeds 20 --only liar-up --plot share.png",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.seeds < 1 || options.seeds > maxSeeds {
				return fmt.Errorf("--seeds %d: must be from 1 to %d", options.seeds, maxSeeds)
			}
			return runHealth(&output{writer: cmd.OutOrStdout()}, &output{writer: cmd.ErrOrStderr()}, options)
		},
	}
	c.Flags().IntVar(&options.seeds, "seeds", 1, "number of seeds")
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "first seed")
	c.Flags().StringSliceVar(&options.only, "only", nil, "names of the scenarios to run; empty: all")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print all values as JSON")
	c.Flags().StringVar(&options.plot, "plot", "", "PNG or SVG file for a plot of the replica's traffic over time")
	return c
}

// scenarioReport aggregates the results of one scenario over its seeds.
type scenarioReport struct {
	Violations []string             `json:"broken"`
	Values     map[string][]float64 `json:"values"` // by measure, in the order of the seeds
	What       string               `json:"what"`

	series [][]health.Point // one per seed, for a scenario that records one
}

// runHealth runs the selected scenarios and writes the report to out, and one line per run to progress.
func runHealth(out, progress *output, options healthOptions) error {
	reports := map[string]*scenarioReport{}
	violations := 0
	for _, scenario := range health.Scenarios {
		if len(options.only) > 0 && !slices.Contains(options.only, scenario.Name) {
			continue
		}
		report, err := runScenario(scenario, progress, options)
		if err != nil {
			return err
		}
		reports[scenario.Name] = report
		violations += len(report.Violations)
		if !options.asJSON {
			report.print(out, scenario.Name)
		}
		if options.plot != "" && len(report.series) > 0 {
			if err := plotSeries(options.plot, scenario.What, report.series); err != nil {
				return fmt.Errorf("plot %s: %w", scenario.Name, err)
			}
		}
	}
	if len(reports) == 0 {
		return fmt.Errorf("--only %v: no scenario has such a name", options.only)
	}
	if options.asJSON {
		out.printJSON(reports)
	}
	switch {
	case out.err != nil:
		return out.err
	case violations > 0:
		return fmt.Errorf("%w: %d violations", errAssertionsFailed, violations)
	}
	return nil
}

// runScenario runs one scenario with each seed.
func runScenario(scenario health.Scenario, progress *output, options healthOptions) (*scenarioReport, error) {
	report := &scenarioReport{What: scenario.What, Values: map[string][]float64{}, Violations: []string{}}
	for seed := options.firstSeed; seed < options.firstSeed+uint64(options.seeds); seed++ {
		began := time.Now()
		r, err := scenario.Run(seed)
		if err != nil {
			return nil, fmt.Errorf("%s, seed %d: %w", scenario.Name, seed, err)
		}
		report.add(seed, r)
		if !options.asJSON {
			elapsed := time.Since(began).Round(time.Second)
			progress.printf("%s, seed %d: %v, broken: %q\n", scenario.Name, seed, elapsed, r.Violations)
		}
	}
	return report, nil
}

func (s *scenarioReport) add(seed uint64, r health.Result) {
	for name, value := range r.Values {
		s.Values[name] = append(s.Values[name], value)
	}
	for _, violation := range r.Violations {
		s.Violations = append(s.Violations, fmt.Sprintf("seed %d: %s", seed, violation))
	}
	if len(r.Series) > 0 {
		s.series = append(s.series, r.Series)
	}
}

func (s *scenarioReport) print(out *output, name string) {
	out.printf("%s: %s\n", name, s.What)
	out.table(func(t *output) {
		t.printf("measure\tmin\tmedian\tmax\truns\t\n")
		for _, measure := range slices.Sorted(maps.Keys(s.Values)) {
			values := slices.Sorted(slices.Values(s.Values[measure]))
			median := stat.Quantile(0.5, stat.Empirical, values, nil)
			t.printf("%s\t%.4g\t%.4g\t%.4g\t%d\t\n", measure, values[0], median, values[len(values)-1], len(values))
		}
	})
	for _, violation := range s.Violations {
		out.println("  BROKEN", violation)
	}
	out.println()
}

// plotSeries plots a replica's fraction of the parts over time, one line per seed.
func plotSeries(file, title string, series [][]health.Point) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds after the fault"
	p.Y.Label.Text = "share of the parts, %"
	for _, points := range series {
		var xy plotter.XYs
		for _, point := range points {
			xy = append(xy, plotter.XY{X: point.At, Y: point.Value})
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Width = vg.Points(0.6)
		p.Add(line)
	}
	p.Add(plotter.NewGrid())
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
