package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

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
	c.AddCommand(sharesCheck(), sharesSolve(), sharesEvaluate())
	return c
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
				return short{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d volumes, %d nodes\n", args[0], len(p.Volumes), len(p.Nodes))
			return nil
		},
	}
}

func sharesSolve() *cobra.Command {
	var exact bool
	var steps int
	var seed uint64
	var output string
	c := &cobra.Command{
		Use:   "solve FILE.toml",
		Short: "Find a placement of high value, or with --exact the highest",
		Long: `Find a placement of high value, with an upper bound that none passes. The same file, seed and
steps give the same answer; more steps never a lower value. With --exact the highest is found;
among equals the least one, volumes and nodes by id. That suits a few volumes and nodes.
If there is none, --exact names a smallest set of constraints that cannot be met together.
Exit status: 0 found, 1 none was found or the steps were used up, 2 the file cannot be used.`,
		Example: "  eiderhold shares solve fleet.toml --steps 100000 --output json\n" +
			"  eiderhold shares solve small.toml --exact",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if steps < 0 {
				return fmt.Errorf("--steps %d: 0 or more", steps)
			}
			p, err := loadProblem(args[0])
			if err != nil {
				return err
			}
			var found *shares.Found
			if exact {
				if !cmd.Flags().Changed("steps") {
					steps = 0
				}
				var a *shares.Answer
				if a, err = shares.Exact(p, steps); a != nil {
					found = &shares.Found{Answer: a, Bound: a.Value}
					if err != nil { // out of steps: nothing is proven
						found.Bound = shares.Bound(p)
					}
				}
			} else {
				found, err = shares.Search(p, shares.Options{Seed: seed, Steps: steps})
			}
			if found == nil {
				if errors.Is(err, shares.ErrNone) || errors.Is(err, shares.ErrNotFound) {
					err = errors.Join(showConflict(cmd.OutOrStdout(), args[0], p, exact, steps, output), err)
				}
				return short{err}
			}
			if err = errors.Join(showAnswer(cmd.OutOrStdout(), p, found, output), err); err != nil {
				return short{err}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&exact, "exact", false, "search exactly")
	c.Flags().IntVar(&steps, "steps", 20_000, "changes tried; with --exact placements of single volumes, 0 for no bound")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the search; the exact one has none")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func sharesEvaluate() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use:   "evaluate FILE.toml ANSWER.json",
		Short: "Value a placement",
		Long: `Value a placement: JSON with "placement": {volume: [node ids]}, as solve writes it.
Exit status: 0 valued, 1 the placement breaks a constraint, 2 a file cannot be used.`,
		Example: "  eiderhold shares evaluate fleet.toml answer.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			p, err := loadProblem(args[0])
			if err != nil {
				return err
			}
			text, err := os.ReadFile(args[1])
			if err != nil {
				return fmt.Errorf("shares: %w", err)
			}
			var answer struct {
				Placement map[string][]string `json:"placement"`
			}
			if err := json.Unmarshal(text, &answer); err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			a, err := shares.Evaluate(p, answer.Placement)
			if errors.As(err, new(*shares.Infeasible)) {
				return short{err}
			}
			if err != nil {
				return err
			}
			return showAnswer(cmd.OutOrStdout(), p, &shares.Found{Answer: a, Bound: shares.Bound(p)}, output)
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
	type named struct {
		shares.Constraint
		Line int `json:"line"`
	}
	list := []named{}
	for _, c := range conflict {
		list = append(list, named{c, lineOf(string(text), c)})
	}
	if output == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(map[string]any{"feasible": false, "conflict": list})
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
func lineOf(text string, c shares.Constraint) int {
	number, head, table := 0, 0, -1
	for line := range strings.Lines(text) {
		number++
		key, _, _ := strings.Cut(strings.TrimSpace(line), "=")
		switch key = strings.TrimSpace(key); {
		case strings.HasPrefix(key, "[["+c.Table+"]]"):
			if table++; table == c.Index {
				head = number
			}
		case strings.HasPrefix(key, "["):
			if head > 0 {
				return head
			}
		case table == c.Index && head > 0 && key == c.Kind:
			return number
		}
		if table > c.Index {
			break
		}
	}
	return head
}

// showAnswer prints an answer with its bound.
func showAnswer(w io.Writer, p *shares.Problem, a *shares.Found, output string) error {
	if output == "json" {
		byVolume := map[string]map[string]int64{}
		for _, x := range a.Parts {
			if byVolume[x.Volume] == nil {
				byVolume[x.Volume] = map[string]int64{}
			}
			byVolume[x.Volume][x.Node] = x.Share
		}
		out := map[string]any{"value": a.Value, "bound": a.Bound, "placement": a.Placement, "shares": byVolume,
			"feasible": true, "moves": a.Moves}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(out)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "volume\tnode\tdemand\tshare\tspare\tunmet")
	load := map[string]int64{}
	for _, x := range a.Parts {
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
	proven := fmt.Sprintf(", none is above %v", a.Bound)
	if a.Bound == a.Value {
		proven = ", the highest there is"
	}
	_, err := fmt.Fprintf(w, "\nvalue %v%s; %d moves\n", a.Value, proven, a.Moves)
	return err
}
