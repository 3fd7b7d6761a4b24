//go:build !hostonly

package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"eiderhold/internal/chart"
	"eiderhold/internal/config"
	"eiderhold/internal/gateway"
	"eiderhold/rebalance"
)

// gatewayFolder holds the flags that name a gateway's folder: its settings file or the folder itself.
type gatewayFolder struct{ file, dir string }

func (f *gatewayFolder) add(c *cobra.Command) {
	c.Flags().StringVar(&f.file, "config", "", "settings file of the gateway, which names its folder")
	c.Flags().StringVar(&f.dir, "dir", "", "folder of the gateway (gateway.dir)")
	c.MarkFlagsOneRequired("config", "dir")
	c.MarkFlagsMutuallyExclusive("config", "dir")
}

// path returns the folder.
func (f *gatewayFolder) path() (string, error) {
	if f.dir != "" {
		return f.dir, nil
	}
	cfg, err := config.Load(f.file)
	if err != nil {
		return "", err
	}
	return cfg.Gateway.Dir, nil
}

func spaceCommand() *cobra.Command {
	var target gatewayFolder
	var output string
	c := &cobra.Command{
		Use:   "space (--config FILE | --dir DIR)",
		Short: "Show the space that shards and modules use",
		Long: `Show the bytes used and the capacity of each shard, which shards take new data, and the bytes of
each module's files against its quota. The figures come from the gateway that runs on the folder
or, if none runs, from the file that it wrote last.`,
		Example: "  eiderhold space --config gateway.toml\n  eiderhold space --dir eiderhold-data --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := target.checkedPath(output)
			if err != nil {
				return err
			}
			s := &gateway.Space{}
			if err := gateway.Get(cmd.Context(), dir, "/space", nil, s); errors.Is(err, gateway.ErrNotRunning) {
				if s, err = gateway.ReadSpace(dir); err != nil {
					return err
				}
			} else if err != nil {
				return err
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), s)
			}
			return printSpace(cmd.OutOrStdout(), s, time.Now())
		},
	}
	target.add(c)
	c.Flags().StringVar(&output, "output", "text", "text or json; JSON has plain numbers of bytes")
	c.AddCommand(spacePlan(), spaceRebalance(), spaceMoves(), spaceUndo())
	return c
}

// checkedPath checks the --output flag and returns the folder.
func (f *gatewayFolder) checkedPath(output string) (string, error) {
	if err := checkOutput(output); err != nil {
		return "", err
	}
	return f.path()
}

// planFlags holds the flags for the settings of a plan.
type planFlags struct {
	set  rebalance.Settings
	rate string
}

func (f *planFlags) add(c *cobra.Command) {
	f.set = rebalance.Default
	c.Flags().Float64Var(&f.set.MinDifference, "least", f.set.MinDifference, "least difference between the used fractions of two shards for which data is moved")
	c.Flags().IntVar(&f.set.MaxMoves, "moves", f.set.MaxMoves, "most moves in the plan")
	c.Flags().IntVar(&f.set.MaxMovesPerShard, "at-once", f.set.MaxMovesPerShard, "most moves from or to one shard at a time")
	c.Flags().StringVar(&f.rate, "rate", humanize.IBytes(uint64(f.set.BytesPerSecond)), "bytes a second moved from or to one shard, used to estimate the duration")
}

func (f *planFlags) check() error {
	bytes, err := humanize.ParseBytes(f.rate)
	if err != nil || bytes > math.MaxInt64 {
		return fmt.Errorf("--rate %q: expected bytes a second, like 16MiB", f.rate)
	}
	f.set.BytesPerSecond = int64(bytes)
	return f.set.Check()
}

func spacePlan() *cobra.Command {
	var target gatewayFolder
	var flags planFlags
	var output, file string
	c := &cobra.Command{
		Use:   "plan (--config FILE | --dir DIR)",
		Short: "Plan which extents to move so that shards fill evenly",
		Long: `Plan which extents to move between shards, in waves, so that the shards fill evenly, and show how
full they are before and after. Nothing is moved. A gateway must be running on the folder. Shards
that are cold, lost, or above their watermark get no data, and volumes that a solution of shares
places stay on their nodes.
Exit status: 0 planned, even if nothing is to be moved; 2 no plan could be made.`,
		Example: "  eiderhold space plan --dir eiderhold-data --least 0.1 --rate 32MiB --chart plan.svg",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := target.checkedPath(output)
			if err != nil {
				return err
			}
			if err := flags.check(); err != nil {
				return err
			}
			p := &rebalance.Plan{}
			if err := gateway.Get(cmd.Context(), dir, "/plan", gateway.PlanQuery(flags.set), p); err != nil {
				return err
			}
			if file != "" {
				if err := planChart(file, p); err != nil {
					return err
				}
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), p)
			}
			return printPlan(cmd.OutOrStdout(), p)
		},
	}
	target.add(c)
	flags.add(c)
	c.Flags().StringVar(&file, "chart", "", "file for a chart (SVG) of how full shards are before and after")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// planChart draws the used fraction of each shard before and after.
