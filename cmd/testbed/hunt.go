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

// shrinkRuns bounds the number of runs spent on shrinking one violation.
const shrinkRuns = 100

// huntOptions are the flags of the hunt command.
type huntOptions struct {
	seeds     int
	firstSeed uint64
	duration  time.Duration
	dir       string
}

// huntCommand returns the command that searches random seeds for violations of the invariants.
func huntCommand() *cobra.Command {
	var options huntOptions
	var replay string
	c := &cobra.Command{
		Use: "hunt",
		Short: "Simulate random fleets with random faults, " +
			"and shrink each run that violates an invariant to a file that can be replayed",
		Example: "  testbed hunt --seeds 1000 --for 5m\n  testbed hunt --replay broken-17.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := &output{writer: cmd.OutOrStdout()}
			if replay != "" {
				return replayFile(out, replay)
			}
			if options.seeds < 1 || options.duration <= 0 {
				return fmt.Errorf("--seeds %d, --for %v: --seeds must be at least 1, --for over 0",
					options.seeds, options.duration)
			}
			return runHunt(out, options)
		},
	}
	c.Flags().IntVar(&options.seeds, "seeds", 200, "number of seeds")
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "first seed")
	c.Flags().DurationVar(&options.duration, "for", time.Minute, "time after which no new run is started")
	c.Flags().StringVar(&options.dir, "dir", ".", "directory for the replay files of shrunk runs")
	c.Flags().StringVar(&replay, "replay", "", "replay the run in this file")
	return c
}

// replayFile simulates the settings of a replay file written by this command.
func replayFile(out *output, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the replay file: %w", err)
	}
	var settings sim.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("parse the replay file %s: %w", path, err)
	}
	r, err := sim.Run(settings)
	if err != nil {
		return fmt.Errorf("replay %s: %w", path, err)
	}
	out.printf("trace %016x, %d events, %d queries\n", r.Hash, r.Events, r.Requests)
	for _, violation := range r.Violations {
		out.println(violation)
	}
	if out.err == nil && len(r.Violations) > 0 {
		return errAssertionsFailed
	}
	return out.err
}

// seedSearch simulates seeds on all processors.
type seedSearch struct {
	options huntOptions
	end     time.Time

	mu        sync.Mutex
	out       *output
	next      uint64
	runCount  int
	violating int
	events    uint64
	failure   error // ends the search
}

func runHunt(out *output, options huntOptions) error {
	h := &seedSearch{options: options, end: time.Now().Add(options.duration), out: out, next: options.firstSeed}
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(h.runSeeds)
	}
	workers.Wait()
	out.printf("%d runs, %d events, %d broke a rule\n", h.runCount, h.events, h.violating)
	switch {
	case h.failure != nil:
		return h.failure
	case out.err != nil:
		return out.err
	case h.violating > 0:
		return errAssertionsFailed
	}
	return nil
}

// runSeeds simulates one seed after the other until the search ends.
func (h *seedSearch) runSeeds() {
	for {
		seed, ok := h.nextSeed()
		if !ok {
			return
		}
		s := sim.RandomSettings(seed)
		r, err := sim.Run(s)
		h.count(r, err)
		if len(r.Violations) > 0 {
			h.report(seed, s, r)
		}
	}
}

// nextSeed returns the next seed; ok is false once the search has ended.
func (h *seedSearch) nextSeed() (seed uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seed = h.next
	h.next++
	exhausted := seed >= h.options.firstSeed+uint64(h.options.seeds)
	stop := exhausted || time.Now().After(h.end) || h.failure != nil
	return seed, !stop
}

func (h *seedSearch) count(r sim.Result, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runCount++
	h.events += r.Events
	if err != nil {
		h.failure = err
	}
}

// report shrinks a run that violates an invariant, and writes its settings to a replay file.
func (h *seedSearch) report(seed uint64, settings sim.Settings, result sim.Result) {
	shrunk, runs := sim.Shrink(settings, shrinkRuns)
	path := fmt.Sprintf("%s/broken-%d.json", h.options.dir, seed)
	text, err := json.MarshalIndent(shrunk, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(text, '\n'), 0o600)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violating++
	h.out.printf("seed %d: %s (%d in all); shrunk in %d runs to %d faults: %s\n",
		seed, result.Violations[0], len(result.Violations), runs, len(shrunk.Faults), path)
	if err != nil {
		h.failure = fmt.Errorf("write the shrunk run of seed %d: %w", seed, err)
	}
}
