//go:build !hostonly

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"eiderhold/internal/chart"
	"eiderhold/shares"
)

// saveFlags holds the flags for writing a solution.
type saveFlags struct {
	file    string
	version uint64
	by      string
	trust   time.Duration
}

func (f *saveFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.file, "save", "", "write a solution for gateways to this file")
	c.Flags().Uint64Var(&f.version, "version", 0, "version of the solution; 0: one above that of the file, or 1 if there is no file")
	c.Flags().StringVar(&f.by, "by", "", "author of the solution; empty: this user and host")
	c.Flags().DurationVar(&f.trust, "trust", 24*time.Hour, "how long gateways trust the solution in full; afterwards their trust declines")
}

// write writes an answer as a solution and replaces the file atomically.
func (f *saveFlags) write(cmd *cobra.Command, p *shares.Problem, found *shares.SearchResult) error {
	if f.file == "" {
		return nil
	}
	version := f.version
	if version == 0 {
		version = 1
		old, err := readSolution(f.file)
		switch {
		case err == nil:
			version = old.Version + 1
		case !errors.Is(err, os.ErrNotExist):
			return fmt.Errorf("%w; name a --version to overwrite it", err)
		}
	}
	by := f.by
	if by == "" {
		host, _ := os.Hostname()
		by = os.Getenv("USER") + "@" + host
	}
	b, err := shares.NewSolution(p, found, version, by, time.Now(), f.trust).Encode()
	if err == nil {
		err = renameio.WriteFile(f.file, b, 0o644)
	}
	if err != nil {
		return fmt.Errorf("shares: --save %s: %w", f.file, err)
	}
	fmt.Fprintf(cmd.ErrOrStderr(), "%s: version %d, trusted for %v\n", f.file, version, f.trust)
	return nil
}