func planChart(file string, p *rebalance.Plan) error {
	var names []string
	before, after := chart.Series{Name: "before"}, chart.Series{Name: "after"}
	for _, s := range slices.Sorted(maps.Keys(p.Usage)) {
		names = append(names, fmt.Sprint(s))
		before.Y, after.Y = append(before.Y, 100*p.Usage[s].Before), append(after.Y, 100*p.Usage[s].After)
	}
	return chart.Bars(file, "Shards before and after", "percent used", names, before, after)
}

const maxPlanMovesShown = 20 // moves that are printed of a plan as text

// printPlan writes the shards, the moves and the summary of a plan.
func printPlan(w io.Writer, p *rebalance.Plan) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "shard\tbefore\tafter")
	for _, s := range slices.Sorted(maps.Keys(p.Usage)) {
		fmt.Fprintf(t, "%d\t%.1f%%\t%.1f%%\n", s, 100*p.Usage[s].Before, 100*p.Usage[s].After)
	}
	if len(p.Moves) > 0 {
		fmt.Fprintln(t, "\nwave\tmodule\tfile version\textents\tbytes\tfrom\tto")
	}
	shown := 0
	for i, wave := range p.Waves {
		for _, m := range wave {
			if shown++; shown <= maxPlanMovesShown {
				x := &p.Moves[m]
				fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\t%d\t%d\n", i+1, x.Volume, x.Base, x.Extents, humanize.IBytes(uint64(x.Bytes)), x.Shard, x.To)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if shown > maxPlanMovesShown {
		fmt.Fprintf(w, "... and %d more (--output json has all)\n", shown-maxPlanMovesShown)
	}
	fmt.Fprintf(w, "\n%d moves in %d waves, %s, about %v at the rate; it ends there since %s\n", len(p.Moves), len(p.Waves),
		humanize.IBytes(uint64(p.Bytes)), p.EstimatedDuration.Round(time.Second), p.Reason)
	fmt.Fprintf(w, "fullest %.1f%% to %.1f%%, emptiest %.1f%% to %.1f%%, coefficient of variation %.3f to %.3f\n", 100*p.Before.Max,
		100*p.After.Max, 100*p.Before.Min, 100*p.After.Min, p.Before.Variation, p.After.Variation)
	return nil
}

// printSpace writes the tables of shards and modules, with sizes in binary units.
func printSpace(w io.Writer, s *gateway.Space, now time.Time) error {
	size := func(n int64) string { return humanize.IBytes(uint64(max(0, n))) }
	part := func(n, of int64) string {
		if of <= 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
	}
	fmt.Fprintf(w, "%s, written %v ago; a shard takes nothing new from %g%% on, and again below %g%%\n\n", s.Gateway,
		now.Sub(s.At).Round(time.Second), 100*s.High, 100*s.Low)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "shard\tnodes\tzone\tused\tof\tpart\tstate\treport's age")
	var used, capacity, maxUsed int64
	reporting, accepting := 0, 0
	for _, x := range s.Shards {
		capacityText := "not told"
		if x.Capacity > 0 {
			capacityText = size(x.Capacity)
			used, capacity, reporting = used+x.Used, capacity+x.Capacity, reporting+1
			maxUsed = max(maxUsed, x.Used)
		}
		if x.State == gateway.StateTakes {
			accepting++
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Shard, strings.Join(x.Nodes, " "), x.Zone, size(x.Used), capacityText,
			part(x.Used, x.Capacity), x.State, x.Age)
	}
	fmt.Fprintf(t, "all\t%d of %d take new data\t\t%s\t%s\t%s\n", accepting, len(s.Shards), size(used), size(capacity), part(used, capacity))
	if err := t.Flush(); err != nil {
		return err
	}
	if reporting > 0 && used > 0 {
		fmt.Fprintf(w, "fullest over mean: %.2f\n", float64(maxUsed)*float64(reporting)/float64(used))
	}
	t = tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nmodule\tfiles\tbytes\tquota\tpart")
	for _, m := range s.Modules {
		quota := "none"
		if m.Quota > 0 {
			quota = size(m.Quota)
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", m.Module, m.Files, size(m.Bytes), quota, part(m.Bytes, m.Quota))
	}
	return t.Flush()
}
