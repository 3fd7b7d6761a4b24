package main

import (
	"os"

	"github.com/spf13/cobra"

	"eiderhold/internal/live"
	"eiderhold/internal/telemetry"
)

func liveCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "live",
		Short: "Run a host of the platform: HTTP/1.1 to clients and nodes, nothing else",
		Long: `Run one host of the platform. BALANCER_CONFIG names its configuration file. If the file has no
name, listening address or address of discovery, BALANCER_NAME, BALANCER_LISTEN and
BALANCER_DISCOVERY apply. It needs no writable folder. SIGHUP reads the configuration again and connects
to discovery at its new address. After SIGTERM it serves its open connections for as long as
answers come in time, then exits with status 0.`,
		Example: "  BALANCER_CONFIG=/run/balancer/config.json eiderhold live",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := live.Signals()
			cfg, err := live.Load(os.Getenv)
			if err != nil {
				return err
			}
			log, _, err := telemetry.NewLogger(os.Stderr, "info")
			if err != nil {
				return err
			}
			log = log.With("host", cfg.Name)
			l, err := live.Start(cfg, log)
			if err != nil {
				return err
			}
			if err := l.Serve(signals, func() (*live.Config, error) { return live.Load(os.Getenv) }); err != nil {
				return negativeResult{err}
			}
			return nil
		},
	}
}