func readSolution(file string) (*shares.Solution, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("shares: %w", err)
	}
	s, err := shares.ReadSolution(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// readPlacement reads the placement of a solution, or of JSON as printed by shares solve.
func readPlacement(file string) (map[string][]string, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("shares: %w", err)
	}
	if s, err := shares.ReadSolution(b); err == nil {
		return s.Placement, nil
	} else if !strings.HasPrefix(strings.TrimSpace(string(b)), "{") {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var answer struct {
		Placement map[string][]string `json:"placement"`
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return answer.Placement, nil
}

func sharesResolve() *cobra.Command {
	var nowFile, output, chartDir string
	var lost, drain []string
	var moves, steps, perNode int
	var seed uint64
	var save saveFlags
	c := &cobra.Command{
		Use:   "resolve FILE.toml",
		Short: "Recompute a placement after a change, with few moves, and order the moves",
		Long: `Recompute a placement from the present one (the volumes' "on", or --now: a solution or an answer)
after nodes were lost, added, resized or drained. Volumes stay where they are if possible. The moves
are ordered in waves so that no node is overloaded at any time. If a wave fails, run the command
again and give the placement at that time with --now.
Exit status: 0 found, 1 no placement was found, too many moves are needed, or some moves have no
order; 2 a file cannot be used.`,
		Example: "  eiderhold shares resolve fleet.toml --now solution --lost n7 --moves 200 --save solution",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := openProblem(output, args[0])
			if err != nil {
				return err
			}
			if nowFile != "" {
				placement, err := readPlacement(nowFile)
				if err != nil {
					return err
				}
				p = shares.WithPlacement(p, placement)
			}
			for state, ids := range map[string][]string{"gone": lost, "draining": drain} {
				for _, id := range ids {
					if !setState(p, id, state) {
						return fmt.Errorf("%s: no node %q to mark as %s", args[0], id, state)
					}
				}
			}
			found, plan, err := shares.Migrate(p, shares.ResolveOptions{Seed: seed, Steps: steps, MaxMoves: moves}, perNode)
			if err != nil {
				return negativeResult{err}
			}
			if err := showSchedule(cmd, p, found, plan, output); err != nil {
				return err
			}
			if chartDir != "" {
				if err := drawCharts(chartDir, p, found, searchTrace{}); err != nil {
					return err
				}
			}
			if err := save.write(cmd, p, found); err != nil {
				return err
			}
			if n := len(plan.Stuck); n > 0 {
				return negativeResult{fmt.Errorf("%d moves have no order that avoids an overloaded node: add a node with spare capacity, or allow more moves with --moves", n)}
			}
			return nil
		},
	}
	c.Flags().StringVar(&nowFile, "now", "", "present placement: a solution, or an answer as JSON; empty: that in the problem file")
	c.Flags().StringSliceVar(&lost, "lost", nil, "ids of nodes that are gone")
	c.Flags().StringSliceVar(&drain, "drain", nil, "ids of nodes that are to be drained")
	c.Flags().IntVar(&moves, "moves", -1, "most moves, counted as nodes that volumes are newly placed on; -1: any number")
	c.Flags().IntVar(&steps, "steps", 2000, "changes to try once all volumes are placed")
	c.Flags().IntVar(&perNode, "at-once", 0, "most moves from or to one node at a time; 0: any number")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the search")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	c.Flags().StringVar(&chartDir, "chart", "", "folder for charts (SVG)")
	save.add(c)
	return c
}

func setState(p *shares.Problem, id, state string) bool {
	for i := range p.Nodes {
		if p.Nodes[i].ID == id {
			p.Nodes[i].State = state
			return true
		}
	}
	return false
}

const maxWaveMovesShown = 20 // moves that are printed of each wave

func showSchedule(cmd *cobra.Command, p *shares.Problem, found *shares.SearchResult, plan *shares.Schedule, output string) error {
	w := cmd.OutOrStdout()
	if output == "json" {
		return printJSON(w, map[string]any{"value": found.Value, "bound": found.Bound, "placement": found.Placement,
			"moves": found.Moves, "waves": plan.Waves, "stuck": plan.Stuck, "feasible": true})
	}
	for i, wave := range plan.Waves {
		fmt.Fprintf(w, "wave %d: %d moves\n", i+1, len(wave))
		for k, m := range wave {
			if k == maxWaveMovesShown {
				fmt.Fprintf(w, "  ... and %d more\n", len(wave)-k)
				break
			}
			fmt.Fprintf(w, "  %s\n", moveText(m))
		}
	}
	for _, m := range plan.Stuck {
		fmt.Fprintf(w, "no order for %s\n", moveText(m))
	}
	_, err := fmt.Fprintf(w, "value %v, none is above %v (%s); %d moves in %d waves\n", found.Value, found.Bound,
		gapText(found.Value, found.Bound), found.Moves, len(plan.Waves))
	return err
}

func moveText(m shares.Move) string {
	text := fmt.Sprintf("%s: %s -> %s", m.Volume, m.From, m.To)
	if m.From == "" {
		text = fmt.Sprintf("%s: rebuilt at %s", m.Volume, m.To)
	}
	if m.Detour {
		text += " (on its way)"
	}
	return text
}

func sharesExplain() *cobra.Command {
	var answerFile, output string
	c := &cobra.Command{
		Use:   "explain FILE.toml VOLUME --answer FILE",
		Short: "Explain a volume's placement and what any other node would cost",
		Long: `Show what a volume gets on the nodes of its placement and, for every other node, by how much the total
value would change if the volume were placed there instead, with all other volumes unchanged.
Exit status: 0 shown, 1 the volume does not exist or the placement breaks a constraint, 2 a file
cannot be used.`,
		Example: "  eiderhold shares explain fleet.toml v17 --answer solution",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := openProblem(output, args[0])
			if err != nil {
				return err
			}
			placement, err := readPlacement(answerFile)
			if err != nil {
				return err
			}
			e, err := shares.Explain(p, placement, args[1])
			if err != nil {
				return negativeResult{err}
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), e)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "on node\tdemand\tshare\tspare\tunmet")
			for _, x := range e.Parts {
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", x.Node, x.Demand, x.Share, x.Spare, x.Demand-x.Share-x.Spare)
			}
			fmt.Fprintln(t, "\nnode\tin the place of\tthe whole changes by")
			for _, x := range e.Choices {
				switch {
				case x.Why != "":
					fmt.Fprintf(t, "%s\t-\tcannot: %s\n", x.Node, x.Why)
				case x.Replaces == "":
					fmt.Fprintf(t, "%s\tit is there\t0\n", x.Node)
				default:
					fmt.Fprintf(t, "%s\t%s\t%v\n", x.Node, x.Replaces, x.Change)
				}
			}
			return t.Flush()
		},
	}
	c.Flags().StringVar(&answerFile, "answer", "", "placement to explain: a solution, or an answer as JSON (required)")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	_ = c.MarkFlagRequired("answer")
	return c
}

