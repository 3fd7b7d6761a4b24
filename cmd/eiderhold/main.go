// Command eiderhold is a storage gateway: rsync clients in front, storage nodes
// behind, and package control deciding every request in between. This folder only
// wires; eiderhold --help lists what it can do.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// The exit statuses.
const (
	exitOK       = 0
	exitNegative = 1 // it ran and fell short
	exitError    = 2 // it could not run
)

// short marks an error of a command that ran and fell short.
type negativeResult struct{ error }

func (r negativeResult) Unwrap() error { return r.error }

func main() { os.Exit(run(context.Background(), os.Args[1:])) }

// run is the whole program.
func run(ctx context.Context, args []string) int {
	root := &cobra.Command{
		Use:           "eiderhold",
		Short:         "A storage gateway: rsync in front, storage nodes behind, deadlines kept in between",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(devCommand(), serveCommand(), configCommand(), versionCommand(),
		rehearseCommand(), auditCommand(), replayCommand(), nodeCommand(), registerCommand(), sharesCommand(), spaceCommand(), mapCommand(), liveCommand())
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "eiderhold:", err)
	if errors.As(err, new(negativeResult)) {
		return exitNegative
	}
	return exitError
}
