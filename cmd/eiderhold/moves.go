package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/internal/gateway"
	"eiderhold/mover"
)

// movesEvery is how often a command that waits looks.
const movesPollInterval = 200 * time.Millisecond

func spaceRebalance() *cobra.Command {
	var target gatewayFolder
	var flags planFlags
	var output string
	var detach bool
	c := &cobra.Command{
		Use:   "rebalance (--config FILE | --dir DIR)",
		Short: "Move extents so that shards fill evenly, while they are served",
		Long: `Plan as "space plan" does, and have the running gateway carry the plan out: each run of extents is copied at low
worth, through the same decisions as all requests; then the catalogue is switched, and what is left behind is collected
once nobody reads it. A gateway that is killed goes on when it starts again. The pace is that of [moves] in its settings.
The command waits for the end; Ctrl-C ends the command, not the moves.
Exit status: 0 all moves are done, 1 some were undone, 2 it could not be planned.`,
		Example: "  eiderhold space rebalance --dir eiderhold-data --least 0.1\n  eiderhold space rebalance --dir eiderhold-data --detach",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := target.checkedPath(output)
			if err != nil {
				return err
			}
			if err := flags.check(); err != nil {
				return err
			}
			started := &gateway.Started{}
			if err := gateway.Order(cmd.Context(), dir, "/rebalance", gateway.PlanQuery(flags.set), started); err != nil {
				return err
			}
			var list []mover.Progress
			if !detach && started.Moves > 0 {
				if list, err = waitForMoves(cmd.Context(), dir, cmd.ErrOrStderr()); err != nil {
					return err
				}
			}
			undone := 0
			for _, p := range list {
				if p.Step == mover.Undone.String() {
					undone++
				}
			}
			if output == "json" {
				err = printJSON(cmd.OutOrStdout(), struct {
					*gateway.Started
					Undone int `json:"undone"`
				}{started, undone})
			} else if started.Moves == 0 {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "nothing moves: %s\n", started.Plan.Why)
			} else {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d of %d moves begun; eiderhold space moves shows them\n", started.Moves, len(started.Plan.Moves))
			}
			if err == nil && undone > 0 {
				return negativeResult{fmt.Errorf("%d moves were undone: eiderhold space moves says why", undone)}
			}
			return err
		},
	}
	target.add(c)
	flags.add(c)
	c.Flags().BoolVar(&detach, "detach", false, "do not wait for the end")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// waitForMoves waits until all moves are over, and tells on w how far they are.
func waitForMoves(ctx context.Context, dir string, w io.Writer) (list []mover.Progress, err error) {
	tick := time.NewTicker(movesPollInterval)
	defer tick.Stop()
	for lastReport := time.Now(); ; {
		list = nil
		if err := gateway.Command(ctx, dir, "/moves", nil, &list); err != nil {
			return nil, err
		}
		finished := 0
		for _, p := range list {
			if p.Over() {
				finished++
			}
		}
		if finished == len(list) {
			return list, nil
		}
		if time.Since(lastReport) > 2*time.Second {
			lastReport = time.Now()
			_, _ = fmt.Fprintf(w, "%d of %d moves are over\n", finished, len(list))
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
	}
}

func spaceMoves() *cobra.Command {
	var target gatewayFolder
	var output string
	c := &cobra.Command{
		Use:     "moves (--config FILE | --dir DIR)",
		Short:   "Show the moves of a running gateway",
		Example: "  eiderhold space moves --dir eiderhold-data",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			dir, err := target.checkedPath(output)
			if err != nil {
				return err
			}
			var list []mover.Progress
			if err := gateway.Command(cmd.Context(), dir, "/moves", nil, &list); err != nil {
				return err
			}
			if output == "json" {
				return printJSON(cmd.OutOrStdout(), list)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			_, _ = fmt.Fprintln(t, "move\tstep\textents\tleft\twhy")
			for _, p := range list {
				_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%s\n", p.ID, p.Step, p.Items, p.Left, p.Why)
			}
			return t.Flush()
		},
	}
	target.add(c)
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func spaceUndo() *cobra.Command {
	var target gatewayFolder
	c := &cobra.Command{
		Use:     "undo (--config FILE | --dir DIR) MOVE",
		Short:   "Take a move back that has not been switched yet",
		Example: "  eiderhold space undo --dir eiderhold-data 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir, err := target.path()
			if err != nil {
				return err
			}
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return fmt.Errorf("MOVE %q: a number, as space moves shows it", args[0])
			}
			return gateway.Order(cmd.Context(), dir, "/moves/undo", url.Values{"id": {args[0]}}, &struct{}{})
		},
	}
	target.add(c)
	return c
}
