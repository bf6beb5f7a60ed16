package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	labhealth "rooktrestle/internal/testbed/health"
)

func health() *cobra.Command {
	var seeds int
	var first uint64
	var only []string
	var asJSON bool
	var picture string
	c := &cobra.Command{
		Use: "health", Short: "Run the experiments on health evidence over several seeds and print median and worst",
		Example: "  testbed health --seeds 20 --only liar-up --plot share.png", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > 1000 {
				return fmt.Errorf("--seeds %d: 1 to 1000", seeds)
			}
			out := cmd.OutOrStdout()
			report := map[string]any{}
			broken := 0
			for _, sc := range labhealth.Scenarios {
				if len(only) > 0 && !slices.Contains(only, sc.Name) {
					continue
				}
				values, claims := map[string][]float64{}, []string{}
				var series [][]labhealth.Point
				for seed := first; seed < first+uint64(seeds); seed++ {
					began := time.Now()
					r, err := sc.Run(seed)
					if err != nil {
						return fmt.Errorf("%s, seed %d: %w", sc.Name, seed, err)
					}
					for k, v := range r.Values {
						values[k] = append(values[k], v)
					}
					for _, b := range r.Violations {
						claims = append(claims, fmt.Sprintf("seed %d: %s", seed, b))
					}
					if len(r.Series) > 0 {
						series = append(series, r.Series)
					}
					if !asJSON {
						fmt.Fprintf(cmd.ErrOrStderr(), "%s, seed %d: %v, broken: %q\n", sc.Name, seed, time.Since(began).Round(time.Second), r.Violations)
					}
				}
				broken += len(claims)
				report[sc.Name] = map[string]any{"what": sc.What, "values": values, "broken": claims}
				if !asJSON {
					fmt.Fprintf(out, "%s: %s\n", sc.Name, sc.What)
					t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
					fmt.Fprintln(t, "measure\tleast\tmedian\tmost\truns\t")
					for _, k := range sorted(values) {
						v := slices.Clone(values[k])
						slices.Sort(v)
						fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4g\t%d\t\n", k, v[0], stat.Quantile(0.5, stat.Empirical, v, nil), v[len(v)-1], len(v))
					}
					t.Flush()
					for _, b := range claims {
						fmt.Fprintln(out, "  BROKEN", b)
					}
					fmt.Fprintln(out)
				}
				if picture != "" && len(series) > 0 {
					if err := draw(picture, sc.What, series); err != nil {
						return err
					}
				}
			}
			if len(report) == 0 {
				return fmt.Errorf("--only %v: no such scenario", only)
			}
			if asJSON {
				text, err := json.MarshalIndent(report, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintln(out, string(text))
			}
			if broken > 0 {
				return fmt.Errorf("%w: %d broken", errClaimsFailed, broken)
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first")
	c.Flags().StringSliceVar(&only, "only", nil, "scenarios by name; all if none is named")
	c.Flags().BoolVar(&asJSON, "json", false, "all values as JSON")
	c.Flags().StringVar(&picture, "plot", "", "draw the node's share over time into this PNG or SVG file")
	return c
}

func sorted(m map[string][]float64) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// draw plots a node's share of the parts over time, one line a seed.
func draw(file, title string, series [][]labhealth.Point) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "seconds after the fault", "share of the parts, %"
	for _, s := range series {
		var xy plotter.XYs
		for _, pt := range s {
			xy = append(xy, plotter.XY{X: pt.At, Y: pt.Value})
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
