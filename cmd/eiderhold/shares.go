//go:build !hostonly

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/big"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/internal/config"
	"eiderhold/shares"
)

func sharesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "shares",
		Short: "Compute placements and shares in advance",
		Long: `Compute which nodes hold which volumes, and the share of each node that every volume is entitled
to. Values are exact integers: micro-worth times milli-units times the denominator of spare_worth.`,
	}
	c.AddCommand(sharesCheck(), sharesSolve(), sharesEvaluate(), sharesResolve(), sharesExplain(), sharesDiff(),
		sharesGather(), sharesGenerate())
	return c
}

// openProblem checks the --output flag and reads a problem.
func openProblem(output, file string) (*shares.Problem, error) {
	if err := checkOutput(output); err != nil {
		return nil, err
	}
	return loadProblem(file)
}

// loadProblem reads and checks a problem. A key that is not known is an error.
func loadProblem(file string) (*shares.Problem, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("shares: %w", err)
	}
	p := &shares.Problem{}
	if err := config.Strict(text, file, p); err != nil {
		return nil, err
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

func sharesCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE.toml", Short: "Check a problem file", Args: cobra.ExactArgs(1),
		Example: "  eiderhold shares check fleet.toml",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := loadProblem(args[0])
			if err != nil {
				return negativeResult{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d volumes, %d nodes, inputs %s\n", args[0], len(p.Volumes), len(p.Nodes), shares.Digest(p))
			return nil
		},
	}
}

// solveFlags holds the flags of shares solve.
type solveFlags struct {
	exact, relax  bool
	steps         int
	within        time.Duration
	seed          uint64
	output, plain string
	chart         string
	save          saveFlags
}