func sharesDiff() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:     "diff OLD NEW",
		Short:   "Compare two solutions",
		Long:    "Compare two solutions.\nExit status: 0 compared, 2 a file cannot be used.",
		Example: "  eiderhold shares diff eiderhold-data/shares/solution-00000000000000000004 solution",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			a, err := readSolution(args[0])
			if err != nil {
				return err
			}
			b, err := readSolution(args[1])
			if err != nil {
				return err
			}
			d := shares.Diff(a, b)
			w := cmd.OutOrStdout()
			if output == "json" {
				return printJSON(w, d)
			}
			fmt.Fprintf(w, "version %d by %s at %s -> version %d by %s at %s\n", a.Version, a.By, a.At.Format(time.RFC3339),
				b.Version, b.By, b.At.Format(time.RFC3339))
			if d.Inputs {
				fmt.Fprintln(w, "of other inputs")
			}
			fmt.Fprintf(w, "value %s -> %s\n", d.Value[0], d.Value[1])
			for _, x := range []struct {
				what string
				list []string
			}{{"volumes added", d.Added}, {"volumes removed", d.Removed}, {"nodes added", d.NodesAdded}, {"nodes removed", d.NodesRemoved}} {
				if len(x.list) > 0 {
					fmt.Fprintf(w, "%s: %s\n", x.what, strings.Join(x.list, ", "))
				}
			}
			t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			if len(d.Changed) > 0 {
				fmt.Fprintln(t, "volume\tcomes to\tleaves\tshare before\tafter\tweight")
			}
			for _, x := range d.Changed {
				weight := fmt.Sprint(x.Weights[1])
				if x.Weights[0] != x.Weights[1] {
					weight = fmt.Sprintf("%d -> %d", x.Weights[0], x.Weights[1])
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", x.Volume, strings.Join(x.NodesAdded, " "), strings.Join(x.NodesRemoved, " "), x.Before, x.After, weight)
			}
			t.Flush()
			_, err = fmt.Fprintf(w, "%d volumes differ, %d moves\n", len(d.Changed), d.Moves)
			return err
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// drawCharts writes charts of the load by node before and after, of the worth by plan and, if there
// is a trace of a search, of its gap to the bound over time.
func drawCharts(dir string, p *shares.Problem, found *shares.SearchResult, trace searchTrace) error {
	nodes := append([]shares.Node(nil), p.Nodes...)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	nodeIndex := map[string]int{}
	names := make([]string, len(nodes))
	for i, n := range nodes {
		nodeIndex[n.ID], names[i] = i, n.ID
	}
	usable, before, after := make([]float64, len(nodes)), make([]float64, len(nodes)), make([]float64, len(nodes))
	for i, n := range nodes {
		usable[i] = float64(n.Capacity*p.ShareOfCapacity.Num/p.ShareOfCapacity.Den) / 1000
	}
	placed := false
	for _, v := range p.Volumes {
		for _, n := range v.On {
			if i, ok := nodeIndex[n]; ok {
				before[i] += float64(v.Demand) / float64(len(v.On)) / 1000
				placed = true
			}
		}
	}
	type worth struct{ asked, share, spare float64 }
	worthByPlan, planOf := map[string]*worth{}, map[string]string{}
	price := map[string]float64{}
	for _, x := range p.Plans {
		price[x.Name], worthByPlan[x.Name] = float64(x.Price)/1e6, &worth{}
	}
	for _, v := range p.Volumes {
		planOf[v.ID] = v.Plan
	}
	spareWorth := float64(p.SpareWorth.Num) / float64(p.SpareWorth.Den)
	for _, x := range found.Parts {
		after[nodeIndex[x.Node]] += float64(x.Demand) / 1000
		w, unitPrice := worthByPlan[planOf[x.Volume]], price[planOf[x.Volume]]/1000
		w.asked += float64(x.Demand) * unitPrice
		w.share += float64(x.Share) * unitPrice
		w.spare += float64(x.Spare) * unitPrice * spareWorth
	}
	series := []chart.Series{{Name: "usable", Y: usable}, {Name: "asked for, after", Y: after}}
	if placed {
		series = append(series[:1], chart.Series{Name: "before", Y: before}, series[1])
	}
	errs := []error{chart.Bars(filepath.Join(dir, "load.svg"), "Load by node", "units a second", names, series...)}
	var asked, share, spare []float64
	names = nil
	for _, x := range p.Plans {
		names = append(names, x.Name)
		asked, share, spare = append(asked, worthByPlan[x.Name].asked), append(share, worthByPlan[x.Name].share), append(spare, worthByPlan[x.Name].spare)
	}
	errs = append(errs, chart.Bars(filepath.Join(dir, "worth.svg"), "Worth by plan", "worth a second", names,
		chart.Series{Name: "asked for", Y: asked}, chart.Series{Name: "share", Y: share}, chart.Series{Name: "spare", Y: spare}))
	if len(trace.seconds) > 1 {
		gap := make([]float64, len(trace.seconds))
		for i, v := range trace.values {
			gap[i] = math.Max(0, 100*gapOf(v, found.Bound))
		}
		errs = append(errs, chart.Lines(filepath.Join(dir, "gap.svg"), "Gap to the bound", "seconds", "percent",
			chart.Series{Name: "gap", X: trace.seconds, Y: gap}))
	}
	return errors.Join(errs...)
}
