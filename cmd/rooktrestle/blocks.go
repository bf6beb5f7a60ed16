package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"rooktrestle/internal/control/shardmap"
)

// blocksCommand is the noun of maps of blocks.
func blocksCommand() *cobra.Command {
	c := &cobra.Command{Use: "blocks", Short: "Look at maps of blocks, and plan how they change"}
	c.AddCommand(blocksCheck(), blocksShow(), blocksDiff(), blocksPlan())
	return c
}

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

func blocksCheck() *cobra.Command {
	var after string
	c := &cobra.Command{
		Use: "check FILE", Short: "Read a map and say whether it is one; with --after, whether it may follow another", Args: cobra.ExactArgs(1),
		Example: "  rooktrestle blocks check new.json --after now.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMap(args[0])
			if err != nil {
				return err
			}
			if after != "" {
				old, err := readMap(after)
				if err != nil {
					return err
				}
				if err := m.ValidateSuccession(old); err != nil {
					return fmt.Errorf("%w: %s after %s: %w", errNegative, args[0], after, err)
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s epoch %d: %d blocks, %d listed: good\n", m.Archive, m.Epoch, m.ActiveCount(), m.TotalCount())
			return nil
		},
	}
	c.Flags().StringVar(&after, "after", "", "the map that it is to follow")
	return c
}

func blocksShow() *cobra.Command {
	var asJSON bool
	var key string
	c := &cobra.Command{
		Use: "show FILE", Short: "Print a map, or with --key the block of a record or key", Args: cobra.ExactArgs(1),
		Example: "  rooktrestle blocks show now.json --key news@2019:44",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, err := readMap(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if key != "" {
				b := m.Lookup(shardmap.KeyOf(key))
				return printBlocks(out, []*shardmap.Shard{b}, asJSON)
			}
			var list []*shardmap.Shard
			m.All(func(b *shardmap.Shard) bool { list = append(list, b); return true })
			if !asJSON {
				fmt.Fprintf(out, "%s epoch %d, next id %d, weight %g\n", m.Archive, m.Epoch, m.NextID, m.Weight())
			}
			return printBlocks(out, list, asJSON)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	c.Flags().StringVar(&key, "key", "", "a record's identifier, or programme@year")
	return c
}

func printBlocks(out io.Writer, list []*shardmap.Shard, asJSON bool) error {
	if asJSON {
		text, err := json.MarshalIndent(list, "", "  ")
		if err == nil {
			_, err = fmt.Fprintf(out, "%s\n", text)
		}
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "block\trange\tstate\tweight\tholders")
	for _, b := range list {
		fmt.Fprintf(t, "%d\t%s\t%s\t%g\t%s\n", b.ID, b.Range(), b.State, max(b.Weight, 0), holders(b))
	}
	return t.Flush()
}

func holders(b *shardmap.Shard) string {
	var all []string
	for _, h := range b.Replicas {
		text := h.Server
		if h.Joining {
			text += " (joins)"
		} else if h.ServingSince > 0 {
			text += fmt.Sprintf(" (since %d)", h.ServingSince)
		}
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}

func blocksDiff() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "diff OLD NEW", Short: "Print what changes from one map to another, and whether it is legal", Args: cobra.ExactArgs(2),
		Example: "  rooktrestle blocks diff now.json new.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			old, err := readMap(args[0])
			if err != nil {
				return err
			}
			now, err := readMap(args[1])
			if err != nil {
				return err
			}
			list := shardmap.Diff(old, now)
			out := cmd.OutOrStdout()
			if asJSON {
				text, err := json.MarshalIndent(list, "", "  ")
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "%s\n", text)
			} else {
				fmt.Fprintf(out, "epoch %d to %d: %d blocks change\n", old.Epoch, now.Epoch, len(list))
				for _, d := range list {
					fmt.Fprintln(out, difference(d))
				}
			}
			if err := now.ValidateSuccession(old); err != nil {
				return fmt.Errorf("%w: %w", errNegative, err)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "for scripts")
	return c
}

func difference(d shardmap.ShardChange) string {
	switch {
	case d.Was == nil:
		return fmt.Sprintf("+ block %d %s, %s, held by %s, of %v", d.ID, d.Is.Range(), d.Is.State, holders(d.Is), d.Is.Parents)
	case d.Is == nil:
		return fmt.Sprintf("- block %d %s", d.ID, d.Was.Range())
	}
	text := fmt.Sprintf("~ block %d %s", d.ID, d.Is.Range())
	if d.Was.State != d.Is.State {
		text += fmt.Sprintf(", from %s to %s", d.Was.State, d.Is.State)
	}
	if d.Was.Weight != d.Is.Weight {
		text += fmt.Sprintf(", weight %g to %g", d.Was.Weight, d.Is.Weight)
	}
	for _, c := range []struct {
		what string
		list []string
	}{{"joins", d.Joined}, {"serves now", d.Promoted}, {"leaves", d.Left}} {
		if len(c.list) > 0 {
			text += ", " + c.what + ": " + strings.Join(c.list, " ")
		}
	}
	return text
}

func blocksPlan() *cobra.Command {
	c := &cobra.Command{Use: "plan", Short: "Print the succession of epochs that changes blocks safely, with the waits and why"}
	var file, write string
	var t shardmap.Timing
	c.PersistentFlags().StringVar(&file, "map", "", "the present map")
	c.PersistentFlags().StringVar(&write, "write", "", "write each epoch's map to this path, with %d for the epoch")
	c.PersistentFlags().DurationVar(&t.MapPropagation, "spread", 10*time.Second, "until every mixer has an epoch")
	c.PersistentFlags().DurationVar(&t.MaxQueryTime, "query", 8*time.Second, "the longest deadline of a query")
	c.MarkPersistentFlagRequired("map")
	verb := func(use, short, example string, least int, plan func(m *shardmap.Map, args []string) (*shardmap.Plan, error)) {
		c.AddCommand(&cobra.Command{Use: use, Short: short, Example: example, Args: cobra.MinimumNArgs(least),
			RunE: func(cmd *cobra.Command, args []string) error {
				m, err := readMap(file)
				if err != nil {
					return err
				}
				if t.MapPropagation < 0 || t.MaxQueryTime < 0 {
					return errors.New("--spread and --query must not be negative")
				}
				p, err := plan(m, args)
				if err != nil {
					return fmt.Errorf("%w: %w", errNegative, err)
				}
				return printPlan(cmd.OutOrStdout(), m, p, write)
			}})
	}
	id := func(text string) (shardmap.ID, error) {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return 0, fmt.Errorf("block %q: not a number", text)
		}
		return shardmap.ID(n), nil
	}
	verb("move BLOCK SERVER...", "Give a block to these servers", "  rooktrestle blocks plan move 7 n2 n5 --map now.json", 2,
		func(m *shardmap.Map, args []string) (*shardmap.Plan, error) {
			b, err := id(args[0])
			if err != nil {
				return nil, err
			}
			return shardmap.PlanMigration(m, b, args[1:], t)
		})
	verb("split BLOCK KEY...", "Cut a block at keys", "  rooktrestle blocks plan split 7 news@2019 --map now.json", 2,
		func(m *shardmap.Map, args []string) (*shardmap.Plan, error) {
			b, err := id(args[0])
			if err != nil {
				return nil, err
			}
			var keys []shardmap.Key
			for _, text := range args[1:] {
				k, err := shardmap.ParseKey(text)
				if err != nil {
					return nil, err
				}
				keys = append(keys, k)
			}
			return shardmap.PlanSplit(m, b, keys, t)
		})
	verb("merge BLOCK BLOCK...", "Make one of neighbours", "  rooktrestle blocks plan merge 7 8 --map now.json", 2,
		func(m *shardmap.Map, args []string) (*shardmap.Plan, error) {
			var ids []shardmap.ID
			for _, text := range args {
				b, err := id(text)
				if err != nil {
					return nil, err
				}
				ids = append(ids, b)
			}
			return shardmap.PlanMerge(m, ids, t)
		})
	return c
}

func printPlan(out io.Writer, m *shardmap.Map, p *shardmap.Plan, write string) error {
	if write != "" && strings.Count(write, "%d") != 1 {
		return fmt.Errorf("--write %q: it needs one %%d, for the epoch", write)
	}
	fmt.Fprintf(out, "%s, from epoch %d\n", p.What, p.From)
	for i := range p.Steps {
		s := &p.Steps[i]
		var before []string
		if s.Wait > 0 {
			before = append(before, "wait "+s.Wait.String())
		}
		if s.Copied {
			before = append(before, "until every joining server has all")
		}
		if s.Heard {
			before = append(before, "until every holder knows the epoch before")
		}
		if len(before) > 0 {
			fmt.Fprintf(out, "  %s: %s\n", strings.Join(before, ", "), s.Why)
		}
		var err error
		if m, err = s.Apply(m); err != nil {
			return err
		}
		fmt.Fprintf(out, "epoch %d: %s\n", m.Epoch, s.What)
		if write != "" {
			if err := os.WriteFile(strings.Replace(write, "%d", fmt.Sprint(m.Epoch), 1), m.Encode(), 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}
