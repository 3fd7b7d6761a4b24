// Command eiderhold is a storage gateway: it serves rsync clients from storage nodes, and package
// control decides on every request. This package parses command lines, connects the other
// packages and prints results; eiderhold --help lists the commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	exitOK       = 0
	exitNegative = 1 // the command ran with a negative result: a check failed, nothing was found
	exitError    = 2 // the command could not run
)

// negativeResult marks an error that exits with exitNegative.
type negativeResult struct{ error }

func (r negativeResult) Unwrap() error { return r.error }

func main() { os.Exit(run(context.Background(), os.Args[1:])) }

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string) int {
	root := &cobra.Command{
		Use:           "eiderhold",
		Short:         "A storage gateway that serves rsync clients from storage nodes and keeps deadlines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), configCommand(), versionCommand(), liveCommand())
	root.AddCommand(toolCommands()...)
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
