//go:build !hostonly

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

// movesPollInterval is the interval at which a waiting command polls the gateway.
const movesPollInterval = 200 * time.Millisecond

func spaceRebalance() *cobra.Command {
	var target gatewayFolder
	var flags planFlags
	var output string
	var detach bool
	c := &cobra.Command{
		Use:   "rebalance (--config FILE | --dir DIR)",
		Short: "Move extents between shards so that these fill evenly, without an interruption of service",
		Long: `Make a plan like "space plan" and have the running gateway carry it out. Each run of extents is copied with requests
of low worth, which are scheduled like all others; then the catalogue is switched to the copy, and the items at the
source are deleted once no transfer reads them. A gateway that is killed continues when it starts again. [moves] in
its settings limits the rate.
The command waits until all moves have ended. Ctrl-C ends the command, not the moves.
Exit status: 0 all moves are done, 1 some were undone, 2 no plan could be made.`,
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
			started := &gateway.RebalanceResult{}
			if err := gateway.Post(cmd.Context(), dir, "/rebalance", gateway.PlanQuery(flags.set), started); err != nil {
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
					*gateway.RebalanceResult
					Undone int `json:"undone"`
				}{started, undone})
			} else if started.Moves == 0 {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "nothing moves: %s\n", started.Plan.Reason)
			} else {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%d of %d moves begun; eiderhold space moves shows them\n", started.Moves, len(started.Plan.Moves))
			}
			if err == nil && undone > 0 {
				return negativeResult{fmt.Errorf("%d moves were undone: eiderhold space moves shows the reasons", undone)}
			}
			return err
		},
	}
	target.add(c)
	flags.add(c)
	c.Flags().BoolVar(&detach, "detach", false, "do not wait until the moves have ended")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

// waitForMoves waits until all moves have ended and reports the progress on w.
func waitForMoves(ctx context.Context, dir string, w io.Writer) (list []mover.Progress, err error) {
	tick := time.NewTicker(movesPollInterval)
	defer tick.Stop()
	for lastReport := time.Now(); ; {
		list = nil
		if err := gateway.Get(ctx, dir, "/moves", nil, &list); err != nil {
			return nil, err
		}
		finished := 0
		for _, p := range list {
			if p.Finished() {
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
			if err := gateway.Get(cmd.Context(), dir, "/moves", nil, &list); err != nil {
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
		Short:   "Undo a move that has not been switched yet",
		Example: "  eiderhold space undo --dir eiderhold-data 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir, err := target.path()
			if err != nil {
				return err
			}
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return fmt.Errorf("MOVE %q: expected a number from the output of eiderhold space moves", args[0])
			}
			return gateway.Post(cmd.Context(), dir, "/moves/undo", url.Values{"id": {args[0]}}, &struct{}{})
		},
	}
	target.add(c)
	return c
}
