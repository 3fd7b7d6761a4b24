//go:build !hostonly

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/internal/config"
	"eiderhold/internal/gateway"
	"eiderhold/internal/standin"
	"eiderhold/internal/telemetry"
)

func devCommand() *cobra.Command {
	var listen, dir, level string
	var nodes int
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a gateway, a stand-in register and stand-in nodes in one process, for trying things out",
		Long: `Run a gateway with a stand-in register and stand-in nodes in one process. It has one writable module,
"records", and keeps what is pushed in the folder of --dir. Nothing else has to run.`,
		Example: "  eiderhold dev --listen 127.0.0.1:8730 --nodes 4 --dir /tmp/eider\n" +
			"  rsync -av some/tree/ rsync://127.0.0.1:8730/records/",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodes < 1 || nodes > 1000 {
				return fmt.Errorf("--nodes %d: expected 1 to 1000", nodes)
			}
			log, _, err := telemetry.NewLogger(os.Stderr, level)
			if err != nil {
				return err
			}
			site, err := standin.StartSite(dir, nil)
			if err != nil {
				return err
			}
			defer site.Close()
			for i := range nodes {
				if _, err := site.Add(standin.NodeOptions{ID: fmt.Sprintf("node-%d", i), Shard: i, Cores: 4, Queue: 256,
					KeyWindow: 1200 * time.Millisecond, Seed: int64(i)}); err != nil {
					return err
				}
			}
			cfg := config.Default()
			cfg.Gateway.Name, cfg.Gateway.Dir = "dev", filepath.Join(dir, "gateway")
			cfg.Register.URL = site.Register.URL()
			cfg.Rsync.Listen = listen
			if err := cfg.Check(); err != nil {
				return err
			}
			g, err := gateway.Start(cfg, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "rsync://%s/records/\n", g.Addr())
			return runUntilSignal(cmd.Context(), g, cfg, log, func() error { return fmt.Errorf("dev has no settings file to reload") })
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8730", "HOST:PORT on which the rsync front listens")
	c.Flags().StringVar(&dir, "dir", "eiderhold-dev", "folder for the data that is pushed")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	c.Flags().IntVar(&nodes, "nodes", 4, "number of stand-in nodes")
	return c
}
