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

// folder is a gateway's folder, by its settings or its name.
type gatewayFolder struct{ file, dir string }

func (f *gatewayFolder) add(c *cobra.Command) {
	c.Flags().StringVar(&f.file, "config", "", "settings file of the gateway")
	c.Flags().StringVar(&f.dir, "dir", "", "its folder (gateway.dir)")
	c.MarkFlagsOneRequired("config", "dir")
	c.MarkFlagsMutuallyExclusive("config", "dir")
}

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
		Short: "Show what shards and modules hold",
		Long: `Show how many bytes each shard holds and can hold, which of them take new data, and what
each module's files come to against its quota: as the gateway of that folder says, or, if none
runs, as it wrote down last.`,
		Example: "  eiderhold space --config gateway.toml\n  eiderhold space --dir eiderhold-data --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := target.checkedPath(output)
			if err != nil {
				return err
			}
			s := &gateway.Space{}
			if err := gateway.Command(cmd.Context(), dir, "/space", nil, s); errors.Is(err, gateway.ErrNotRunning) {
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
	c.Flags().StringVar(&output, "output", "text", "text or json; in JSON bytes are numbers")
	c.AddCommand(spacePlan(), spaceRebalance(), spaceMoves(), spaceUndo())
	return c
}

// open checks how a command is to print and finds its folder.
func (f *gatewayFolder) checkedPath(output string) (string, error) {
	if err := checkOutput(output); err != nil {
		return "", err
	}
	return f.path()
}

// planFlags are the settings of a plan on the command line.
type planFlags struct {
	set  rebalance.Settings
	rate string
}

func (f *planFlags) add(c *cobra.Command) {
	f.set = rebalance.Default
	c.Flags().Float64Var(&f.set.Least, "least", f.set.Least, "difference in the part used for which a byte is worth moving")
	c.Flags().IntVar(&f.set.Moves, "moves", f.set.Moves, "most moves of the plan")
	c.Flags().IntVar(&f.set.PerNode, "at-once", f.set.PerNode, "moves that one shard takes part in at a time")
	c.Flags().StringVar(&f.rate, "rate", humanize.IBytes(uint64(f.set.Rate)), "bytes a second that one shard gives or takes, for the time that is told")
}

func (f *planFlags) check() error {
	bytes, err := humanize.ParseBytes(f.rate)
	if err != nil || bytes > math.MaxInt64 {
		return fmt.Errorf("--rate %q: bytes a second, as 16MiB", f.rate)
	}
	f.set.Rate = int64(bytes)
	return f.set.Check()
}

func spacePlan() *cobra.Command {
	var target gatewayFolder
	var flags planFlags
	var output, file string
	c := &cobra.Command{
		Use:   "plan (--config FILE | --dir DIR)",
		Short: "Plan which extents are to move so that shards fill evenly",
		Long: `Plan which extents are to move between shards so that these fill evenly, in waves, and what they
will hold then. The gateway of that folder must be running; nothing is moved. Shards that are cold,
lost, or past their mark take nothing, and what a solution of shares places stays on its nodes.
Exit status: 0 planned, also if nothing is to move; 2 it could not be planned.`,
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
			if err := gateway.Command(cmd.Context(), dir, "/plan", gateway.PlanQuery(flags.set), p); err != nil {
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
	c.Flags().StringVar(&file, "chart", "", "file for a chart (SVG) of what shards hold before and after")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// planChart draws the parts used before and after.
func planChart(file string, p *rebalance.Plan) error {
	var names []string
	before, after := chart.Series{Name: "before"}, chart.Series{Name: "after"}
	for _, s := range slices.Sorted(maps.Keys(p.Parts)) {
		names = append(names, fmt.Sprint(s))
		before.Y, after.Y = append(before.Y, 100*p.Parts[s].Before), append(after.Y, 100*p.Parts[s].After)
	}
	return chart.Bars(file, "Shards before and after", "percent used", names, before, after)
}

const maxPlanMovesShown = 20 // of a plan, as text

// printPlan writes what moves, and what it comes to.
func printPlan(w io.Writer, p *rebalance.Plan) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "shard\tbefore\tafter")
	for _, s := range slices.Sorted(maps.Keys(p.Parts)) {
		fmt.Fprintf(t, "%d\t%.1f%%\t%.1f%%\n", s, 100*p.Parts[s].Before, 100*p.Parts[s].After)
	}
	if len(p.Moves) > 0 {
		fmt.Fprintln(t, "\nwave\tmodule\tfile version\textents\tbytes\tfrom\tto")
	}
	shown := 0
	for i, wave := range p.Waves {
		for _, m := range wave {
			if shown++; shown <= maxPlanMovesShown {
				x := &p.Moves[m]
				fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\t%d\t%d\n", i+1, x.Volume, x.Base, x.Parts, humanize.IBytes(uint64(x.Bytes)), x.Shard, x.To)
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
		humanize.IBytes(uint64(p.Bytes)), p.Takes.Round(time.Second), p.Why)
	fmt.Fprintf(w, "fullest %.1f%% to %.1f%%, emptiest %.1f%% to %.1f%%, coefficient of variation %.3f to %.3f\n", 100*p.Before.Most,
		100*p.After.Most, 100*p.Before.Least, 100*p.After.Least, p.Before.Varies, p.After.Varies)
	return nil
}

// printSpace writes tables; sizes in binary units.
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
