//go:build hostonly

package main

import "github.com/spf13/cobra"

// toolCommands returns none: see tools.go.
func toolCommands() []*cobra.Command { return nil }
