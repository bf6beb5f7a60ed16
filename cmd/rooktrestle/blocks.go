package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
)

// blocksCommand returns the commands for shard maps, which operators call maps of blocks.
func blocksCommand() *cobra.Command {
	c := &cobra.Command{Use: "blocks", Short: "Inspect shard maps (maps of blocks), and plan their changes"}
	c.AddCommand(blocksCheckCommand(), blocksShowCommand(), blocksDiffCommand(), blocksPlanCommand())
	return c
}

// readMap reads and parses a shard map. The error names the file.
func readMap(path string) (*shardmap.Map, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m, err := shardmap.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

func blocksCheckCommand() *cobra.Command {
	var after string
	c := &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a map; with --after, also as the successor of another",
		Args:    cobra.ExactArgs(1),
		Example: "  rooktrestle blocks check new.json --after now.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMap(args[0])
			if err != nil {
				return err
			}
			if after != "" {
				previous, err := readMap(after)
				if err != nil {
					return err
				}
				if err := m.ValidateSuccession(previous); err != nil {
					return fmt.Errorf("%w: %s after %s: %w", errNegative, args[0], after, err)
				}
			}
			printf(cmd.OutOrStdout(), "%s epoch %d: %d blocks, %d listed: good\n",
				m.Archive, m.Epoch, m.ActiveCount(), m.TotalCount())
			return nil
		},
	}
	c.Flags().StringVar(&after, "after", "", "the map that it is to succeed")
	return c
}

func blocksShowCommand() *cobra.Command {
	var asJSON bool
	var key string
	c := &cobra.Command{
		Use:     "show FILE",
		Short:   "Print a map, or with --key the block of a record or key",
		Args:    cobra.ExactArgs(1),
		Example: "  rooktrestle blocks show now.json --key news@2019:44",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMap(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if key != "" {
				return printShards(out, []*shardmap.Shard{m.Lookup(shardmap.KeyOf(key))}, asJSON)
			}
			var shards []*shardmap.Shard
			m.All(func(shard *shardmap.Shard) bool {
				shards = append(shards, shard)
				return true
			})
			if !asJSON {
				printf(out, "%s epoch %d, next id %d, weight %g\n", m.Archive, m.Epoch, m.NextID, m.Weight())
			}
			return printShards(out, shards, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	c.Flags().StringVar(&key, "key", "", "a record's identifier, or programme@year")
	return c
}

func printShards(out io.Writer, shards []*shardmap.Shard, asJSON bool) error {
	if asJSON {
		return printJSON(out, shards)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, "block\trange\tstate\tweight\tholders\n")
	for _, shard := range shards {
		printf(table, "%d\t%s\t%s\t%g\t%s\n",
			shard.ID, shard.Range(), shard.State, max(shard.Weight, 0), replicaList(shard))
	}
	return table.Flush()
}

func printJSON[T any](out io.Writer, value T) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", text)
	return err
}

// replicaList formats the replicas of a shard for users.
func replicaList(shard *shardmap.Shard) string {
	var all []string
	for _, replica := range shard.Replicas {
		text := replica.Server
		if replica.Joining {
			text += " (joins)"
		} else if replica.ServingSince > 0 {
			text += fmt.Sprintf(" (since %d)", replica.ServingSince)
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

func blocksDiffCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:     "diff OLD NEW",
		Short:   "Print the differences of two maps, and whether the second may succeed the first",
		Args:    cobra.ExactArgs(2),
		Example: "  rooktrestle blocks diff now.json new.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := readMap(args[0])
			if err != nil {
				return err
			}
			after, err := readMap(args[1])
			if err != nil {
				return err
			}
			if err := printDiff(cmd.OutOrStdout(), before, after, asJSON); err != nil {
				return err
			}
			if err := after.ValidateSuccession(before); err != nil {
				return fmt.Errorf("%w: %w", errNegative, err)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	return c
}

func printDiff(out io.Writer, before, after *shardmap.Map, asJSON bool) error {
	differences := shardmap.Diff(before, after)
	if asJSON {
		return printJSON(out, differences)
	}
	printf(out, "epoch %d to %d: %d blocks change\n", before.Epoch, after.Epoch, len(differences))
	for _, difference := range differences {
		printf(out, "%s\n", describe(difference))
	}
	return nil
}

// describe formats the change of a shard on one line.
func describe(change shardmap.ShardChange) string {
	switch {
	case change.Before == nil:
		return fmt.Sprintf("+ block %d %s, %s, held by %s, of %v",
			change.ID, change.After.Range(), change.After.State, replicaList(change.After), change.After.Parents)
	case change.After == nil:
		return fmt.Sprintf("- block %d %s", change.ID, change.Before.Range())
	}
	text := fmt.Sprintf("~ block %d %s", change.ID, change.After.Range())
	if change.Before.State != change.After.State {
		text += fmt.Sprintf(", from %s to %s", change.Before.State, change.After.State)
	}
	if change.Before.Weight != change.After.Weight {
		text += fmt.Sprintf(", weight %g to %g", change.Before.Weight, change.After.Weight)
	}
	for _, moved := range []struct {
		verb    string
		servers []string
	}{
		{"joins", change.Joined},
		{"serves now", change.Promoted},
		{"leaves", change.Left},
	} {
		if len(moved.servers) > 0 {
			text += ", " + moved.verb + ": " + strings.Join(moved.servers, " ")
		}
	}
	return text
}
