package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/testbed/sim"
)

// hunt searches seeds for broken rules.
func hunt() *cobra.Command {
	var seeds int
	var first uint64
	var d time.Duration
	var dir, replay string
	c := &cobra.Command{
		Use: "hunt", Short: "Play random fleets with random troubles, and shrink each run that breaks a rule to a file that can be replayed",
		Example: "  testbed hunt --seeds 1000 --for 5m\n  testbed hunt --replay broken-17.json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			if replay != "" {
				text, err := os.ReadFile(replay)
				if err != nil {
					return err
				}
				var s sim.Settings
				if err := json.Unmarshal(text, &s); err != nil {
					return fmt.Errorf("%s: %w", replay, err)
				}
				r, err := sim.Run(s)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "trace %016x, %d events, %d queries\n", r.Hash, r.Events, r.Requests)
				for _, b := range r.Violations {
					fmt.Fprintln(out, b)
				}
				if len(r.Violations) > 0 {
					return errNo
				}
				return nil
			}
			if seeds < 1 || d <= 0 {
				return fmt.Errorf("--seeds at least 1, --for over 0")
			}
			var mu sync.Mutex
			next, played, broken := first, 0, 0
			events := uint64(0)
			end := time.Now().Add(d)
			var all sync.WaitGroup
			var failed error
			for range runtime.GOMAXPROCS(0) {
				all.Go(func() {
					for {
						mu.Lock()
						seed := next
						next++
						over := seed >= first+uint64(seeds) || time.Now().After(end) || failed != nil
						mu.Unlock()
						if over {
							return
						}
						s := sim.RandomSettings(seed)
						r, err := sim.Run(s)
						mu.Lock()
						played++
						events += r.Events
						if err != nil {
							failed = err
						}
						mu.Unlock()
						if len(r.Violations) == 0 {
							continue
						}
						short, runs := sim.Shrink(s, 100)
						file := fmt.Sprintf("%s/broken-%d.json", dir, seed)
						text, _ := json.MarshalIndent(short, "", "  ")
						mu.Lock()
						broken++
						fmt.Fprintf(out, "seed %d: %s (%d in all); shrunk in %d runs to %d troubles: %s\n", seed, r.Violations[0], len(r.Violations), runs, len(short.Faults), file)
						if err := os.WriteFile(file, append(text, '\n'), 0o600); err != nil {
							failed = err
						}
						mu.Unlock()
					}
				})
			}
			all.Wait()
			fmt.Fprintf(out, "%d runs, %d events, %d broke a rule\n", played, events, broken)
			if failed != nil {
				return failed
			}
			if broken > 0 {
				return errNo
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 200, "how many seeds")
	c.Flags().Uint64Var(&first, "seed", 1, "the first")
	c.Flags().DurationVar(&d, "for", time.Minute, "no new run is begun after so long")
	c.Flags().StringVar(&dir, "dir", ".", "where shrunk runs are written")
	c.Flags().StringVar(&replay, "replay", "", "play one written run again")
	return c
}
