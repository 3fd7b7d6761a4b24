//go:build !hostonly

package main

import "github.com/spf13/cobra"

// toolCommands returns the commands for rehearsals, planning and development. They are left out of a build with the tag
// hostonly: the pages of the libraries for charts and columnar files would be most of the memory of an idle host.
func toolCommands() []*cobra.Command {
	return []*cobra.Command{devCommand(), rehearseCommand(), auditCommand(), replayCommand(), nodeCommand(), registerCommand(),
		sharesCommand(), spaceCommand(), mapCommand()}
}
