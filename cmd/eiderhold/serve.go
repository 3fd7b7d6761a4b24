package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"eiderhold/control"
	"eiderhold/internal/config"
	"eiderhold/internal/gateway"
	"eiderhold/internal/host"
	"eiderhold/internal/telemetry"
)

func serveCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run a gateway",
		Long: `Run a gateway until SIGTERM or SIGINT. It then accepts no new connections, lets transfers end
within gateway.drain and exits with status 0; a second signal ends it at once. SIGHUP reads the
settings file again and applies its modules, greeting and log level; if the file is invalid,
nothing changes. Other settings need a restart.`,
		Example: "  eiderhold config default > gateway.toml\n  eiderhold serve --config gateway.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(file)
			if err != nil {
				return err
			}
			log, level, err := telemetry.NewLogger(os.Stderr, cfg.Gateway.LogLevel)
			if err != nil {
				return err
			}
			log = log.With("gateway", cfg.Gateway.Name)
			g, err := gateway.Start(cfg, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "rsync://%s/\n", g.Addr())
			log.Info("serving", "rsync", g.Addr(), "register", cfg.Register.URL, "dir", cfg.Gateway.Dir)
			return runUntilSignal(cmd.Context(), g, cfg, log, func() error {
				reloaded, err := config.Load(file)
				if err != nil {
					return err
				}
				if err := g.Reload(reloaded); err != nil {
					return err
				}
				return level.UnmarshalText([]byte(reloaded.Gateway.LogLevel))
			})
		},
	}
	c.Flags().StringVar(&file, "config", "", "settings file (required); eiderhold config default prints one")
	_ = c.MarkFlagRequired("config")
	return c
}

// runUntilSignal logs statistics and handles signals until the gateway has ended. It calls reload at SIGHUP.
func runUntilSignal(ctx context.Context, g *gateway.Gateway, cfg *config.Config, log *slog.Logger, reload func() error) error {
	defer logStats(log, g)
	statsTicker := time.NewTicker(statsInterval)
	defer statsTicker.Stop()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-g.Ended():
			err := g.Err()
			g.Close()
			if err == nil {
				err = fmt.Errorf("the host loop ended unexpectedly")
			}
			return negativeResult{err}
		case <-statsTicker.C:
			logStats(log, g)
		case <-ctx.Done():
			return g.Close()
		case s := <-signals:
			if s == syscall.SIGHUP {
				if err := reload(); err != nil {
					log.Error("reload failed; no setting was changed", "err", err)
				} else {
					log.Info("reloaded")
				}
				continue
			}
			log.Info("draining: transfers may end, no new connections", "within", cfg.Gateway.DrainTimeout.D())
			drainCtx, cancel := context.WithTimeout(ctx, cfg.Gateway.DrainTimeout.D())
			go func() {
				<-signals
				log.Warn("second signal: ending at once")
				os.Exit(exitNegative)
			}()
			err := g.Drain(drainCtx)
			cancel()
			if err != nil {
				log.Warn("drain", "err", err)
			}
			return g.Close()
		}
	}
}

const statsInterval = time.Minute

// logStats logs the counts since the start as one line. Times are in microseconds.
func logStats(log *slog.Logger, g *gateway.Gateway) {
	h, f, b, c := g.Host().Stats(), g.Front().Stats(), g.Backend().Stats(), g.Catalogue().Stats()
	times := func(name string, t host.Histogram) slog.Attr {
		return slog.Group(name, "p50", t.Percentile(50).Microseconds(), "p99", t.Percentile(99).Microseconds(), "p999", t.Percentile(99.9).Microseconds())
	}
	results := make([]any, 0, 16)
	for r, n := range h.Results {
		results = append(results, host.ResultName(control.Result(r)), n)
	}
	k := g.Keeper().State()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	log.Info("stats",
		slog.Group("memory", "heap", mem.HeapAlloc, "allocated", mem.TotalAlloc, "from_system", mem.Sys),
		slog.Group("host", "requests", h.Requests, "served", h.Answers[host.Served], "refused", h.Answers[host.Refused],
			"failed", h.Answers[host.Failed], "attempts", h.Attempts, "open", h.Open, "out", h.InFlight, "turns", h.Turns,
			"full", h.RefusedAtLimit, "placed", h.Placed, "late", h.LateOutcomes, "left", h.ClientsGone, "defects", h.Defects, slog.Group("results", results...),
			times("mailbox", h.Mailbox), times("decide", h.Decide), times("outcome", h.Outcome)),
		slog.Group("rsync", "conns", f.Conns, "active", f.Active, "accepted", f.Accepted, "turned_away", f.TurnedAway,
			"transfers", f.Transfers, "served", f.Served, "refused", f.Refused, "failed", f.Failed, "files_left_out", f.FilesLeftOut,
			"shed", f.Shed, "paused", f.Paused, "corrupt", f.Corrupt, "buffered", f.Budget, times("deliver", f.Deliver)),
		slog.Group("nodes", "conns", b.Conns, "dials", b.Dials, "dials_failed", b.DialsFailed, "frames", b.Frames,
			"unwanted", b.Unmatched, "broken", b.ProtocolErrors),
		slog.Group("shares", "version", k.Version, "trusted_until", k.Until, "taken", k.Taken, "refused", k.Refused, "err", k.Err),
		slog.Group("catalogue", "commits", c.Commits, "changes", c.Changes, "errors", c.Errors))
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Show the version",
		Example: "  eiderhold version",
		Args:    cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := "unknown", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "eiderhold %s%s\n", version, revision)
		},
	}
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Check and show settings"}
	c.AddCommand(
		&cobra.Command{
			Use: "default", Short: "Print a complete settings file with a comment on every key", Args: cobra.NoArgs,
			Example: "  eiderhold config default > gateway.toml",
			RunE: func(cmd *cobra.Command, _ []string) error {
				text, err := config.Default().Text()
				if err == nil {
					_, err = cmd.OutOrStdout().Write(text)
				}
				return err
			},
		},
		&cobra.Command{
			Use: "check FILE", Short: "Check a settings file and the secrets files that it names", Args: cobra.ExactArgs(1),
			Example: "  eiderhold config check gateway.toml",
			RunE: func(cmd *cobra.Command, args []string) error {
				cfg, err := config.Load(args[0])
				if err == nil {
					_, err = gateway.LoadModules(cfg)
				}
				if err != nil {
					return negativeResult{err}
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", args[0])
				return nil
			},
		},
		&cobra.Command{
			Use: "show FILE", Short: "Print a settings file completed with the defaults of the keys that it leaves out", Args: cobra.ExactArgs(1),
			Example: "  eiderhold config show gateway.toml",
			RunE: func(cmd *cobra.Command, args []string) error {
				cfg, err := config.Load(args[0])
				if err != nil {
					return negativeResult{err}
				}
				text, err := cfg.Text()
				if err == nil {
					_, err = cmd.OutOrStdout().Write(text)
				}
				return err
			},
		})
	return c
}