func sharesSolve() *cobra.Command {
	f := &solveFlags{}
	c := &cobra.Command{
		Use:   "solve FILE.toml",
		Short: "Find a placement of high value, or with --exact one of the highest value",
		Long: `Find a placement of high value, and an upper bound on the value of all placements. The same file,
seed and steps give the same answer, and more steps never give a lower value. --within ends the
search after a time; the answer then depends on the speed of the machine.
--exact finds a placement of the highest value; of several, the first in the order of the ids of
volumes and nodes. It is feasible for a few volumes and nodes only. If no placement meets the
constraints, --exact names a smallest set of constraints that cannot be met together, and --relax
leaves out the volumes of the lowest price.
Ctrl-C ends the search with the best placement so far. --save writes a solution for gateways, with
a version and a checksum, and replaces the file atomically.
Exit status: 0 found, 1 no placement was found or the steps were used up, 2 the file cannot be used.`,
		Example: "  eiderhold shares solve fleet.toml --steps 100000 --output json\n" +
			"  eiderhold shares solve fleet.toml --within 10s --save solution --chart charts\n" +
			"  eiderhold shares solve small.toml --exact --relax",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	c.Flags().BoolVar(&f.exact, "exact", false, "find the highest value by an exact search")
	c.Flags().BoolVar(&f.relax, "relax", false, "leave out the volumes of the lowest price if not all can be placed")
	c.Flags().IntVar(&f.steps, "steps", 20_000, "changes to try; with --exact placements of single volumes to try, 0 (the default there) for no limit")
	c.Flags().DurationVar(&f.within, "within", 0, "end the search after this time; 0s: only --steps ends it")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the search; --exact uses none")
	c.Flags().StringVar(&f.output, "output", "text", "text or json")
	c.Flags().StringVar(&f.plain, "plain", "", "greedy or hashing: compute this baseline instead of searching")
	c.Flags().StringVar(&f.chart, "chart", "", "folder for charts (SVG): load by node, worth by plan, gap to the bound over time")
	f.save.add(c)
	return c
}

// run solves the problem, prints the answer and writes charts and solution as the flags say.
func (f *solveFlags) run(cmd *cobra.Command, file string) error {
	if err := checkOutput(f.output); err != nil {
		return err
	}
	if f.steps < 0 || f.within < 0 {
		return fmt.Errorf("--steps %d, --within %v: expected 0 or more", f.steps, f.within)
	}
	p, err := loadProblem(file)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if f.within > 0 {
		ctx, cancel = context.WithTimeout(ctx, f.within)
		defer cancel()
	}
	var found *shares.SearchResult
	var leftOut []string
	var trace searchTrace
	switch {
	case f.plain != "":
		solve, plainErr := shares.Baseline(f.plain)
		if plainErr != nil {
			return fmt.Errorf("--plain %w", plainErr)
		}
		var a *shares.Answer
		if a, err = solve(p); a != nil {
			found = &shares.SearchResult{Answer: a, Bound: shares.Bound(p)}
		}
	case f.relax:
		steps := f.steps
		if f.exact && !cmd.Flags().Changed("steps") {
			steps = 0
		}
		found, leftOut, err = shares.Relax(p, f.exact, shares.Options{Seed: f.seed, Steps: steps})
	case f.exact:
		found, err = f.solveExactly(ctx, cmd, p)
	default:
		found, trace, err = f.search(ctx, p)
	}
	if found == nil {
		if errors.Is(err, shares.ErrInfeasible) || errors.Is(err, shares.ErrNotFound) {
			err = errors.Join(showConflict(cmd.OutOrStdout(), file, p, f.exact, f.steps, f.output), err)
		}
		return negativeResult{err}
	}
	if err = errors.Join(showAnswer(cmd.OutOrStdout(), p, found, leftOut, f.output), err); err != nil {
		return negativeResult{err}
	}
	if f.chart != "" {
		if err := drawCharts(f.chart, p, found, trace); err != nil {
			return err
		}
	}
	return f.save.write(cmd, p, found)
}

func (f *solveFlags) solveExactly(ctx context.Context, cmd *cobra.Command, p *shares.Problem) (*shares.SearchResult, error) {
	if !cmd.Flags().Changed("steps") {
		f.steps = 0
	}
	a, err := shares.ExactUntil(p, f.steps, func() bool { return ctx.Err() != nil })
	if a == nil {
		return nil, err
	}
	found := &shares.SearchResult{Answer: a, Bound: a.Value}
	if err != nil { // the search was cut short: the answer is not proven to be the highest
		found.Bound = shares.Bound(p)
	}
	return found, err
}

// searchTrace holds the progress of a search: times since its start and the values at them.
type searchTrace struct {
	seconds []float64
	values  []shares.Value
}

const clockCheckSteps = 500 // search steps between two checks of the clock and of the context

// search runs a search until its steps are used up or ctx is done, and shows its progress.
func (f *solveFlags) search(ctx context.Context, p *shares.Problem) (*shares.SearchResult, searchTrace, error) {
	start := time.Now()
	var trace searchTrace
	solver, err := shares.NewSolver(p, f.seed)
	if err != nil {
		return nil, trace, err
	}
	status := newProgress(os.Stderr)
	defer status.clear()
	for done := 0; ; {
		trace.seconds, trace.values = append(trace.seconds, time.Since(start).Seconds()), append(trace.values, solver.Value())
		status.update("%d of %d steps, value %v", done, f.steps, trace.values[len(trace.values)-1])
		n := min(clockCheckSteps, f.steps-done)
		if n <= 0 || ctx.Err() != nil {
			break
		}
		solver.Step(n)
		done += n
	}
	found, err := solver.Result()
	return found, trace, err
}

func sharesEvaluate() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "evaluate FILE.toml ANSWER",
		Short: "Compute the value of a placement",
		Long: `Compute the value of a placement. ANSWER is a solution, or JSON with "placement": {volume: [node ids]}
as printed by solve.
Exit status: 0 the value was computed, 1 the placement breaks a constraint, 2 a file cannot be used.`,
		Example: "  eiderhold shares evaluate fleet.toml answer.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := openProblem(output, args[0])
			if err != nil {
				return err
			}
			placement, err := readPlacement(args[1])
			if err != nil {
				return err
			}
			a, err := shares.Evaluate(p, placement)
			if errors.As(err, new(*shares.InfeasibleError)) {
				return negativeResult{err}
			}
			if err != nil {
				return err
			}
			return showAnswer(cmd.OutOrStdout(), p, &shares.SearchResult{Answer: a, Bound: shares.Bound(p)}, nil, output)
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// showConflict prints the constraints that cannot be met together, each with its line in the file.
// They are known only after an exact search.
func showConflict(w io.Writer, file string, p *shares.Problem, exact bool, steps int, output string) error {
	var conflict []shares.Constraint
	if exact {
		var err error
		if conflict, err = shares.Conflict(p, steps); err != nil {
			return err
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("shares: %w", err)
	}
	type locatedConstraint struct {
		shares.Constraint
		Line int `json:"line"`
	}
	list := []locatedConstraint{}
	for _, c := range conflict {
		list = append(list, locatedConstraint{c, constraintLine(string(text), c)})
	}
	if output == "json" {
		return printJSON(w, map[string]any{"feasible": false, "conflict": list})
	}
	if len(list) > 0 {
		fmt.Fprintln(w, "these cannot be met together, though any one less could:")
	}
	for _, c := range list {
		fmt.Fprintf(w, "  %s:%d: %v\n", file, c.Line, c.Constraint)
	}
	return nil
}

// constraintLine returns the line of a constraint in the file: that of its key in the table to
// which it belongs, or that of the table's header if the table does not have the key.
func constraintLine(text string, c shares.Constraint) int {
	lineNumber, headLine, table := 0, 0, -1
	for line := range strings.Lines(text) {
		lineNumber++
		key, _, _ := strings.Cut(strings.TrimSpace(line), "=")
		switch key = strings.TrimSpace(key); {
		case strings.HasPrefix(key, "[["+c.Table+"]]"):
			if table++; table == c.Index {
				headLine = lineNumber
			}
		case strings.HasPrefix(key, "["):
			if headLine > 0 {
				return headLine
			}
		case table == c.Index && headLine > 0 && key == c.Kind:
			return lineNumber
		}
		if table > c.Index {
			break
		}
	}
	return headLine
}

// showAnswer prints an answer with its bound and the volumes that were left out.
func showAnswer(w io.Writer, p *shares.Problem, found *shares.SearchResult, leftOut []string, output string) error {
	if output == "json" {
		byVolume := map[string]map[string]int64{}
		for _, x := range found.Parts {
			if byVolume[x.Volume] == nil {
				byVolume[x.Volume] = map[string]int64{}
			}
			byVolume[x.Volume][x.Node] = x.Share
		}
		out := map[string]any{"value": found.Value, "bound": found.Bound, "placement": found.Placement, "shares": byVolume,
			"feasible": len(leftOut) == 0, "moves": found.Moves}
		if len(leftOut) > 0 {
			out["left_out"] = leftOut
		}
		return printJSON(w, out)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "volume\tnode\tdemand\tshare\tspare\tunmet")
	load := map[string]int64{}
	for _, x := range found.Parts {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\n", x.Volume, x.Node, x.Demand, x.Share, x.Spare, x.Demand-x.Share-x.Spare)
		load[x.Node] += x.Share + x.Spare
	}
	fmt.Fprintln(t, "\nnode\tcapacity\tsent")
	nodes := append([]shares.Node(nil), p.Nodes...)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	for _, n := range nodes {
		fmt.Fprintf(t, "%s\t%d\t%d\n", n.ID, n.Capacity, load[n.ID])
	}
	t.Flush()
	if len(leftOut) > 0 {
		fmt.Fprintf(w, "\nleft out, since not all can be met: %s\n", strings.Join(leftOut, ", "))
	}
	boundNote := fmt.Sprintf(", none is above %v (%s)", found.Bound, gapText(found.Value, found.Bound))
	if found.Bound == found.Value {
		boundNote = ", the highest there is"
	}
	_, err := fmt.Fprintf(w, "\nvalue %v%s; %d moves\n", found.Value, boundNote, found.Moves)
	return err
}

// gapOf returns the distance of a value from its upper bound as a fraction of the bound.
func gapOf(value, bound shares.Value) float64 {
	if bound.Big().Sign() <= 0 {
		return 0
	}
	gap, _ := new(big.Rat).SetFrac(bound.Sub(value).Big(), bound.Big()).Float64()
	return gap
}

func gapText(value, bound shares.Value) string {
	return fmt.Sprintf("a gap of %.3f%%", 100*gapOf(value, bound))
}
