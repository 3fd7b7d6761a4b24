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
		Short: "Work out placement and shares ahead",
		Long: `Work out which nodes are to hold which volumes, and what part of each node every volume is
due. Values are exact: micro-worth times milli-units times the denominator of spare_worth.`,
	}
	c.AddCommand(sharesCheck(), sharesSolve(), sharesEvaluate(), sharesResolve(), sharesExplain(), sharesDiff(),
		sharesGather(), sharesGenerate())
	return c
}

// openProblem checks how a command is to print and reads its problem.
func openProblem(output, file string) (*shares.Problem, error) {
	if err := checkOutput(output); err != nil {
		return nil, err
	}
	return loadProblem(file)
}

// loadProblem reads a problem strictly and checks it whole.
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
		Use: "check FILE.toml", Short: "Check a problem's file", Args: cobra.ExactArgs(1),
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

// solveFlags are those of a search.
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
		Short: "Find a placement of high value, or with --exact the highest",
		Long: `Find a placement of high value, with an upper bound that none passes. The same file, seed and
steps give the same answer; more steps never a lower value. --within ends the search by the
clock: then the answer depends on the machine. With --exact the highest is found;
among equals the least one, volumes and nodes by id. That suits a few volumes and nodes.
If there is none, --exact names a smallest set of constraints that cannot be met together,
and --relax leaves the least-priced volumes out. Ctrl-C ends the search with the best so far.
--save writes a solution for gateways: versioned, checksummed, never half written.
Exit status: 0 found, 1 none was found or the steps were used up, 2 the file cannot be used.`,
		Example: "  eiderhold shares solve fleet.toml --steps 100000 --output json\n" +
			"  eiderhold shares solve fleet.toml --within 10s --save solution --chart charts\n" +
			"  eiderhold shares solve small.toml --exact --relax",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	c.Flags().BoolVar(&f.exact, "exact", false, "search exactly")
	c.Flags().BoolVar(&f.relax, "relax", false, "leave the least-priced volumes out where not all can be met")
	c.Flags().IntVar(&f.steps, "steps", 20_000, "changes tried; with --exact placements of single volumes, 0 for no bound")
	c.Flags().DurationVar(&f.within, "within", 0, "end the search after so long; 0s: by its steps only")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "of the search; the exact one has none")
	c.Flags().StringVar(&f.output, "output", "text", "text or json")
	c.Flags().StringVar(&f.plain, "plain", "", "no search: greedy or hashing, to compare with")
	c.Flags().StringVar(&f.chart, "chart", "", "folder for charts (SVG): load by node, worth by plan, the gap over time")
	f.save.add(c)
	return c
}

// run solves and prints.
func (f *solveFlags) run(cmd *cobra.Command, file string) error {
	if err := checkOutput(f.output); err != nil {
		return err
	}
	if f.steps < 0 || f.within < 0 {
		return fmt.Errorf("--steps %d, --within %v: 0 or more", f.steps, f.within)
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
	var found *shares.Found
	var leftOut []string
	var trace searchTrace
	switch {
	case f.plain != "":
		solve, plainErr := shares.Plain(f.plain)
		if plainErr != nil {
			return fmt.Errorf("--plain %w", plainErr)
		}
		var a *shares.Answer
		if a, err = solve(p); a != nil {
			found = &shares.Found{Answer: a, Bound: shares.Bound(p)}
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
		if errors.Is(err, shares.ErrNone) || errors.Is(err, shares.ErrNotFound) {
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

func (f *solveFlags) solveExactly(ctx context.Context, cmd *cobra.Command, p *shares.Problem) (*shares.Found, error) {
	if !cmd.Flags().Changed("steps") {
		f.steps = 0
	}
	a, err := shares.ExactUntil(p, f.steps, func() bool { return ctx.Err() != nil })
	if a == nil {
		return nil, err
	}
	found := &shares.Found{Answer: a, Bound: a.Value}
	if err != nil { // out of steps: nothing is proven
		found.Bound = shares.Bound(p)
	}
	return found, err
}

// trail is how a search went on: seconds, and the value then.
type searchTrace struct {
	seconds []float64
	values  []shares.Value
}

const clockCheckSteps = 500 // steps between two looks at the clock

// search runs a search until its steps are used up or ctx ends, telling how it goes.
func (f *solveFlags) search(ctx context.Context, p *shares.Problem) (*shares.Found, searchTrace, error) {
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
	found, err := solver.Found()
	return found, trace, err
}

func sharesEvaluate() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "evaluate FILE.toml ANSWER",
		Short: "Value a placement",
		Long: `Value a placement: a solution, or JSON with "placement": {volume: [node ids]}, as solve writes it.
Exit status: 0 valued, 1 the placement breaks a constraint, 2 a file cannot be used.`,
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
			if errors.As(err, new(*shares.Infeasible)) {
				return negativeResult{err}
			}
			if err != nil {
				return err
			}
			return showAnswer(cmd.OutOrStdout(), p, &shares.Found{Answer: a, Bound: shares.Bound(p)}, nil, output)
		},
	}
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// showConflict names, after an exact search, the constraints that cannot be met together,
// each with its line in the file.
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

// lineOf is the line of a file on which a constraint stands: that of its key in the
// table that it belongs to, or of the table's head if the key is not written there.
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

// showAnswer prints an answer with its bound, and what was left out.
func showAnswer(w io.Writer, p *shares.Problem, found *shares.Found, leftOut []string, output string) error {
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

// gapOf is how far a value is below a bound, as a part of the bound.
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
