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

// shrinkRuns bounds how many runs the shrinking of one violation takes.
const shrinkRuns = 100

// huntOptions are those of the hunt command.
type huntOptions struct {
	seeds     int
	firstSeed uint64
	duration  time.Duration
	dir       string
}

// huntCommand searches seeds for violations of the rules.
func huntCommand() *cobra.Command {
	var options huntOptions
	var replay string
	c := &cobra.Command{
		Use: "hunt",
		Short: "Play random fleets with random faults, " +
			"and shrink each run that breaks a rule to a file that can be replayed",
		Example: "  testbed hunt --seeds 1000 --for 5m\n  testbed hunt --replay broken-17.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := &output{writer: cmd.OutOrStdout()}
			if replay != "" {
				return replayFile(out, replay)
			}
			if options.seeds < 1 || options.duration <= 0 {
				return fmt.Errorf("--seeds at least 1, --for over 0")
			}
			return runHunt(out, options)
		},
	}
	c.Flags().IntVar(&options.seeds, "seeds", 200, "how many seeds")
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "the first")
	c.Flags().DurationVar(&options.duration, "for", time.Minute, "no new run is begun after so long")
	c.Flags().StringVar(&options.dir, "dir", ".", "where shrunk runs are written")
	c.Flags().StringVar(&replay, "replay", "", "play one written run again")
	return c
}

// replayFile plays the settings of a file that a hunt wrote.
func replayFile(out *output, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the run to replay: %w", err)
	}
	var settings sim.Settings
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("%s: %w", path, err)
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
		return errClaimsFailed
	}
	return out.err
}

// seedHunt plays seeds on all processors.
type seedHunt struct {
	options huntOptions
	end     time.Time

	mu        sync.Mutex
	out       *output
	next      uint64
	played    int
	violating int
	events    uint64
	failure   error // ends the hunt
}

func runHunt(out *output, options huntOptions) error {
	h := &seedHunt{options: options, end: time.Now().Add(options.duration), out: out, next: options.firstSeed}
	var players sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		players.Go(h.playSeeds)
	}
	players.Wait()
	out.printf("%d runs, %d events, %d broke a rule\n", h.played, h.events, h.violating)
	switch {
	case h.failure != nil:
		return h.failure
	case out.err != nil:
		return out.err
	case h.violating > 0:
		return errClaimsFailed
	}
	return nil
}

// playSeeds plays one seed after the other until the hunt ends.
func (h *seedHunt) playSeeds() {
	for {
		seed, ok := h.take()
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

// take takes the next seed; there is none once the hunt is over.
func (h *seedHunt) take() (seed uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seed = h.next
	h.next++
	played := seed >= h.options.firstSeed+uint64(h.options.seeds)
	over := played || time.Now().After(h.end) || h.failure != nil
	return seed, !over
}

func (h *seedHunt) count(r sim.Result, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.played++
	h.events += r.Events
	if err != nil {
		h.failure = err
	}
}

// report shrinks a run that violates a rule and writes it to a file.
func (h *seedHunt) report(seed uint64, settings sim.Settings, result sim.Result) {
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
