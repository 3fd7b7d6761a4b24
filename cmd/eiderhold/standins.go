//go:build !hostonly

package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/internal/register"
	"eiderhold/internal/standin"
)

func nodeCommand() *cobra.Command {
	var opt standin.NodeOptions
	var dir string
	var cold bool
	c := &cobra.Command{
		Use:     "node",
		Short:   "Run a stand-in storage node",
		Long:    "Run a stand-in storage node until SIGTERM or SIGINT. It prints the address on which it listens.",
		Example: "  eiderhold node --id node-0 --shard 0 --listen 127.0.0.1:8750 --dir /tmp/shard-0",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opt.ID == "" || opt.Shard < 0 || opt.Cores < 1 || opt.Queue < 1 {
				return fmt.Errorf("--id must be given; expected --shard of 0 or more, --cores and --queue of at least 1")
			}
			disk, err := standin.NewDisk(dir)
			if err != nil {
				return err
			}
			opt.Disk, opt.KeyWindow = disk, 1200*time.Millisecond
			if cold {
				opt.Started = time.Now()
			}
			n, err := standin.StartNode(opt)
			if err != nil {
				return err
			}
			defer n.Close()
			fmt.Fprintln(cmd.OutOrStdout(), n.Addr())
			waitForSignal(cmd)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&opt.ID, "id", "", "id of the node in the node list (required)")
	f.StringVar(&opt.Zone, "zone", "", "zone of the node")
	f.IntVar(&opt.Shard, "shard", 0, "shard that the node holds")
	f.StringVar(&opt.Listen, "listen", "127.0.0.1:0", "HOST:PORT to listen on; port 0 takes a free port")
	f.StringVar(&dir, "dir", "", "folder for its items; empty: kept in memory")
	f.IntVar(&opt.Cores, "cores", 4, "requests served at a time")
	f.IntVar(&opt.Queue, "queue", 256, "requests that may wait; further ones are refused")
	f.DurationVar(&opt.UnitTime, "unit-time", 0, "time that one unit takes on a core")
	f.DurationVar(&opt.ColdFor, "cold-for", 18*time.Second, "with --cold: time after which the node is warm")
	f.Float64Var(&opt.ColdCapacity, "cold-capacity", 0.2, "with --cold: fraction of its capacity at the start")
	f.BoolVar(&cold, "cold", false, "start as a cold node")
	return c
}

func registerCommand() *cobra.Command {
	var listen string
	var nodes []string
	c := &cobra.Command{
		Use:     "register",
		Short:   "Run a stand-in register",
		Long:    "Run a stand-in register that lists the given nodes until SIGTERM or SIGINT. It prints its URL.",
		Example: "  eiderhold register --listen 127.0.0.1:8740 --node node-0=0@127.0.0.1:8750 --node node-1=1@127.0.0.1:8751",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var entries []register.Entry
			for _, n := range nodes {
				id, rest, ok := strings.Cut(n, "=")
				shard, addr, ok2 := strings.Cut(rest, "@")
				number, err := strconv.Atoi(shard)
				if !ok || !ok2 || err != nil || number < 0 || id == "" || addr == "" {
					return fmt.Errorf("--node %q: expected ID=SHARD@HOST:PORT", n)
				}
				entries = append(entries, register.Entry{ID: id, Addr: addr, Shard: number, State: "ready", Size: 1})
			}
			r, err := standin.StartRegister(listen, nil)
			if err != nil {
				return err
			}
			defer r.Close()
			for _, e := range entries {
				r.Set(e)
			}
			fmt.Fprintln(cmd.OutOrStdout(), r.URL())
			waitForSignal(cmd)
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8740", "address")
	c.Flags().StringArrayVar(&nodes, "node", nil, "node as ID=SHARD@HOST:PORT; repeat the flag for each node")
	return c
}

// waitForSignal waits for SIGTERM, SIGINT or the end of the command's context.
func waitForSignal(cmd *cobra.Command) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-cmd.Context().Done():
	}
}
