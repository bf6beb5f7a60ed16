package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
)

// Defaults of the times from which a plan's waits are computed.
const (
	defaultMapPropagation = 10 * time.Second
	defaultMaxQueryTime   = 8 * time.Second
)

// planFunc plans a change of a shard map as a command's arguments specify.
type planFunc func(m *shardmap.Map, args []string, timing shardmap.Timing) (*shardmap.Plan, error)

// planOptions are the flags of all plan commands.
type planOptions struct {
	mapPath   string
	writePath string // contains %d for the epoch; empty: maps are not written
	timing    shardmap.Timing
}

func blocksPlanCommand() *cobra.Command {
	var o planOptions
	c := &cobra.Command{
		Use:   "plan",
		Short: "Print the epochs that change blocks safely, with the waits between them and the reasons",
	}
	flags := c.PersistentFlags()
	flags.StringVar(&o.mapPath, "map", "", "the current map")
	flags.StringVar(&o.writePath, "write", "", "write each epoch's map to this path, with %d for the epoch")
	flags.DurationVar(&o.timing.MapPropagation, "spread", defaultMapPropagation, "time until every aggregator has an epoch")
	flags.DurationVar(&o.timing.MaxQueryTime, "query", defaultMaxQueryTime, "the longest deadline of a query")
	if err := c.MarkPersistentFlagRequired("map"); err != nil {
		panic(err) // the flag is defined above
	}
	c.AddCommand(
		o.command("move BLOCK SERVER...", "Migrate a block to these servers", "  rooktrestle blocks plan move 7 n2 n5 --map now.json", planMove),
		o.command("split BLOCK KEY...", "Split a block at keys", "  rooktrestle blocks plan split 7 news@2019 --map now.json", planSplit),
		o.command("merge BLOCK BLOCK...", "Merge adjacent blocks", "  rooktrestle blocks plan merge 7 8 --map now.json", planMerge),
	)
	return c
}

// command returns a plan command, which has at least two arguments. Its result is negative if no plan is possible.
func (o *planOptions) command(use, short, example string, plan planFunc) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMap(o.mapPath)
			if err != nil {
				return err
			}
			if o.timing.MapPropagation < 0 || o.timing.MaxQueryTime < 0 {
				return errors.New("--spread and --query must not be negative")
			}
			planned, err := plan(m, args, o.timing)
			if err != nil {
				return fmt.Errorf("%w: %w", errNegative, err)
			}
			return printPlan(cmd.OutOrStdout(), m, planned, o.writePath)
		},
	}
}

func planMove(m *shardmap.Map, args []string, timing shardmap.Timing) (*shardmap.Plan, error) {
	id, err := parseShardID(args[0])
	if err != nil {
		return nil, err
	}
	return shardmap.PlanMigration(m, id, args[1:], timing)
}

func planSplit(m *shardmap.Map, args []string, timing shardmap.Timing) (*shardmap.Plan, error) {
	id, err := parseShardID(args[0])
	if err != nil {
		return nil, err
	}
	var keys []shardmap.Key
	for _, text := range args[1:] {
		key, err := shardmap.ParseKey(text)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return shardmap.PlanSplit(m, id, keys, timing)
}

func planMerge(m *shardmap.Map, args []string, timing shardmap.Timing) (*shardmap.Plan, error) {
	var ids []shardmap.ID
	for _, text := range args {
		id, err := parseShardID(text)
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return shardmap.PlanMerge(m, ids, timing)
}

func parseShardID(text string) (shardmap.ID, error) {
	id, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("block %q: not a number", text)
	}
	return shardmap.ID(id), nil
}

// printPlan prints a plan. If writePath is set, it also writes the map of each epoch to a file.
func printPlan(out io.Writer, current *shardmap.Map, plan *shardmap.Plan, writePath string) error {
	if writePath != "" && strings.Count(writePath, "%d") != 1 {
		return fmt.Errorf("--write %q must contain %%d exactly once, for the epoch", writePath)
	}
	printf(out, "%s, from epoch %d\n", plan.Description, plan.FromEpoch)
	for i := range plan.Steps {
		step := &plan.Steps[i]
		if conditions := conditionsOf(step); len(conditions) > 0 {
			printf(out, "  %s: %s\n", strings.Join(conditions, ", "), step.WaitReason)
		}
		var err error
		if current, err = step.Apply(current); err != nil {
			return err
		}
		printf(out, "epoch %d: %s\n", current.Epoch, step.Description)
		if writePath == "" {
			continue
		}
		path := strings.Replace(writePath, "%d", fmt.Sprint(current.Epoch), 1)
		if err := os.WriteFile(path, current.Encode(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// conditionsOf formats the conditions for starting a step.
func conditionsOf(step *shardmap.Step) (conditions []string) {
	if step.MinWait > 0 {
		conditions = append(conditions, "wait "+step.MinWait.String())
	}
	if step.AwaitCopies {
		conditions = append(conditions, "until every joining server has all")
	}
	if step.AwaitEpochKnown {
		conditions = append(conditions, "until every holder knows the epoch before")
	}
	return conditions
}
